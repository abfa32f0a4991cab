//! Spreads the retries of newcomers that cannot be accepted yet.

use crate::Time;
use std::time::Duration;

/// Most retries per second. Each costs a handshake, which takes 0.1 ms on a whole core.
const MAX_RETRIES_PER_SECOND: u32 = 500;
/// Shortest time until a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Assigns each rejected newcomer its own time for the next attempt.
///
/// All instances of a fleet may try to link to one that has no data yet. Without pacing, it would spend
/// its CPU time on rejecting them, the more the larger the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPacer {
    /// The next free retry time.
    next_slot: Time,
}

impl RetryPacer {
    /// Returns how long after `now` a rejected newcomer may try again.
    pub fn retry_after(&mut self, now: Time) -> Duration {
        let slot = self.next_slot.max(now + MIN_RETRY_DELAY);
        self.next_slot = slot + Duration::from_secs(1) / MAX_RETRIES_PER_SECOND;
        slot.since(now)
    }
}
