//! From requests to answers.

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
use serde_json::{Value, json as value};
use std::{rc::Rc, time::Duration};

/// Longest wait for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body but for `/echo`, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Body of `POST /score`.
#[derive(Deserialize)]
struct Text {
    text: String,
}

/// Answers one request.
pub(super) async fn answer(state: Rc<State>, mut request: Request) -> Response {
    let mut response = match (request.method().clone(), request.path()) {
        (Method::GET, "/record") => json(StatusCode::OK, &*state.executions.borrow()),
        (Method::POST, "/faults") => {
            match read_json::<Faults>(&mut request, MAX_BODY, BODY_TIMEOUT).await {
                Ok(faults) => {
                    state.set_faults(faults);
                    empty(StatusCode::NO_CONTENT)
                }
                Err(e) => problem(&e.into()),
            }
        }
        _ => work(&state, request).await,
    };
    response.headers_mut().insert(
        HeaderName::from_static(header::INCARNATION),
        HeaderValue::from(state.options.incarnation),
    );
    response
}

/// A request for work: faults before the run, the run, faults after it.
async fn work(state: &State, request: Request) -> Response {
    if fault::take_one(&state.drop_before_run) {
        return fault::lost_response();
    }
    let before = state.faults.get();
    if before.leaving == Some(true) {
        return refused("leaving");
    }
    if before.refuse == Some(true) {
        return refused("busy");
    }
    let answer = run(state, request).await;
    let after = state.faults.get();
    fault::delay(Duration::from_millis(after.delay_ms.unwrap_or(0))).await;
    if fault::take_one(&state.drop_after_run) {
        return fault::lost_response();
    }
    match after.fail_status.map(StatusCode::from_u16) {
        Some(Ok(status)) => text(status, "failed on request"),
        _ => answer,
    }
}

/// Runs the request and records the execution.
async fn run(state: &State, mut request: Request) -> Response {
    if request.path() == "/echo" {
        record(state, &request, None);
        let body = BodyStream::new(request.take_payload());
        let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(body));
        if let Some(kind) = request.headers().get(CONTENT_TYPE) {
            response.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        return response;
    }
    let body = match read_body(&mut request, MAX_BODY, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(e) => return problem(&e.into()),
    };
    record(state, &request, Some(Digest::of(&body)));
    match (request.method().clone(), request.path()) {
        (Method::POST, "/score") => match serde_json::from_slice::<Text>(&body) {
            Ok(text) => json(StatusCode::OK, &value!({ "score": score(&text.text) })),
            Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        (Method::POST, "/orders" | "/quotes") => {
            state.orders.set(state.orders.get() + 1);
            json(StatusCode::OK, &value!({ "id": state.orders.get() }))
        }
        (Method::GET, path) => match path.strip_prefix("/orders/").map(str::parse::<u64>) {
            Some(Ok(id)) => json(StatusCode::OK, &value!({ "id": id, "status": "pressing" })),
            _ => json(StatusCode::NOT_FOUND, &Value::Null),
        },
        _ => json(StatusCode::NOT_FOUND, &Value::Null),
    }
}

/// A number from 0 to 1 that depends on nothing but the text.
fn score(text: &str) -> f64 {
    hash::stable(text.as_bytes()) as f64 / u64::MAX as f64
}

fn record(state: &State, request: &Request, body: Option<Digest>) {
    let mut executions = state.executions.borrow_mut();
    executions.push_back(Execution {
        method: request.method().as_str().into(),
        path: request.path().into(),
        key: find(request, header::IDEMPOTENCY_KEY),
        request_id: find(request, header::REQUEST_ID),
        body,
        at_ms: state.started.elapsed().as_millis() as u64,
    });
    while executions.len() > state.options.records {
        executions.pop_front();
    }
}

fn find(request: &Request, name: &str) -> Option<CompactString> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(CompactString::from)
}

fn refused(why: &'static str) -> Response {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "refused before running");
    response.headers_mut().insert(
        HeaderName::from_static(header::REFUSED),
        HeaderValue::from_static(why),
    );
    response
}
