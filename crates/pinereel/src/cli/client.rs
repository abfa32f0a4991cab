//! HTTP client for the operators' listener of one entry, which retries idempotent requests.

use super::{Error, Target};
use crate::{
    settings::Secret,
    upstream::pool::{self, Pool, PooledRequest},
};
use actix_http::{
    Method, RequestHead, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _};
use pinereel_api::{
    header,
    problem::{Code, Problem},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

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
    let authorization = HeaderValue::try_from(format!("Bearer {}", token.reveal()));
    let mut authorization = authorization.map_err(|_| Error::File {
        path: target.token_file.clone(),
        expected: "a file with a token without control characters".into(),
    })?;
    authorization.set_sensitive(true);
    let body = request.body.map(serde_json::to_vec).transpose();
    let client = Client {
        address: target.operators,
        authorization,
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
    authorization: HeaderValue,
    path: &'a str,
    body: Option<Vec<u8>>,
    mutating: bool,
}

impl Client<'_> {
    /// Sends the request and retries it after the delays of `RETRY_DELAYS` while it is retryable.
    async fn send(&self) -> Result<Bytes, Error> {
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

    async fn attempt(&self) -> Result<Bytes, Error> {
        let exchange = timeout(RESPONSE_TIMEOUT, self.exchange());
        let answer = exchange.await.map_err(|error| self.no_response(&error))?;
        let (status, body) = answer?;
        if status.is_success() {
            return Ok(body);
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(Error::Problem {
                problem,
                mutating: self.mutating,
            }),
            Err(error) => Err(self.unexpected_response(status.as_u16(), &error)),
        }
    }

    /// Sends the request over a new connection and reads the whole response.
    async fn exchange(&self) -> Result<(StatusCode, Bytes), Error> {
        let request = PooledRequest {
            address: self.address,
            id: None,
            reads_state: false,
            head: self.head(),
            body: self.body.clone().unwrap_or_default().into(),
            reuse: false,
        };
        let pool = Rc::new(Pool::default().with_connect_timeout(CONNECT_TIMEOUT));
        let response = pool.send(request).await;
        let response = response.map_err(|error| self.send_error(&error))?;
        let body = response.body.read_within(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.no_response(&error))?;
        Ok((response.status, body))
    }

    fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = match self.body.is_some() || self.mutating {
            true => Method::POST,
            false => Method::GET,
        };
        head.uri = self.path.parse().expect("paths of commands are valid");
        let headers = &mut head.headers;
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        let name = HeaderName::from_static(header::AUTHORIZATION);
        headers.insert(name, self.authorization.clone());
        head
    }

    fn send_error(&self, error: &pool::Error) -> Error {
        match error {
            pool::Error::NotOpened(_) => Error::Unreachable {
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
