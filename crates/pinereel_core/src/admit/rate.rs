//! How fast a pool finishes requests, measured while it is saturated.

use crate::Time;
use std::time::Duration;

/// Busy time over which the rate is averaged, in seconds.
const AVERAGING_SECONDS: f64 = 10.0;
/// Busy time from which the measured rate is trusted, in seconds.
const MIN_BUSY_SECONDS: f64 = 1.0;
/// Mean distances from the mean within which most service times lie.
const SERVICE_BOUND_DEVIATIONS: f64 = 2.0;
/// Share of a new service time in the moving average.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Completions a second while all slots are taken, and the mean time of a request.
///
/// Time in which slots are free says nothing about how fast a queue would drain, so it doesn't
/// count. Before there is enough busy time, slots by mean service time stand in for the rate.
#[derive(Clone, Debug, Default)]
pub(super) struct Rate {
    completions: f64,
    busy_seconds: f64,
    updated_at: Time,
    mean_service: Option<f64>,
    /// Mean distance of a service time from the mean.
    mean_deviation: f64,
}

impl Rate {
    /// Time passed; `busy` says whether all slots were taken in it.
    pub(super) fn advance(&mut self, now: Time, busy: bool) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        if busy {
            let decay = (-elapsed / AVERAGING_SECONDS).exp();
            self.completions *= decay;
            self.busy_seconds = self.busy_seconds * decay + elapsed;
        }
    }

    /// A request ended `took` after its start; `busy` says whether all slots were taken.
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

    /// A request ended without an answer; it made room all the same.
    pub(super) fn aborted(&mut self, busy: bool) {
        if busy {
            self.completions += 1.0;
        }
    }

    /// Requests a second that a full pool finishes; `None` before anything was measured.
    pub(super) fn per_second(&self, slots: u32) -> Option<f64> {
        if self.busy_seconds >= MIN_BUSY_SECONDS && self.completions > 0.0 {
            return Some(self.completions / self.busy_seconds);
        }
        let mean_service = self.mean_service?.max(1e-6);
        Some(f64::from(slots) / mean_service)
    }

    /// Time within which most requests end, in seconds; zero before the first.
    pub(super) fn service_bound(&self) -> f64 {
        self.mean_service.unwrap_or_default() + SERVICE_BOUND_DEVIATIONS * self.mean_deviation
    }
}
