//! Placement of a lot's groups on entries by rendezvous hashing.
//!
//! The runners of a lot are a bounded set of entries, the highest-ranked for its id; each group is
//! hashed onto one of them. Entries with the same membership view compute the same placement
//! without coordination, and the loss of a runner moves only its own groups.

use crate::state::Shared;
use compact_str::CompactString;
use pinereel_core::hash;
use std::collections::{BTreeMap, BTreeSet};

/// Most entries that run groups of one lot.
const MAX_RUNNERS_PER_LOT: usize = 16;

/// Maps each runner to its groups. `excluded` are entries that cannot run any; the result is empty
/// if no entry remains.
pub(super) fn place_groups(
    shared: &Shared,
    lot: &str,
    groups: impl IntoIterator<Item = u32>,
    excluded: &BTreeSet<CompactString>,
) -> BTreeMap<CompactString, Vec<u32>> {
    let key = hash::stable(lot.as_bytes());
    let mut runners = shared.members.ranked(key, MAX_RUNNERS_PER_LOT);
    runners.retain(|name| !excluded.contains(name));
    if runners.is_empty() && !excluded.contains(shared.name()) {
        // Without other members, this entry runs all groups.
        runners.push(shared.name().clone());
    }
    let mut placed: BTreeMap<CompactString, Vec<u32>> = BTreeMap::new();
    for group in groups {
        let key = key ^ u64::from(group);
        let owner = runners
            .iter()
            .max_by_key(|name| hash::rendezvous(key, name));
        if let Some(owner) = owner {
            placed.entry(owner.clone()).or_default().push(group);
        }
    }
    placed
}
