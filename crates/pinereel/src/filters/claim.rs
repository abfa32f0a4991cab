//! Idempotency keys: a call that may not be repeated runs at most once under its key.
//!
//! The key is claimed before the call is sent, and the outcome is recorded after it. Both go on in
//! a task of their own, so that a caller who goes away leaves no claim without an outcome.

use super::{
    Exchange, refuse,
    service::{Call, attempts},
    unknown,
};
use crate::{
    controllers::claims::{self, Ask, Asked},
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

/// Longest key, in bytes.
const MAX_KEY: usize = 256;
/// When to come back to a key that could not be claimed or whose request still runs.
const RETRY_AFTER_MS: u64 = 1_000;

/// The key of a call that may not be repeated; `None` if it has none or needs none.
///
/// # Errors
/// `BadRequest` for a key that is empty, too long, not plain text, or given twice.
pub fn key(call: &Call) -> Result<Option<CompactString>, Problem> {
    if call.repeatable {
        return Ok(None);
    }
    let mut keys = call
        .headers
        .iter()
        .filter(|(name, _)| name == header::IDEMPOTENCY_KEY);
    let Some((_, value)) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return Err(refuse(Code::BadRequest, "more than one idempotency key"));
    }
    let text = value.to_str().ok().filter(|text| is_valid(text));
    match text {
        Some(text) => Ok(Some(text.into())),
        None => Err(refuse(
            Code::BadRequest,
            "the idempotency key is not 1 to 256 bytes of plain text",
        )),
    }
}

fn is_valid(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY && !key.chars().any(char::is_control)
}

/// Runs a call under its key, or answers what became of the one that ran.
///
/// # Errors
/// The verdicts other than a grant and a repeat, and what the call itself ends with.
pub async fn run(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    call: Call,
    key: &str,
) -> Result<Response, Problem> {
    let ask = Ask {
        // No pool's name has a slash in it, so two pools' keys are never the same.
        key: format_compact!("{}/{key}", exchange.pool),
        digest: digest(&call),
        request: exchange.id.clone(),
    };
    let shared = Rc::clone(shared);
    let exchange = exchange.clone();
    let task = actix_rt::spawn(async move {
        let _guard = shared.drain.enter();
        claimed(&shared, &exchange, &call, ask).await
    });
    task.await
        .unwrap_or_else(|e| Err(unknown(Code::Unknown, format_compact!("{e}"))))
}

/// The digest of what makes two calls the same. Neither method nor path has a line break in it.
fn digest(call: &Call) -> Digest {
    let mut content = format!("{} {}\n", call.method, call.path).into_bytes();
    content.extend_from_slice(&call.body);
    Digest::of(&content)
}

async fn claimed(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    call: &Call,
    ask: Ask,
) -> Result<Response, Problem> {
    let (ask, asked) = verdict(shared, exchange, ask).await;
    match asked {
        Asked::Verdict(Verdict::Granted) => granted(shared, exchange, call, ask).await,
        Asked::Verdict(Verdict::Repeat(record)) => replay(record),
        Asked::Verdict(Verdict::InProgress) => Err(Problem {
            retry_after_ms: Some(RETRY_AFTER_MS),
            ..unknown(Code::InProgress, "a request with this key is running")
        }),
        Asked::Verdict(Verdict::ClaimUnknown) => Err(lost_outcome()),
        Asked::Verdict(Verdict::KeyConflict) => Err(refuse(
            Code::KeyConflict,
            "the key was used with another request",
        )),
        Asked::Verdict(Verdict::NotClaimed) => Err(not_claimed("the key could not be claimed")),
        Asked::Closed | Asked::Late => {
            settle(shared, ask, None);
            Err(not_claimed("no verdict on the key came"))
        }
    }
}

/// Asks for a verdict. An owner that went away is no reason to refuse: what it may have claimed is
/// given up, and the next one asked, under another id since the first ask must never be granted.
async fn verdict(shared: &Rc<Shared>, exchange: &Exchange, ask: Ask) -> (Ask, Asked) {
    let asked = claims::claim(shared, &ask, exchange.left(shared.now())).await;
    note(shared, exchange, &asked);
    if asked != Asked::Closed {
        return (ask, asked);
    }
    let again = Ask {
        request: format_compact!("{}.2", ask.request),
        ..ask.clone()
    };
    if !claims::give_up(shared, &ask).await {
        return (ask, asked);
    }
    let asked = claims::claim(shared, &again, exchange.left(shared.now())).await;
    note(shared, exchange, &asked);
    (again, asked)
}

async fn granted(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    call: &Call,
    ask: Ask,
) -> Result<Response, Problem> {
    if exchange.left(shared.now()).is_zero() {
        settle(shared, ask, None);
        return Err(refuse(Code::Deadline, "the deadline passed"));
    }
    let result = match attempts(shared, exchange, call).await {
        Ok(response) => record(response).await,
        Err(problem) => Err(problem),
    };
    match result {
        Ok((response, outcome)) => {
            settle(shared, ask, Some(outcome));
            Ok(response)
        }
        Err(problem) => {
            let outcome = match problem.ran {
                Ran::NotRun => None,
                Ran::Unknown => Some(no_outcome()),
            };
            settle(shared, ask, outcome);
            Err(problem)
        }
    }
}

/// Settles in the background: the caller has its answer already.
fn settle(shared: &Rc<Shared>, ask: Ask, outcome: Option<StoredResponse>) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let _guard = shared.drain.enter();
        claims::settle(&shared, &ask, outcome).await;
    });
}

fn note(shared: &Shared, exchange: &Exchange, asked: &Asked) {
    let verdict = match asked {
        Asked::Verdict(Verdict::Granted) => "granted",
        Asked::Verdict(Verdict::Repeat(_)) => "repeat",
        Asked::Verdict(Verdict::InProgress) => "in_progress",
        Asked::Verdict(Verdict::ClaimUnknown) => "unknown",
        Asked::Verdict(Verdict::KeyConflict) => "key_conflict",
        Asked::Verdict(Verdict::NotClaimed) => "not_claimed",
        Asked::Closed => "closed",
        Asked::Late => "late",
    };
    shared.metrics.claims.with_label_values(&[verdict]).inc();
    let reason = format_compact!("claim: {verdict}");
    shared.decide(DecisionKind::Admit, &exchange.id, None, &reason);
}

fn not_claimed(message: &str) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..refuse(Code::ObjectApi, message)
    }
}

fn lost_outcome() -> Problem {
    unknown(
        Code::Unknown,
        "a request with this key may have run; its outcome is not known",
    )
}

/// The record of a request that may have run and left no answer.
fn no_outcome() -> StoredResponse {
    StoredResponse {
        status: 0,
        content_type: CompactString::default(),
        body: None,
    }
}

/// The recorded answer again. A body that was too large to keep is absent.
fn replay(record: StoredResponse) -> Result<Response, Problem> {
    let Ok(status) = StatusCode::from_u16(record.status) else {
        return Err(lost_outcome());
    };
    let body = record.body.unwrap_or_default();
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(
        HeaderName::from_static(header::IDEMPOTENT_REPLAY),
        HeaderValue::from_static("true"),
    );
    if let Ok(kind) = HeaderValue::from_str(&record.content_type)
        && !kind.is_empty()
    {
        headers.insert(CONTENT_TYPE, kind);
    }
    Ok(response)
}

/// Reads an answer up to the size that is kept, so that its record is true to what came. An answer
/// that breaks off before that is no answer.
async fn record(response: Response) -> Result<(Response, StoredResponse), Problem> {
    let (head, body) = response.into_parts();
    let length = match body.size() {
        BodySize::Sized(length) => Some(length),
        _ => None,
    };
    let mut body = Box::pin(body);
    let mut first = BytesMut::new();
    let mut whole = false;
    while first.len() <= MAX_BODY_BYTES {
        match next(body.as_mut()).await {
            Some(Ok(part)) => first.extend_from_slice(&part),
            Some(Err(e)) => return Err(unknown(Code::Unknown, format_compact!("{e}"))),
            None => {
                whole = true;
                break;
            }
        }
    }
    let first = first.freeze();
    let kept = if whole {
        String::from_utf8(first.to_vec()).ok()
    } else {
        None
    };
    let content_type = head.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let outcome = StoredResponse {
        status: head.status().as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: kept,
    };
    let response = head.set_body(rejoin(first, whole, body, length));
    Ok((response, outcome.bounded()))
}

async fn next(mut body: Pin<&mut BoxBody>) -> Option<Result<Bytes, Box<dyn std::error::Error>>> {
    poll_fn(|cx| body.as_mut().poll_next(cx)).await
}

/// The body as it came: what was read already, then the rest.
fn rejoin(first: Bytes, whole: bool, body: Pin<Box<BoxBody>>, length: Option<u64>) -> BoxBody {
    if whole {
        return BoxBody::new(first);
    }
    let rest = stream::unfold(body, |mut body| async move {
        let item = next(body.as_mut()).await?;
        Some((item.map_err(|e| std::io::Error::other(e.to_string())), body))
    });
    let stream = stream::once(async move { Ok(first) }).chain(rest);
    match length {
        Some(length) => BoxBody::new(actix_http::body::SizedStream::new(length, Box::pin(stream))),
        None => BoxBody::new(BodyStream::new(Box::pin(stream))),
    }
}
