//! Schedules a follower's polls of the leases that other instances hold.
//!
//! Each poll is a call to the store, and all followers poll, so each of them polls rarely; together
//! they soon detect a lease that is no longer renewed. If a poll finds a lease unchanged since the
//! previous poll, the next one comes when the lease may be taken. An instance that is not preferred
//! for duties polls in pairs with long pauses between them.

use crate::{Time, hash};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Mean interval between polls of a preferred follower.
const PREFERRED_INTERVAL: Duration = Duration::from_millis(2_000);
/// Mean interval between the two polls of a pair. It is longer than the interval between renewals, so
/// that a lease that is unchanged at the second poll has missed a renewal.
const PAIR_INTERVAL: Duration = Duration::from_millis(1_100);
/// Mean pause between two pairs. If no instance is preferred, nine instances together still poll every
/// second.
const PAIR_PAUSE: Duration = Duration::from_millis(9_000);

/// One lease as found by a poll.
#[derive(Clone, Copy, Debug)]
pub struct PolledLease {
    /// Object version of the lease.
    pub version: u64,
    /// How long the lease must be seen unchanged before it may be taken.
    pub wait: Duration,
}

/// The versions that a follower has seen, and the time of its next poll.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Whether this instance is preferred as a holder.
    preferred: bool,
    /// Seed of the jitter; must differ between instances.
    seed: u64,
    /// Number of polls so far, from which the jitter is derived.
    polls: u64,
    /// The version of each duty's lease, and when it was first seen.
    first_seen: BTreeMap<CompactString, (u64, Time)>,
    last_poll_at: Option<Time>,
}

impl PollSchedule {
    /// A schedule before the first poll.
    pub const fn new(preferred: bool, seed: u64) -> Self {
        Self {
            preferred,
            seed,
            polls: 0,
            first_seen: BTreeMap::new(),
            last_poll_at: None,
        }
    }

    /// Records the result of a poll made at `now` and returns the time of the next one.
    pub fn record(
        &mut self,
        now: Time,
        leases: impl IntoIterator<Item = (CompactString, PolledLease)>,
    ) -> Time {
        self.polls += 1;
        let previous = std::mem::take(&mut self.first_seen);
        let mut takeover_poll = None;
        for (duty, lease) in leases {
            let unchanged = previous
                .get(&duty)
                .filter(|(version, _)| *version == lease.version);
            let since = unchanged.map_or(now, |(_, since)| *since);
            if unchanged.is_some() {
                let takeover_at = (since + lease.wait).max(now + PAIR_INTERVAL / 10);
                takeover_poll = Some(
                    takeover_poll.map_or(takeover_at, |earliest: Time| earliest.min(takeover_at)),
                );
            }
            self.first_seen.insert(duty, (lease.version, since));
        }
        let regular = now + self.with_jitter(self.interval(now));
        self.last_poll_at = Some(now);
        takeover_poll.map_or(regular, |at| at.min(regular))
    }

    fn interval(&self, now: Time) -> Duration {
        if self.preferred {
            return PREFERRED_INTERVAL;
        }
        let paired = self
            .last_poll_at
            .is_some_and(|last| now.since(last) < PAIR_INTERVAL * 2);
        if paired { PAIR_PAUSE } else { PAIR_INTERVAL }
    }

    /// Scales `base` by a pseudo-random factor between 7/8 and 9/8.
    fn with_jitter(&self, base: Duration) -> Duration {
        let spread = hash::mix(self.seed ^ self.polls) % 256;
        base * (896 + u32::try_from(spread).unwrap_or(0)) / 1024
    }
}
