//! One engine, as the runner of its lots sees it.

use crate::{
    Time,
    crash::{FRESH_RUN, LAST_CHANCE},
};
use compact_str::CompactString;
use std::net::SocketAddr;

/// Pace of engines before any of the fleet has made an event, in milliseconds an event.
const DEFAULT_EVENT_INTERVAL_MS: f64 = 40.0;
/// What a full engine costs against an empty one of the same pace: enough to spread runs over equal
/// engines, too little to prefer a slow one.
const FULL_LOAD_PENALTY: f64 = 0.25;

/// What the endpoint list says of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Id of the engine.
    pub id: CompactString,
    /// Differs between its starts.
    pub incarnation: u64,
    /// Where it serves.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Version of the model's weights that it serves; none if it does not serve the model.
    pub version: Option<u64>,
}

/// How a run at an engine ended, as far as it speaks about the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Finished, or an answer that is not the engine's fault.
    Finished,
    /// Given up here.
    Cancelled,
    /// The engine did not take it now: full, or loading weights.
    Rejected,
    /// Broken off, silent, or out of reach.
    Failed,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What the list says of it.
    pub listing: Listing,
    /// Runs there.
    pub active_runs: u32,
    /// Moving average of the time between two events of a run, in milliseconds; none before the first.
    pub event_interval_ms: Option<f64>,
    /// Gaps that the pace rests on.
    pub(super) interval_samples: u32,
    /// Breaks in a row.
    pub(super) consecutive_failures: u32,
    /// No new run before.
    pub(super) backoff_until: Time,
    /// Its last run was refused or broke: one run tries it before others follow.
    pub(super) probe_needed: bool,
    /// No longer listed; kept until its last run ends.
    pub(super) delisted: bool,
    /// It has started again: its runs are lost.
    pub(super) restarted: bool,
    /// Runs there of items that endpoints may have crashed under.
    pub(super) suspect_runs: u32,
    /// Whether one of them has a last chance.
    pub(super) has_isolated_run: bool,
    /// When a run last began there.
    pub(super) last_run_started: Time,
    /// Kept free until then for an item with a last chance.
    pub(super) reserved_until: Time,
}

impl Engine {
    pub(super) const fn new(listing: Listing) -> Self {
        Self {
            listing,
            active_runs: 0,
            event_interval_ms: None,
            interval_samples: 0,
            consecutive_failures: 0,
            backoff_until: Time::ZERO,
            probe_needed: false,
            delisted: false,
            restarted: false,
            suspect_runs: 0,
            has_isolated_run: false,
            last_run_started: Time::ZERO,
            reserved_until: Time::ZERO,
        }
    }

    /// Milliseconds an event; of an engine that has made none yet, what is `usual` in its fleet.
    pub(super) fn estimated_interval_ms(&self, fleet_average: Option<f64>) -> f64 {
        self.event_interval_ms
            .or(fleet_average)
            .unwrap_or(DEFAULT_EVENT_INTERVAL_MS)
    }

    /// Whether one run has to try it before others follow.
    pub const fn needs_probe(&self) -> bool {
        self.probe_needed
    }

    pub(super) fn accepts(&self, now: Time, oldest_version: u64) -> bool {
        let fits = self.listing.version.is_some_and(|v| v >= oldest_version);
        let slots = if self.probe_needed {
            1
        } else {
            self.listing.slots
        };
        let free = self.active_runs < slots;
        !self.delisted && !self.listing.leaving && fits && free && now >= self.backoff_until
    }

    /// Whether an item that so many endpoints have crashed under may run beside those that run there. One in doubt is the
    /// only such one, and with a last chance nothing else begins beside it: so a crash tells which was to blame.
    pub(super) fn admits(&self, now: Time, crash_count: usize) -> bool {
        let is_reserved = self.has_isolated_run || now < self.reserved_until;
        match crash_count {
            0 => !is_reserved,
            crash_count if crash_count >= LAST_CHANCE => {
                self.suspect_runs == 0 && now.since(self.last_run_started) >= FRESH_RUN
            }
            _ => self.suspect_runs == 0 && !is_reserved,
        }
    }

    pub(super) fn cost(&self, fleet_average: Option<f64>) -> f64 {
        let load = f64::from(self.active_runs) / f64::from(self.listing.slots.max(1));
        self.estimated_interval_ms(fleet_average) * (1.0 + FULL_LOAD_PENALTY * load)
    }
}
