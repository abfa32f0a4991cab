//! Which entry runs which groups of a lot.
//!
//! A lot has a bounded set of runners, the first in rank for its id; among them rendezvous hashing
//! by group decides. Entries whose views agree place alike without a word, and a lost runner moves
//! only its own groups.

use crate::state::Shared;
use compact_str::CompactString;
use pinereel_core::hash;
use std::collections::{BTreeMap, BTreeSet};

/// Most entries that run groups of one lot.
const MAX_RUNNERS_PER_LOT: usize = 16;

/// The groups by runner; `away` are entries that cannot run any.
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
        // Alone, this entry runs everything.
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
