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
const TURN: Duration = Duration::from_millis(100);
/// Turns before all the rest have theirs together: a duty must not wait long for followers that
/// have died, and that eight have is rare.
const TURNS: u32 = 8;

/// A follower's place among all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its number, from 0; those that should rather hold duties have the first ones.
    pub number: u32,
    /// How many should rather hold duties.
    pub preferred: u32,
    /// How many there are.
    pub of: u32,
}

impl Place {
    /// How long it lets others go first for a duty.
    pub fn delay(self, duty: &str) -> Duration {
        if self.number < self.preferred {
            return TURN * turn(self.number, self.preferred, duty);
        }
        let rest = self.of.saturating_sub(self.preferred);
        let turns = self.preferred.min(TURNS + 1);
        TURN * (turns + turn(self.number - self.preferred, rest, duty))
    }
}

/// How long a follower that does not know its place lets others go first: those that should rather hold duties have
/// had all their turns by then.
pub fn unplaced_delay(preferred: bool) -> Duration {
    if preferred {
        Duration::ZERO
    } else {
        TURN * (TURNS + 1)
    }
}

/// The turn of a number, rotated by the duty.
fn turn(number: u32, of: u32, duty: &str) -> u32 {
    let rotated = u64::from(number) + hash::stable(duty.as_bytes());
    let turn = rotated % u64::from(of.max(1));
    u32::try_from(turn).unwrap_or(TURNS).min(TURNS)
}
