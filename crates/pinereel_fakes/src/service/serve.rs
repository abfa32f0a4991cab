//! Request handlers of the fake service.

use super::{Execution, Faults, handle::State};
use crate::fault;
use actix_http::{
    HttpMessage as _, Method, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use compact_str::CompactString;
use pinereel::http::{Request, Response, empty, json, problem, read_body, read_json, text};
use pinereel_api::header;
use pinereel_core::hash::{self, Digest};
use serde::Deserialize;
use serde_json::{Value, json as json_value};
use std::{rc::Rc, time::Duration};

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request body, in bytes. Does not apply to `/echo`.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Request body of `POST /score`.
#[derive(Deserialize)]
struct ScoreRequest {
    text: String,
}

/// Handles one request.
pub(super) async fn handle_request(state: Rc<State>, mut request: Request) -> Response {
    let mut response = match (request.method().clone(), request.path()) {
        (Method::GET, "/record") => json(StatusCode::OK, &*state.executions.borrow()),
        (Method::POST, "/faults") => {
            match read_json::<Faults>(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
                Ok(faults) => {
                    state.set_faults(faults);
                    empty(StatusCode::NO_CONTENT)
                }
                Err(e) => problem(&e.into()),
            }
        }
        _ => run_with_faults(&state, request).await,
    };
    response.headers_mut().insert(
        HeaderName::from_static(header::INCARNATION),
        HeaderValue::from(state.options.incarnation),
    );
    response
}

/// Executes a request, with the faults before and after the execution.
async fn run_with_faults(state: &State, request: Request) -> Response {
    if fault::take_one(&state.drop_before_run) {
        return fault::lost_response();
    }
    let before = state.faults.get();
    if before.leaving == Some(true) {
        return refusal_response("leaving");
    }
    if before.refuse == Some(true) {
        return refusal_response("busy");
    }
    let response = run(state, request).await;
    let after = state.faults.get();
    fault::delay(Duration::from_millis(after.delay_ms.unwrap_or(0))).await;
    if fault::take_one(&state.drop_after_run) {
        return fault::lost_response();
    }
    match after.fail_status.map(StatusCode::from_u16) {
        Some(Ok(status)) => text(status, "failed on request"),
        _ => response,
    }
}

/// Records the execution of a request and executes it.
async fn run(state: &State, mut request: Request) -> Response {
    if request.path() == "/echo" {
        record_execution(state, &request, None);
        let body = BodyStream::new(request.take_payload());
        let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(body));
        if let Some(value) = request.headers().get(CONTENT_TYPE) {
            response.headers_mut().insert(CONTENT_TYPE, value.clone());
        }
        return response;
    }
    let body = match read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(e) => return problem(&e.into()),
    };
    record_execution(state, &request, Some(Digest::of(&body)));
    match (request.method().clone(), request.path()) {
        (Method::POST, "/score") => match serde_json::from_slice::<ScoreRequest>(&body) {
            Ok(scored) => json(
                StatusCode::OK,
                &json_value!({ "score": score(&scored.text) }),
            ),
            Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        (Method::POST, "/orders" | "/quotes") => {
            state.order_count.set(state.order_count.get() + 1);
            json(
                StatusCode::OK,
                &json_value!({ "id": state.order_count.get() }),
            )
        }
        (Method::GET, path) => match path.strip_prefix("/orders/").map(str::parse::<u64>) {
            Some(Ok(id)) => json(
                StatusCode::OK,
                &json_value!({ "id": id, "status": "pressing" }),
            ),
            _ => json(StatusCode::NOT_FOUND, &Value::Null),
        },
        _ => json(StatusCode::NOT_FOUND, &Value::Null),
    }
}

/// Score of a text: a number from 0 to 1 that depends only on the text.
fn score(text: &str) -> f64 {
    hash::stable(text.as_bytes()) as f64 / u64::MAX as f64
}

fn record_execution(state: &State, request: &Request, body: Option<Digest>) {
    let mut executions = state.executions.borrow_mut();
    executions.push_back(Execution {
        method: request.method().as_str().into(),
        path: request.path().into(),
        key: header_value(request, header::IDEMPOTENCY_KEY),
        request_id: header_value(request, header::REQUEST_ID),
        body,
        at_ms: state.started_at.elapsed().as_millis() as u64,
    });
    while executions.len() > state.options.max_executions {
        executions.pop_front();
    }
}

/// Value of a header; `None` if it is absent or not printable ASCII.
fn header_value(request: &Request, name: &str) -> Option<CompactString> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(CompactString::from)
}

/// Response to a request that was not executed, with the reason in the `x-refused` header.
fn refusal_response(reason: &'static str) -> Response {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "refused before running");
    response.headers_mut().insert(
        HeaderName::from_static(header::REFUSED),
        HeaderValue::from_static(reason),
    );
    response
}
