//! The load that an engine reported last, and the part of it that other runners cause.

use crate::Time;
use pinereel_port::headers::Load;
use std::time::Duration;

/// Age at which the requests of other runners no longer count. Texts take about 10 events of 23 ms
/// to 60 ms on average, so most of these requests have ended by then.
const OTHER_REQUESTS_TTL: Duration = Duration::from_millis(300);

/// A load report of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// When it arrived.
    pub(super) at: Time,
    /// Number of requests that waited for a slot.
    pub(super) waiting: u32,
    /// Requests that were not this runner's.
    others: u32,
}

impl ReportedLoad {
    /// A report that arrives while this runner has `own_runs` runs on the engine.
    pub(super) const fn new(at: Time, load: Load, own_runs: u32) -> Self {
        let total = load.running.saturating_add(load.waiting);
        Self {
            at,
            waiting: load.waiting,
            others: total.saturating_sub(own_runs),
        }
    }

    /// Requests of other runners at the engine; 0 once the report is too old to tell.
    pub(super) fn other_requests(self, now: Time) -> u32 {
        if now.since(self.at) < OTHER_REQUESTS_TTL {
            self.others
        } else {
            0
        }
    }
}
