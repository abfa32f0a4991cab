//! Reading request bodies within bounds of size and time.

use super::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Why a body could not be read. The request did not run in any case.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// More than the bound.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// Not complete within the timeout.
    #[error("body was not complete within {0:?}")]
    Slow(Duration),
    /// The connection broke or the framing is wrong.
    #[error("body could not be read: {0}")]
    Broken(String),
    /// Not the expected JSON.
    #[error("malformed JSON: {0}")]
    Malformed(serde_json::Error),
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let code = match error {
            Error::TooLarge(_) => Code::TooLarge,
            Error::Slow(_) => Code::SlowSender,
            Error::Broken(_) | Error::Malformed(_) => Code::BadRequest,
        };
        Self {
            code,
            message: error.to_string().into(),
            ran: Ran::NotRun,
            retry_after_ms: None,
        }
    }
}

/// Reads a whole body of at most `max` bytes within `timeout`.
pub async fn read(request: &mut Request, max: usize, timeout: Duration) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let whole = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| Error::Broken(e.to_string()))?;
            if body.len() + part.len() > max {
                return Err(Error::TooLarge(max));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(timeout, whole)
        .await
        .unwrap_or(Err(Error::Slow(timeout)))
}

/// Reads a JSON body of at most `max` bytes within `timeout`.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max: usize,
    timeout: Duration,
) -> Result<T, Error> {
    let body = read(request, max, timeout).await?;
    serde_json::from_slice(&body).map_err(Error::Malformed)
}
