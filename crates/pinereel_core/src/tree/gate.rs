//! When a newcomer that is turned away may return.

use crate::Time;
use std::time::Duration;

/// Newcomers that may return a second: each costs a handshake, a tenth of a millisecond on a whole core.
const RETURNS_PER_SECOND: u32 = 500;
/// Shortest wait.
const LEAST: Duration = Duration::from_millis(250);

/// Gives each newcomer that is turned away a turn of its own.
///
/// Load pattern: all instances of a fleet look for one that has nothing to tell yet. Without turns it would spend its
/// processor time on turning them away, the more the larger the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    /// The next free turn.
    next: Time,
}

impl Gate {
    /// A newcomer is turned away; returns after how long it may return.
    pub fn turn_away(&mut self, now: Time) -> Duration {
        let turn = self.next.max(now + LEAST);
        self.next = turn + Duration::from_secs(1) / RETURNS_PER_SECOND;
        turn.since(now)
    }
}
