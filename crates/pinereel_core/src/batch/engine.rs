//! State of one engine as seen by the scheduler of its lots: load, speed and health.

use super::{
    placement::{FleetAverage, expected_interval_ms},
    reported_load::ReportedLoad,
    run::Slots,
};
use crate::{
    Time,
    endpoint::speed::{Intervals, Slowdown},
};
use compact_str::CompactString;
use std::{net::SocketAddr, time::Duration};

/// Share by which a full engine costs more than an empty one of the same speed. Spreads runs over
/// equally fast engines without preferring a slow one.
const FULL_LOAD_PENALTY: f64 = 0.25;

/// Entry of the endpoint list for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Id of the engine; stays the same over restarts.
    pub id: CompactString,
    /// Identifies one process of the engine; changes with each restart.
    pub incarnation: u64,
    /// Address on which the engine takes requests.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is being shut down and gets no new runs.
    pub leaving: bool,
    /// Whether it is kept up to date for the model of these runs. Other engines work for other
    /// models, and get runs only while no assigned engine serves the version that is needed.
    pub assigned: bool,
    /// Version of the model's weights that it serves; `None` if it does not serve the model.
    pub version: Option<u64>,
}

/// How a run on an engine ended, as far as it matters for the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run finished, or failed through no fault of the engine.
    Finished,
    /// The run was cancelled by the scheduler.
    Cancelled,
    /// The engine refused the run for now: it is full or loads weights.
    Rejected,
    /// The stream broke off or stalled, or the engine could not be reached.
    Failed,
}

/// One process of an engine.
#[derive(Debug)]
pub struct Engine {
    /// Its latest entry in the endpoint list.
    pub listing: Listing,
    /// Its slots that runs occupy.
    pub(super) slots: Slots,
    /// Moving average of the interval between two events of a run; `None` before the first interval.
    pub event_interval_ms: Option<f64>,
    /// Number of intervals in the average.
    pub(super) interval_samples: u32,
    /// Failed runs in a row.
    pub(super) consecutive_failures: u32,
    /// No new run starts before this time.
    pub(super) backoff_until: Time,
    /// Whether a single run must succeed before others may start, since the last one was rejected or
    /// failed.
    pub(super) probe_needed: bool,
    /// Whether it is no longer in the endpoint list; the state is kept until its last run ends.
    pub(super) delisted: bool,
    /// Whether the engine has restarted, so that the runs on this process are lost.
    pub(super) restarted: bool,
    /// Its latest load report; `None` before the first.
    pub(super) reported_load: Option<ReportedLoad>,
    /// The slowdown of its machine, by its load reports.
    pub(super) slowdown: Slowdown,
    /// The observed intervals between events.
    pub(super) intervals: Intervals,
}

impl Engine {
    pub(super) fn new(listing: Listing) -> Self {
        Self {
            listing,
            slots: Slots::default(),
            event_interval_ms: None,
            interval_samples: 0,
            consecutive_failures: 0,
            backoff_until: Time::ZERO,
            probe_needed: false,
            delisted: false,
            restarted: false,
            reported_load: None,
            slowdown: Slowdown::default(),
            intervals: Intervals::default(),
        }
    }

    /// Number of runs in progress on it.
    pub fn active_runs(&self) -> u32 {
        self.slots.occupied()
    }

    /// Number of requests of other runners at it, by its latest report; 0 if that is too old.
    pub(super) fn other_requests(&self, now: Time) -> u32 {
        self.reported_load
            .map_or(0, |load| load.other_requests(now))
    }

    /// Age of its latest load report; `None` before the first.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.reported_load.map(|load| now.since(load.at))
    }

    /// Whether a single run must succeed on it before others may start.
    pub const fn needs_probe(&self) -> bool {
        self.probe_needed
    }

    /// Whether it is assigned to the model, not leaving, and serves `oldest_version` or newer.
    pub(super) fn is_assigned_with(&self, oldest_version: u64) -> bool {
        let has_version = self.listing.version.is_some_and(|v| v >= oldest_version);
        self.listing.assigned && !self.listing.leaving && has_version
    }

    /// Whether the engine is healthy, serves `oldest_version` or newer and has a free slot.
    pub(super) fn accepts(&self, now: Time, oldest_version: u64) -> bool {
        let has_version = self.listing.version.is_some_and(|v| v >= oldest_version);
        let slots = if self.probe_needed {
            1
        } else {
            self.listing.slots
        };
        let free = self
            .active_runs()
            .saturating_add(self.counted_requests(now))
            < slots;
        !self.delisted && !self.listing.leaving && has_version && free && now >= self.backoff_until
    }

    /// Requests of other runners that count as its load. Only where it reports its slowdown; other
    /// engines are rated by this runner's runs alone.
    fn counted_requests(&self, now: Time) -> u32 {
        if self.slowdown.is_reported() {
            self.other_requests(now)
        } else {
            0
        }
    }

    /// Cost of placing a run on it: the expected interval, weighted by the load. Lower is better.
    pub(super) fn cost(&self, now: Time, average: FleetAverage) -> f64 {
        let requests = self
            .active_runs()
            .saturating_add(self.counted_requests(now));
        let load = f64::from(requests) / f64::from(self.listing.slots.max(1));
        expected_interval_ms(now, self, average) * (1.0 + FULL_LOAD_PENALTY * load)
    }
}
