//! A circuit breaker: after failures in a row, calls fail at once until a back-off is over.

use pinereel_core::{Time, hash};
use std::time::Duration;

/// Failures in a row that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// First back-off.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest back-off: an API that is back is found within about this time.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An urgent call may go out this long after the last failure, however long the back-off is. A
/// trainer offers a step again for about 6 s after a refusal, every 0.3 s, so one that comes back in
/// its last second must still find an API that has just returned.
const MAX_URGENT_BACKOFF: Duration = Duration::from_millis(200);

/// The state of one breaker.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Failures in a row.
    failures: u32,
    /// Calls fail at once until then.
    open_until: Option<Time>,
    /// Urgent calls fail at once until then.
    urgent_open_until: Option<Time>,
    /// Makes the jitter differ between instances.
    seed: u64,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Whether a call may go out. An urgent one has a caller that gives up soon.
    pub fn allows(&self, urgent: bool, now: Time) -> bool {
        let until = if urgent {
            self.urgent_open_until
        } else {
            self.open_until
        };
        until.is_none_or(|until| now >= until)
    }

    /// Notes a call that was answered by the API, whatever the answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.urgent_open_until = None;
    }

    /// Notes a call that was not answered, or answered as down. A back-off that still runs is not
    /// put off by it: urgent calls may fail all the while.
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
        // Between 75% and 125% of the back-off.
        let percent = 75 + u32::try_from(jitter).unwrap_or(0);
        let backoff = backoff * percent / 100;
        self.open_until = Some(now + backoff);
        self.urgent_open_until = Some(now + backoff.min(MAX_URGENT_BACKOFF));
    }
}
