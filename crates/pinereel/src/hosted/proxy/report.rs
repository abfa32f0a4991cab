//! What is said of a request in the log.

use super::{Call, Outcome, SelectedEndpoint, attempt::Tried};
use actix_http::StatusCode;
use pinereel_core::{crash::RequestStatus, route::Refusal};
use std::time::Duration;
use tokio::time::Instant;

pub(super) fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}

pub(super) const fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::UnknownPool => "no endpoint listed",
        Refusal::NoEndpoint => "no endpoint takes requests",
        Refusal::NoVersion => "no endpoint has the version",
        Refusal::Full => "every endpoint is full",
    }
}

/// One attempt, for the log.
pub(super) fn trace(tried: &Tried) -> String {
    let result = match &tried.ended {
        Ok(answer) => answer.status.as_u16().to_string(),
        Err(ended) => ended.to_string(),
    };
    let (id, millis) = (&tried.picked.id, tried.took.as_millis());
    let reason = tried.picked.reason;
    format!("{id} {result} {millis}ms {reason:?}")
}

/// A connection broke under a request: whether its endpoint has crashed under it is seen by what
/// became of others with the same identity, and of others at the same endpoint.
pub(super) fn report_break(call: &Call, picked: &SelectedEndpoint, began: Instant, why: &str) {
    log::info!(
        id = call.id.as_str(),
        identity:% = call.identity(),
        endpoint = picked.id.as_str(),
        ms = began.elapsed().as_millis() as u64,
        why;
        "attempt: connection broke"
    );
}

/// A request is refused since endpoints crash under it.
pub(super) fn report_refusal(call: &Call, standing: RequestStatus) {
    let RequestStatus::Blocked {
        endpoints,
        age,
        forgotten_in,
    } = standing
    else {
        return;
    };
    log::warn!(
        id = call.id.as_str(),
        identity:% = call.identity(),
        endpoints,
        age_ms = age.as_millis() as u64,
        forgotten_in_ms = forgotten_in.as_millis() as u64;
        "refused: endpoints crash under it"
    );
}

/// One line for the request: what it was decided by, how old that was, and what came of it.
pub(super) fn report(
    call: &Call,
    outcome: &Outcome,
    began: Instant,
    list_age: Duration,
    trail: &[String],
) {
    let (outcome, why) = match outcome {
        Outcome::Answer(answer) => (answer.status.as_u16().to_string(), ""),
        Outcome::NotRun { why, .. } => ("not run".into(), why.as_str()),
        Outcome::Unknown { why, .. } => ("unknown".into(), why.as_str()),
    };
    log::info!(
        id = call.id.as_str(),
        route = call.route.name.as_str(),
        config = call.config,
        config_age_ms = call.config_age.as_millis() as u64,
        list_age_ms = list_age.as_millis() as u64,
        outcome = outcome.as_str(),
        why,
        attempts:serde = trail,
        ms = began.elapsed().as_millis() as u64;
        "request"
    );
}
