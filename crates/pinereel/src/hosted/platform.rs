//! Calls to the platform's HTTP interface, which only a lease holder makes.

use crate::upstream::pool::{Pool, PooledRequest};
use actix_http::{
    RequestHead, StatusCode,
    header::{HOST, HeaderValue},
};
use pinereel_port::leader::Request;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Timeout for the platform's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest body of an answer, in bytes; nothing in it is used.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Makes a call to the platform; returns `None` if there is no answer in time.
pub async fn call(pool: &Rc<Pool>, address: SocketAddr, call: Request) -> Option<StatusCode> {
    let mut head = RequestHead::default();
    head.method = call.method;
    head.uri = call.path.parse().unwrap_or_default();
    head.headers = call.headers;
    let host = HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        head.headers.insert(HOST, host);
    }
    let request = PooledRequest {
        address,
        id: None,
        reads_state: false,
        head,
        body: call.body,
        // An idle connection may be broken, so each call opens a new one. A call that fails may be
        // repeated.
        reuse: false,
    };
    let exchange = async {
        let response = pool.send(request).await.ok()?;
        let status = response.status;
        response.body.read_within(MAX_ANSWER_BYTES).await.ok()?;
        Some(status)
    };
    timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
}
