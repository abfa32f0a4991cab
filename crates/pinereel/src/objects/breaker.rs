//! Circuit breaker: after consecutive failures, calls fail immediately until a back-off is over.

use pinereel_core::{Time, hash};
use std::time::Duration;

/// Number of consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// Back-off when the breaker opens; doubled after each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum back-off before jitter. The recovery of the API is noticed within about this time.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum back-off of urgent calls, from the last failure. A trainer resubmits a refused step every
/// 0.3 s for about 6 s, so that a submit in the last second must still reach an API that has just
/// recovered.
const MAX_URGENT_BACKOFF: Duration = Duration::from_millis(200);

/// Circuit breaker with separate back-offs for urgent and for other calls.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Number of consecutive failures.
    failures: u32,
    /// Time until which calls fail immediately.
    open_until: Option<Time>,
    /// Time until which urgent calls fail immediately.
    urgent_open_until: Option<Time>,
    /// Seed of the jitter, different on each instance.
    seed: u64,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Whether a call may be sent. An urgent call has a caller that gives up soon.
    pub fn allows(&self, urgent: bool, now: Time) -> bool {
        let until = if urgent {
            self.urgent_open_until
        } else {
            self.open_until
        };
        until.is_none_or(|until| now >= until)
    }

    /// Records a call that the API answered with any status but 503; closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.urgent_open_until = None;
    }

    /// Records a call without a response, or with status 503. Does not extend a back-off that is
    /// still running, since urgent calls may fail throughout.
    pub fn record_failure(&mut self, now: Time) {
        if !self.allows(false, now) {
            self.urgent_open_until = Some(now + MAX_URGENT_BACKOFF);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(10);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let jitter = hash::stable(&(self.seed ^ u64::from(self.failures)).to_le_bytes()) % 50;
        // Jitter: between 75% and 125% of the back-off.
        let percent = 75 + u32::try_from(jitter).unwrap_or(0);
        let backoff = backoff * percent / 100;
        self.open_until = Some(now + backoff);
        self.urgent_open_until = Some(now + backoff.min(MAX_URGENT_BACKOFF));
    }
}
