//! HTTP API for operators: health checks, metrics, status, drain and configuration patches.
//!
//! All paths except `/live` and `/ready` need the operators' bearer token.

mod status;

use crate::{
    callers,
    controllers::config::propose,
    filters::{not_run, pin, respond},
    http::{self, Request, Response},
    state::Shared,
};
use actix_http::{HttpMessage as _, Method, StatusCode};
use pinereel_api::{
    Problem, header,
    operator::{Checked, Config, Patch, Patched},
    problem::Code,
};
use serde::Serialize;
use std::rc::Rc;

/// Maximum size of a configuration patch's request body, in bytes.
const MAX_PATCH_BYTES: usize = 1 << 20;

/// Handles one request of the operators' listener.
pub async fn serve(shared: Rc<Shared>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, "/live") => return http::text(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => return callers::ready(&shared),
        _ => {}
    }
    if !is_authorized(&shared, &request) {
        let problem = not_run(
            Code::Unauthorized,
            "the operators' token is missing or wrong",
        );
        return respond::problem_response(&shared, &problem);
    }
    let result = match (&method, path.as_str()) {
        (&Method::GET, "/metrics") => {
            status::update_metrics(&shared);
            return http::text(StatusCode::OK, shared.metrics.render());
        }
        (&Method::POST, "/v1/drain") => {
            shared.drain.request_stop();
            return http::empty(StatusCode::ACCEPTED);
        }
        (&Method::GET, "/v1/status") => Ok(json(&status::status(&shared).await)),
        (&Method::GET, "/v1/config") => get_config(&shared),
        (&Method::POST, "/v1/config/check") => check_patch(&shared, &mut request).await,
        (&Method::POST, "/v1/config") => submit_patch(&shared, &mut request).await,
        _ => Err(not_run(Code::NotFound, "no such path")),
    };
    result.unwrap_or_else(|problem| respond::problem_response(&shared, &problem))
}

fn json(body: &impl Serialize) -> Response {
    http::json(StatusCode::OK, body)
}

fn get_config(shared: &Shared) -> Result<Response, Problem> {
    let snapshot = pin::last_known(shared)?;
    let document = serde_json::to_value(&*snapshot.document).unwrap_or_default();
    Ok(json(&Config {
        number: snapshot.number,
        document,
    }))
}

async fn check_patch(shared: &Shared, request: &mut Request) -> Result<Response, Problem> {
    let patch = read_patch(shared, request).await?;
    let document = propose::check_patch(shared, &patch)?;
    let document = serde_json::to_value(document).unwrap_or_default();
    Ok(json(&Checked { document }))
}

async fn submit_patch(shared: &Rc<Shared>, request: &mut Request) -> Result<Response, Problem> {
    let patch = read_patch(shared, request).await?;
    let number = propose::propose(shared, patch).await?;
    Ok(json(&Patched { number }))
}

async fn read_patch(shared: &Shared, request: &mut Request) -> Result<Patch, Problem> {
    let timeout = shared.settings.limits.read_timeout;
    Ok(http::read_json(request, MAX_PATCH_BYTES, timeout).await?)
}

fn is_authorized(shared: &Shared, request: &Request) -> bool {
    let token = &shared.settings.secrets.operator_token;
    let authorization = request.headers().get(header::AUTHORIZATION);
    authorization.is_some_and(|value| token.matches("Bearer ", value.as_bytes()))
}
