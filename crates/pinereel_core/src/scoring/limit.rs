//! Maximum number of concurrent scorings of one runner, and what load reports say about the service.

use crate::{Time, average::moving_average};
use pinereel_port::headers::Load;
use std::time::Duration;

/// Slots of the service per concurrent scoring of a runner. Leaves room for live callers without
/// knowing the load. A limit that follows load reports was slower for trainers: reports come mostly
/// from the endpoints of the runner's own zone, and hold scorings back while other zones are free.
const SLOTS_PER_SCORING: u32 = 2;
/// Fraction of the slots up to which reports show spare slots: five of six. The sixth stays free for
/// live requests, which need 0.3 slots on average, but a free one at the endpoint where they arrive.
const MAX_SPARE_UTILIZATION: f64 = 0.83;
/// Weight of a new report in the moving average of the utilization. Reports of one endpoint vary by
/// 2 of 6 slots; the average over about 8 reports is within a tenth of the mean.
const REPORT_WEIGHT: f64 = 1.0 / 8.0;
/// Age from which reports are not used.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Most requests that an endpoint with this many slots is believed to have: a higher figure is
/// considered invalid. The largest queue in use has four waiting requests per slot.
const MAX_REQUESTS_PER_SLOT: u64 = 1_000;

/// Limit of the concurrent scorings of one runner.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    in_flight: u32,
    /// Moving average of the requests per slot, and the time of the last report; `None` before the
    /// first report.
    reports: Option<(f64, Time)>,
}

impl Limit {
    /// Number of scorings in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the service has reported its load at least once.
    pub const fn has_reports(&self) -> bool {
        self.reports.is_some()
    }

    /// Age of the last report; `None` before the first.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.reports.map(|(_, at)| now.since(at))
    }

    /// Moving average of the requests per slot; `None` before the first report.
    pub fn utilization(&self) -> Option<f64> {
        self.reports.map(|(utilization, _)| utilization)
    }

    /// Maximum number of concurrent scorings at a service with this many `slots`; at least 1.
    pub const fn current(slots: u32) -> u32 {
        let limit = slots / SLOTS_PER_SCORING;
        if limit == 0 { 1 } else { limit }
    }

    /// Whether one more scoring may start at a service with this many `slots`.
    pub const fn has_room(&self, slots: u32) -> bool {
        self.in_flight < Self::current(slots)
    }

    /// Whether recent reports show free slots beyond the reserve for live requests.
    pub fn has_spare_slots(&self, now: Time) -> bool {
        self.recent(now)
            .is_some_and(|utilization| utilization < MAX_SPARE_UTILIZATION)
    }

    /// Records that a scoring starts.
    pub const fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a scoring ended.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Follows a load report from a response to one of the runner's own scorings. Returns whether the
    /// figures are valid; invalid ones change nothing.
    pub fn record_report(&mut self, now: Time, load: Load) -> bool {
        let Some(reported) = utilization(load) else {
            return false;
        };
        let utilization = moving_average(self.recent(now), reported, REPORT_WEIGHT);
        self.reports = Some((utilization, now));
        true
    }

    /// The utilization, if the last report is recent.
    fn recent(&self, now: Time) -> Option<f64> {
        let (utilization, at) = self.reports?;
        (now.since(at) < REPORT_TTL).then_some(utilization)
    }
}

/// Requests per slot, above 1 while requests wait; `None` if the figures are invalid.
fn utilization(load: Load) -> Option<f64> {
    let requests = u64::from(load.running) + u64::from(load.waiting);
    let slots = u64::from(load.slots);
    if slots == 0 || requests > slots * MAX_REQUESTS_PER_SLOT {
        return None;
    }
    Some(requests as f64 / slots as f64)
}
