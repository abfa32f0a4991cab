//! Turns a caller's headers into an exchange with a deadline.

use super::{Exchange, refuse};
use crate::{controllers::config::Pin, http::Request, state::Shared};
use actix_http::HttpMessage as _;
use compact_str::CompactString;
use pinereel_api::{Problem, header, problem::Code};
use pinereel_core::route::Priority;
use std::time::Duration;

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Reads deadline and priority, and checks that the pool exists.
pub fn enter(
    shared: &Shared,
    request: &Request,
    pin: Pin,
    pool: CompactString,
) -> Result<Exchange, Problem> {
    if !pin.document.pools.contains_key(&pool) {
        return Err(refuse(Code::NotFound, "unknown pool"));
    }
    let started = shared.now();
    let default = pin.document.limits.default_deadline_ms;
    let millis = number(request, header::DEADLINE_MS)?.unwrap_or(default);
    let deadline = Duration::from_millis(millis).min(MAX_DEADLINE);
    Ok(Exchange {
        id: shared.request_id(),
        started,
        deadline: started + deadline,
        pin,
        pool,
        priority: priority(request)?,
    })
}

fn number(request: &Request, name: &'static str) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => Err(refuse(
            Code::BadRequest,
            "deadline is not a number of milliseconds",
        )),
    }
}

fn priority(request: &Request) -> Result<Priority, Problem> {
    match request
        .headers()
        .get(header::PRIORITY)
        .map(|v| v.as_bytes())
    {
        None | Some(b"live") => Ok(Priority::Live),
        Some(b"bulk") => Ok(Priority::Bulk),
        Some(_) => Err(refuse(
            Code::BadRequest,
            "priority is neither live nor bulk",
        )),
    }
}
