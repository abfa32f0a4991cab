//! A token bucket.

use pinereel_core::Time;
use std::time::Duration;

/// Tokens that refill at a steady tokens_per_second up to a burst of one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    tokens_per_second: f64,
    /// Tokens now; negative when callers have reserved future ones.
    tokens: f64,
    /// When `tokens` was last brought up to date.
    updated: Time,
}

impl TokenBucket {
    /// A full bucket of `tokens_per_second` tokens a second.
    pub const fn new(tokens_per_second: f64, now: Time) -> Self {
        Self {
            tokens_per_second,
            tokens: tokens_per_second,
            updated: now,
        }
    }

    /// Reserves one token and tells how long to wait before using it.
    pub fn reserve(&mut self, now: Time) -> Duration {
        let passed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + passed * self.tokens_per_second).min(self.tokens_per_second);
        self.updated = now;
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.tokens_per_second)
    }
}
