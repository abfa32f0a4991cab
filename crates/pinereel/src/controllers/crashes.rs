//! Detection of requests that crash endpoints: the I/O side of [`pinereel_core::crash`].
//!
//! This module feeds the [`Register`] with crashes and answers, and asks it where a suspected
//! request may run. Reports spread by gossip: they go to the linked entries with the periodic
//! summary, which is sent immediately when there are any, and each entry forwards those that are new
//! to it.

use crate::{filters::not_run, state::Shared, upstream::probe};
use pinereel_api::{Problem, problem::Code};
use pinereel_core::{
    Time,
    crash::{Change, EndpointStart, Identity, Placement, Register, Report, RequestStatus},
    endpoint::{Key, State},
};
use std::{cell::RefCell, collections::BTreeSet, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// Most reports in one summary.
const MAX_REPORTS_PER_SUMMARY: usize = 64;
/// Longest wait of a suspected request for an endpoint. A request that would have to wait longer is
/// refused, and the wait is returned as its retry delay.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(500);
/// Retry delay of a suspected request that no endpoint may run.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the crashes controller.
#[derive(Default)]
pub struct Crashes {
    register: RefCell<Register>,
    /// Notified whenever there are reports to send.
    pub reports_pending: Notify,
}

/// Endpoints at which the next attempt of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPlacement {
    /// Any endpoint.
    Any,
    /// Only this endpoint, since the request is suspected of crashing endpoints.
    Only(Key),
}

/// Decides where the next attempt of a request may run. A suspected request may wait here for up to
/// 500 ms (`MAX_PLACEMENT_WAIT`).
///
/// # Errors
/// A refusal, not run, if the request is blocked or would have to wait longer.
pub async fn place_attempt(
    shared: &Shared,
    pool: &str,
    identity: impl Fn() -> Identity,
) -> Result<AttemptPlacement, Problem> {
    if shared.crashes.register.borrow().is_empty() {
        return Ok(AttemptPlacement::Any);
    }
    let identity = &identity();
    let mut waited = Duration::ZERO;
    loop {
        let status = {
            let register = shared.crashes.register.borrow();
            register.status(shared.now(), identity)
        };
        match status {
            RequestStatus::Unrestricted => return Ok(AttemptPlacement::Any),
            RequestStatus::Blocked { expires_in, .. } => {
                log::warn!(identity:% = identity; "request refused: blocked for crashing endpoints");
                return Err(no_endpoint("endpoints crash under it", expires_in));
            }
            RequestStatus::Suspected { .. } => {}
        }
        let wait = match status.propagation_wait() {
            Some(remaining) => remaining,
            None => match place_suspected(shared, pool, identity) {
                Ok(key) => return Ok(AttemptPlacement::Only(key)),
                Err(wait) => wait,
            },
        };
        waited += wait;
        if waited > MAX_PLACEMENT_WAIT {
            return Err(no_endpoint(
                "endpoints crashed under it, and its turn comes later",
                wait,
            ));
        }
        sleep(wait).await;
    }
}

/// Whether a request is blocked, as too many endpoints have crashed under it.
pub fn is_blocked(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let register = shared.crashes.register.borrow();
    if register.is_empty() {
        return false;
    }
    let status = register.status(shared.now(), &identity());
    matches!(status, RequestStatus::Blocked { .. })
}

/// The endpoint at which a suspected request may run, or the delay until the next try.
fn place_suspected(shared: &Shared, pool: &str, identity: &Identity) -> Result<Key, Duration> {
    let set = shared.endpoints.set();
    let live = set
        .pool(pool)
        .filter(|(_, endpoint)| endpoint.state == State::Live);
    let candidates: Vec<_> = live
        .map(|(key, endpoint)| (key, EndpointStart::from(endpoint)))
        .collect();
    let starts: Vec<_> = candidates.iter().map(|(_, start)| start.clone()).collect();
    let register = shared.crashes.register.borrow();
    match register.place(shared.now(), identity, &starts, &BTreeSet::new()) {
        Placement::Endpoint(placed) => {
            let found = candidates.into_iter().find(|(_, start)| *start == placed);
            found.map(|(key, _)| key).ok_or(UNAVAILABLE_RETRY_DELAY)
        }
        Placement::Wait(wait) => Err(wait),
        Placement::Unavailable => Err(UNAVAILABLE_RETRY_DELAY),
    }
}

fn no_endpoint(message: &str, wait: Duration) -> Problem {
    Problem {
        retry_after_ms: Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        ..not_run(Code::NoEndpoint, message)
    }
}

/// Handles a connection that broke during a request. It counts as a crash under that request if
/// the endpoint no longer accepts connections and was not leaving.
pub async fn connection_lost(shared: &Shared, key: Key, identity: Identity) {
    let live_endpoint = {
        let set = shared.endpoints.set();
        let live = set
            .get(key)
            .filter(|endpoint| endpoint.state == State::Live);
        live.map(|endpoint| (EndpointStart::from(endpoint), endpoint.address.clone()))
    };
    let Some((start, address)) = live_endpoint else {
        return;
    };
    if !probe::has_no_listener(&address).await {
        return;
    }
    let endpoint = start.endpoint.as_str();
    log::warn!(identity:% = identity, endpoint; "endpoint crashed while it ran a request");
    update_register(shared, |register, now| {
        register.crashed(now, identity, start)
    });
}

/// Handles an endpoint's answer to a request that was sent at `sent_at`.
pub fn record_answer(
    shared: &Shared,
    key: Key,
    identity: impl FnOnce() -> Identity,
    sent_at: Time,
) {
    if shared.crashes.register.borrow().is_empty() {
        return;
    }
    let identity = identity();
    update_register(shared, |register, now| register.completed(now, identity));
    record_alive(shared, key, sent_at);
}

/// Handles an endpoint's answer that says nothing about the request, which was sent at `sent_at`: the endpoint is
/// alive. Crashes are not attributed to samples and scorings, as they are owed whatever crashes under them.
pub fn record_alive(shared: &Shared, key: Key, sent_at: Time) {
    if shared.crashes.register.borrow().is_empty() {
        return;
    }
    let found = shared.endpoints.set().get(key).map(EndpointStart::from);
    if let Some(start) = found {
        update_register(shared, |register, now| {
            register.endpoint_answered(now, &start, sent_at)
        });
    }
}

/// Merges reports of another entry.
pub fn merge_reports(shared: &Shared, reports: Vec<Report>) {
    update_register(shared, |register, now| register.merge(now, reports));
}

/// Takes the reports that are new, to be sent with the next summaries; at most
/// `MAX_REPORTS_PER_SUMMARY`.
pub fn take_pending_reports(shared: &Shared) -> Vec<Report> {
    let mut register = shared.crashes.register.borrow_mut();
    let now = shared.now();
    register.expire(now);
    register.take_pending(now, MAX_REPORTS_PER_SUMMARY)
}

/// All known reports, for the periodic full summary; at most `MAX_REPORTS_PER_SUMMARY`.
pub fn known_reports(shared: &Shared) -> Vec<Report> {
    let mut all = shared.crashes.register.borrow().reports(shared.now());
    all.truncate(MAX_REPORTS_PER_SUMMARY);
    all
}

fn update_register(shared: &Shared, update: impl FnOnce(&mut Register, Time) -> Vec<Change>) {
    let changes = update(&mut shared.crashes.register.borrow_mut(), shared.now());
    for change in changes {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.kind,
            endpoints = change.crashes;
            "crash status of a request changed"
        );
    }
    if shared.crashes.register.borrow().has_pending() {
        shared.crashes.reports_pending.notify_one();
    }
}
