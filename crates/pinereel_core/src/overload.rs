//! Decides whether a live request can still be answered in time, from the load that endpoints report.
//!
//! A request that would wait longer than its caller does costs a slot for nothing, and its caller
//! learns too late that it must retry. It is rejected before any attempt, but only if every endpoint
//! that may get it has a recent report: with one unknown endpoint it may still be served at once.
//!
//! Designed for endpoints of 6 slots with queues of up to 24 requests, which a full queue of scorings of
//! 200 ms delays by 0.8 s.

use crate::{
    Time,
    endpoint::{Endpoint, Set, State},
};
use std::time::Duration;

/// Age from which a report is not used: a full queue of 24 scorings on 6 slots empties in 0.8 s.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Maximum number of times that the acceptable wait is halved for less urgent requests.
const MAX_HALVINGS: u32 = 3;
/// Lower bound of the delay after which a rejected caller should retry. A sooner retry would meet the
/// same reports: a request takes 25 ms on average.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(25);

/// What the decision about a request depends on, apart from the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Number of priority levels below the most urgent one.
    pub level: u32,
}

impl Demand {
    /// Longest acceptable wait: all of the time left for the most urgent requests, and half as much with
    /// each level below, so that less urgent requests are rejected first. A request that can be
    /// answered within its objective is never rejected.
    fn max_wait(self) -> Duration {
        let share = self.time_left / (1 << self.level.min(MAX_HALVINGS));
        share.max(self.objective.min(self.time_left))
    }
}

/// Rejection of a request that cannot be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Expected time until a slot is free at any endpoint.
    pub expected_wait: Duration,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
    /// Age of the oldest report that the decision is based on.
    pub report_age: Duration,
}

/// Returns the rejection of a request to `service`, or `None` if it may be sent.
pub fn check(set: &Set, service: &str, now: Time, demand: Demand) -> Option<Rejection> {
    let candidates = || live_endpoints(set, service);
    // Ends at the first endpoint that is unknown or can run the request in time.
    let late_wait = |e| expected_wait(e, now).filter(|wait| *wait > demand.max_wait());
    let waits: Option<Vec<_>> = candidates().map(late_wait).collect();
    let expected_wait = waits?.into_iter().min()?;
    let reports = candidates().filter_map(|endpoint| endpoint.report);
    let report_age = reports.map(|report| now.since(report.at)).max()?;
    Some(Rejection {
        expected_wait,
        retry_after: expected_wait.max(MIN_RETRY_AFTER),
        report_age,
    })
}

/// Delay after which a request that all tried endpoints have refused should be retried: the expected
/// time until a slot is free. `None` if no endpoint has a recent report, or if one reports a free slot,
/// so that the refusals have another reason.
pub fn retry_after(set: &Set, service: &str, now: Time) -> Option<Duration> {
    let waits = live_endpoints(set, service).filter_map(|endpoint| expected_wait(endpoint, now));
    let wait = waits.min().filter(|wait| !wait.is_zero())?;
    Some(wait.max(MIN_RETRY_AFTER))
}

fn live_endpoints<'a>(set: &'a Set, service: &str) -> impl Iterator<Item = &'a Endpoint> {
    let endpoints = set.pool(service).map(|(_, endpoint)| endpoint);
    endpoints.filter(|endpoint| endpoint.state == State::Live)
}

/// Expected time until the endpoint has a free slot, if no further requests arrive; `None` without a
/// recent report, or before the first answer.
fn expected_wait(endpoint: &Endpoint, now: Time) -> Option<Duration> {
    let report = endpoint.report?;
    let age = now.since(report.at);
    if age >= REPORT_TTL {
        return None;
    }
    let queued_share = endpoint.queued_share(now);
    if queued_share == 0.0 {
        return Some(Duration::ZERO);
    }
    let work = endpoint.work_time()?;
    Some(work.mul_f64(queued_share).saturating_sub(age))
}
