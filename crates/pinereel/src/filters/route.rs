//! Chooses the endpoint of an attempt; waits for room until the deadline.

use super::{Exchange, admit, refuse};
use crate::{
    controllers::{
        crashes::{self, Next},
        endpoints::{self, Ticket},
        queues::{self, Turn},
    },
    logging::DecisionKind,
    state::Shared,
};
use compact_str::CompactString;
use pinereel_api::{Problem, problem::Code};
use pinereel_core::{
    crash::Identity,
    endpoint::Key,
    hash,
    route::{Refusal, Request},
};
use std::{pin::pin, rc::Rc};
use tokio::time::timeout;

/// When a caller shall come back to a pool without a usable endpoint.
const RETRY_AFTER_MS: u64 = 1_000;

/// An endpoint, counted as having one more attempt.
pub struct Seat {
    /// The endpoint.
    pub key: Key,
    /// Its name.
    pub name: CompactString,
    /// `IP:PORT`.
    pub address: CompactString,
    /// Counts the attempt.
    pub ticket: Ticket,
}

/// What the chain asks of the router.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Endpoints that earlier attempts used up.
    pub excluded: &'a [Key],
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Tokens expected.
    pub tokens: u32,
}

/// Takes a seat at an endpoint. If none has room, a first attempt goes back into its queue; a later
/// one, which leaves out the endpoints that were tried, waits here.
///
/// # Errors
/// `NoEndpoint` or `Overloaded`, both not run.
async fn take(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    turn: &Turn,
    wish: Wish<'_>,
) -> Result<Seat, Problem> {
    loop {
        // Listening begins before choosing, so that no room is missed between the two.
        let mut room = pin!(shared.endpoints.room.notified());
        room.as_mut().enable();
        let request = request(shared, exchange, wish);
        match shared.endpoints.choose(shared, &request) {
            Ok(choice) => {
                let what = if wish.excluded.is_empty() {
                    DecisionKind::Route
                } else {
                    DecisionKind::Retry
                };
                endpoints::log_choice(shared, &exchange.id, what, &choice, exchange.pin.number);
                let ticket = endpoints::begin(shared, choice.key, wish.tokens);
                if let Some(seat) = seat(shared, choice.key, ticket) {
                    return Ok(seat);
                }
            }
            Err(Refusal::Full) if wish.excluded.is_empty() => {
                turn.again().await.map_err(admit::refused)?;
            }
            Err(Refusal::Full) => {
                let left = exchange.left(shared.now());
                if left.is_zero() || timeout(left, room).await.is_err() {
                    return Err(later(Code::Overloaded, "every endpoint is at its limit"));
                }
            }
            Err(e) => {
                shared.decide(DecisionKind::Route, &exchange.id, None, &e.to_string());
                return Err(later(Code::NoEndpoint, e.to_string()));
            }
        }
    }
}

/// Takes a seat for the next attempt of a request: at any endpoint, or at the one where it runs alone, however busy,
/// if it is in doubt.
///
/// # Errors
/// As [`take`]; `NoEndpoint`, not run, also if endpoints crash under the request.
pub async fn take_next(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    turn: &Turn,
    wish: Wish<'_>,
    identity: impl Fn() -> Identity,
) -> Result<Seat, Problem> {
    let key = match crashes::next(shared, &exchange.pool, identity).await? {
        Next::Any => return take(shared, exchange, turn, wish).await,
        Next::At(key) => key,
    };
    if wish.excluded.contains(&key) {
        return Err(later(Code::NoEndpoint, "it was tried there"));
    }
    let ticket = endpoints::begin(shared, key, wish.tokens);
    let seat = seat(shared, key, ticket).ok_or_else(|| later(Code::NoEndpoint, "it has gone"))?;
    shared.decide(
        DecisionKind::Route,
        &exchange.id,
        Some(&seat.name),
        "in doubt",
    );
    Ok(seat)
}

/// Whether one more attempt may be made: an endpoint is left that was not tried, and the retry
/// budget, of which this takes a part, is not used up.
pub fn may_retry(shared: &Shared, exchange: &Exchange, wish: Wish<'_>) -> bool {
    let request = request(shared, exchange, wish);
    let choice = shared.endpoints.choose(shared, &request);
    let left = matches!(choice, Ok(_) | Err(Refusal::Full));
    left && queues::retry(shared, &exchange.pool)
}

fn request<'a>(shared: &'a Shared, exchange: &'a Exchange, wish: Wish<'a>) -> Request<'a> {
    Request {
        pool: &exchange.pool,
        prefix: wish.prefix,
        priority: exchange.priority,
        zone: shared.zone(),
        versions: None,
        excluded: wish.excluded,
        repeatable: wish.repeatable,
        seed: hash::stable(exchange.id.as_bytes()),
    }
}

fn seat(shared: &Shared, key: Key, ticket: Ticket) -> Option<Seat> {
    let set = shared.endpoints.set();
    let endpoint = set.get(key)?;
    Some(Seat {
        key,
        name: endpoint.name.clone(),
        address: endpoint.address.clone(),
        ticket,
    })
}

fn later(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..refuse(code, message)
    }
}
