//! A token bucket.

use pinereel_core::Time;
use std::time::Duration;

/// Tokens that refill at a steady rate up to a burst of one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens now; negative when callers have reserved future ones.
    level: f64,
    /// When `level` was last brought up to date.
    updated: Time,
}

impl Bucket {
    /// A full bucket of `rate` tokens a second.
    pub const fn new(rate: f64, now: Time) -> Self {
        Self {
            rate,
            level: rate,
            updated: now,
        }
    }

    /// Reserves one token and tells how long to wait before using it.
    pub fn reserve(&mut self, now: Time) -> Duration {
        let passed = now.since(self.updated).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.rate);
        self.updated = now;
        self.level -= 1.0;
        if self.level >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.level / self.rate)
    }
}
