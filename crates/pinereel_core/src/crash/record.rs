//! The crash record of one request, and the report that instances exchange about it.

use super::{EndpointStart, Identity, MAX_SHARED_CRASHES, MIN_COMPLETIONS_PER_CRASH, RECORD_TTL};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Endpoint starts kept per request: more than any rule needs.
const MAX_STARTS: usize = 16;

/// How a request was involved in one crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Involvement {
    /// Whether the crash still counts against the request.
    pub counts: bool,
    /// Crashes that counted against the request before this one. The crash is attributed to the
    /// request with the highest number among those that ran there.
    pub before: usize,
}

/// The crashes and completed runs of one request, as one instance reports them to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request that the report is about.
    pub identity: Identity,
    /// Endpoint starts that crashed while the request ran there.
    pub starts: Vec<(EndpointStart, Involvement)>,
    /// Runs completed since the first crash, as far as one instance has seen.
    #[serde(rename = "ends")]
    pub completions: u32,
    /// Time since the last crash.
    pub age: Duration,
}

/// The crash record of one request.
///
/// Merging is idempotent and independent of order: starts are added, and a crash that has stopped
/// counting does not count again. Only a full record evicts a start.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Endpoint starts that crashed while the request ran there.
    pub(super) starts: BTreeMap<EndpointStart, Involvement>,
    /// Runs completed since the first crash: the highest number that one instance has seen.
    pub(super) completions: u32,
    /// Time between the last known crash and `aged_at`. Kept as a duration because the crash may
    /// predate the start of this process's clock.
    age: Duration,
    aged_at: Time,
    /// When a report last added something here.
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

    pub(super) fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.aged_at)
    }

    /// Lowers the age to `age` if that crash is more recent.
    pub(super) fn observe_age(&mut self, now: Time, age: Duration) {
        self.age = self.age(now).min(age);
        self.aged_at = now;
    }

    /// Adds or merges one start; returns whether anything changed. When the record is full, a start
    /// that no longer counts is evicted; without one the new start is dropped.
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

    /// Stops counting all known crashes; returns whether any counted.
    pub(super) fn clear(&mut self) -> bool {
        let counted = self.counted().next().is_some();
        self.starts
            .values_mut()
            .for_each(|involvement| involvement.counts = false);
        counted
    }

    /// Whether the request keeps crashing endpoints although runs of it complete elsewhere. A
    /// request that merely runs often completes far more runs than it meets crashes.
    pub(super) fn crashes_repeatedly(&self) -> bool {
        let crashes = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        self.starts.len() >= MAX_SHARED_CRASHES
            && self.completions < crashes * MIN_COMPLETIONS_PER_CRASH
    }

    /// Starts that count against the request, with the number that counted before each.
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
            completions: self.completions,
            age: self.age(now),
        }
    }
}
