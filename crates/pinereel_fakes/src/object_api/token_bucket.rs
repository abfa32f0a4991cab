//! Token bucket, which limits the rate of reads and that of writes.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// Token bucket that holds the calls of one second at most.
#[derive(Debug)]
pub struct TokenBucket {
    /// Maximum number of calls per second.
    rate: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl TokenBucket {
    /// Creates a full bucket for `rate` calls per second.
    pub fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            tokens: Cell::new(rate),
            refilled_at: Cell::new(Instant::now()),
        }
    }

    /// Takes one token; returns false if none is left, so that the call exceeds the rate.
    pub fn try_take(&self) -> bool {
        let now = Instant::now();
        let elapsed: Duration = now.duration_since(self.refilled_at.replace(now));
        let tokens = (self.tokens.get() + elapsed.as_secs_f64() * self.rate).min(self.rate);
        let granted = tokens >= 1.0;
        self.tokens.set(if granted { tokens - 1.0 } else { tokens });
        granted
    }
}
