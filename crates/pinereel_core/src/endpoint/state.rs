//! State of one endpoint, and the load, latency and concurrency figures that routing uses.

use super::{
    LeavingSource,
    reachability::ProbeSchedule,
    speed::{REPORT_TTL, Slowdown},
};
use crate::{Time, Version, average::moving_average, hash};
use compact_str::CompactString;
use serde::Serialize;
use std::{collections::VecDeque, time::Duration};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Factor by which the concurrency limit shrinks after an overload.
const LIMIT_DECREASE_FACTOR: f64 = 0.7;
/// Most attempt starts and ends kept to correct delayed load reports; older ones are dropped.
const MAX_RECENT_CHANGES: usize = 512;
/// Most queued requests per slot that a report is believed to state; the largest queue in use has four.
const MAX_QUEUED_SHARE: f64 = 1_000.0;
/// Duration of slow start.
const SLOW_START_PERIOD: Duration = Duration::from_secs(10);
/// Weight at the beginning of slow start.
const INITIAL_SLOW_START_WEIGHT: f64 = 0.1;

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// May get requests.
    Live,
    /// Gets no new requests. Permanent for the incarnation, so only the list, the endpoint itself and hints
    /// of either lead to it.
    Leaving,
    /// Not listed or replaced. Kept only until its last attempt ends.
    Gone,
    /// Ejected after failures. It gets only occasional probes from `until` on.
    Ejected {
        /// Earliest time of a probe.
        until: Time,
    },
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time that the figures describe: arrival minus the lag stated by the endpoint.
    pub at: Time,
    /// Running sequences.
    pub running: u32,
    /// Waiting sequences.
    pub waiting: u32,
    /// Version of the weights that it serves.
    pub version: Option<Version>,
    /// Version of the weights that it is loading.
    pub loading: Option<Version>,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Unique name.
    pub name: CompactString,
    /// Differs between starts under one name.
    pub incarnation: u64,
    /// `IP:PORT`.
    pub address: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Pool that it belongs to.
    pub pool: CompactString,
    /// Upper bound of the concurrency limit.
    pub slots: u32,
    /// Whether it may get requests.
    pub state: State,
    /// How it became known to be leaving.
    pub leaving_source: Option<LeavingSource>,
    /// This entry's attempts in flight.
    pub outstanding: u32,
    /// Number of those that carry samples. The endpoint runs live requests before them.
    pub yielding: u32,
    /// Expected tokens of the attempts in flight.
    pub tokens: u64,
    /// Most recent load report.
    pub report: Option<LoadReport>,
    /// Version of the weights that it reported to serve.
    pub version: Option<Version>,
    /// Version of the weights that it reported to be loading.
    pub loading: Option<Version>,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections, reset by a success outside an ejection.
    pub ejections: u32,
    /// Moving average of the time to a complete answer, in microseconds; zero before the first one.
    pub latency: f64,
    /// Moving average of the time that a request runs, without its wait, in microseconds; zero before
    /// the first answer.
    pub(super) work: f64,
    pub(super) hash: u64,
    pub(super) slow_start_since: Option<Time>,
    /// Adaptive concurrency limit; `limit()` is the value in force.
    pub(super) limit: f64,
    pub(super) limit_decreased_at: Option<Time>,
    pub(super) ejected_at: Option<Time>,
    /// Requests of other entries at the endpoint, as of the last report.
    pub(super) other_load: u32,
    /// Starts (+1) and ends (-1) of own attempts after the last report, oldest first.
    pub(super) recent_changes: VecDeque<(Time, i64)>,
    /// Consecutive connections that could not be opened.
    pub(super) refusals: u32,
    /// When it is probed while it is ejected; `None` if probes have shown that it can be reached.
    pub(super) probe: Option<ProbeSchedule>,
    /// Whether it is ejected since it could not be reached.
    pub(super) unreachable: bool,
    /// Slowdown of its machine, by its responses.
    pub(super) slowdown: Slowdown,
}

impl Endpoint {
    pub(super) fn new(listing: super::Listing, slow_start_since: Option<Time>) -> Self {
        Self {
            hash: hash::stable(listing.name.as_bytes()),
            limit: f64::from(listing.slots.max(1)),
            slots: listing.slots.max(1),
            name: listing.name,
            incarnation: listing.incarnation,
            address: listing.address,
            zone: listing.zone,
            pool: listing.pool,
            state: State::Live,
            leaving_source: None,
            outstanding: 0,
            yielding: 0,
            tokens: 0,
            report: None,
            version: None,
            loading: None,
            failures: 0,
            ejections: 0,
            latency: 0.0,
            work: 0.0,
            slow_start_since,
            limit_decreased_at: None,
            ejected_at: None,
            other_load: 0,
            recent_changes: VecDeque::new(),
            refusals: 0,
            probe: None,
            unreachable: false,
            slowdown: Slowdown::default(),
        }
    }

    /// When it is probed next; `None` unless it is ejected and may be unreachable.
    pub fn next_probe_at(&self) -> Option<Time> {
        self.probe.map(|probe| probe.next_at)
    }

    /// Current concurrency limit for this entry, between 1 and the slots.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Whether one more attempt stays within the limit.
    pub fn has_room(&self) -> bool {
        self.outstanding < self.limit()
    }

    /// Whether one more live attempt stays within the limit. Samples that yield to live requests
    /// are not counted, since they follow each other without a gap and would keep live requests out
    /// indefinitely.
    pub fn has_live_room(&self) -> bool {
        self.outstanding.saturating_sub(self.yielding) < self.limit()
    }

    /// Stable hash of the name, for rendezvous hashing.
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Load from other entries as of the last report, discounted linearly with its age.
    pub fn other_load(&self, now: Time) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let relative_age = now.since(report.at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        f64::from(self.other_load) * (1.0 - relative_age).max(0.0)
    }

    /// Factor of the slowdown that it reported last, discounted linearly to 1 with the report's age;
    /// `None` if it reports none, or if the report no longer counts.
    pub fn slowdown(&self, now: Time) -> Option<f64> {
        self.slowdown.current(now)
    }

    /// Estimated requests at the endpoint: the exact number of own attempts plus the load from
    /// others.
    ///
    /// Own attempts that started or ended after the time of the report are taken into account.
    pub fn load(&self, now: Time) -> f64 {
        f64::from(self.outstanding) + self.other_load(now)
    }

    /// Number of requests that must end before a new one runs, in relation to the slots, according to the
    /// last report; zero if it shows a free slot or is too old.
    pub fn queued_share(&self, now: Time) -> f64 {
        let report = self
            .report
            .filter(|report| now.since(report.at) < REPORT_TTL);
        let Some(report) = report else {
            return 0.0;
        };
        if report.waiting == 0 && report.running < self.slots {
            return 0.0;
        }
        let queued = f64::from(report.waiting) + 1.0;
        (queued / f64::from(self.slots)).min(MAX_QUEUED_SHARE)
    }

    /// Average time that a request runs at the endpoint, without its wait; `None` before the first
    /// answer.
    pub fn work_time(&self) -> Option<Duration> {
        (self.work > 0.0).then(|| Duration::from_secs_f64(self.work / 1e6))
    }

    /// Fraction of its usual load that the endpoint should get: 1, or less during slow start.
    pub fn slow_start_weight(&self, now: Time) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let progress = now.since(since).as_secs_f64() / SLOW_START_PERIOD.as_secs_f64();
        (INITIAL_SLOW_START_WEIGHT + (1.0 - INITIAL_SLOW_START_WEIGHT) * progress).min(1.0)
    }

    pub(super) fn start(&mut self, now: Time, tokens: u32) {
        self.outstanding += 1;
        self.tokens += u64::from(tokens);
        self.record_recent(now, 1);
    }

    pub(super) fn finish(&mut self, now: Time, tokens: u32) {
        debug_assert!(self.outstanding > 0, "an attempt ends only once");
        self.outstanding = self.outstanding.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        self.record_recent(now, -1);
    }

    pub(super) fn record_latency(&mut self, now: Time, took: Duration) {
        let took = took.as_micros() as f64;
        // The queue reported with the answer is about as long as the one that the request waited in.
        let work = took / (1.0 + self.queued_share(now));
        let known = |average: f64| (average != 0.0).then_some(average);
        self.work = moving_average(known(self.work), work, LATENCY_EWMA_WEIGHT);
        self.latency = moving_average(known(self.latency), took, LATENCY_EWMA_WEIGHT);
    }

    /// Additive increase, applied only while the limit is what constrains concurrency.
    pub(super) fn increase_limit(&mut self) {
        if self.outstanding + 1 >= self.limit() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
    }

    /// Multiplicative decrease, applied once for attempts that were in flight together.
    pub(super) fn decrease_limit(&mut self, now: Time, took: Duration) {
        let started_at = Time(now.0.saturating_sub(took.as_micros() as u64));
        if self.limit_decreased_at.is_some_and(|at| started_at < at) {
            return;
        }
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
        self.limit_decreased_at = Some(now);
    }

    /// Applies a report unless it is older than the last one; returns whether it was applied.
    pub(super) fn apply_report(&mut self, report: LoadReport) -> bool {
        if self.report.is_some_and(|last| last.at > report.at) {
            return false;
        }
        self.recent_changes.retain(|(at, _)| *at > report.at);
        let net_starts: i64 = self.recent_changes.iter().map(|(_, change)| change).sum();
        let own_at_report = (i64::from(self.outstanding) - net_starts).max(0);
        let total = i64::from(report.running) + i64::from(report.waiting);
        self.other_load = u32::try_from((total - own_at_report).max(0)).unwrap_or(u32::MAX);
        self.version = report.version;
        self.loading = report.loading;
        self.report = Some(report);
        true
    }

    fn record_recent(&mut self, now: Time, change: i64) {
        if self.recent_changes.len() == MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back((now, change));
    }
}
