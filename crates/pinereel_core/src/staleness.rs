//! Staleness bounds: how many versions a sample's oldest weights may be behind its trainer.
//!
//! [`is_fresh`] decides on a sample; [`PublicationRate`] predicts whether one that starts now will
//! still be fresh when it completes.

use crate::{Time, Version};
use std::time::Duration;

/// Whether weights `oldest` are at most `bound` versions behind a trainer at `trainer_version`.
pub const fn is_fresh(oldest: Version, trainer_version: Version, bound: u64) -> bool {
    oldest.versions_behind(trainer_version) <= bound
}

/// The oldest version that a trainer at `trainer_version` accepts.
pub const fn oldest_allowed(trainer_version: Version, bound: u64) -> Version {
    Version(trainer_version.0.saturating_sub(bound))
}

/// Rate at which the versions of one model are published, estimated from past publications.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublicationRate {
    newest: Version,
    published_at: Time,
    interval: Option<Duration>,
}

impl PublicationRate {
    /// Starts with version `newest`, first seen at `now`.
    pub const fn new(newest: Version, now: Time) -> Self {
        Self {
            newest,
            published_at: now,
            interval: None,
        }
    }

    /// The newest version seen.
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Moving average of the time between two versions; `None` before the second one.
    pub const fn interval(&self) -> Option<Duration> {
        self.interval
    }

    /// Records a publication; skipped versions count as published at equal intervals. Returns `false`
    /// for an old or repeated version, which changes nothing.
    pub fn record_publication(&mut self, version: Version, now: Time) -> bool {
        if version <= self.newest {
            return false;
        }
        let versions = u32::try_from(version.0 - self.newest.0).unwrap_or(u32::MAX);
        let latest = now.since(self.published_at) / versions;
        self.interval = Some(self.interval.map_or(latest, |old| (old * 3 + latest) / 4));
        self.newest = version;
        self.published_at = now;
        true
    }

    /// The newest version expected at the time `at`.
    pub fn expected_version(&self, at: Time) -> Version {
        let Some(interval) = self.interval.filter(|i| !i.is_zero()) else {
            return self.newest;
        };
        let elapsed_intervals =
            at.since(self.published_at).as_micros() / interval.as_micros().max(1);
        let elapsed_intervals = u64::try_from(elapsed_intervals).unwrap_or(u64::MAX);
        Version(self.newest.0.saturating_add(elapsed_intervals))
    }

    /// Whether a sample whose oldest weights are `oldest` is expected to be fresh at the time
    /// `completes_at`.
    pub fn stays_fresh(&self, oldest: Version, completes_at: Time, bound: u64) -> bool {
        is_fresh(oldest, self.expected_version(completes_at), bound)
    }
}
