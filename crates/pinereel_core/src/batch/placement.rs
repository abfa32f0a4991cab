//! The interval between two events to expect of an engine, for the placement and the moves of runs.
//!
//! Designed for engines of which some send an event every 23 ms and others every 50 ms, each with
//! moments of 2.5 times that. Where an engine reports the slowdown of its machine, the lasting
//! interval counts, and an engine with few intervals is rated by its reports, so that the longest
//! texts start on the fastest engines. Where it reports none, its average interval counts.

use super::{Engine, timeout::MIN_INTERVAL_SAMPLES};
use crate::{Time, average::moving_average, endpoint::speed::LASTING_PERIOD};
use std::time::Duration;

/// Weight of a new interval in the moving averages over all engines.
const FLEET_AVERAGE_WEIGHT: f64 = 0.01;
/// Assumed interval between two events of a run, before any engine of the fleet has sent one.
const DEFAULT_EVENT_INTERVAL_MS: f64 = 40.0;
/// A long run moves if its engine's interval exceeds that of the target by this factor. Engines
/// differ by a factor of 1.3 (47 ms and 60 ms an event), and processing the prompt and the text
/// again on the target takes less than one event.
const LONG_RUN_MOVE_RATIO: f64 = 1.2;
/// Number of events from which a run counts as long. Long runs delay their step, so they move for
/// less than [`SHORT_RUN_MOVE_RATIO`].
const LONG_RUN_EVENTS: u64 = 10;
/// A shorter run moves if its engine's interval exceeds that of the target by this factor.
const SHORT_RUN_MOVE_RATIO: f64 = 2.0;
/// The same number where the engine reports its slowdown. Its interval is then the lasting one, and
/// waiting longer made steps late.
const REPORTED_LONG_RUN_EVENTS: u64 = 8;
/// The same factor where the engine reports its slowdown: above the factor between the usual speeds
/// of two engines (55 and 120, 2.2), so that a short run leaves only a faulty one (6.5).
const REPORTED_SHORT_RUN_MOVE_RATIO: f64 = 4.0;

/// The speed of an engine that reports its slowdown, for log lines.
#[derive(Clone, Copy, Debug)]
pub struct ReportedSpeed {
    /// Expected interval between two events, in milliseconds.
    pub interval_ms: f64,
    /// Lasting factor of the slowdown that it reports; `None` if the last report is too old.
    pub slowdown: Option<f64>,
    /// Age of its last report.
    pub report_age: Duration,
}

/// Moving averages of the interval between two events over all engines, in milliseconds; `None`
/// before the first interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetAverage {
    /// As observed.
    observed_ms: Option<f64>,
    /// Divided by the slowdown that the engine reports.
    usual_ms: Option<f64>,
}

impl FleetAverage {
    /// Adds an interval that was observed on an engine.
    pub(super) fn add(&mut self, now: Time, engine: &Engine, interval: Duration) {
        let interval = interval.as_secs_f64() * 1_000.0;
        let weight = FLEET_AVERAGE_WEIGHT;
        self.observed_ms = Some(moving_average(self.observed_ms, interval, weight));
        if let Some(factor) = engine.slowdown.lasting(now) {
            self.usual_ms = Some(moving_average(self.usual_ms, interval / factor, weight));
        }
    }
}

/// Expected interval between two events of a run on the engine, in milliseconds.
pub(super) fn expected_interval_ms(now: Time, engine: &Engine, fleet: FleetAverage) -> f64 {
    let as_observed = || {
        let average = engine.event_interval_ms.or(fleet.observed_ms);
        average.unwrap_or(DEFAULT_EVENT_INTERVAL_MS)
    };
    if !engine.slowdown.is_reported() {
        return as_observed();
    }
    let observed = engine
        .intervals
        .lasting_ms()
        .filter(|_| engine.interval_samples >= MIN_INTERVAL_SAMPLES);
    let by_report = engine
        .slowdown
        .lasting(now)
        .map(|factor| factor * fleet.usual_ms.unwrap_or(DEFAULT_EVENT_INTERVAL_MS));
    let ends = engine
        .slowdown
        .reported_at()
        .zip(engine.intervals.observed_at());
    // An engine that was idle may have changed since its last event.
    let is_recent = ends.is_some_and(|(report, event)| report.since(event) < LASTING_PERIOD);
    match (observed, by_report) {
        (Some(observed), _) if is_recent => observed,
        (_, Some(by_report)) => by_report,
        (Some(observed), None) => observed,
        (None, None) => as_observed(),
    }
}

/// The interval by which a run on the engine is compared with a target to move to, in milliseconds;
/// `None` if too little is known. Of an engine that reports its slowdown it is the lasting one, so
/// that a moment moves no run.
pub(super) fn interval_for_moves_ms(engine: &Engine) -> Option<f64> {
    if engine.interval_samples < MIN_INTERVAL_SAMPLES {
        return None;
    }
    if !engine.slowdown.is_reported() {
        return engine.event_interval_ms;
    }
    let lasting = engine.intervals.lasting_ms();
    lasting.filter(|_| engine.intervals.cover_period())
}

/// Factor by which the interval of a run's engine must exceed that of the target for a move.
pub(super) const fn move_ratio(engine: &Engine, events: u64) -> f64 {
    let (long_run_events, short_run_ratio) = if engine.slowdown.is_reported() {
        (REPORTED_LONG_RUN_EVENTS, REPORTED_SHORT_RUN_MOVE_RATIO)
    } else {
        (LONG_RUN_EVENTS, SHORT_RUN_MOVE_RATIO)
    };
    if events < long_run_events {
        short_run_ratio
    } else {
        LONG_RUN_MOVE_RATIO
    }
}
