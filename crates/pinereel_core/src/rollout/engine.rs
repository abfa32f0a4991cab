//! State of one engine of the pool, as known to the lease holder.

use super::{Settings, Status};
use crate::{Time, Version, hash};
use compact_str::CompactString;
use std::time::Duration;

/// Fraction of the mean load time after which a loading engine is first read. Below 1, so that
/// loads that have become shorter lower the mean.
const FIRST_POLL_SHARE: f64 = 0.8;

/// Maximum age of the status in an engine's own report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Consecutive failed connection attempts after which an engine counts as unreachable. A single
/// failure may be transient.
const UNREACHABLE_AFTER_FAILED_CONNECTS: u32 = 2;

/// Phase of an engine in the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its status must be read before it may be ordered to load.
    Unknown { since: Time },
    /// Its status is known and no order is pending.
    Idle,
    /// An order was sent and is unanswered, or its load is in progress.
    Ordered {
        version: Version,
        ordered_at: Time,
        is_accepted: bool,
        /// Whether this holder issued the order, so that `ordered_at` is the start of the load.
        start_observed: bool,
    },
    /// Its loads failed too often; it is ordered again from `Engine::next_order_at` on.
    Quarantine,
}

/// An engine of the pool.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) zone: CompactString,
    pub(super) outstanding: u32,
    pub(super) leaving: bool,
    pub(super) phase: Phase,
    pub(super) status: Status,
    pub(super) status_at: Option<Time>,
    /// When it was first observed with its present version.
    pub(super) version_since: Time,
    /// Whether a load report or a stale status differs from the known status; the engine is then
    /// read again after the poll interval.
    pub(super) report_differs: bool,
    /// When the read in flight was sent, if there is one.
    pub(super) read_since: Option<Time>,
    /// Failed loads since the last completed one.
    pub(super) failures: u32,
    /// Quarantines since the last completed load.
    pub(super) quarantines: u32,
    /// No order is issued before this time.
    pub(super) next_order_at: Time,
    /// Consecutive reads and orders without an answer.
    pub(super) unanswered_calls: u32,
    /// Consecutive failed connection attempts.
    pub(super) failed_connects: u32,
    /// Whether it did not load when the last order was issued.
    pub(super) idle_before_order: bool,
    /// Whether it is known not to load while its phase is unknown: the last order under this lease was
    /// not sent, and it was idle before.
    pub(super) load_ruled_out: bool,
    /// No read is issued before this time while the phase is unknown.
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
            idle_before_order: false,
            load_ruled_out: false,
            next_read_at: Time::ZERO,
        }
    }

    /// Compares a load report with the known status, to detect a version that this holder did not
    /// order, or the end of a load.
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

    /// Marks the status as unknown. Failure counts and delays are kept, as they describe the
    /// engine.
    pub(super) fn reset_phase(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Unknown { .. }) {
            self.phase = Phase::Unknown { since: now };
        }
        self.read_since = None;
    }

    /// Handles a call without an answer: marks the status as unknown and backs off exponentially.
    pub(super) fn note_no_answer(&mut self, now: Time, settings: &Settings) {
        self.reset_phase(now);
        let wait = settings.poll_interval * 2u32.pow(self.unanswered_calls.min(10));
        self.next_read_at = now + wait.min(settings.recheck_interval);
        self.unanswered_calls += 1;
    }

    /// Whether an order to it is unanswered, and it did not load when that was issued.
    pub(super) fn was_idle_before_order(&self) -> bool {
        let is_unanswered = matches!(
            self.phase,
            Phase::Ordered {
                is_accepted: false,
                ..
            }
        );
        is_unanswered && self.idle_before_order
    }

    /// Whether connections to it keep failing. Such an engine neither serves nor loads, so it
    /// counts neither as an engine in service nor as a load in progress.
    pub(super) fn is_unreachable(&self) -> bool {
        self.failed_connects >= UNREACHABLE_AFTER_FAILED_CONNECTS
    }

    /// Sets the phase by the first status that is read.
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

    /// Whether a status predates the end of the engine's last load.
    ///
    /// The platform's list shows a new version sooner than the engine's own report, which may be
    /// about 100 ms old. Without this check, such reports look as if an engine had lost its
    /// version, 54 times on a quiet day.
    pub(super) fn is_stale(&self, status: &Status, now: Time) -> bool {
        status.version < self.status.version && now.since(self.version_since) < MAX_REPORT_AGE
    }

    /// Whether it is known to serve requests at present.
    pub(super) fn serves(&self) -> bool {
        let is_idle = matches!(self.phase, Phase::Idle | Phase::Quarantine);
        is_idle && self.status.version.is_some() && self.status.loading.is_none()
    }

    /// Whether it is loading weights, or may be as far as is known.
    ///
    /// An engine whose status has been unknown for longer than the load timeout is not counted, as
    /// engines that never answer would otherwise occupy the weight store's load slots forever.
    pub(super) fn may_load(&self, now: Time, settings: &Settings) -> bool {
        match self.phase {
            Phase::Unknown { .. } if self.is_unreachable() || self.load_ruled_out => false,
            Phase::Unknown { since } => now.since(since) < settings.load_timeout,
            Phase::Ordered { .. } => true,
            Phase::Idle | Phase::Quarantine => self.status.loading.is_some(),
        }
    }

    /// Whether it must be ordered to load `target`, and the order may be issued now.
    ///
    /// No order is issued while a read is in flight, as its answer could be mistaken for the effect
    /// of the order.
    pub(super) fn needs_order(&self, target: Version, now: Time, settings: &Settings) -> bool {
        if self.leaving || self.read_since.is_some() || now < self.next_order_at {
            return false;
        }
        match self.phase {
            Phase::Idle | Phase::Quarantine => {
                let is_loading = self.status.loading.is_some();
                self.differs(target) && (settings.can_replace_load || !is_loading)
            }
            // The version being loaded is superseded; the new order replaces that load.
            Phase::Ordered {
                version,
                is_accepted,
                ..
            } => settings.can_replace_load && is_accepted && version < target,
            Phase::Unknown { .. } => false,
        }
    }

    /// Whether it does not load now and an order to load `target` is due, now or after the read in
    /// flight.
    pub(super) fn waits_for_load(&self, target: Version, now: Time, settings: &Settings) -> bool {
        let is_idle = matches!(self.phase, Phase::Idle | Phase::Quarantine);
        let is_due = is_idle && now >= self.next_order_at && self.differs(target);
        is_due && !self.leaving && !self.is_unreachable() && !self.may_load(now, settings)
    }

    /// Whether it serves another version than `target`, or will after its current load.
    pub(super) fn differs(&self, target: Version) -> bool {
        match self.status.loading {
            Some(loading) => loading != target,
            None => self.status.version != Some(target),
        }
    }

    /// Whether its status should be read now.
    pub(super) fn needs_read(
        &self,
        now: Time,
        mean_load_time: Duration,
        settings: &Settings,
    ) -> bool {
        if self.read_since.is_some() || self.leaving {
            return false;
        }
        let age = self.status_at.map(|at| now.since(at));
        let is_older_than = |limit| age.is_none_or(|age| age >= limit);
        match self.phase {
            Phase::Unknown { .. } => now >= self.next_read_at,
            Phase::Ordered {
                ordered_at,
                is_accepted,
                ..
            } => {
                let due = now.since(ordered_at) >= mean_load_time.mul_f64(FIRST_POLL_SHARE)
                    || self.report_differs;
                is_accepted && due && is_older_than(settings.poll_interval)
            }
            Phase::Idle | Phase::Quarantine
                if self.status.loading.is_some() || self.report_differs =>
            {
                is_older_than(settings.poll_interval)
            }
            Phase::Idle | Phase::Quarantine => is_older_than(settings.recheck_interval),
        }
    }

    /// Counts a failed load and schedules the next order; returns whether the engine is
    /// quarantined.
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

    /// Resets failure counts after a completed load.
    pub(super) fn note_load_success(&mut self) {
        self.phase = Phase::Idle;
        self.failures = 0;
        self.quarantines = 0;
        self.next_order_at = Time::ZERO;
    }
}

/// Extends `wait` by up to a quarter, by a hash of the engine's name, so that retries of several
/// engines are spread out.
fn add_jitter(wait: Duration, name: &str, attempt: u32) -> Duration {
    let share = (hash::rendezvous(u64::from(attempt), name) % 256) as u32;
    wait + wait * share / 1024
}
