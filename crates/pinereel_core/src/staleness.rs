//! Staleness: how far a sample's oldest weights may lie behind the trainer's version.

use crate::{Time, Version};
use std::time::Duration;

/// Whether weights `oldest` are fresh enough for a trainer at version `at` with `bound` versions.
pub const fn fits(oldest: Version, at: Version, bound: u64) -> bool {
    oldest.behind(at) <= bound
}

/// The oldest version that a trainer at version `at` still takes.
pub const fn floor(at: Version, bound: u64) -> Version {
    Version(at.0.saturating_sub(bound))
}

/// How fast a model's versions follow each other, learned from the publications seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    newest: Version,
    published: Time,
    interval: Option<Duration>,
}

impl Pace {
    /// Starts with `newest`, first seen at `now`.
    pub const fn new(newest: Version, now: Time) -> Self {
        Self {
            newest,
            published: now,
            interval: None,
        }
    }

    /// The newest version seen.
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Time between versions, smoothed; `None` until two versions were seen.
    pub const fn interval(&self) -> Option<Duration> {
        self.interval
    }

    /// Notes a publication. An old or repeated version changes nothing and gives `false`.
    pub fn publish(&mut self, version: Version, now: Time) -> bool {
        if version <= self.newest {
            return false;
        }
        let steps = u32::try_from(version.0 - self.newest.0).unwrap_or(u32::MAX);
        let seen = now.since(self.published) / steps;
        self.interval = Some(self.interval.map_or(seen, |old| (old * 3 + seen) / 4));
        self.newest = version;
        self.published = now;
        true
    }

    /// The newest version that is to be expected at `then`.
    pub fn expected(&self, then: Time) -> Version {
        let Some(interval) = self.interval.filter(|i| !i.is_zero()) else {
            return self.newest;
        };
        let passed = then.since(self.published).as_micros() / interval.as_micros().max(1);
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        Version(self.newest.0.saturating_add(passed))
    }

    /// Whether a sample whose oldest weights are `oldest` should still be fresh at `done`.
    pub fn lasts(&self, oldest: Version, done: Time, bound: u64) -> bool {
        fits(oldest, self.expected(done), bound)
    }
}
