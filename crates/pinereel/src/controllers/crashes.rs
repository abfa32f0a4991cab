//! Requests under which endpoints crash, as this entry knows them.
//!
//! The decisions are `pinereel_core::crash`'s. News go to the linked entries with the periodic summary, which is
//! sent at once when there are some, and each entry passes on what is news to it.

use crate::{filters::not_run, state::Shared, upstream::probe};
use pinereel_api::{Problem, problem::Code};
use pinereel_core::{
    Time,
    crash::{Change, EndpointStart, Identity, Placement, Register, Report, RequestStatus},
    endpoint::{Key, State},
};
use std::{cell::RefCell, collections::BTreeSet, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// Requests that one summary tells of.
const BATCH: usize = 64;
/// Longest wait of a request in doubt for its turn; longer ones are refused with when it comes.
const PATIENCE: Duration = Duration::from_millis(500);
/// Pause before a sample or scoring that endpoints crash under is looked at again.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// When a request in doubt may come back that no endpoint is open to.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The controller's state.
#[derive(Default)]
pub struct Crashes {
    register: RefCell<Register>,
    /// Told whenever others are to be told something.
    pub news: Notify,
}

/// How the next attempt of a request is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// At any endpoint.
    Any,
    /// At this one alone: endpoints have crashed under the request.
    At(Key),
}

/// Where the next attempt of a request may go; waits for its turn for a moment.
///
/// # Errors
/// A refusal, not run, if endpoints crash under it or its turn is not near.
pub async fn next(
    shared: &Shared,
    pool: &str,
    identity: impl Fn() -> Identity,
) -> Result<Next, Problem> {
    if shared.crashes.register.borrow().is_empty() {
        return Ok(Next::Any);
    }
    let identity = &identity();
    let mut waited = Duration::ZERO;
    loop {
        let standing = {
            let register = shared.crashes.register.borrow();
            register.status(shared.now(), identity)
        };
        match standing {
            RequestStatus::Unrestricted => return Ok(Next::Any),
            RequestStatus::Blocked { forgotten_in, .. } => {
                log::warn!(identity:% = identity; "refused: endpoints crash under it");
                return Err(later("endpoints crash under it", forgotten_in));
            }
            RequestStatus::Suspected { .. } => {}
        }
        let wait = match standing.propagation_wait() {
            Some(left) => left,
            None => match seat(shared, pool, identity) {
                Ok(key) => return Ok(Next::At(key)),
                Err(wait) => wait,
            },
        };
        waited += wait;
        if waited > PATIENCE {
            return Err(later(
                "endpoints crashed under it, and its turn comes later",
                wait,
            ));
        }
        sleep(wait).await;
    }
}

/// Whether a sample or scoring must not run any more; then it is looked at again after a pause.
pub async fn holds_back(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let refused = is_refused(shared, identity);
    if refused {
        sleep(REFUSED_PAUSE).await;
    }
    refused
}

/// Whether a request must not run any more.
pub fn is_refused(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let register = shared.crashes.register.borrow();
    if register.is_empty() {
        return false;
    }
    let standing = register.status(shared.now(), &identity());
    matches!(standing, RequestStatus::Blocked { .. })
}

/// The endpoint for a request in doubt, or when to look again.
fn seat(shared: &Shared, pool: &str, identity: &Identity) -> Result<Key, Duration> {
    let set = shared.endpoints.set();
    let live = set
        .pool(pool)
        .filter(|(_, endpoint)| endpoint.state == State::Live);
    let open: Vec<_> = live
        .map(|(key, endpoint)| (key, EndpointStart::from(endpoint)))
        .collect();
    let starts: Vec<_> = open.iter().map(|(_, start)| start.clone()).collect();
    let register = shared.crashes.register.borrow();
    match register.place(shared.now(), identity, &starts, &BTreeSet::new()) {
        Placement::Endpoint(seat) => {
            let found = open.into_iter().find(|(_, start)| *start == seat);
            found.map(|(key, _)| key).ok_or(RETRY_AFTER)
        }
        Placement::Wait(wait) => Err(wait),
        Placement::Unavailable => Err(RETRY_AFTER),
    }
}

fn later(message: &str, wait: Duration) -> Problem {
    Problem {
        retry_after_ms: Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        ..not_run(Code::NoEndpoint, message)
    }
}

/// A connection to an endpoint broke under a request: it counts against the request if nobody listens there any
/// more, and the endpoint was not leaving.
pub async fn broke(shared: &Shared, key: Key, identity: Identity) {
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
    step(shared, |register, now| {
        register.crashed(now, identity, start)
    });
}

/// An endpoint answered a request that was sent at a moment.
pub fn answered(shared: &Shared, key: Key, identity: impl FnOnce() -> Identity, sent_at: Time) {
    if shared.crashes.register.borrow().is_empty() {
        return;
    }
    let identity = identity();
    let found = shared.endpoints.set().get(key).map(EndpointStart::from);
    step(shared, |register, now| {
        let mut changes = register.completed(now, identity);
        if let Some(start) = found {
            changes.extend(register.endpoint_answered(now, &start, sent_at));
        }
        changes
    });
}

/// Another entry tells of requests.
pub fn hear(shared: &Shared, reports: Vec<Report>) {
    step(shared, |register, now| register.merge(now, reports));
}

/// What is to be told with the next summaries.
pub fn untold(shared: &Shared) -> Vec<Report> {
    let mut register = shared.crashes.register.borrow_mut();
    let now = shared.now();
    register.expire(now);
    register.take_pending(now, BATCH)
}

/// All that is known, for summaries that are told now and then.
pub fn all(shared: &Shared) -> Vec<Report> {
    let mut all = shared.crashes.register.borrow().reports(shared.now());
    all.truncate(BATCH);
    all
}

fn step(shared: &Shared, step: impl FnOnce(&mut Register, Time) -> Vec<Change>) {
    let changes = step(&mut shared.crashes.register.borrow_mut(), shared.now());
    for change in changes {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.kind,
            endpoints = change.endpoints;
            "request that crashes endpoints"
        );
    }
    if shared.crashes.register.borrow().has_pending() {
        shared.crashes.news.notify_one();
    }
}
