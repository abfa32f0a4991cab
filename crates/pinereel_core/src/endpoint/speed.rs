//! Estimate of a figure that describes the speed of an endpoint: what lasts, without what is
//! momentary.
//!
//! Designed for machines that report a slowdown of 55 % or 120 % of the usual time, and 2.5 times
//! that for moments of seldom more than a second. A faulty machine reports 6.5 times its usual
//! figure for several seconds. A text takes up to 7.1 s, so a moment costs it less than processing
//! its prompt again on another endpoint, and a fault costs it more.

use crate::Time;
use std::{collections::VecDeque, time::Duration};

/// Time for which a higher figure must hold before it counts: moments seldom last longer.
pub const LASTING_PERIOD: Duration = Duration::from_millis(1_000);
/// Age at which a report of load or of a slowdown no longer counts. Reports come with responses, and
/// while all slots run long texts there is none for several seconds.
pub const REPORT_TTL: Duration = Duration::from_secs(5);
/// Time over which values are averaged. Four slices cover [`LASTING_PERIOD`], and one of them holds
/// several events of a run.
const SLICE: Duration = Duration::from_millis(250);
/// A figure of this many times the lasting one counts after two slices: above the factor of a
/// moment, 2.5, and below that of a fault, 6.5.
const FAULT_RATIO: f64 = 4.0;

/// The mean of the values within [`SLICE`].
#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Time,
    end: Time,
    sum: f64,
    count: u32,
}

impl Slice {
    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }
}

/// The lasting value of a figure: the lowest mean over the last [`LASTING_PERIOD`] with values, and
/// two slices before it, since the period may start within the first of them. It follows a decrease at
/// once and an increase once that has lasted.
#[derive(Clone, Debug, Default)]
struct Lasting {
    /// Oldest first; at most those of the period, two before it and the one being filled.
    slices: VecDeque<Slice>,
}

impl Lasting {
    fn add(&mut self, now: Time, value: f64) {
        match self.slices.back_mut() {
            Some(slice) if now.since(slice.start) < SLICE => {
                slice.sum += value;
                slice.count += 1;
                slice.end = now;
            }
            _ => self.slices.push_back(Slice {
                start: now,
                end: now,
                sum: value,
                count: 1,
            }),
        }
        let period_start = now.earlier_by(LASTING_PERIOD);
        while self.slices.get(2).is_some_and(|s| s.start < period_start) {
            self.slices.pop_front();
        }
    }

    /// The lasting value; `None` before the first one. A slice that is being filled counts from
    /// `min_samples` values on.
    fn value(&self, min_samples: u32) -> Option<f64> {
        let last = self.slices.back()?;
        let before = self.slices.iter().rev().skip(1);
        let complete = before.clone().map(Slice::mean);
        let filled = (last.count >= min_samples).then(|| last.mean());
        let lowest = complete.chain(filled).min_by(f64::total_cmp)?;
        let mut recent = self.slices.iter().rev().take(2).map(Slice::mean);
        match (recent.next(), recent.next()) {
            (Some(a), Some(b)) if a.min(b) >= FAULT_RATIO * lowest => Some(a.min(b)),
            _ => Some(lowest),
        }
    }

    /// Whether the values cover [`LASTING_PERIOD`].
    fn covers_period(&self) -> bool {
        let ends = self.slices.front().zip(self.slices.back());
        ends.is_some_and(|(first, last)| last.end.since(first.start) >= LASTING_PERIOD)
    }
}

/// The slowdown that an endpoint reports: the time that work takes on its machine, as a factor of
/// the usual time.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    lasting: Lasting,
    /// The last report; `None` if it had no slowdown.
    last: Option<(Time, f64)>,
}

impl Slowdown {
    /// Records a report. One without a slowdown ends the estimate.
    pub fn report(&mut self, now: Time, percent: Option<u32>) {
        let Some(percent) = percent.filter(|percent| *percent > 0) else {
            *self = Self::default();
            return;
        };
        let factor = f64::from(percent) / 100.0;
        self.lasting.add(now, factor);
        self.last = Some((now, factor));
    }

    /// Whether the endpoint sent a slowdown with its last report.
    pub const fn is_reported(&self) -> bool {
        self.last.is_some()
    }

    /// Time of the last report.
    pub fn reported_at(&self) -> Option<Time> {
        self.last.map(|(at, _)| at)
    }

    /// The lasting factor; `None` once the last report is older than [`REPORT_TTL`].
    pub fn lasting(&self, now: Time) -> Option<f64> {
        let (at, _) = self.last?;
        let value = self.lasting.value(1);
        value.filter(|_| now.since(at) < REPORT_TTL)
    }

    /// The factor now: that of the last report, discounted linearly to 1 over [`REPORT_TTL`]. `None`
    /// without a report of that age.
    pub fn current(&self, now: Time) -> Option<f64> {
        let (at, factor) = self.last?;
        let age = now.since(at);
        let relative_age = age.as_secs_f64() / REPORT_TTL.as_secs_f64();
        (age < REPORT_TTL).then_some(1.0 + (factor - 1.0) * (1.0 - relative_age))
    }
}

/// Minimum number of intervals in a slice that is being filled: two events may arrive together, and
/// the interval between them is then 0.
const MIN_SLICE_INTERVALS: u32 = 2;

/// The observed intervals between the events of an endpoint's answers, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Intervals {
    lasting: Lasting,
}

impl Intervals {
    /// Records an interval that ends now.
    pub fn observe(&mut self, now: Time, interval_ms: f64) {
        self.lasting.add(now, interval_ms);
    }

    /// Time of the last one.
    pub fn observed_at(&self) -> Option<Time> {
        self.lasting.slices.back().map(|slice| slice.end)
    }

    /// The lasting interval; `None` before the first ones.
    pub fn lasting_ms(&self) -> Option<f64> {
        self.lasting.value(MIN_SLICE_INTERVALS)
    }

    /// Whether the intervals cover [`LASTING_PERIOD`], so that the lasting one is no moment.
    pub fn cover_period(&self) -> bool {
        self.lasting.covers_period()
    }
}
