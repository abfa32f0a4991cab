//! HTTP client of model engines: streamed completions, cancels, load orders and state.

use crate::upstream::{Attempt, Client, Error as SendError, Reuse, pool::Response};
use actix_http::{
    Method, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{Stream, StreamExt as _, TryStreamExt as _};
use pinereel_api::{
    engine::{Cancel, Chunk, FinishReason, Order, Request, State},
    header,
};
use pinereel_core::{
    crash::{Content, Identity, RequestParts},
    lot::{self, AttemptKey},
    provenance::Stamp,
};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

/// Maximum length of a line in an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum body size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Timeout of a cancel that is sent in the background.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// Prefix of a data line in an event stream.
const DATA_PREFIX: &str = "data:";
/// Data of the last event of a complete stream.
const DONE_DATA: &str = "[DONE]";

/// Why there is no complete response from an engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened: the request did not run.
    #[error("{0}")]
    NotOpened(String),
    /// The engine refused the request before running it; it may be leaving.
    #[error("refused: {0}")]
    Refused(String),
    /// The order's fencing token is lower than one that the engine has seen.
    #[error("the fencing token is old")]
    Fenced,
    /// The response was lost: the request may have run.
    #[error("lost: {0}")]
    Lost(String),
    /// The response or one of its chunks is malformed.
    #[error("malformed: {0}")]
    Malformed(String),
}

impl From<SendError> for Error {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotOpened(e) => Self::NotOpened(e),
            SendError::Lost(e) => Self::Lost(e),
            SendError::Invalid(e) => Self::Refused(e),
        }
    }
}

/// Identity by which crash reports recognise a repeated completion request. It does not depend on
/// the output of earlier attempts.
pub fn identity(request: Request) -> Identity {
    let request = Request {
        request_id: CompactString::default(),
        priority: 0,
        resume: String::default(),
        resume_tokens: 0,
        ..request
    };
    // A request that cannot be encoded is refused before it is sent.
    let body = serde_json::to_vec(&request).unwrap_or_default();
    Identity::of(RequestParts {
        caller: &[],
        method: "POST",
        host: &request.model,
        target: COMPLETIONS_PATH,
        content: Content::Body(&body),
    })
}

/// Starts a completion. The stream ends after the chunk with a `finish`; an error item means that
/// the response is incomplete.
pub async fn complete(
    client: &Client,
    address: &str,
    request: &Request,
    timeout: Duration,
) -> Result<impl Stream<Item = Result<Chunk, Error>> + use<>, Error> {
    let response = post(client, address, COMPLETIONS_PATH, request, timeout).await?;
    let response = check_status(response)?;
    Ok(parse_chunks(response))
}

/// Cancels an attempt. Has no effect if the engine does not run it.
pub async fn cancel(
    client: &Client,
    address: &str,
    cancel: &Cancel,
    timeout: Duration,
) -> Result<(), Error> {
    let response = post(client, address, "/v1/cancel", cancel, timeout).await?;
    check_status(response).map(drop)
}

/// Cancels an attempt in the background.
pub fn cancel_detached(client: &Client, address: CompactString, request_id: CompactString) {
    let client = client.clone();
    actix_rt::spawn(async move {
        // A lost cancel only wastes tokens.
        let _ = cancel(&client, &address, &Cancel { request_id }, CANCEL_TIMEOUT).await;
    });
}

/// Orders an engine to load and serve a version.
///
/// # Errors
/// [`Error::Fenced`] if the engine has seen a higher fencing token.
pub async fn order(
    client: &Client,
    address: &str,
    order: &Order,
    timeout: Duration,
) -> Result<State, Error> {
    let response = post(client, address, "/v1/orders", order, timeout).await?;
    if response.status == StatusCode::CONFLICT {
        return Err(Error::Fenced);
    }
    read_json(check_status(response)?, timeout).await
}

/// Reads an engine's state.
pub async fn state(client: &Client, address: &str, timeout: Duration) -> Result<State, Error> {
    let attempt = Attempt {
        // Only these calls share connections. A late copy of a response is at most an older state.
        reuse: Reuse::Allowed,
        ..json_attempt(Method::GET, address, "/v1/state", Bytes::new(), timeout)
    };
    let response = client.send(attempt).await?;
    read_json(check_status(response)?, timeout).await
}

async fn post(
    client: &Client,
    address: &str,
    path: &str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<Response, Error> {
    let bytes = serde_json::to_vec(message).map_err(|e| Error::Refused(e.to_string()))?;
    let attempt = json_attempt(Method::POST, address, path, bytes.into(), timeout);
    Ok(client.send(attempt).await?)
}

fn json_attempt(
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Attempt {
    Attempt {
        method,
        address: address.into(),
        path: path.into(),
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body,
        timeout,
        // Responses do not name their requests.
        reuse: Reuse::Fresh,
    }
}

/// Converts error responses to errors.
fn check_status(response: Response) -> Result<Response, Error> {
    if response.status.is_success() {
        return Ok(response);
    }
    let refused = response.headers.get(header::REFUSED);
    if let Some(reason) = refused {
        let reason = String::from_utf8_lossy(reason.as_bytes());
        return Err(Error::Refused(reason.into_owned()));
    }
    Err(Error::Lost(response.status.to_string()))
}

async fn read_json<T: DeserializeOwned>(response: Response, timeout: Duration) -> Result<T, Error> {
    let bytes = tokio::time::timeout(timeout, response.body.read_within(MAX_RESPONSE_BYTES))
        .await
        .map_err(|_| Error::Lost("timeout".into()))?
        .map_err(|e| Error::Lost(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))
}

/// Parses the chunks of an event stream up to `[DONE]`. A stream that ends without it is truncated.
fn parse_chunks(response: Response) -> impl Stream<Item = Result<Chunk, Error>> {
    let reader = StreamReader::new(response.body.into_stream().boxed_local());
    let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    let end = futures_util::stream::once(async { Err(Error::Lost("stream cut".into())) });
    lines
        .map_err(|e| Error::Lost(e.to_string()))
        .chain(end)
        .try_filter_map(|line| async move { Ok(event_data(&line)) })
        .try_take_while(|data| {
            let is_chunk = data != DONE_DATA;
            async move { Ok(is_chunk) }
        })
        .and_then(|data| async move {
            serde_json::from_str(&data).map_err(|e| Error::Malformed(e.to_string()))
        })
        .scan(false, |failed, item| {
            // The stream ends after an error.
            let already_failed = *failed;
            *failed = item.is_err();
            async move { (!already_failed).then_some(item) }
        })
}

fn event_data(line: &str) -> Option<String> {
    line.strip_prefix(DATA_PREFIX)
        .map(|data| data.trim().to_owned())
}

/// Converts a chunk's token positions and versions to the core's type.
pub fn stamp(chunk: &Chunk) -> Stamp {
    Stamp {
        offset: chunk.offset,
        tokens: chunk.tokens,
        version: chunk.version,
        reused: chunk.reused.clone(),
    }
}

/// Converts a chunk of an attempt to the type of the core's lot runner.
pub fn lot_chunk(attempt: AttemptKey, chunk: Chunk) -> lot::Chunk {
    lot::Chunk {
        attempt,
        stamp: stamp(&chunk),
        text: chunk.text,
        finish: chunk.finish.map(|finish| match finish {
            FinishReason::Stop | FinishReason::Length => lot::Finish::Complete,
            FinishReason::Cancelled => lot::Finish::Cancelled,
        }),
    }
}
