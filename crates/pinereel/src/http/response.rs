//! Builders for HTTP responses.

use super::Response;
use actix_http::{
    StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use futures_util::Stream;
use pinereel_api::{
    Problem, header,
    problem::{Code, Ran},
};
use serde::Serialize;
use std::convert::Infallible;

/// Response with a JSON body; status 500 with the error text if `body` cannot be serialized.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(e) => return text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    };
    with_content_type(status, "application/json", bytes)
}

/// Response with a plain text body in UTF-8.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    with_content_type(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

/// Response without a body.
pub fn empty(status: StatusCode) -> Response {
    Response::new(status).set_body(BoxBody::new(()))
}

/// Streaming response of server-sent events; each item is sent as one chunk.
pub fn event_stream(events: impl Stream<Item = Result<Bytes, Infallible>> + 'static) -> Response {
    let body = BoxBody::new(BodyStream::new(events));
    let mut response = Response::new(StatusCode::OK).set_body(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Error response for `problem`: the status follows its code, and `x-ran` and `Retry-After` are set
/// in the headers.
pub fn problem(problem: &Problem) -> Response {
    let mut response = json(problem_status(problem.code), problem);
    let headers = response.headers_mut();
    let ran = match problem.ran {
        Ran::NotRun => "not-run",
        Ran::Unknown => "unknown",
    };
    headers.insert(
        HeaderName::from_static(header::RAN),
        HeaderValue::from_static(ran),
    );
    if let Some(millis) = problem.retry_after_ms {
        // `Retry-After` is in whole seconds. Rounding up never makes a client retry too early.
        headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
    }
    response
}

/// HTTP status of a problem code.
pub const fn problem_status(code: Code) -> StatusCode {
    match code {
        Code::BadRequest | Code::BadToken | Code::InvalidPatch => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::SlowSender => StatusCode::REQUEST_TIMEOUT,
        Code::NotFound => StatusCode::NOT_FOUND,
        Code::Unauthorized => StatusCode::UNAUTHORIZED,
        Code::Unavailable | Code::NoEndpoint | Code::NotConfirmed | Code::ObjectApi => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Code::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Code::Unknown => StatusCode::BAD_GATEWAY,
        Code::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Code::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Code::InProgress
        | Code::Conflict
        | Code::LotUnknown
        | Code::LotConflict
        | Code::ForeignToken
        | Code::BehindToken => StatusCode::CONFLICT,
    }
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
