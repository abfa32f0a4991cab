//! The HTTP client of the fakes, which uses a new connection for each call.

use actix_http::{
    Method, RequestHead, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use pinereel::upstream::pool::{Error, Pool, PooledRequest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Value of the header `name`; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why a call got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    NotOpened,
    /// The connection was closed before the end of the answer.
    Cut,
    /// The answer was not complete before the timeout.
    Late,
}

/// Sends a request on a new connection, and reads the complete answer.
///
/// # Errors
/// If no connection can be opened, or the answer is not complete before the connection is closed or
/// within `time_limit`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
    time_limit: Duration,
) -> Result<Answer, Failure> {
    let pool = Rc::new(Pool::default());
    call_on(&pool, address, method, target, headers, body, time_limit).await
}

/// Like [`call`], on an open connection of `pool` if there is one. The connection stays in the pool unless
/// the server announces that it closes it.
///
/// # Errors
/// As for [`call`].
pub async fn call_on(
    pool: &Rc<Pool>,
    address: SocketAddr,
    method: Method,
    target: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
    time_limit: Duration,
) -> Result<Answer, Failure> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = target.parse().unwrap_or_default();
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            head.headers.append(HeaderName::from_static(name), value);
        }
    }
    let request = PooledRequest {
        address,
        id: None,
        reads_state: false,
        head,
        body,
        reuse: true,
    };
    let exchange = async {
        let response = pool.send(request).await.map_err(|error| match error {
            Error::NotOpened(_) => Failure::NotOpened,
            Error::Lost(_) | Error::Stale(_) | Error::Foreign | Error::Undefined(_) => Failure::Cut,
        })?;
        Ok(Answer {
            status: response.status,
            headers: response.headers,
            body: response.body.read_all().await.map_err(|_| Failure::Cut)?,
        })
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(Failure::Late))
}
