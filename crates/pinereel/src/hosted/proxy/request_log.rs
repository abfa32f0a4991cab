//! Log lines about proxied requests, and the labels of their metrics.

use super::{Outcome, ProxyRequest, SelectedEndpoint, attempt::AttemptResult};
use actix_http::StatusCode;
use pinereel_core::{
    crash::RequestStatus,
    overload::{Demand, Rejection},
    route::Refusal,
};
use std::time::Duration;
use tokio::time::Instant;

/// Status class as a metric label.
pub(super) fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}

/// Refusal as text for logs, and as a metric label.
pub(super) const fn refusal_text(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::UnknownPool => "no endpoint listed",
        Refusal::NoEndpoint => "no endpoint takes requests",
        Refusal::NoVersion => "no endpoint has the version",
        Refusal::Full => "every endpoint is full",
    }
}

/// Describes one attempt for the request's log line.
pub(super) fn describe_attempt(attempt: &AttemptResult) -> String {
    let result = match &attempt.result {
        Ok(answer) => answer.status.as_u16().to_string(),
        Err(failure) => failure.to_string(),
    };
    let (id, millis) = (&attempt.selected.id, attempt.duration.as_millis());
    let reason = attempt.selected.reason;
    format!("{id} {result} {millis}ms {reason:?}")
}

/// Logs that a connection was lost during an attempt. Other requests with the same identity, and
/// others at the same endpoint, show whether the endpoint crashed.
pub(super) fn log_connection_loss(
    request: &ProxyRequest,
    selected: &SelectedEndpoint,
    started: Instant,
    reason: &str,
) {
    log::info!(
        id = request.id.as_str(),
        identity:% = request.identity(),
        endpoint = selected.id.as_str(),
        ms = started.elapsed().as_millis() as u64,
        why = reason;
        "attempt: connection lost"
    );
}

/// Logs that a request was refused because it crashes endpoints; does nothing for other statuses.
pub(super) fn log_blocked(request: &ProxyRequest, status: RequestStatus) {
    let RequestStatus::Blocked {
        crashes,
        age,
        expires_in,
    } = status
    else {
        return;
    };
    log::warn!(
        id = request.id.as_str(),
        identity:% = request.identity(),
        endpoints = crashes,
        age_ms = age.as_millis() as u64,
        forgotten_in_ms = expires_in.as_millis() as u64;
        "refused: endpoints crash under it"
    );
}

/// Logs that a live request was rejected because it would wait too long.
pub(super) fn log_overload(request: &ProxyRequest, demand: Demand, rejection: Rejection) {
    log::info!(
        id = request.id.as_str(),
        priority_level = demand.level,
        left_ms = demand.time_left.as_millis() as u64,
        wait_ms = rejection.expected_wait.as_millis() as u64,
        report_age_ms = rejection.report_age.as_millis() as u64;
        "refused: no slot is free in time"
    );
}

/// Logs one line for each request: its outcome, its attempts, and the age of the configuration and
/// endpoint list that it was routed by.
pub(super) fn log_request(
    request: &ProxyRequest,
    outcome: &Outcome,
    started: Instant,
    list_age: Duration,
    attempt_log: &[String],
) {
    let (outcome, reason) = match outcome {
        Outcome::Answer(answer) => (answer.status.as_u16().to_string(), ""),
        Outcome::NotRun { reason, .. } => ("not run".into(), reason.as_str()),
        Outcome::Unknown { reason, .. } => ("unknown".into(), reason.as_str()),
    };
    log::info!(
        id = request.id.as_str(),
        route = request.route.name.as_str(),
        config = request.config_number,
        config_age_ms = request.config_age.as_millis() as u64,
        list_age_ms = list_age.as_millis() as u64,
        outcome = outcome.as_str(),
        why = reason,
        attempts:serde = attempt_log,
        ms = started.elapsed().as_millis() as u64;
        "request"
    );
}
