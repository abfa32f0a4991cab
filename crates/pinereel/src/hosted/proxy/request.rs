//! A request of a caller, and what becomes of it.

use actix_http::{
    Method, StatusCode,
    header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::crash::{Content, Identity, RequestParts};
use pinereel_port::{config::Route, live::Caller};
use std::{cell::OnceCell, time::Duration};
use tokio::time::Instant;

/// A request on its way.
pub struct ProxyRequest {
    /// Its id.
    pub id: CompactString,
    /// Number of the configuration that it is served under.
    pub config_number: u64,
    /// For how long that has been in force here.
    pub config_age: Duration,
    /// Its route.
    pub route: Route,
    /// On whose behalf.
    pub caller: Caller,
    /// Workspace that it counts for, also where endpoints are not told it.
    pub workspace: Option<CompactString>,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: CompactString,
    /// The sender's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Names its whole prompt, if it has one.
    pub prompt: Option<CompactString>,
    /// When it is given up.
    pub deadline: Instant,
    /// What makes it the same request when it comes again, once that was asked for.
    pub cached_identity: OnceCell<Identity>,
}

impl ProxyRequest {
    /// What makes it the same request when it comes again.
    pub fn identity(&self) -> Identity {
        *self.cached_identity.get_or_init(|| self.compute_identity())
    }

    fn compute_identity(&self) -> Identity {
        let header = |name| {
            let value = self.headers.get(name);
            value.map(HeaderValue::as_bytes).unwrap_or_default()
        };
        // One workspace cannot bring another's request to be refused.
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

/// An endpoint's whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The endpoint's signature.
    pub signature: Option<CompactString>,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The endpoint's answer.
    Answer(Answer),
    /// It did not run, and will not.
    NotRun {
        /// Why.
        reason: CompactString,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: CompactString,
        /// Whether its time ran out.
        timed_out: bool,
    },
}
