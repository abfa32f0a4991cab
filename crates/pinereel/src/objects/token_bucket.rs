//! Token bucket that limits the rate of calls.

use pinereel_core::Time;
use std::time::Duration;

/// Token bucket that holds at most the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    tokens_per_second: f64,
    /// Available tokens; negative if callers have reserved future ones.
    tokens: f64,
    /// Time at which `tokens` was computed.
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket with the given refill rate.
    pub const fn new(tokens_per_second: f64, now: Time) -> Self {
        Self {
            tokens_per_second,
            tokens: tokens_per_second,
            updated_at: now,
        }
    }

    /// Reserves one token and returns how long the caller must wait before it uses the token.
    pub fn reserve(&mut self, now: Time) -> Duration {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.tokens_per_second).min(self.tokens_per_second);
        self.updated_at = now;
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.tokens_per_second)
    }
}
