//! When a follower looks at the leases that others hold.
//!
//! Each look is a call, and all followers make them, so they are sparse: those of many followers
//! together find soon that a lease is not renewed any more. A look that shows a lease unchanged
//! since the one before is followed by one at the moment at which the lease may be taken. An
//! instance that should rather not hold duties looks in pairs, far apart.

use crate::{Time, hash};
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Pause between looks of a follower that may well take the duties.
const PREFERRED_INTERVAL: Duration = Duration::from_millis(2_000);
/// Pause between the two looks of a pair: longer than a holder's pause between renewals.
const PAIR_INTERVAL: Duration = Duration::from_millis(1_100);
/// Pause between two pairs. Where nobody has ample processor time, the looks of nine instances still
/// come every second.
const PAIR_PAUSE: Duration = Duration::from_millis(9_000);

/// One lease as a look shows it.
#[derive(Clone, Copy, Debug)]
pub struct PolledLease {
    /// Its object version.
    pub version: u64,
    /// How long it must be seen unchanged before it may be taken.
    pub wait: Duration,
}

/// What a follower saw, and when it looks next.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Whether this instance may well take duties.
    preferred: bool,
    /// Makes the pauses of instances differ.
    seed: u64,
    polls: u64,
    first_seen: BTreeMap<CompactString, (u64, Time)>,
    last_poll_at: Option<Time>,
}

impl PollSchedule {
    /// Nothing seen yet.
    pub const fn new(preferred: bool, seed: u64) -> Self {
        Self {
            preferred,
            seed,
            polls: 0,
            first_seen: BTreeMap::new(),
            last_poll_at: None,
        }
    }

    /// Takes in a look at the leases of others; returns when the next is due.
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

    /// Between 7/8 and 9/8 of `base`.
    fn with_jitter(&self, base: Duration) -> Duration {
        let spread = hash::mix(self.seed ^ self.polls) % 256;
        base * (896 + u32::try_from(spread).unwrap_or(0)) / 1024
    }
}
