//! Admission control: reads deadline and priority from the request's headers, then waits in the
//! pool's queue until the request is admitted or rejected.

use super::{RequestContext, not_run};
use crate::{
    controllers::{
        config::Snapshot,
        queues::{self, Arrival, Permit, Refusal},
    },
    http::Request,
    state::Shared,
};
use actix_http::HttpMessage as _;
use compact_str::CompactString;
use pinereel_api::{Problem, header, problem::Code};
use pinereel_core::{Time, admit::Reason, route::Priority};
use std::{rc::Rc, time::Duration};

/// Maximum deadline, relative to the request's arrival; a later one is reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request may be delayed before it is read, and before its answer leaves.
const DELAYS_OF_A_REQUEST: u32 = 2;
/// Part of a caller's time that is reserved at the most for delays of this process.
const MAX_MARGIN_SHARE: u32 = 4;

/// Creates the context of a request that arrived at `arrived_at` from its headers.
///
/// The deadline is earlier than the caller's by the time by which the process may be delayed, so that an
/// answer or a rejection is with the caller in time.
///
/// # Errors
/// `NotFound` for an unknown pool, `BadRequest` for a malformed deadline or priority; not run.
pub fn read_context(
    shared: &Shared,
    request: &Request,
    arrived_at: Time,
    snapshot: Snapshot,
    pool: CompactString,
) -> Result<RequestContext, Problem> {
    if !snapshot.document.pools.contains_key(&pool) {
        return Err(not_run(Code::NotFound, "unknown pool"));
    }
    let default = snapshot.document.limits.default_deadline_ms;
    let millis = header_number(request, header::DEADLINE_MS)?.unwrap_or(default);
    let budget = Duration::from_millis(millis).min(MAX_DEADLINE);
    let delay = shared.scheduling_delay.recent_max();
    let margin = (delay * DELAYS_OF_A_REQUEST).min(budget / MAX_MARGIN_SHARE);
    Ok(RequestContext {
        id: shared.request_id(),
        started: arrived_at,
        deadline: arrived_at + (budget - margin),
        snapshot,
        pool,
        priority: header_priority(request)?,
    })
}

/// Waits in the pool's queue until the request is admitted.
///
/// # Errors
/// `Overloaded` or `NoEndpoint`, immediately or at the deadline; not run.
pub async fn wait_for_turn(
    shared: &Rc<Shared>,
    context: &RequestContext,
) -> Result<Permit, Problem> {
    let arrival = Arrival {
        pool: context.pool.clone(),
        id: context.id.clone(),
        priority: context.priority,
        deadline: context.deadline,
        max_waiting: (context.snapshot.document.limits.max_queue as usize)
            .min(shared.settings.limits.waiting),
    };
    queues::admit(shared, arrival).await.map_err(rejection)
}

/// Builds the problem for a request that the queue rejected.
pub fn rejection(refusal: Refusal) -> Problem {
    let (code, message) = match refusal.reason {
        Reason::QueueFull => (Code::Overloaded, "the queue is at its bound"),
        Reason::TooLate => (Code::Overloaded, "it would be answered after its deadline"),
        Reason::Expired => (Code::Overloaded, "the deadline passed while it waited"),
        Reason::NoCapacity => (Code::NoEndpoint, "no endpoint of the pool takes requests"),
    };
    // Rounded up, so that no caller retries too early.
    let millis = refusal.retry_after.as_micros().div_ceil(1_000);
    Problem {
        retry_after_ms: Some(u64::try_from(millis).unwrap_or(u64::MAX)),
        ..not_run(code, message)
    }
}

fn header_number(request: &Request, name: &'static str) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => Err(not_run(
            Code::BadRequest,
            "deadline is not a number of milliseconds",
        )),
    }
}

fn header_priority(request: &Request) -> Result<Priority, Problem> {
    match request
        .headers()
        .get(header::PRIORITY)
        .map(|v| v.as_bytes())
    {
        None | Some(b"live") => Ok(Priority::Live),
        Some(b"bulk") => Ok(Priority::Bulk),
        Some(_) => Err(not_run(
            Code::BadRequest,
            "priority is neither live nor bulk",
        )),
    }
}
