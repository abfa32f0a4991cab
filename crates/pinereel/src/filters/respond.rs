//! Last filter: builds the response for a request's result and updates the request metrics.

use super::RequestContext;
use crate::{
    http::{self, Response},
    state::Shared,
};
use actix_http::header::{HeaderName, HeaderValue};
use pinereel_api::{
    Problem, header,
    problem::{Code, Ran},
};

/// Builds the response for a problem, counts it by its code and logs it.
pub fn problem_response(shared: &Shared, problem: &Problem) -> Response {
    count_refusal(shared, problem.code, &problem.message);
    http::problem(problem)
}

/// Counts a refused request by its code and logs it.
pub fn count_refusal(shared: &Shared, code: Code, why: &str) {
    shared.metrics.count_refusal(code);
    log::info!(entry = shared.name().as_str(), code:serde; "refused: {why}");
}

/// Adds the request's id and configuration number to the response's headers.
pub fn add_headers(context: &RequestContext, response: &mut Response) {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&context.id) {
        headers.insert(HeaderName::from_static(header::REQUEST_ID), id);
    }
    let number = HeaderValue::from(context.snapshot.number);
    headers.insert(HeaderName::from_static(header::CONFIG_NUMBER), number);
}

/// Counts a request that ended with a problem, with its latency.
pub fn count_problem(shared: &Shared, context: &RequestContext, problem: &Problem) {
    let outcome = match problem.ran {
        Ran::NotRun => "not_run",
        Ran::Unknown => "unknown",
    };
    count_request(shared, context, outcome);
}

/// Counts a request that ended, with its latency. `outcome` is a metric label.
pub fn count_request(shared: &Shared, context: &RequestContext, outcome: &str) {
    let seconds = shared.now().since(context.started).as_secs_f64();
    let metrics = &shared.metrics;
    metrics
        .requests
        .with_label_values(&[&context.pool, outcome])
        .inc();
    metrics
        .latency
        .with_label_values(&[context.pool.as_str()])
        .observe(seconds);
}
