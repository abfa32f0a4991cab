//! One engine, as the rollout's holder sees it.

use super::{Settings, Status};
use crate::{Time, Version, hash};
use compact_str::CompactString;
use std::time::Duration;

/// Share of a load's expected time after which it is looked at; below 1, so that loads that got
/// shorter are noticed.
const EARLY: f64 = 0.8;

/// A report is so old at most.
const REPORT_LAG: Duration = Duration::from_millis(1_000);

/// Connections in a row that could not be opened, after which an engine counts as dead: one may
/// fail by chance.
const UNREACHED: u32 = 2;

/// What the holder waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its state must be read before anything is ordered.
    Unknown { since: Time },
    /// Its state is known and nothing is under way.
    Rest,
    /// An order is under way: not answered yet, or being loaded.
    Ordered {
        version: Version,
        at: Time,
        answered: bool,
        /// Whether this holder saw its begin.
        own: bool,
    },
    /// Loads failed too often; the next trial is at `Engine::not_before`.
    Quarantine,
}

/// One engine of the pool.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) zone: CompactString,
    pub(super) outstanding: u32,
    pub(super) leaving: bool,
    pub(super) phase: Phase,
    pub(super) status: Status,
    pub(super) seen_at: Option<Time>,
    /// When it was first seen with its present version.
    pub(super) version_at: Time,
    /// Whether a load report, or an outdated one, differs from what was seen: it is read again soon.
    pub(super) differs_by_report: bool,
    /// A read in flight, since when.
    pub(super) reading: Option<Time>,
    pub(super) failures: u32,
    pub(super) quarantines: u32,
    /// No order before.
    pub(super) not_before: Time,
    /// Reads and orders in a row without an answer.
    pub(super) silences: u32,
    /// Connections in a row that could not be opened.
    pub(super) unreached: u32,
    /// No read before.
    pub(super) read_after: Time,
}

impl Engine {
    pub(super) fn new(zone: CompactString, now: Time) -> Self {
        Self {
            zone,
            outstanding: 0,
            leaving: false,
            phase: Phase::Unknown { since: now },
            status: Status::default(),
            seen_at: None,
            version_at: now,
            differs_by_report: false,
            reading: None,
            failures: 0,
            quarantines: 0,
            not_before: Time::ZERO,
            silences: 0,
            unreached: 0,
            read_after: Time::ZERO,
        }
    }

    /// Notes whether a load report shows something new: weights that nobody here ordered, or the
    /// end of a load.
    pub(super) fn reported(&mut self, version: Option<Version>, loading: Option<Version>) {
        self.differs_by_report = match self.phase {
            Phase::Unknown { .. } => false,
            Phase::Ordered {
                version: ordered, ..
            } => loading.is_none() && version == Some(ordered),
            Phase::Rest | Phase::Quarantine => {
                (version, loading) != (self.status.version, self.status.loading)
            }
        };
    }

    /// Forgets what was seen; failures and waits stay, since they belong to the engine.
    pub(super) fn forget(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Unknown { .. }) {
            self.phase = Phase::Unknown { since: now };
        }
        self.reading = None;
    }

    /// No answer came: forgets what was seen, and asks less and less often.
    pub(super) fn silent(&mut self, now: Time, settings: &Settings) {
        self.forget(now);
        let wait = settings.poll_interval * 2u32.pow(self.silences.min(10));
        self.read_after = now + wait.min(settings.recheck_interval);
        self.silences += 1;
    }

    /// Whether nothing listens at its address: it serves nobody and loads nothing, so that it
    /// counts neither for the floor nor against the store's rate.
    pub(super) fn is_dead(&self) -> bool {
        self.unreached >= UNREACHED
    }

    /// Takes over what a first read shows.
    pub(super) fn adopt(&mut self, status: Status, now: Time, settings: &Settings) {
        self.phase = match status.loading {
            Some(version) => Phase::Ordered {
                version,
                at: now,
                answered: true,
                own: false,
            },
            None if self.failures >= settings.max_failures => Phase::Quarantine,
            None => Phase::Rest,
        };
    }

    /// Whether a sight shows the time before the end of its last load.
    ///
    /// The platform's list shows a new version sooner than the engine's own report, which may be some
    /// 100 ms old. Taken for a change, such reports made engines look 54 times on a quiet day as if they had
    /// lost their version.
    pub(super) fn is_outdated(&self, status: &Status, now: Time) -> bool {
        status.version < self.status.version && now.since(self.version_at) < REPORT_LAG
    }

    /// Whether it is known to serve requests now.
    pub(super) fn serves(&self) -> bool {
        let calm = matches!(self.phase, Phase::Rest | Phase::Quarantine);
        calm && self.status.version.is_some() && self.status.loading.is_none()
    }

    /// Whether it loads weights, or may do so for all that is known.
    ///
    /// One that has been unknown for longer than any load takes doesn't: else engines that never
    /// answer would use up the store's rate for good.
    pub(super) fn may_load(&self, now: Time, settings: &Settings) -> bool {
        match self.phase {
            Phase::Unknown { .. } if self.is_dead() => false,
            Phase::Unknown { since } => now.since(since) < settings.load_timeout,
            Phase::Ordered { .. } => true,
            Phase::Rest | Phase::Quarantine => self.status.loading.is_some(),
        }
    }

    /// Whether it needs an order to serve `target`, and one may be given now.
    ///
    /// None is given while a read is under way: its answer could be taken for the order's effect.
    pub(super) fn wants(&self, target: Version, now: Time, settings: &Settings) -> bool {
        if self.leaving || self.reading.is_some() || now < self.not_before {
            return false;
        }
        match self.phase {
            Phase::Rest | Phase::Quarantine => {
                let loads = self.status.loading.is_some();
                self.differs(target) && (settings.can_replace_load || !loads)
            }
            // Its load is of no use any more: straight to the newest.
            Phase::Ordered {
                version, answered, ..
            } => settings.can_replace_load && answered && version < target,
            Phase::Unknown { .. } => false,
        }
    }

    /// Whether it serves or will serve something else than `target`.
    pub(super) fn differs(&self, target: Version) -> bool {
        match self.status.loading {
            Some(loading) => loading != target,
            None => self.status.version != Some(target),
        }
    }

    /// Whether its state should be read now.
    pub(super) fn wants_read(&self, now: Time, load_time: Duration, settings: &Settings) -> bool {
        if self.reading.is_some() || self.leaving {
            return false;
        }
        let age = self.seen_at.map(|at| now.since(at));
        let older = |limit| age.is_none_or(|age| age >= limit);
        match self.phase {
            Phase::Unknown { .. } => now >= self.read_after,
            Phase::Ordered { at, answered, .. } => {
                let due = now.since(at) >= load_time.mul_f64(EARLY) || self.differs_by_report;
                answered && due && older(settings.poll_interval)
            }
            Phase::Rest | Phase::Quarantine
                if self.status.loading.is_some() || self.differs_by_report =>
            {
                older(settings.poll_interval)
            }
            Phase::Rest | Phase::Quarantine => older(settings.recheck_interval),
        }
    }

    /// Counts a failed load; says whether that leads to quarantine.
    pub(super) fn fail(&mut self, now: Time, name: &str, settings: &Settings) -> bool {
        self.failures += 1;
        if self.failures < settings.max_failures {
            let doubled = settings.initial_backoff * 2u32.pow((self.failures - 1).min(10));
            self.not_before = now + spread(doubled, name, self.failures);
            self.phase = Phase::Rest;
            return false;
        }
        let doubled = settings.initial_quarantine * 2u32.pow(self.quarantines.min(10));
        let wait = doubled.min(settings.max_quarantine);
        self.not_before = now + spread(wait, name, self.failures);
        self.quarantines += 1;
        self.phase = Phase::Quarantine;
        true
    }

    /// A load went well.
    pub(super) fn succeed(&mut self) {
        self.phase = Phase::Rest;
        self.failures = 0;
        self.quarantines = 0;
        self.not_before = Time::ZERO;
    }
}

/// `wait` made longer by up to a quarter, by the engine's name, so that retries don't bunch.
fn spread(wait: Duration, name: &str, turn: u32) -> Duration {
    let share = (hash::score(u64::from(turn), name) % 256) as u32;
    wait + wait * share / 1024
}
