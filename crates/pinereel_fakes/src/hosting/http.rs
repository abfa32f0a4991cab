//! One HTTP call of a stand-in's client, on a connection of its own.

use actix_http::{
    Method, RequestHead, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use pinereel::upstream::pool::{Error, Pool, PooledRequest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    NotOpened,
    /// The connection ended before the answer did.
    Cut,
    /// Nothing came in time.
    Late,
}

/// Sends one request on a fresh connection.
///
/// # Errors
/// If no whole answer came within `wait`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
    wait: Duration,
) -> Result<Answer, Failure> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = target.parse().unwrap_or_default();
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            head.headers.append(HeaderName::from_static(name), value);
        }
    }
    let pool = Rc::new(Pool::default());
    let exchange = PooledRequest {
        address,
        head,
        body,
        reuse: false,
    };
    let exchange = async {
        let response = pool.send(exchange).await.map_err(|error| match error {
            Error::NotOpened(_) => Failure::NotOpened,
            Error::Lost(_) | Error::Stale(_) => Failure::Cut,
        })?;
        Ok(Answer {
            status: response.status,
            headers: response.headers,
            body: response.body.read_all().await.map_err(|_| Failure::Cut)?,
        })
    };
    timeout(wait, exchange).await.unwrap_or(Err(Failure::Late))
}
