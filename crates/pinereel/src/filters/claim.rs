//! Idempotency keys: a non-idempotent request runs at most once under its key.
//!
//! The key is claimed before the request is sent, and the outcome is recorded afterwards. Both run
//! in a task of their own, so that a caller that disconnects leaves no claim without an outcome.

use super::{
    RequestContext, may_have_run, not_run,
    service::{ServiceRequest, run_attempts},
};
use crate::{
    controllers::claims::{self, ClaimRequest, ClaimResult},
    http::Response,
    logging::DecisionKind,
    state::Shared,
};
use actix_http::{
    StatusCode,
    body::{BodySize, BodyStream, BoxBody, MessageBody},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use futures_util::{StreamExt as _, stream};
use pinereel_api::{
    Problem, header,
    problem::{Code, Ran},
};
use pinereel_core::{
    claim::{MAX_BODY_BYTES, StoredResponse, Verdict},
    hash::Digest,
};
use std::{future::poll_fn, pin::Pin, rc::Rc};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// `retry_after_ms` for a key that could not be claimed or whose request is still running.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads the idempotency key of a non-idempotent request; `None` if it has no key or may be
/// repeated anyway.
///
/// # Errors
/// `BadRequest` for a key that is empty, too long, not plain text, or given twice.
pub fn idempotency_key(request: &ServiceRequest) -> Result<Option<CompactString>, Problem> {
    if request.repeatable {
        return Ok(None);
    }
    let mut keys = request
        .headers
        .iter()
        .filter(|(name, _)| name == header::IDEMPOTENCY_KEY);
    let Some((_, value)) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return Err(not_run(Code::BadRequest, "more than one idempotency key"));
    }
    let text = value.to_str().ok().filter(|text| is_valid(text));
    match text {
        Some(text) => Ok(Some(text.into())),
        None => Err(not_run(
            Code::BadRequest,
            "the idempotency key is not 1 to 256 bytes of plain text",
        )),
    }
}

fn is_valid(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.chars().any(char::is_control)
}

/// Runs a request under its key, or replays the stored response of an earlier one.
///
/// # Errors
/// All verdicts other than a granted claim and a replay, and the problem of the request itself.
pub async fn run(
    shared: &Rc<Shared>,
    context: &RequestContext,
    request: ServiceRequest,
    key: &str,
) -> Result<Response, Problem> {
    let claim_request = ClaimRequest {
        // The name of a pool contains no slash, so the keys of two pools are never the same.
        key: format_compact!("{}/{key}", context.pool),
        digest: digest(&request),
        request: context.id.clone(),
    };
    let shared = Rc::clone(shared);
    let context = context.clone();
    let task = actix_rt::spawn(async move {
        let _guard = shared.drain.track_request();
        run_with_claim(&shared, &context, &request, claim_request).await
    });
    task.await
        .unwrap_or_else(|e| Err(may_have_run(Code::Unknown, format_compact!("{e}"))))
}

/// Digest of method, path and body, by which a repeated request is recognised. The line break ends
/// the path unambiguously: neither method nor path contains one.
fn digest(request: &ServiceRequest) -> Digest {
    let mut content = format!("{} {}\n", request.method, request.path).into_bytes();
    content.extend_from_slice(&request.body);
    Digest::of(&content)
}

async fn run_with_claim(
    shared: &Rc<Shared>,
    context: &RequestContext,
    request: &ServiceRequest,
    claim_request: ClaimRequest,
) -> Result<Response, Problem> {
    let (claim_request, result) = request_verdict(shared, context, claim_request).await;
    match result {
        ClaimResult::Verdict(Verdict::Granted) => {
            run_granted(shared, context, request, claim_request).await
        }
        ClaimResult::Verdict(Verdict::Repeat(record)) => replay(record),
        ClaimResult::Verdict(Verdict::InProgress) => Err(Problem {
            retry_after_ms: Some(RETRY_AFTER_MS),
            ..may_have_run(Code::InProgress, "a request with this key is running")
        }),
        ClaimResult::Verdict(Verdict::ClaimUnknown) => Err(outcome_unknown()),
        ClaimResult::Verdict(Verdict::KeyConflict) => Err(not_run(
            Code::KeyConflict,
            "the key was used with another request",
        )),
        ClaimResult::Verdict(Verdict::NotClaimed) => {
            Err(claim_failed("the key could not be claimed"))
        }
        ClaimResult::Closed | ClaimResult::TimedOut => {
            settle(shared, claim_request, None);
            Err(claim_failed("no verdict on the key came"))
        }
    }
}

/// Requests a verdict from the key's owner. If the link to the owner closes, releases the claim that
/// the owner may have stored, and claims the key again, under another request id since the first
/// claim request must never be granted.
async fn request_verdict(
    shared: &Rc<Shared>,
    context: &RequestContext,
    claim_request: ClaimRequest,
) -> (ClaimRequest, ClaimResult) {
    let result = claims::claim(shared, &claim_request, context.remaining(shared.now())).await;
    log_verdict(shared, context, &result);
    if result != ClaimResult::Closed {
        return (claim_request, result);
    }
    let second_request = ClaimRequest {
        request: format_compact!("{}.2", claim_request.request),
        ..claim_request.clone()
    };
    if !claims::settle_not_run(shared, &claim_request).await {
        return (claim_request, result);
    }
    let result = claims::claim(shared, &second_request, context.remaining(shared.now())).await;
    log_verdict(shared, context, &result);
    (second_request, result)
}

async fn run_granted(
    shared: &Rc<Shared>,
    context: &RequestContext,
    request: &ServiceRequest,
    claim_request: ClaimRequest,
) -> Result<Response, Problem> {
    if context.remaining(shared.now()).is_zero() {
        settle(shared, claim_request, None);
        return Err(not_run(Code::Deadline, "the deadline passed"));
    }
    let result = match run_attempts(shared, context, request).await {
        Ok(response) => buffer_response(response).await,
        Err(problem) => Err(problem),
    };
    match result {
        Ok((response, outcome)) => {
            settle(shared, claim_request, Some(outcome));
            Ok(response)
        }
        Err(problem) => {
            let outcome = match problem.ran {
                Ran::NotRun => None,
                Ran::Unknown => Some(empty_response()),
            };
            settle(shared, claim_request, outcome);
            Err(problem)
        }
    }
}

/// Settles the claim in the background, since the caller's response does not depend on it.
fn settle(shared: &Rc<Shared>, claim_request: ClaimRequest, outcome: Option<StoredResponse>) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let _guard = shared.drain.track_request();
        claims::settle(&shared, &claim_request, outcome).await;
    });
}

fn log_verdict(shared: &Shared, context: &RequestContext, result: &ClaimResult) {
    let verdict = match result {
        ClaimResult::Verdict(Verdict::Granted) => "granted",
        ClaimResult::Verdict(Verdict::Repeat(_)) => "repeat",
        ClaimResult::Verdict(Verdict::InProgress) => "in_progress",
        ClaimResult::Verdict(Verdict::ClaimUnknown) => "unknown",
        ClaimResult::Verdict(Verdict::KeyConflict) => "key_conflict",
        ClaimResult::Verdict(Verdict::NotClaimed) => "not_claimed",
        ClaimResult::Closed => "closed",
        ClaimResult::TimedOut => "late",
    };
    shared.metrics.claims.with_label_values(&[verdict]).inc();
    let reason = format_compact!("claim: {verdict}");
    shared.log_decision(DecisionKind::Admit, &context.id, None, &reason);
}

fn claim_failed(message: &str) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..not_run(Code::ObjectApi, message)
    }
}

fn outcome_unknown() -> Problem {
    may_have_run(
        Code::Unknown,
        "a request with this key may have run; its outcome is not known",
    )
}

/// Stored outcome of a request that may have run without a response.
fn empty_response() -> StoredResponse {
    StoredResponse {
        status: 0,
        content_type: CompactString::default(),
        body: None,
    }
}

/// Builds the response from a stored one. A body that was too large to store is left out.
fn replay(record: StoredResponse) -> Result<Response, Problem> {
    let Ok(status) = StatusCode::from_u16(record.status) else {
        return Err(outcome_unknown());
    };
    let body = record.body.unwrap_or_default();
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(
        HeaderName::from_static(header::IDEMPOTENT_REPLAY),
        HeaderValue::from_static("true"),
    );
    if let Ok(content_type) = HeaderValue::from_str(&record.content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}

/// Buffers a response up to the size that is stored, so that the stored outcome matches what was
/// received. A body that breaks off before that counts as no response.
async fn buffer_response(response: Response) -> Result<(Response, StoredResponse), Problem> {
    let (head, body) = response.into_parts();
    let length = match body.size() {
        BodySize::Sized(length) => Some(length),
        _ => None,
    };
    let mut body = Box::pin(body);
    let mut buffered = BytesMut::new();
    let mut is_complete = false;
    while buffered.len() <= MAX_BODY_BYTES {
        match next_chunk(body.as_mut()).await {
            Some(Ok(part)) => buffered.extend_from_slice(&part),
            Some(Err(e)) => return Err(may_have_run(Code::Unknown, format_compact!("{e}"))),
            None => {
                is_complete = true;
                break;
            }
        }
    }
    let buffered = buffered.freeze();
    let stored_body = if is_complete {
        String::from_utf8(buffered.to_vec()).ok()
    } else {
        None
    };
    let content_type = head.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let outcome = StoredResponse {
        status: head.status().as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: stored_body,
    };
    let response = head.set_body(restore_body(buffered, is_complete, body, length));
    Ok((response, outcome.bounded()))
}

async fn next_chunk(
    mut body: Pin<&mut BoxBody>,
) -> Option<Result<Bytes, Box<dyn std::error::Error>>> {
    poll_fn(|cx| body.as_mut().poll_next(cx)).await
}

/// Restores the original body: the buffered part followed by the rest.
fn restore_body(
    buffered: Bytes,
    is_complete: bool,
    body: Pin<Box<BoxBody>>,
    length: Option<u64>,
) -> BoxBody {
    if is_complete {
        return BoxBody::new(buffered);
    }
    let rest = stream::unfold(body, |mut body| async move {
        let item = next_chunk(body.as_mut()).await?;
        Some((item.map_err(|e| std::io::Error::other(e.to_string())), body))
    });
    let stream = stream::once(async move { Ok(buffered) }).chain(rest);
    match length {
        Some(length) => BoxBody::new(actix_http::body::SizedStream::new(length, Box::pin(stream))),
        None => BoxBody::new(BodyStream::new(Box::pin(stream))),
    }
}
