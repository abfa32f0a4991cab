//! Requests under which endpoints crash, as this entry knows them.
//!
//! The decisions are `pinereel_core::crash`'s. News go to the linked entries with the periodic summary, which is
//! sent at once when there are some, and each entry passes on what is news to it.

use crate::{filters::refuse, state::Shared, upstream::probe};
use pinereel_api::{Problem, problem::Code};
use pinereel_core::{
    Time,
    crash::{Change, Identity, KEPT, Register, Report, SETTLE, Seat, Standing, Start},
    endpoint::{Endpoint, Key, State},
};
use std::{cell::RefCell, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// Requests that one summary tells of.
const BATCH: usize = 64;
/// Longest wait of a request in doubt for its turn; longer ones are refused with when it comes.
const PATIENCE: Duration = Duration::from_millis(500);
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

/// The register's time: late enough that what still counts lies after the clock's start.
fn now(shared: &Shared) -> Time {
    shared.now() + KEPT
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
            register.standing(now(shared), identity)
        };
        let age = match standing {
            Standing::Free => return Ok(Next::Any),
            Standing::Convicted { forgotten_in, .. } => {
                log::warn!(identity:% = identity; "refused: endpoints crash under it");
                return Err(later("endpoints crash under it", forgotten_in));
            }
            Standing::Doubted { age, .. } => age,
        };
        let wait = match SETTLE.checked_sub(age).filter(|left| !left.is_zero()) {
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

/// Whether a request must not run any more.
pub fn is_refused(shared: &Shared, identity: impl Fn() -> Identity) -> bool {
    let register = shared.crashes.register.borrow();
    if register.is_empty() {
        return false;
    }
    let standing = register.standing(now(shared), &identity());
    matches!(standing, Standing::Convicted { .. })
}

/// The endpoint for a request in doubt, or when to look again.
fn seat(shared: &Shared, pool: &str, identity: &Identity) -> Result<Key, Duration> {
    let set = shared.endpoints.set();
    let live = set
        .pool(pool)
        .filter(|(_, endpoint)| endpoint.state == State::Live);
    let open: Vec<_> = live.map(|(key, endpoint)| (key, start(endpoint))).collect();
    let starts: Vec<_> = open.iter().map(|(_, start)| start.clone()).collect();
    let register = shared.crashes.register.borrow();
    match register.seat(now(shared), identity, &starts) {
        Seat::At(seat) => {
            let found = open.into_iter().find(|(_, start)| *start == seat);
            found.map(|(key, _)| key).ok_or(RETRY_AFTER)
        }
        Seat::After(wait) => Err(wait),
        Seat::None => Err(RETRY_AFTER),
    }
}

fn later(message: &str, wait: Duration) -> Problem {
    Problem {
        retry_after_ms: Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        ..refuse(Code::NoEndpoint, message)
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
        live.map(|endpoint| (start(endpoint), endpoint.address.clone()))
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
    let found = shared.endpoints.set().get(key).map(start);
    step(shared, |register, now| {
        let mut changes = register.ended(now, identity);
        if let Some(start) = found {
            changes.extend(register.answered(now, &start, sent_at + KEPT));
        }
        changes
    });
}

/// Another entry tells of requests.
pub fn hear(shared: &Shared, reports: Vec<Report>) {
    step(shared, |register, now| register.heard(now, reports));
}

/// What is to be told with the next summaries.
pub fn untold(shared: &Shared) -> Vec<Report> {
    let mut register = shared.crashes.register.borrow_mut();
    let now = now(shared);
    register.expire(now);
    register.untold(now, BATCH)
}

/// All that is known, for summaries that are told now and then.
pub fn all(shared: &Shared) -> Vec<Report> {
    let mut all = shared.crashes.register.borrow().all(now(shared));
    all.truncate(BATCH);
    all
}

fn step(shared: &Shared, step: impl FnOnce(&mut Register, Time) -> Vec<Change>) {
    let changes = step(&mut shared.crashes.register.borrow_mut(), now(shared));
    for change in changes {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.what,
            endpoints = change.endpoints;
            "request that crashes endpoints"
        );
    }
    if shared.crashes.register.borrow().has_untold() {
        shared.crashes.news.notify_one();
    }
}

fn start(endpoint: &Endpoint) -> Start {
    Start {
        endpoint: endpoint.name.clone(),
        incarnation: endpoint.incarnation,
    }
}
