//! One engine, as the runner of its lots sees it.

use crate::{
    Time,
    crash::{ISOLATE_AT_CRASHES, MAX_SUSPECT_RUN_AGE},
};
use compact_str::CompactString;
use std::net::SocketAddr;

/// Pace of engines before any of the fleet has made an event, in milliseconds an event.
const FIRST_PACE: f64 = 40.0;
/// What a full engine costs against an empty one of the same pace: enough to spread runs over equal
/// engines, too little to prefer a slow one.
const FULL_COST: f64 = 0.25;

/// What the endpoint list says of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
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
pub enum Halt {
    /// Finished, or an answer that is not the engine's fault.
    Finished,
    /// Given up here.
    Cancelled,
    /// The engine did not take it now: full, or loading weights.
    Full,
    /// Broken off, silent, or out of reach.
    Broken,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What the list says of it.
    pub listed: Listed,
    /// Runs there.
    pub runs: u32,
    /// Moving average of the time between two events of a run, in milliseconds; none before the first.
    pub pace: Option<f64>,
    /// Gaps that the pace rests on.
    pub(super) gaps: u32,
    /// Breaks in a row.
    pub(super) breaks: u32,
    /// No new run before.
    pub(super) not_before: Time,
    /// Its last run was refused or broke: one run tries it before others follow.
    pub(super) suspect: bool,
    /// No longer listed; kept until its last run ends.
    pub(super) gone: bool,
    /// It has started again: its runs are lost.
    pub(super) restarted: bool,
    /// Runs there of items that endpoints may have crashed under.
    pub(super) doubted: u32,
    /// Whether one of them has a last chance.
    pub(super) last_chance: bool,
    /// When a run last began there.
    pub(super) last_began: Time,
    /// Kept free until then for an item with a last chance.
    pub(super) reserved_until: Time,
}

impl Engine {
    pub(super) const fn new(listed: Listed) -> Self {
        Self {
            listed,
            runs: 0,
            pace: None,
            gaps: 0,
            breaks: 0,
            not_before: Time::ZERO,
            suspect: false,
            gone: false,
            restarted: false,
            doubted: 0,
            last_chance: false,
            last_began: Time::ZERO,
            reserved_until: Time::ZERO,
        }
    }

    /// Milliseconds an event; of an engine that has made none yet, what is `usual` in its fleet.
    pub(super) fn pace(&self, usual: Option<f64>) -> f64 {
        self.pace.or(usual).unwrap_or(FIRST_PACE)
    }

    /// Whether one run has to try it before others follow.
    pub const fn is_suspect(&self) -> bool {
        self.suspect
    }

    pub(super) fn takes(&self, now: Time, oldest_version: u64) -> bool {
        let fits = self.listed.version.is_some_and(|v| v >= oldest_version);
        let slots = if self.suspect { 1 } else { self.listed.slots };
        let free = self.runs < slots;
        !self.gone && !self.listed.leaving && fits && free && now >= self.not_before
    }

    /// Whether an item that so many endpoints have crashed under may run beside those that run there. One in doubt is the
    /// only such one, and with a last chance nothing else begins beside it: so a crash tells which was to blame.
    pub(super) fn admits(&self, now: Time, doubts: usize) -> bool {
        let is_kept_free = self.last_chance || now < self.reserved_until;
        match doubts {
            0 => !is_kept_free,
            doubts if doubts >= ISOLATE_AT_CRASHES => {
                self.doubted == 0 && now.since(self.last_began) >= MAX_SUSPECT_RUN_AGE
            }
            _ => self.doubted == 0 && !is_kept_free,
        }
    }

    pub(super) fn cost(&self, usual: Option<f64>) -> f64 {
        let used = f64::from(self.runs) / f64::from(self.listed.slots.max(1));
        self.pace(usual) * (1.0 + FULL_COST * used)
    }
}
