//! When the stored objects of a lot may be deleted.
//!
//! Readers rely on a lot until its trainer has ended it, and for the retention time after its submission. It is
//! deleted by the runner of its model, which alone knows whether items of it run.

use crate::Time;
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time after which a lot that its trainer never ends is deleted. Without it, the store would grow for ever.
pub const UNENDED_RETENTION: Duration = Duration::from_hours(24);

/// A lot object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLot {
    /// Its model; `None` if it names none.
    pub model: Option<CompactString>,
    /// Revision of its last change.
    pub revision: u64,
    /// Whether its trainer has ended it.
    pub ended: bool,
}

/// The lots in the store, and when this instance first saw each of them. An instance counts ages from its own
/// first sight, which comes after the submission, so that no lot is deleted too early.
#[derive(Debug, Default)]
pub struct StoredLots(BTreeMap<CompactString, (Time, StoredLot)>);

impl StoredLots {
    /// Records the current state of a lot.
    pub fn record(&mut self, now: Time, name: &CompactString, lot: StoredLot) {
        let seen = self.0.entry(name.clone());
        let (_, known) = seen.or_insert_with(|| (now, lot.clone()));
        // The watches of several models may bring an older state later.
        if lot.revision >= known.revision {
            *known = lot;
        }
    }

    /// Removes a lot that was deleted. One that is submitted again under its name counts as new.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Removes all lots that are not in a complete list.
    pub fn retain(&mut self, listed: &BTreeSet<CompactString>) {
        self.0.retain(|name, _| listed.contains(name));
    }

    /// Names and revisions of the lots that the runner of `model` may delete: those of its model, and those of
    /// models that no runner has. An ended lot is kept for `retention`, and any other for
    /// [`UNENDED_RETENTION`].
    pub fn expired(
        &self,
        now: Time,
        model: &str,
        has_runner: impl Fn(&str) -> bool,
        retention: Duration,
    ) -> Vec<(CompactString, u64)> {
        let may_delete = |lot: &StoredLot| match lot.model.as_deref() {
            Some(other) => other == model || !has_runner(other),
            None => true,
        };
        let is_expired = |first_seen: Time, lot: &StoredLot| {
            let kept = if lot.ended {
                retention
            } else {
                retention.max(UNENDED_RETENTION)
            };
            now.since(first_seen) >= kept
        };
        let lots = self.0.iter();
        lots.filter(|(_, (first_seen, lot))| may_delete(lot) && is_expired(*first_seen, lot))
            .map(|(name, (_, lot))| (name.clone(), lot.revision))
            .collect()
    }
}
