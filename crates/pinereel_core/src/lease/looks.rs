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
const USUAL: Duration = Duration::from_millis(2_000);
/// Pause between the two looks of a pair: longer than a holder's pause between renewals.
const PAIR: Duration = Duration::from_millis(1_100);
/// Pause between two pairs. Where nobody has ample processor time, the looks of nine instances still
/// come every second.
const SPARSE: Duration = Duration::from_millis(9_000);

/// One lease as a look shows it.
#[derive(Clone, Copy, Debug)]
pub struct Glance {
    /// Its object version.
    pub version: u64,
    /// How long it must be seen unchanged before it may be taken.
    pub wait: Duration,
}

/// What a follower saw, and when it looks next.
#[derive(Clone, Debug)]
pub struct Looks {
    /// Whether this instance may well take duties.
    eager: bool,
    /// Makes the pauses of instances differ.
    seed: u64,
    count: u64,
    seen: BTreeMap<CompactString, (u64, Time)>,
    last: Option<Time>,
}

impl Looks {
    /// Nothing seen yet.
    pub const fn new(eager: bool, seed: u64) -> Self {
        Self {
            eager,
            seed,
            count: 0,
            seen: BTreeMap::new(),
            last: None,
        }
    }

    /// Takes in a look at the leases of others; returns when the next is due.
    pub fn looked(
        &mut self,
        now: Time,
        found: impl IntoIterator<Item = (CompactString, Glance)>,
    ) -> Time {
        self.count += 1;
        let before = std::mem::take(&mut self.seen);
        let mut due = None;
        for (duty, glance) in found {
            let known = before
                .get(&duty)
                .filter(|(version, _)| *version == glance.version);
            let since = known.map_or(now, |(_, since)| *since);
            if known.is_some() {
                let ripe = (since + glance.wait).max(now + PAIR / 10);
                due = Some(due.map_or(ripe, |due: Time| due.min(ripe)));
            }
            self.seen.insert(duty, (glance.version, since));
        }
        let usual = now + self.jittered(self.pause(now));
        self.last = Some(now);
        due.map_or(usual, |due| due.min(usual))
    }

    fn pause(&self, now: Time) -> Duration {
        if self.eager {
            return USUAL;
        }
        let paired = self.last.is_some_and(|last| now.since(last) < PAIR * 2);
        if paired { SPARSE } else { PAIR }
    }

    /// Between 7/8 and 9/8 of `base`.
    fn jittered(&self, base: Duration) -> Duration {
        let spread = hash::mix(self.seed ^ self.count) % 256;
        base * (896 + u32::try_from(spread).unwrap_or(0)) / 1024
    }
}
