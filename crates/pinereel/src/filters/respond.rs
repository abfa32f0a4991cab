//! Turns the chain's end into an answer, and counts it.

use super::Exchange;
use crate::{
    http::{self, Response},
    state::Shared,
};
use actix_http::header::{HeaderName, HeaderValue};
use pinereel_api::{
    Problem, header,
    problem::{Code, Ran},
};

/// The answer for a problem, counted by its code and logged.
pub fn problem(shared: &Shared, problem: &Problem) -> Response {
    refused(shared, problem.code, &problem.message);
    http::problem(problem)
}

/// Counts and logs a refusal.
pub fn refused(shared: &Shared, code: Code, why: &str) {
    shared.metrics.refuse(code);
    log::info!(entry = shared.name().as_str(), code:serde; "refused: {why}");
}

/// Adds the request's id and configuration number to an answer.
pub fn stamp(exchange: &Exchange, response: &mut Response) {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&exchange.id) {
        headers.insert(HeaderName::from_static(header::REQUEST_ID), id);
    }
    let number = HeaderValue::from(exchange.pin.number);
    headers.insert(HeaderName::from_static(header::CONFIG_NUMBER), number);
}

/// Counts an exchange that ended with a problem.
pub fn count_problem(shared: &Shared, exchange: &Exchange, problem: &Problem) {
    let outcome = match problem.ran {
        Ran::NotRun => "not_run",
        Ran::Unknown => "unknown",
    };
    count(shared, exchange, outcome);
}

/// Counts an ended exchange and its time.
pub fn count(shared: &Shared, exchange: &Exchange, outcome: &str) {
    let took = shared.now().since(exchange.started).as_secs_f64();
    let metrics = &shared.metrics;
    metrics
        .requests
        .with_label_values(&[&exchange.pool, outcome])
        .inc();
    metrics
        .latency
        .with_label_values(&[exchange.pool.as_str()])
        .observe(took);
}
