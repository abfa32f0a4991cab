//! Calls to the platform that one instance makes at a time.

use crate::upstream::pool::{Pool, PooledRequest};
use actix_http::{
    RequestHead, StatusCode,
    header::{HOST, HeaderValue},
};
use pinereel_port::leader::Request;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Longest wait for the platform's answer.
const ANSWER: Duration = Duration::from_millis(1_500);

/// Makes a call to the platform; none if no answer came in time.
pub async fn call(pool: &Rc<Pool>, address: SocketAddr, call: Request) -> Option<StatusCode> {
    let mut head = RequestHead::default();
    head.method = call.method;
    head.uri = call.path.parse().unwrap_or_default();
    head.headers = call.headers;
    let host = HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        head.headers.insert(HOST, host);
    }
    let exchange = PooledRequest {
        address,
        head,
        body: call.body,
        // A kept connection may be broken, and the call may be made again.
        reuse: false,
    };
    let exchange = async {
        let response = pool.send(exchange).await.ok()?;
        let status = response.status;
        response.body.read_all().await.ok()?;
        Some(status)
    };
    timeout(ANSWER, exchange).await.ok().flatten()
}
