//! Requests under which endpoints crash, as this entry knows them.
//!
//! The decisions are `pinereel_core::crash`'s. News go to the linked entries with the periodic summary, which is
//! sent at once when there are some, and each entry passes on what is news to it.

use crate::{filters::refuse, state::Shared, upstream::probe};
use pinereel_api::{Problem, problem::Code};
use pinereel_core::{
    Time,
    crash::{Change, EndpointStart, Identity, Placement, Register, Report, RequestStatus},
    endpoint::{Key, State},
};
use std::{cell::RefCell, collections::BTreeSet, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// Requests that one summary tells of.
const MAX_REPORTS_PER_SUMMARY: usize = 64;
/// Longest wait of a request in doubt for its turn; longer ones are refused with when it comes.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_millis(500);
/// Pause before a sample or scoring that endpoints crash under is looked at again.
const BLOCKED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// When a request in doubt may come back that no endpoint is open to.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The controller's state.
#[derive(Default)]
pub struct Crashes {
    register: RefCell<Register>,
    /// Told whenever others are to be told something.
    pub reports_pending: Notify,
}

/// How the next attempt of a request is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPlacement {
    /// At any endpoint.
    Any,
    /// At this one alone: endpoints have crashed under the request.
    Only(Key),
}

/// Where the next attempt of a request may go; waits for its turn for a moment.
///
/// # Errors
/// A refusal, not run, if endpoints crash under it or its turn is not near.
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
            RequestStatus::Blocked { forgotten_in, .. } => {
                log::warn!(identity:% = identity; "refused: endpoints crash under it");
                return Err(no_endpoint("endpoints crash under it", forgotten_in));
            }
            RequestStatus::Suspected { .. } => {}
        }
        let wait = match status.propagation_wait() {
            Some(left) => left,
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

/// Whether a sample or scoring must not run any more; then it is looked at again after a pause.
pub async fn delay_if_blocked(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let blocked = is_blocked(shared, identity);
    if blocked {
        sleep(BLOCKED_RETRY_DELAY).await;
    }
    blocked
}

/// Whether a request must not run any more.
pub fn is_blocked(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let register = shared.crashes.register.borrow();
    if register.is_empty() {
        return false;
    }
    let status = register.status(shared.now(), &identity());
    matches!(status, RequestStatus::Blocked { .. })
}

/// The endpoint for a request in doubt, or when to look again.
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
        ..refuse(Code::NoEndpoint, message)
    }
}

/// A connection to an endpoint broke under a request: it counts against the request if nobody listens there any
/// more, and the endpoint was not leaving.
pub async fn connection_lost(shared: &Shared, key: Key, identity: Identity) {
    let found = {
        let set = shared.endpoints.set();
        let live = set
            .get(key)
            .filter(|endpoint| endpoint.state == State::Live);
        live.map(|endpoint| (EndpointStart::from(endpoint), endpoint.address.clone()))
    };
    let Some((start, address)) = found else {
        return;
    };
    if !probe::is_gone(&address).await {
        return;
    }
    let endpoint = start.endpoint.as_str();
    log::warn!(identity:% = identity, endpoint; "endpoint crashed under a request");
    update_register(shared, |register, now| {
        register.crashed(now, identity, start)
    });
}

/// An endpoint answered a request that was sent at a moment.
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
    let found = shared.endpoints.set().get(key).map(EndpointStart::from);
    update_register(shared, |register, now| {
        let mut changes = register.completed(now, identity);
        if let Some(start) = found {
            changes.extend(register.endpoint_answered(now, &start, sent_at));
        }
        changes
    });
}

/// Another entry tells of requests.
pub fn merge_reports(shared: &Shared, reports: Vec<Report>) {
    update_register(shared, |register, now| register.merge(now, reports));
}

/// What is to be told with the next summaries.
pub fn take_pending_reports(shared: &Shared) -> Vec<Report> {
    let mut register = shared.crashes.register.borrow_mut();
    let now = shared.now();
    register.expire(now);
    register.take_pending(now, MAX_REPORTS_PER_SUMMARY)
}

/// All that is known, for summaries that are told now and then.
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
            endpoints = change.endpoints;
            "request that crashes endpoints"
        );
    }
    if shared.crashes.register.borrow().has_pending() {
        shared.crashes.reports_pending.notify_one();
    }
}
