//! HTTP calls to engines: status reports and load orders.

use super::Orders;
use crate::upstream::pool::{Error, PooledRequest};
use actix_http::{
    Method, RequestHead, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use pinereel_core::rollout::Event;
use pinereel_port::{
    endpoint::Entry,
    engine::StatusReport,
    headers::{AttemptHeaders, Caller},
};
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for an engine's answer. An order without an answer may still reach the engine later. Each order
/// carries the number of loads that the engine had accepted when its status was read, so the engine
/// rejects a late order once it has accepted the next one.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest body of an engine's answer, in bytes. A status report lists the runs of an engine.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Why a call to an engine has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoAnswer {
    /// No connection could be opened.
    NotOpened,
    /// The engine may have received the call, or its answer does not tell the result.
    Lost,
}

impl NoAnswer {
    pub(super) const fn into_event(self, name: CompactString) -> Event {
        match self {
            Self::NotOpened => Event::Unreachable { name },
            Self::Lost => Event::NoAnswer { name },
        }
    }
}

impl Orders {
    /// Sends one request to an engine, and returns the status and the body of the answer.
    pub(super) async fn call_engine(
        &self,
        entry: &Entry,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
        // All reads are of status reports.
        let reads_state = method == Method::GET;
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = path.parse().unwrap_or_default();
        let host = HeaderValue::from_str(&entry.address.to_string());
        if let Ok(host) = host {
            head.headers.insert(HOST, host);
        }
        let json = HeaderValue::from_static("application/json");
        head.headers.insert(CONTENT_TYPE, json);
        let number = self.call_count.get();
        self.call_count.set(number + 1);
        let id = format_compact!("order-{}-{number}", entry.id);
        let attempt = AttemptHeaders {
            request_id: &id,
            endpoint_id: &entry.id,
            timeout: None,
            last_event_id: None,
            caller: &Caller::Anonymous,
        };
        (self.deps.adapter.headers.encode_attempt)(&mut head.headers, attempt);
        let request = PooledRequest {
            address: entry.address,
            id: Some(id),
            reads_state,
            head,
            body,
            reuse: true,
        };
        let exchange = async {
            let response = self.deps.pool.send(request).await;
            let response = response.map_err(|error| match error {
                Error::NotOpened(_) => NoAnswer::NotOpened,
                Error::Lost(_) | Error::Stale(_) | Error::Foreign | Error::Undefined(_) => {
                    NoAnswer::Lost
                }
            })?;
            let status = response.status;
            let body = response.body.read_within(MAX_ANSWER_BYTES).await;
            Ok((status, body.map_err(|_| NoAnswer::Lost)?))
        };
        timeout(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(NoAnswer::Lost))
    }

    pub(super) async fn read_status_report(&self, entry: &Entry) -> Result<StatusReport, NoAnswer> {
        let engine = self.deps.adapter.engine;
        let answer = self.call_engine(entry, Method::GET, engine.status_report_path, Bytes::new());
        let (status, body) = answer.await?;
        if status != StatusCode::OK {
            return Err(NoAnswer::Lost);
        }
        (engine.decode_status_report)(&body).map_err(|fault| {
            log::warn!(endpoint = entry.id.as_str(); "{fault}");
            NoAnswer::Lost
        })
    }
}
