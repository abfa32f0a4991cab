//! HTTP client for the operators' listener of one entry, which retries idempotent requests.

use super::{Error, Target};
use crate::settings::Secret;
use awc::error::{ConnectError, SendRequestError};
use compact_str::{CompactString, ToCompactString as _};
use pinereel_api::{
    header,
    problem::{Code, Problem},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Timeout of one response: a patch is answered once all entries have confirmed it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delays between attempts of a request that may be retried.
const RETRY_DELAYS: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Request to an entry.
pub(super) struct Request<'a, B> {
    pub(super) path: &'a str,
    /// JSON body. A request without one is a GET, unless it is mutating.
    pub(super) body: Option<&'a B>,
    /// Whether the request may change state. Such requests are idempotent and are retried until
    /// their response arrives.
    pub(super) mutating: bool,
}

/// Sends `request` and waits for its response.
pub(super) fn send<B: Serialize, T: DeserializeOwned>(
    target: &Target,
    request: &Request<'_, B>,
) -> Result<T, Error> {
    let token = Secret::read(&target.token_file).map_err(|expected| Error::File {
        path: target.token_file.clone(),
        expected,
    })?;
    let body = request.body.map(serde_json::to_vec).transpose();
    let client = Client {
        address: target.operators,
        token,
        path: request.path,
        body: body.expect("messages have text keys only"),
        mutating: request.mutating,
    };
    let bytes = actix_rt::System::new().block_on(client.send())?;
    let bytes = if bytes.is_empty() {
        b"null"
    } else {
        &bytes[..]
    };
    serde_json::from_slice(bytes).map_err(|error| client.unexpected_response(200, &error))
}

struct Client<'a> {
    address: SocketAddr,
    token: Secret,
    path: &'a str,
    body: Option<Vec<u8>>,
    mutating: bool,
}

impl Client<'_> {
    /// Sends the request and retries it after the delays of `RETRY_DELAYS` while it is retryable.
    async fn send(&self) -> Result<Vec<u8>, Error> {
        let mut result = self.attempt().await;
        let mut no_response = None;
        for delay in RETRY_DELAYS {
            let Err(error) = result else { break };
            if !self.is_retryable(&error) {
                return Err(error);
            }
            if !matches!(error, Error::Unreachable { .. }) {
                no_response = Some(error);
            }
            actix_rt::time::sleep(delay).await;
            result = self.attempt().await;
        }
        match (result, no_response) {
            // An earlier attempt may have been executed, so the outcome is unknown.
            (Err(Error::Unreachable { .. }), Some(no_response)) => Err(no_response),
            (result, _) => result,
        }
    }

    fn is_retryable(&self, error: &Error) -> bool {
        let retryable = match error {
            Error::Unreachable { .. } | Error::NoResponse { .. } => true,
            Error::Problem { problem, .. } => problem.code == Code::InProgress,
            _ => false,
        };
        self.mutating && retryable
    }

    async fn attempt(&self) -> Result<Vec<u8>, Error> {
        let client = awc::Client::builder()
            .disable_redirects()
            .timeout(RESPONSE_TIMEOUT)
            .connector(awc::Connector::new().timeout(CONNECT_TIMEOUT))
            .finish();
        let url = format!("http://{}{}", self.address, self.path);
        let request = if self.body.is_some() || self.mutating {
            client.post(url)
        } else {
            client.get(url)
        };
        let authorization = format!("Bearer {}", self.token.reveal());
        let request = request
            .insert_header((header::AUTHORIZATION, authorization))
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(self.body.clone().unwrap_or_default());
        let mut response = sent.await.map_err(|error| self.send_error(&error))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.no_response(&error))?;
        if status.is_success() {
            return Ok(body.to_vec());
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(Error::Problem {
                problem,
                mutating: self.mutating,
            }),
            Err(error) => Err(self.unexpected_response(status.as_u16(), &error)),
        }
    }

    fn send_error(&self, error: &SendRequestError) -> Error {
        match error {
            // awc also reports this error if the connection was closed after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => self.no_response(error),
            SendRequestError::Url(_) | SendRequestError::Connect(_) => Error::Unreachable {
                address: self.address,
                reason: error.to_compact_string(),
            },
            _ => self.no_response(error),
        }
    }

    fn no_response(&self, error: &impl ToString) -> Error {
        Error::NoResponse {
            address: self.address,
            reason: error.to_string().into(),
            mutating: self.mutating,
        }
    }

    fn unexpected_response(&self, status: u16, error: &serde_json::Error) -> Error {
        Error::UnexpectedResponse {
            status,
            reason: CompactString::from(error.to_string()),
            mutating: self.mutating,
        }
    }
}
