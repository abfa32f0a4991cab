//! How fast a pool finishes requests, measured while it is saturated.

use crate::Time;
use std::time::Duration;

/// Busy time over which the rate is averaged, in seconds.
const MEMORY: f64 = 10.0;
/// Busy time from which the measured rate is trusted, in seconds.
const TRUSTED: f64 = 1.0;
/// Mean distances from the mean within which most service times lie.
const SPREADS: f64 = 2.0;
/// Share of a new service time in the moving average.
const SERVICE_GAIN: f64 = 0.1;

/// Completions a second while all slots are taken, and the mean time of a request.
///
/// Time in which slots are free says nothing about how fast a queue would drain, so it doesn't
/// count. Before there is enough busy time, slots by mean service time stand in for the rate.
#[derive(Clone, Debug, Default)]
pub(super) struct Rate {
    done: f64,
    busy: f64,
    at: Time,
    service: Option<f64>,
    /// Mean distance of a service time from the mean.
    spread: f64,
}

impl Rate {
    /// Time passed; `busy` says whether all slots were taken in it.
    pub(super) fn pass(&mut self, now: Time, busy: bool) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        if busy {
            let kept = (-passed / MEMORY).exp();
            self.done *= kept;
            self.busy = self.busy * kept + passed;
        }
    }

    /// A request ended `took` after its start; `busy` says whether all slots were taken.
    pub(super) fn finished(&mut self, took: Duration, busy: bool) {
        if busy {
            self.done += 1.0;
        }
        let took = took.as_secs_f64();
        let mean = self.service.get_or_insert(took);
        let off = took - *mean;
        *mean += SERVICE_GAIN * off;
        self.spread += SERVICE_GAIN * (off.abs() - self.spread);
    }

    /// A request ended without an answer; it made room all the same.
    pub(super) fn aborted(&mut self, busy: bool) {
        if busy {
            self.done += 1.0;
        }
    }

    /// Requests a second that a full pool finishes; `None` before anything was measured.
    pub(super) fn per_second(&self, slots: u32) -> Option<f64> {
        if self.busy >= TRUSTED && self.done > 0.0 {
            return Some(self.done / self.busy);
        }
        let service = self.service?.max(1e-6);
        Some(f64::from(slots) / service)
    }

    /// Time within which most requests end, in seconds; zero before the first.
    pub(super) fn service(&self) -> f64 {
        self.service.unwrap_or_default() + SPREADS * self.spread
    }
}
