//! Retry budget: a token bucket that limits retries and hedged requests to a fraction of the load.

use crate::Time;

/// Fill rates and capacity of a [`Bucket`]; one token allows one additional attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Tokens added for each successful request; 0.1 allows one additional attempt in ten.
    pub tokens_per_success: f64,
    /// Tokens added per second regardless of load, so that retries are possible at low load too.
    pub tokens_per_second: f64,
    /// Maximum number of tokens in the bucket.
    pub burst: f64,
}

impl Settings {
    /// For retries of requests that did not run, or may run twice.
    pub const RETRY: Self = Self {
        tokens_per_success: 0.1,
        tokens_per_second: 1.0,
        burst: 20.0,
    };

    /// For hedged duplicates of a slow request. Tighter, as the first attempt is still running.
    pub const HEDGE: Self = Self {
        tokens_per_success: 0.02,
        tokens_per_second: 0.2,
        burst: 5.0,
    };
}

/// Token bucket of additional attempts.
///
/// Over any period it grants at most
/// `burst + tokens_per_success x successes + tokens_per_second x seconds` attempts.
#[derive(Clone, Debug)]
pub struct Bucket {
    settings: Settings,
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub const fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            tokens: settings.burst,
            refilled_at: now,
        }
    }

    /// Adds tokens for a request that got its complete answer.
    pub fn note_success(&mut self, now: Time) {
        self.refill(now);
        self.add(self.settings.tokens_per_success);
    }

    /// Takes a token for one additional attempt; false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens in the bucket.
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed * self.settings.tokens_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst);
    }
}
