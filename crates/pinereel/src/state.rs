//! What filters and controllers share on the one thread of an entry.

use pinereel_core::Time;
use tokio::time::Instant;

/// The runtime's clock as the core's time. Tests pause and advance the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}
