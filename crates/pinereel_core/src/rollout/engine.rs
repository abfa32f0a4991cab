//! One engine, as the rollout's holder sees it.

use super::{Settings, Status};
use crate::{Time, Version, hash};
use compact_str::CompactString;
use std::time::Duration;

/// Share of a load's expected time after which it is looked at; below 1, so that loads that got
/// shorter are noticed.
const FIRST_POLL_SHARE: f64 = 0.8;

/// A report is so old at most.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Connections in a row that could not be opened, after which an engine counts as dead: one may
/// fail by chance.
const UNREACHABLE_AFTER_FAILED_CONNECTS: u32 = 2;

/// What the holder waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its state must be read before anything is ordered.
    Unknown { since: Time },
    /// Its state is known and nothing is under way.
    Idle,
    /// An order is under way: not answered yet, or being loaded.
    Ordered {
        version: Version,
        ordered_at: Time,
        is_accepted: bool,
        /// Whether this holder saw its begin.
        start_observed: bool,
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
    pub(super) status_at: Option<Time>,
    /// When it was first seen with its present version.
    pub(super) version_since: Time,
    /// Whether a load report, or an outdated one, differs from what was seen: it is read again soon.
    pub(super) report_differs: bool,
    /// A read in flight, since when.
    pub(super) read_since: Option<Time>,
    pub(super) failures: u32,
    pub(super) quarantines: u32,
    /// No order before.
    pub(super) next_order_at: Time,
    /// Reads and orders in a row without an answer.
    pub(super) unanswered_calls: u32,
    /// Connections in a row that could not be opened.
    pub(super) failed_connects: u32,
    /// No read before.
    pub(super) next_read_at: Time,
}

impl Engine {
    pub(super) fn new(zone: CompactString, now: Time) -> Self {
        Self {
            zone,
            outstanding: 0,
            leaving: false,
            phase: Phase::Unknown { since: now },
            status: Status::default(),
            status_at: None,
            version_since: now,
            report_differs: false,
            read_since: None,
            failures: 0,
            quarantines: 0,
            next_order_at: Time::ZERO,
            unanswered_calls: 0,
            failed_connects: 0,
            next_read_at: Time::ZERO,
        }
    }

    /// Notes whether a load report shows something new: weights that nobody here ordered, or the
    /// end of a load.
    pub(super) fn note_report(&mut self, version: Option<Version>, loading: Option<Version>) {
        self.report_differs = match self.phase {
            Phase::Unknown { .. } => false,
            Phase::Ordered {
                version: ordered, ..
            } => loading.is_none() && version == Some(ordered),
            Phase::Idle | Phase::Quarantine => {
                (version, loading) != (self.status.version, self.status.loading)
            }
        };
    }

    /// Forgets what was seen; failures and waits stay, since they belong to the engine.
    pub(super) fn reset_phase(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Unknown { .. }) {
            self.phase = Phase::Unknown { since: now };
        }
        self.read_since = None;
    }

    /// No answer came: forgets what was seen, and asks less and less often.
    pub(super) fn note_no_answer(&mut self, now: Time, settings: &Settings) {
        self.reset_phase(now);
        let wait = settings.poll_interval * 2u32.pow(self.unanswered_calls.min(10));
        self.next_read_at = now + wait.min(settings.recheck_interval);
        self.unanswered_calls += 1;
    }

    /// Whether nothing listens at its address: it serves nobody and loads nothing, so that it
    /// counts neither for the floor nor against the store's rate.
    pub(super) fn is_unreachable(&self) -> bool {
        self.failed_connects >= UNREACHABLE_AFTER_FAILED_CONNECTS
    }

    /// Takes over what a first read shows.
    pub(super) fn init_phase(&mut self, status: Status, now: Time, settings: &Settings) {
        self.phase = match status.loading {
            Some(version) => Phase::Ordered {
                version,
                ordered_at: now,
                is_accepted: true,
                start_observed: false,
            },
            None if self.failures >= settings.max_failures => Phase::Quarantine,
            None => Phase::Idle,
        };
    }

    /// Whether a sight shows the time before the end of its last load.
    ///
    /// The platform's list shows a new version sooner than the engine's own report, which may be some
    /// 100 ms old. Taken for a change, such reports made engines look 54 times on a quiet day as if they had
    /// lost their version.
    pub(super) fn is_stale(&self, status: &Status, now: Time) -> bool {
        status.version < self.status.version && now.since(self.version_since) < MAX_REPORT_AGE
    }

    /// Whether it is known to serve requests now.
    pub(super) fn serves(&self) -> bool {
        let is_idle = matches!(self.phase, Phase::Idle | Phase::Quarantine);
        is_idle && self.status.version.is_some() && self.status.loading.is_none()
    }

    /// Whether it loads weights, or may do so for all that is known.
    ///
    /// One that has been unknown for longer than any load takes doesn't: else engines that never
    /// answer would use up the store's rate for good.
    pub(super) fn may_load(&self, now: Time, settings: &Settings) -> bool {
        match self.phase {
            Phase::Unknown { .. } if self.is_unreachable() => false,
            Phase::Unknown { since } => now.since(since) < settings.load_timeout,
            Phase::Ordered { .. } => true,
            Phase::Idle | Phase::Quarantine => self.status.loading.is_some(),
        }
    }

    /// Whether it needs an order to serve `target`, and one may be given now.
    ///
    /// None is given while a read is under way: its answer could be taken for the order's effect.
    pub(super) fn needs_order(&self, target: Version, now: Time, settings: &Settings) -> bool {
        if self.leaving || self.read_since.is_some() || now < self.next_order_at {
            return false;
        }
        match self.phase {
            Phase::Idle | Phase::Quarantine => {
                let is_loading = self.status.loading.is_some();
                self.differs(target) && (settings.can_replace_load || !is_loading)
            }
            // Its load is of no use any more: straight to the newest.
            Phase::Ordered {
                version, is_accepted, ..
            } => settings.can_replace_load && is_accepted && version < target,
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
    pub(super) fn needs_read(&self, now: Time, mean_load_time: Duration, settings: &Settings) -> bool {
        if self.read_since.is_some() || self.leaving {
            return false;
        }
        let age = self.status_at.map(|at| now.since(at));
        let older = |limit| age.is_none_or(|age| age >= limit);
        match self.phase {
            Phase::Unknown { .. } => now >= self.next_read_at,
            Phase::Ordered { ordered_at, is_accepted, .. } => {
                let due = now.since(ordered_at) >= mean_load_time.mul_f64(FIRST_POLL_SHARE) || self.report_differs;
                is_accepted && due && older(settings.poll_interval)
            }
            Phase::Idle | Phase::Quarantine
                if self.status.loading.is_some() || self.report_differs =>
            {
                older(settings.poll_interval)
            }
            Phase::Idle | Phase::Quarantine => older(settings.recheck_interval),
        }
    }

    /// Counts a failed load; says whether that leads to quarantine.
    pub(super) fn note_load_failure(&mut self, now: Time, name: &str, settings: &Settings) -> bool {
        self.failures += 1;
        if self.failures < settings.max_failures {
            let doubled = settings.initial_backoff * 2u32.pow((self.failures - 1).min(10));
            self.next_order_at = now + add_jitter(doubled, name, self.failures);
            self.phase = Phase::Idle;
            return false;
        }
        let doubled = settings.initial_quarantine * 2u32.pow(self.quarantines.min(10));
        let wait = doubled.min(settings.max_quarantine);
        self.next_order_at = now + add_jitter(wait, name, self.failures);
        self.quarantines += 1;
        self.phase = Phase::Quarantine;
        true
    }

    /// A load went well.
    pub(super) fn note_load_success(&mut self) {
        self.phase = Phase::Idle;
        self.failures = 0;
        self.quarantines = 0;
        self.next_order_at = Time::ZERO;
    }
}

/// `wait` made longer by up to a quarter, by the engine's name, so that retries don't bunch.
fn add_jitter(wait: Duration, name: &str, attempt: u32) -> Duration {
    let share = (hash::score(u64::from(attempt), name) % 256) as u32;
    wait + wait * share / 1024
}
