//! Routing: chooses the endpoint for an attempt and waits for a free slot until the deadline.

use super::{RequestContext, admit, not_run};
use crate::{
    controllers::{
        crashes::{self, AttemptPlacement},
        endpoints::{self, AttemptGuard},
        queues::{self, Permit},
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

/// `retry_after_ms` for a pool without a usable endpoint.
const RETRY_AFTER_MS: u64 = 1_000;

/// Endpoint assigned to an attempt, which counts towards the endpoint's load.
pub struct Assignment {
    /// Key of the endpoint in the endpoint set.
    pub key: Key,
    /// Name of the endpoint.
    pub name: CompactString,
    /// `IP:PORT`.
    pub address: CompactString,
    /// Counts the attempt as running until it is finished or dropped.
    pub guard: AttemptGuard,
}

/// Criteria for the choice of an attempt's endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Hash of the prompt's prefix, for prefix affinity.
    pub prefix: Option<u64>,
    /// Endpoints that earlier attempts of the request have used.
    pub excluded: &'a [Key],
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Maximum number of tokens to generate; 0 for plain services.
    pub tokens: u32,
}

/// Assigns an endpoint. If all are full, the first attempt re-enters its queue; a later one, which
/// excludes the endpoints that were tried, waits here.
///
/// # Errors
/// `NoEndpoint` or `Overloaded`, both not run.
async fn assign(
    shared: &Rc<Shared>,
    context: &RequestContext,
    permit: &Permit,
    criteria: Criteria<'_>,
) -> Result<Assignment, Problem> {
    loop {
        // Registered before the choice, so that a slot that becomes free between the two is not
        // missed.
        let mut capacity_freed = pin!(shared.endpoints.capacity_freed.notified());
        capacity_freed.as_mut().enable();
        let request = request(shared, context, criteria);
        match shared.endpoints.choose(shared, &request) {
            Ok(choice) => {
                let kind = if criteria.excluded.is_empty() {
                    DecisionKind::Route
                } else {
                    DecisionKind::Retry
                };
                endpoints::log_choice(shared, &context.id, kind, &choice, context.snapshot.number);
                let guard = endpoints::start_attempt(shared, choice.key, criteria.tokens);
                if let Some(assignment) = assignment(shared, choice.key, guard) {
                    return Ok(assignment);
                }
            }
            Err(Refusal::Full) if criteria.excluded.is_empty() => {
                permit.requeue().await.map_err(admit::rejection)?;
            }
            Err(Refusal::Full) => {
                let remaining = context.remaining(shared.now());
                if remaining.is_zero() || timeout(remaining, capacity_freed).await.is_err() {
                    return Err(retryable(
                        Code::Overloaded,
                        "every endpoint is at its limit",
                    ));
                }
            }
            Err(e) => {
                shared.log_decision(DecisionKind::Route, &context.id, None, &e.to_string());
                return Err(retryable(Code::NoEndpoint, e.to_string()));
            }
        }
    }
}

/// Assigns an endpoint to a request's next attempt. A request suspected of crashing endpoints gets
/// the one endpoint where it runs alone, however busy that is.
///
/// # Errors
/// As `assign`; also `NoEndpoint`, not run, if the request crashes endpoints.
pub async fn assign_next(
    shared: &Rc<Shared>,
    context: &RequestContext,
    permit: &Permit,
    criteria: Criteria<'_>,
    identity: impl Fn() -> Identity,
) -> Result<Assignment, Problem> {
    let key = match crashes::place_attempt(shared, &context.pool, identity).await? {
        AttemptPlacement::Any => return assign(shared, context, permit, criteria).await,
        AttemptPlacement::Only(key) => key,
    };
    if criteria.excluded.contains(&key) {
        return Err(retryable(Code::NoEndpoint, "it was tried there"));
    }
    let guard = endpoints::start_attempt(shared, key, criteria.tokens);
    let assignment =
        assignment(shared, key, guard).ok_or_else(|| retryable(Code::NoEndpoint, "it has gone"))?;
    shared.log_decision(
        DecisionKind::Route,
        &context.id,
        Some(&assignment.name),
        "in doubt",
    );
    Ok(assignment)
}

/// Whether one more attempt may be made: there is an endpoint that was not tried, and the retry
/// budget allows the attempt, which is then withdrawn from the budget.
pub fn may_retry(shared: &Shared, context: &RequestContext, criteria: Criteria<'_>) -> bool {
    let request = request(shared, context, criteria);
    let choice = shared.endpoints.choose(shared, &request);
    let has_untried_endpoint = matches!(choice, Ok(_) | Err(Refusal::Full));
    has_untried_endpoint && queues::take_retry(shared, &context.pool)
}

fn request<'a>(
    shared: &'a Shared,
    context: &'a RequestContext,
    criteria: Criteria<'a>,
) -> Request<'a> {
    Request {
        pool: &context.pool,
        prefix: criteria.prefix,
        priority: context.priority,
        zone: shared.zone(),
        versions: None,
        excluded: criteria.excluded,
        repeatable: criteria.repeatable,
        seed: hash::stable(context.id.as_bytes()),
    }
}

fn assignment(shared: &Shared, key: Key, guard: AttemptGuard) -> Option<Assignment> {
    let set = shared.endpoints.set();
    let endpoint = set.get(key)?;
    Some(Assignment {
        key,
        name: endpoint.name.clone(),
        address: endpoint.address.clone(),
        guard,
    })
}

fn retryable(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..not_run(code, message)
    }
}
