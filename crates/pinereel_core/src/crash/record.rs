//! What is known of one request.

use super::{EndpointStart, Identity, MAX_SHARED_CRASHES, MIN_COMPLETIONS_PER_CRASH, RECORD_TTL};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Starts that are kept of one request: more than are needed for any decision.
const MAX_STARTS: usize = 16;

/// What one crash says of one request that ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Involvement {
    /// Whether it still counts against the request.
    pub counts: bool,
    /// How many endpoints counted against it before. Of those that ran there, the one with the most is to
    /// blame.
    pub before: usize,
}

/// What an instance tells others of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub identity: Identity,
    /// Starts that crashed while it ran there.
    pub starts: Vec<(EndpointStart, Involvement)>,
    /// Runs of it that came to their end since the first, as far as one instance has seen.
    pub ends: u32,
    /// Time since the last one.
    pub age: Duration,
}

/// What is known of one request.
///
/// Records of two instances merge to the same one in whatever order and however often they are told:
/// starts only come, and what has stopped to count never counts again.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Starts that crashed while it ran there.
    pub(super) starts: BTreeMap<EndpointStart, Involvement>,
    /// Runs that came to their end since the first crash, the most that one instance has seen.
    pub(super) completions: u32,
    /// Time since the last one crashed, as far as this instance knows, as of `aged_at`: it may have been before the
    /// clock's start.
    age: Duration,
    aged_at: Time,
    /// When each was heard of here.
    pub(super) merged_at: Time,
}

impl Record {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            starts: BTreeMap::new(),
            completions: 0,
            age: RECORD_TTL,
            aged_at: now,
            merged_at: now,
        }
    }

    /// Time since the last crash.
    pub(super) fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.aged_at)
    }

    /// A crash was so long ago.
    pub(super) fn observe_age(&mut self, now: Time, age: Duration) {
        self.age = self.age(now).min(age);
        self.aged_at = now;
    }

    /// Takes a start in; says whether that is news.
    pub(super) fn insert(&mut self, start: EndpointStart, involvement: Involvement) -> bool {
        if let Some(known) = self.starts.get_mut(&start) {
            let before = *known;
            known.counts &= involvement.counts;
            known.before = known.before.max(involvement.before);
            return before != *known;
        }
        if self.starts.len() >= MAX_STARTS {
            let uncounted = self
                .starts
                .iter()
                .find(|(_, involvement)| !involvement.counts);
            let Some(uncounted) = uncounted.map(|(start, _)| start.clone()) else {
                return false;
            };
            self.starts.remove(&uncounted);
        }
        self.starts.insert(start, involvement);
        true
    }

    /// No start that is known now counts any more; says whether one did.
    pub(super) fn clear(&mut self) -> bool {
        let counted = self.counted().next().is_some();
        self.starts
            .values_mut()
            .for_each(|involvement| involvement.counts = false);
        counted
    }

    /// Whether it crashes some endpoints again and again, though runs of it end at others. Whoever just runs often has
    /// far more runs that end than crashes.
    pub(super) fn crashes_repeatedly(&self) -> bool {
        let crashes = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        self.starts.len() >= MAX_SHARED_CRASHES
            && self.completions < crashes * MIN_COMPLETIONS_PER_CRASH
    }

    /// Starts that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = (&EndpointStart, usize)> {
        let counted = self
            .starts
            .iter()
            .filter(|(_, involvement)| involvement.counts);
        counted.map(|(start, involvement)| (start, involvement.before))
    }

    pub(super) fn report(&self, now: Time, identity: Identity) -> Report {
        let starts = self.starts.iter();
        Report {
            identity,
            starts: starts
                .map(|(start, involvement)| (start.clone(), *involvement))
                .collect(),
            ends: self.completions,
            age: self.age(now),
        }
    }
}
