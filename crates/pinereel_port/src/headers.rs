//! Heads of requests that callers send, of their attempts at endpoints, and of the answers.

use crate::KeyDigest;
use actix_http::{StatusCode, header::HeaderMap};
use compact_str::CompactString;
use std::time::Duration;

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Id of the request; each attempt of a caller has its own.
    pub id: CompactString,
    /// How long the caller waits from now.
    pub timeout: Option<Duration>,
    /// How long the caller lets a read wait for news.
    pub long_poll_wait: Option<Duration>,
    /// Digest of the key that the caller gave.
    pub key_digest: Option<KeyDigest>,
    /// Names the request's whole prompt and its model, if it has one.
    pub prompt_id: Option<CompactString>,
}

/// On whose behalf a request is made, as this side knows it, whatever the request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration knows no workspaces: the headers that say who it is go on as they came.
    PassThrough,
    /// Nobody's: on a route that needs no key.
    Anonymous,
    /// That workspace's.
    Workspace(CompactString),
}

impl Caller {
    /// Name of the workspace.
    pub fn workspace(&self) -> Option<&str> {
        match self {
            Self::Workspace(name) => Some(name),
            Self::PassThrough | Self::Anonymous => None,
        }
    }
}

/// What an attempt's head tells the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Id of the endpoint that it is meant for; any other refuses it.
    pub endpoint_id: &'a str,
    /// The endpoint stops working after it; none lets it work on.
    pub timeout: Option<Duration>,
    /// Goes on after this event of a stream.
    pub last_event_id: Option<u64>,
    /// On whose behalf. The caller's key goes no further.
    pub caller: &'a Caller,
}

/// What an answer's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the request that it answers.
    pub id: Option<CompactString>,
    /// Proof that the endpoint made this answer.
    pub signature: Option<CompactString>,
    /// The endpoint says that the request did not run there and never will.
    pub not_executed: bool,
    /// How busy the endpoint was.
    pub load: Option<Load>,
    /// Version of the weights at the start of a generation.
    pub weights_version: Option<u64>,
    /// Whether the body is encoded; then it is not what the endpoint made.
    pub content_encoded: bool,
}

/// An endpoint's own count of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Reads and writes heads.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads a caller's head.
    pub decode_request: fn(&HeaderMap) -> RequestHeaders,
    /// Writes an attempt into a head that may hold the caller's headers.
    pub encode_attempt: fn(&mut HeaderMap, AttemptHeaders<'_>),
    /// Reads an answer's head.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
}
