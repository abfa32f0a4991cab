//! The request that the proxy forwards, and its outcome.

use actix_http::{
    Method, StatusCode,
    header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::crash::{Content, Identity, RequestParts};
use pinereel_port::{
    config::Route,
    headers::{Caller, Load},
};
use std::{cell::OnceCell, time::Duration};
use tokio::time::Instant;

/// Receives the load reports in the responses to a scoring, and decides by them.
pub struct LoadObserver {
    /// Called with the load that an endpoint reports.
    pub record: Box<dyn Fn(Load)>,
    /// Whether recent reports show free slots, so that the attempts after an answer with status 500 may
    /// run at the same time.
    pub has_spare_slots: Box<dyn Fn() -> bool>,
}

/// A request to be forwarded to an endpoint: a caller's live request, or the scoring of a sample.
pub struct ProxyRequest {
    /// Request id.
    pub id: CompactString,
    /// Number of the configuration under which it is served.
    pub config_number: u64,
    /// How long that configuration has been active at this instance.
    pub config_age: Duration,
    /// Route that matched it.
    pub route: Route,
    /// Caller on whose behalf it is made, as sent to the endpoints.
    pub caller: Caller,
    /// Workspace that crashes are attributed to, also if it is not sent to the endpoints.
    pub workspace: Option<CompactString>,
    /// Priority levels below the most urgent live requests; `None` for a scoring, which waits for its
    /// slot and is never rejected for overload.
    pub priority_level: Option<u32>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: CompactString,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Id of the model and the complete prompt; `None` if the request names no prompt.
    pub prompt: Option<CompactString>,
    /// When the request is answered as timed out.
    pub deadline: Instant,
    /// Receives the load reports in the responses to a scoring.
    pub load_observer: Option<LoadObserver>,
    /// Result of [`ProxyRequest::identity`], computed on the first call.
    pub cached_identity: OnceCell<Identity>,
    /// Whether it is part of work that was accepted for later, and so is sent until it is answered: a verdict
    /// that it crashes endpoints does not block it.
    pub is_owed: bool,
}

impl ProxyRequest {
    /// Identity that stays the same when a caller retries the request under a new id.
    pub fn identity(&self) -> Identity {
        *self.cached_identity.get_or_init(|| self.compute_identity())
    }

    fn compute_identity(&self) -> Identity {
        let header = |name| {
            let value = self.headers.get(name);
            value.map(HeaderValue::as_bytes).unwrap_or_default()
        };
        // The workspace is part of the identity, so that one workspace cannot get another's
        // requests blocked.
        let workspace = self.workspace.as_ref().map(|name| name.as_bytes());
        Identity::of(RequestParts {
            caller: workspace.unwrap_or_else(|| header(AUTHORIZATION)),
            method: self.method.as_str(),
            host: std::str::from_utf8(header(HOST)).unwrap_or_default(),
            target: &self.target,
            content: Content::new(self.prompt.as_deref(), &self.body),
        })
    }
}

/// Complete answer of an endpoint.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Signature by which the endpoint marks an answer as its own.
    pub signature: Option<CompactString>,
}

/// Outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The endpoint's answer.
    Answer(Answer),
    /// The request did not run and will not run.
    NotRun {
        /// Why.
        reason: CompactString,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: CompactString,
        /// Whether the deadline of the request passed.
        timed_out: bool,
    },
}
