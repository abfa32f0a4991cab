//! The operators' listener.

use crate::{
    callers,
    filters::{refuse, respond},
    http::{self, Request, Response},
    state::Shared,
};
use actix_http::{HttpMessage as _, Method, StatusCode};
use pinereel_api::{header, problem::Code};
use std::rc::Rc;

/// Answers one request.
pub async fn serve(shared: Rc<Shared>, request: Request) -> Response {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/live") => return http::text(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => return callers::ready(&shared),
        _ => {}
    }
    if !authorized(&shared, &request) {
        let problem = refuse(
            Code::Unauthorized,
            "the operators' token is missing or wrong",
        );
        return respond::problem(&shared, &problem);
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/metrics") => http::text(StatusCode::OK, shared.metrics.render()),
        (&Method::POST, "/v1/drain") => {
            shared.drain.ask();
            http::empty(StatusCode::ACCEPTED)
        }
        _ => respond::problem(&shared, &refuse(Code::NotFound, "no such path")),
    }
}

fn authorized(shared: &Shared, request: &Request) -> bool {
    let expected = format!("Bearer {}", shared.settings.secrets.operator_token.reveal());
    let given = request.headers().get(header::AUTHORIZATION);
    given.is_some_and(|given| same(given.as_bytes(), expected.as_bytes()))
}

/// Compares in a time that does not depend on where the two differ.
pub(crate) fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
