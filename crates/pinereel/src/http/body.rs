//! Reads request bodies with a size limit and a timeout.

use super::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Why a request body could not be read. The request has not been executed in any of these cases.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body exceeds the limit, which is given in bytes.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body was not complete within the timeout.
    #[error("body was not complete within {0:?}")]
    Timeout(Duration),
    /// The connection failed or the transfer encoding is invalid.
    #[error("body could not be read: {0}")]
    Read(String),
    /// The body is not JSON of the expected type.
    #[error("malformed JSON: {0}")]
    Json(serde_json::Error),
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let code = match error {
            Error::TooLarge(_) => Code::TooLarge,
            Error::Timeout(_) => Code::SlowSender,
            Error::Read(_) | Error::Json(_) => Code::BadRequest,
        };
        Self {
            code,
            message: error.to_string().into(),
            ran: Ran::NotRun,
            retry_after_ms: None,
        }
    }
}

/// Reads a whole body of at most `max_bytes` within `timeout`.
pub async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let read_all = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|e| Error::Read(e.to_string()))?;
            if body.len() + chunk.len() > max_bytes {
                return Err(Error::TooLarge(max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(timeout, read_all)
        .await
        .unwrap_or(Err(Error::Timeout(timeout)))
}

/// Reads a JSON body of at most `max_bytes` within `timeout`.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<T, Error> {
    let body = read_body(request, max_bytes, timeout).await?;
    serde_json::from_slice(&body).map_err(Error::Json)
}
