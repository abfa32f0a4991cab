//! Estimates the throughput of a saturated pool and the service time of its requests.

use crate::Time;
use std::time::Duration;

/// Time constant of the exponential average of the throughput, in seconds of saturated time.
const AVERAGING_SECONDS: f64 = 10.0;
/// Minimum saturated time, in seconds, from which the measured throughput is used.
const MIN_BUSY_SECONDS: f64 = 1.0;
/// Number of mean absolute deviations above the mean that bound most service times.
const SERVICE_BOUND_DEVIATIONS: f64 = 2.0;
/// Weight of a new sample in the moving averages of service times.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Completions per second while all slots are taken, and the service time of a request.
///
/// Only saturated time counts, since the throughput with free slots does not tell how fast a queue
/// drains. Until there is enough of it, the number of slots divided by the mean service time is
/// used instead.
#[derive(Clone, Debug, Default)]
pub(super) struct Rate {
    /// Number of completions in saturated time, decayed by age.
    completions: f64,
    /// Saturated time, decayed by age like the completions.
    busy_seconds: f64,
    updated_at: Time,
    /// Moving average of service times, in seconds; `None` before the first one.
    mean_service: Option<f64>,
    /// Mean absolute deviation of service times, in seconds.
    mean_deviation: f64,
}

impl Rate {
    /// Accounts for the time until `now`; `busy` says whether all slots were taken meanwhile.
    pub(super) fn advance(&mut self, now: Time, busy: bool) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        if busy {
            let decay = (-elapsed / AVERAGING_SECONDS).exp();
            self.completions *= decay;
            self.busy_seconds = self.busy_seconds * decay + elapsed;
        }
    }

    /// Counts a request that finished `took` after its start; `busy` says whether all slots were
    /// taken.
    pub(super) fn finished(&mut self, took: Duration, busy: bool) {
        if busy {
            self.completions += 1.0;
        }
        let took = took.as_secs_f64();
        let mean = self.mean_service.get_or_insert(took);
        let deviation = took - *mean;
        *mean += SERVICE_TIME_GAIN * deviation;
        self.mean_deviation += SERVICE_TIME_GAIN * (deviation.abs() - self.mean_deviation);
    }

    /// Counts a request that ended without a complete answer; it frees a slot all the same.
    pub(super) fn aborted(&mut self, busy: bool) {
        if busy {
            self.completions += 1.0;
        }
    }

    /// Completions per second of a saturated pool; `None` while no request has finished.
    pub(super) fn per_second(&self, slots: u32) -> Option<f64> {
        if self.busy_seconds >= MIN_BUSY_SECONDS && self.completions > 0.0 {
            return Some(self.completions / self.busy_seconds);
        }
        let mean_service = self.mean_service?.max(1e-6);
        Some(f64::from(slots) / mean_service)
    }

    /// Time within which most requests finish, in seconds; zero before the first one.
    pub(super) fn service_bound(&self) -> f64 {
        self.mean_service.unwrap_or_default() + SERVICE_BOUND_DEVIATIONS * self.mean_deviation
    }
}
