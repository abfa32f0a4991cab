//! When a newcomer that is turned away may return.

use crate::Time;
use std::time::Duration;

/// Newcomers that may return a second: each costs a handshake, a tenth of a millisecond on a whole core.
const MAX_RETRIES_PER_SECOND: u32 = 500;
/// Shortest wait.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Gives each newcomer that is turned away a turn of its own.
///
/// Load pattern: all instances of a fleet look for one that has nothing to tell yet. Without turns it would spend its
/// processor time on turning them away, the more the larger the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPacer {
    /// The next free turn.
    next_slot: Time,
}

impl RetryPacer {
    /// A newcomer is turned away; returns after how long it may return.
    pub fn retry_after(&mut self, now: Time) -> Duration {
        let slot = self.next_slot.max(now + MIN_RETRY_DELAY);
        self.next_slot = slot + Duration::from_secs(1) / MAX_RETRIES_PER_SECOND;
        slot.since(now)
    }
}
