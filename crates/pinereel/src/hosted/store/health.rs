//! Whether the object store answers this process, over its own connection and on either way.

use super::{URGENT_ONLY_AFTER, check_status};
use crate::{hosted::parent_calls::ParentCalls, objects::Error};
use actix_http::StatusCode;
use bytes::Bytes;
use pinereel_core::tree::{OwnConnection, StoreCallParent};
use std::{cell::Cell, time::Duration};
use tokio::{sync::watch, time::Instant};

/// Health of the store, as the calls of this process show it.
pub(super) struct Health {
    /// Health of the own connection, as direct calls show it.
    pub(super) own: Reachability,
    /// Health of the store as calls show it that take either way. It equals `own` while no calls are
    /// sent through a parent.
    pub(super) either: Reachability,
    /// When this process began to make calls.
    pub(super) started_at: Instant,
    /// Whether probes are sent while the store is unreachable.
    pub(super) is_probing: Cell<bool>,
    /// When a probe was last sent.
    pub(super) last_probe_at: Cell<Option<Instant>>,
    /// Number of probes sent so far.
    pub(super) probe_count: Cell<u32>,
    /// Number of probes sent before the current outage of the own connection.
    pub(super) probes_before_outage: Cell<u32>,
    /// Calls through the parent; `None` if they are not enabled.
    pub(super) parent_calls: Option<ParentCalls>,
    /// Since when calls are sent through the parent, and the number of those answered before.
    pub(super) relaying_since: Cell<Option<(Instant, u64)>>,
}

/// Whether calls are answered, and since when.
pub(super) struct Reachability {
    /// Since when every call has failed; `None` while calls are answered.
    pub(super) unreachable_since: Cell<Option<Instant>>,
    /// When a call last failed.
    pub(super) last_failure_at: Cell<Option<Instant>>,
    /// When a call was last answered.
    pub(super) last_answer_at: Cell<Option<Instant>>,
    /// When the store last became reachable again.
    pub(super) recovered_at: Cell<Option<Instant>>,
    /// When the end of an outage was last reported to this process.
    pub(super) reported_at: Cell<Option<Instant>>,
    /// Number of recoveries, and of changes of the way that calls take. Waiting readers repeat their
    /// calls at each.
    pub(super) recoveries: watch::Sender<u64>,
}

impl Health {
    pub(super) fn new(parent_calls: Option<ParentCalls>) -> Self {
        Self {
            own: Reachability::new(),
            either: Reachability::new(),
            started_at: Instant::now(),
            is_probing: Cell::new(false),
            last_probe_at: Cell::new(None),
            probe_count: Cell::new(0),
            probes_before_outage: Cell::new(0),
            parent_calls,
            relaying_since: Cell::default(),
        }
    }

    /// State of the own connection. The circuit breaker of the client cannot decide whether only urgent
    /// calls are sent, until a probe succeeds: it counts a refusal by the rate limit as an answer, and
    /// an instance beyond its rate limit gets nothing but such refusals.
    pub(super) fn own_connection(&self) -> OwnConnection {
        match self.own.unreachable_since.get() {
            None => OwnConnection::Answering,
            Some(since) => OwnConnection::Failing {
                urgent_only: self.is_probing.get() && since.elapsed() >= URGENT_ONLY_AFTER,
            },
        }
    }

    /// The parent as a way to the store; `None` without a parent, or if that way is not enabled.
    pub(super) fn parent(&self) -> Option<StoreCallParent> {
        self.parent_calls.as_ref()?.parent()
    }

    pub(super) fn parent_accepts_calls(&self) -> bool {
        self.parent().is_some_and(|parent| parent.accepts_calls())
    }

    /// Time until `interval` has passed since the last probe.
    pub(super) fn next_probe_in(&self, interval: Duration) -> Duration {
        let last_probe_at = self.last_probe_at.get();
        last_probe_at.map_or(Duration::ZERO, |at| interval.saturating_sub(at.elapsed()))
    }

    /// Number of probes sent since the current outage began.
    pub(super) fn probes_in_outage(&self) -> u32 {
        let before = self.probes_before_outage.get();
        self.probe_count.get().wrapping_sub(before)
    }

    /// Records whether the store answered a call over the own connection that was started at
    /// `started_at`.
    pub(super) fn record_direct(
        &self,
        started_at: Instant,
        answer: &Result<(StatusCode, Bytes), Error>,
    ) {
        if matches!(answer, Err(Error::Invalid(_))) {
            return;
        }
        if is_answered(answer) {
            if let Some(away) = self.own.on_answer() {
                log::info!(away_ms = away.as_millis() as u64; "object store: reachable again");
            }
            self.on_answer();
            return;
        }
        // A limit of this process says nothing about the store, and must not send calls around that limit
        // through the parent.
        let is_own_limit = matches!(answer, Err(Error::Limited(_)));
        if !(is_own_limit && self.parent_calls.is_some()) && self.own.on_failure(started_at) {
            self.probes_before_outage.set(self.probe_count.get());
            log::warn!("object store: unreachable");
        }
    }

    /// Records that a call was answered on either way, and that calls have begun to take another way.
    pub(super) fn on_answer(&self) {
        let has_recovered = self.either.on_answer().is_some();
        let answered_count = |calls: &ParentCalls| calls.answered_count();
        let answered_count = self.parent_calls.as_ref().map_or(0, answered_count);
        let is_own_failing = self.own.unreachable_since.get().is_some();
        match self.relaying_since.get() {
            None if is_own_failing => {
                self.relaying_since
                    .set(Some((Instant::now(), answered_count)));
                let parent_age = self.parent().and_then(|parent| parent.age);
                let parent_age_ms = parent_age.unwrap_or_default().as_millis() as u64;
                log::info!(parent_age_ms; "object store: calls are sent through the parent");
            }
            Some((since, before)) if !is_own_failing => {
                self.relaying_since.set(None);
                let (ms, calls) = (since.elapsed().as_millis() as u64, answered_count - before);
                log::info!(ms, calls; "object store: calls are sent directly again");
            }
            _ => return,
        }
        // A watch on the former way may never be answered.
        if !has_recovered {
            self.either.notify();
        }
    }
}

impl Reachability {
    pub(super) fn new() -> Self {
        Self {
            unreachable_since: Cell::new(None),
            last_failure_at: Cell::new(None),
            last_answer_at: Cell::new(None),
            recovered_at: Cell::new(None),
            reported_at: Cell::new(None),
            recoveries: watch::channel(0).0,
        }
    }

    /// Records that a call failed that was started at `started_at`; returns whether that begins an
    /// outage. A call that was started before the reported end of an outage does not: a store that
    /// does not answer holds calls until their timeouts.
    pub(super) fn on_failure(&self, started_at: Instant) -> bool {
        let now = Instant::now();
        self.last_failure_at.set(Some(now));
        if self.reported_at.get().is_some_and(|at| started_at < at) {
            return false;
        }
        let begins = self.unreachable_since.get().is_none();
        if begins {
            self.unreachable_since.set(Some(now));
        }
        begins
    }

    /// Records that a call was answered. If that ends an outage, notifies of it and returns how long it
    /// was.
    pub(super) fn on_answer(&self) -> Option<Duration> {
        self.last_answer_at.set(Some(Instant::now()));
        self.end_outage()
    }

    /// Ends the outage, if there is one, notifies of it and returns how long it was.
    pub(super) fn end_outage(&self) -> Option<Duration> {
        let since = self.unreachable_since.take()?;
        self.recovered_at.set(Some(Instant::now()));
        self.notify();
        Some(since.elapsed())
    }

    /// Requests that waiting readers repeat their calls.
    pub(super) fn notify(&self) {
        self.recoveries.send_modify(|count| *count += 1);
    }
}

/// Whether the store answered a call, whatever the answer is.
pub(super) fn is_answered(answer: &Result<(StatusCode, Bytes), Error>) -> bool {
    let status = answer.as_ref().map(|(status, _)| check_status(*status));
    match status {
        Ok(Err(error)) => !is_failure(&error),
        Ok(Ok(())) => true,
        Err(error) => !is_failure(error),
    }
}

pub(super) const fn is_failure(error: &Error) -> bool {
    matches!(
        error,
        Error::NotSent(_) | Error::Limited(_) | Error::Refused(_) | Error::Unknown(_)
    )
}

/// Whether a call failed without any effect and for no limit of this process.
pub(super) fn may_be_repeated(answer: &Result<(StatusCode, Bytes), Error>) -> bool {
    match answer {
        Ok((status, _)) => matches!(check_status(*status), Err(Error::Refused(_))),
        Err(error) => matches!(error, Error::NotSent(_) | Error::Refused(_)),
    }
}
