//! The rate limit.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// A token bucket that holds one second's worth of calls.
#[derive(Debug)]
pub struct Bucket {
    /// Calls a second.
    rate: f64,
    tokens: Cell<f64>,
    filled: Cell<Instant>,
}

impl Bucket {
    /// A full bucket of `rate` calls a second.
    pub fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            tokens: Cell::new(rate),
            filled: Cell::new(Instant::now()),
        }
    }

    /// Takes one call; false if the rate is exceeded.
    pub fn take(&self) -> bool {
        let now = Instant::now();
        let passed: Duration = now.duration_since(self.filled.replace(now));
        let tokens = (self.tokens.get() + passed.as_secs_f64() * self.rate).min(self.rate);
        let granted = tokens >= 1.0;
        self.tokens.set(if granted { tokens - 1.0 } else { tokens });
        granted
    }
}
