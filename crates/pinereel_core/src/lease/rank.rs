//! Which follower takes a free lease first.
//!
//! All followers hear at the same moment that a lease is free. If all of them wrote, all but one
//! would have spent two calls to the store for nothing. So they take turns, in an order that
//! differs by duty, and whoever hears meanwhile that the lease is taken writes nothing.

use crate::hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Pause between two turns. Followers hear of the leases every 0.7 s, so that about seven write
/// before the first one's success is known; a longer pause would leave a duty undone for longer when
/// the first ones have died.
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Turns before all the rest have theirs together: a duty must not wait long for followers that
/// have died, and that eight have is rare.
const MAX_TAKEOVER_STEPS: u32 = 8;

/// A follower's place among all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Its number, from 0; those that should rather hold duties have the first ones.
    pub number: u32,
    /// How many should rather hold duties.
    pub preferred: u32,
    /// How many there are.
    #[serde(rename = "of")]
    pub total: u32,
}

impl Rank {
    /// How long it lets others go first for a duty.
    pub fn takeover_delay(self, duty: &str) -> Duration {
        if self.number < self.preferred {
            return TAKEOVER_STEP * steps(self.number, self.preferred, duty);
        }
        let rest = self.total.saturating_sub(self.preferred);
        let preferred_steps = self.preferred.min(MAX_TAKEOVER_STEPS + 1);
        TAKEOVER_STEP * (preferred_steps + steps(self.number - self.preferred, rest, duty))
    }
}

/// How long a follower that does not know its place lets others go first: those that should rather hold duties have
/// had all their turns by then.
pub fn unranked_takeover_delay(preferred: bool) -> Duration {
    if preferred {
        Duration::ZERO
    } else {
        TAKEOVER_STEP * (MAX_TAKEOVER_STEPS + 1)
    }
}

/// The turn of a number, rotated by the duty.
fn steps(number: u32, total: u32, duty: &str) -> u32 {
    let rotated = u64::from(number) + hash::stable(duty.as_bytes());
    let step = rotated % u64::from(total.max(1));
    u32::try_from(step)
        .unwrap_or(MAX_TAKEOVER_STEPS)
        .min(MAX_TAKEOVER_STEPS)
}
