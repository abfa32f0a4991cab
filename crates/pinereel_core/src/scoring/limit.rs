//! Maximum number of concurrent scorings of one runner.

use crate::Time;
use std::time::Duration;

/// Slots of the service per concurrent scoring while no load reports arrive: half of the slots, which
/// leaves room for live callers without knowing the load.
const SLOTS_PER_SCORING: f64 = 2.0;
/// Fraction of the slots of the service up to which all runners together fill it: five of six. The
/// sixth stays free for live requests, which arrive 12 times per second and run for 25 ms: they need
/// 0.3 slots on average, but a free one at the endpoint where they arrive.
const TARGET_UTILIZATION: f64 = 0.83;
/// Part of the free slots that a runner adds to its limit within one scoring time. With 3 runners
/// the sum is 1, so that the free slots are in use one scoring time later. The sum must stay below
/// pi / 2, the stability bound of an integrator whose input is one scoring time old.
const GROWTH_GAIN: f64 = 1.0 / 3.0;
/// Part of the slots that a runner adds to its limit within one scoring time regardless of the load.
/// Reductions are proportional to the limit, so that this equal growth makes the limits of all runners
/// equal over time; without it, a runner that starts beside a full service would stay at its minimum.
const PROBE_FRACTION: f64 = 0.02;
/// Maximum reduction within one scoring time, as a fraction of the limit. Bounds the effect of a few
/// reports of endpoints with long queues.
const MAX_REDUCTION: f64 = 0.5;
/// Weight of a new report in the moving average of the utilization. Reports of one endpoint vary by
/// 2 of 6 slots; the average over about 8 reports is within a tenth of the mean and still follows
/// within a scoring time at a limit of 30.
const REPORT_WEIGHT: f64 = 1.0 / 8.0;
/// Time without a report, although a scoring is in flight, after which the reports are considered
/// lost. Also the time after which an average of earlier reports is discarded.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Minimum concurrent scorings per model with an open lot, so that every step makes progress.
const MIN_SCORINGS_PER_MODEL: f64 = 3.0;
/// Slots of the service per concurrent scoring of a runner that shares the service and starts again
/// after a time without scorings. It is the same for all runners, whatever their last limits were: the
/// runner that finished last found the service free, and would start with most of the slots. Four
/// runners that start at once fill the service and do not exceed it.
const SLOTS_PER_SHARED_SCORING: f64 = 4.0;
/// Most requests that an endpoint with this many slots is believed to have: a higher figure is
/// considered invalid. The largest queue in use has four waiting requests per slot.
const MAX_REQUESTS_PER_SLOT: u64 = 1_000;

/// Load that an endpoint reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
}

impl Load {
    /// Requests per slot, above 1 while requests wait; `None` if the figures are invalid.
    fn utilization(self) -> Option<f64> {
        let requests = u64::from(self.running) + u64::from(self.waiting);
        let slots = u64::from(self.slots);
        if slots == 0 || requests > slots * MAX_REQUESTS_PER_SLOT {
            return None;
        }
        Some(requests as f64 / slots as f64)
    }
}

/// What the limit depends on apart from the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Slots of the service's endpoints.
    pub slots: u32,
    /// Number of models whose lots this runner has open.
    pub models: u32,
}

/// Limit of the concurrent scorings of one runner.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    in_flight: u32,
    /// The learned limit and the reports that it follows; `None` before the first report.
    learned: Option<Learned>,
    /// When the first of the scorings now in flight started; `None` if there are none.
    busy_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    limit: f64,
    /// Moving average of the requests per slot.
    utilization: f64,
    reported_at: Time,
    /// Whether the service was full in this busy period or the last one, although this runner had
    /// less than half of its slots, so that others use it, too.
    is_shared: bool,
}

impl Limit {
    /// Number of scorings in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the service has reported its load at least once.
    pub const fn has_reports(&self) -> bool {
        self.learned.is_some()
    }

    /// Age of the last report; `None` before the first.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.learned.map(|learned| now.since(learned.reported_at))
    }

    /// Moving average of the requests per slot; `None` before the first report.
    pub fn utilization(&self) -> Option<f64> {
        self.learned.map(|learned| learned.utilization)
    }

    /// Maximum number of concurrent scorings now; at least 1.
    pub fn current(&self, now: Time, scope: Scope) -> u32 {
        (self.value(now, scope) as u32).max(1)
    }

    /// Whether one more scoring may start.
    pub fn has_room(&self, now: Time, scope: Scope) -> bool {
        self.in_flight < self.current(now, scope)
    }

    /// Whether recent reports show free slots beyond the reserve for live requests.
    pub fn has_spare_slots(&self, now: Time) -> bool {
        self.learned.is_some_and(|learned| {
            now.since(learned.reported_at) < REPORT_TTL && learned.utilization < TARGET_UTILIZATION
        })
    }

    /// Records that a scoring starts.
    pub const fn record_start(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.busy_since = Some(now);
        }
        self.in_flight += 1;
    }

    /// Records that a scoring ended.
    pub fn record_end(&mut self, now: Time, scope: Scope) {
        self.apply_age(now, scope);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.busy_since = None;
        }
    }

    /// Follows a load report from a response to one of the runner's own scorings. `has_waiting`
    /// tells whether scorings wait for a permit; the limit grows only then, so that it stays near
    /// what was in use when the load was reported. Returns whether the figures are valid; invalid
    /// ones change nothing.
    pub fn record_report(
        &mut self,
        now: Time,
        load: Load,
        scope: Scope,
        has_waiting: bool,
    ) -> bool {
        let Some(reported) = load.utilization() else {
            return false;
        };
        self.apply_age(now, scope);
        let limit = self.value(now, scope);
        let recent = self
            .learned
            .filter(|learned| now.since(learned.reported_at) < REPORT_TTL);
        let utilization = recent.map_or(reported, |learned| {
            learned.utilization + REPORT_WEIGHT * (reported - learned.utilization)
        });
        let slots = f64::from(scope.slots);
        // Each scoring in flight brings one report within one scoring time.
        let per_report = 1.0 / f64::from(self.in_flight.max(1));
        let free = TARGET_UTILIZATION - utilization;
        let mut change = 0.0;
        if has_waiting {
            change += (PROBE_FRACTION + GROWTH_GAIN * free.max(0.0)) * slots;
        }
        let mut is_shared = recent.is_some_and(|learned| learned.is_shared);
        if free < 0.0 {
            change += limit * (free / utilization).max(-MAX_REDUCTION);
            is_shared |= f64::from(self.in_flight) * SLOTS_PER_SCORING < slots;
        }
        self.learned = Some(Learned {
            limit: clamp(limit + change * per_report, scope),
            utilization,
            reported_at: now,
            is_shared,
        });
        true
    }

    fn value(&self, now: Time, scope: Scope) -> f64 {
        let fixed = f64::from(scope.slots) / SLOTS_PER_SCORING;
        let Some(learned) = self.learned else {
            return fixed;
        };
        if now.since(learned.reported_at) < REPORT_TTL {
            return clamp(learned.limit, scope);
        }
        if self.is_overdue(now) {
            return fixed;
        }
        // Without scorings no reports are expected, and the load may have changed.
        let shared = f64::from(scope.slots) / SLOTS_PER_SHARED_SCORING;
        clamp(if learned.is_shared { shared } else { fixed }, scope)
    }

    /// Whether a scoring has been in flight for [`REPORT_TTL`] without a report.
    fn is_overdue(&self, now: Time) -> bool {
        let reported_at = self.learned.map(|learned| learned.reported_at);
        let since = self.busy_since.max(reported_at);
        self.busy_since.is_some() && since.is_some_and(|at| now.since(at) >= REPORT_TTL)
    }

    /// Makes the effect of a time without reports permanent.
    fn apply_age(&mut self, now: Time, scope: Scope) {
        let (limit, is_overdue) = (self.value(now, scope), self.is_overdue(now));
        if let Some(learned) = &mut self.learned {
            learned.limit = limit;
            // The service may not report any more, so the next busy period starts as without reports.
            learned.is_shared &= !is_overdue;
        }
    }
}

/// Bounds the limit by the minimum for the models and by the slots.
fn clamp(limit: f64, scope: Scope) -> f64 {
    let slots = f64::from(scope.slots).max(1.0);
    let fixed = (slots / SLOTS_PER_SCORING).max(1.0);
    let min = (MIN_SCORINGS_PER_MODEL * f64::from(scope.models)).clamp(1.0, fixed);
    limit.clamp(min, slots)
}
