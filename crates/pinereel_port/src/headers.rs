//! HTTP headers of client requests, of their forwarding to endpoints, and of responses.

use crate::KeyDigest;
use actix_http::{StatusCode, header::HeaderMap};
use compact_str::CompactString;
use std::time::Duration;

/// The headers of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Id of the request. A client that retries uses a new one for each attempt.
    pub id: CompactString,
    /// Time from now for which the client waits for the response.
    pub timeout: Option<Duration>,
    /// Time for which a long poll may be held open until there is something new.
    pub long_poll_wait: Option<Duration>,
    /// Digest of the key that the client authenticated with.
    pub key_digest: Option<KeyDigest>,
    /// Identifies the model and the complete prompt; `None` if the request names no prompt.
    pub prompt_id: Option<CompactString>,
}

/// The authenticated identity that a request is forwarded with, regardless of what its headers
/// claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No workspaces are configured: the client's identity headers are forwarded unchanged.
    PassThrough,
    /// No identity: the route is public.
    Anonymous,
    /// The workspace with this name.
    Workspace(CompactString),
}

impl Caller {
    /// Name of the workspace, if there is one.
    pub fn workspace(&self) -> Option<&str> {
        match self {
            Self::Workspace(name) => Some(name),
            Self::PassThrough | Self::Anonymous => None,
        }
    }
}

/// The headers of one attempt to run a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Id of the endpoint that the attempt is addressed to; any other endpoint rejects it.
    pub endpoint_id: &'a str,
    /// Time after which the endpoint aborts the request; `None` for no limit.
    pub timeout: Option<Duration>,
    /// Id of the last event received of a stream; the endpoint resumes after it.
    pub last_event_id: Option<u64>,
    /// Identity of the client. Its key is not forwarded, except with [`Caller::PassThrough`].
    pub caller: &'a Caller,
}

/// The headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the request that it responds to.
    pub id: Option<CompactString>,
    /// Signature that proves that the endpoint produced this response.
    pub signature: Option<CompactString>,
    /// Whether the endpoint states that it did not run the request and never will.
    pub not_executed: bool,
    /// Load of the endpoint when it responded.
    pub load: Option<Load>,
    /// Whether the load has a slowdown that was ignored because it is not a valid figure.
    pub malformed_slowdown: bool,
    /// Version of the weights at the start of a generation.
    pub weights_version: Option<u64>,
    /// Whether the body has a content encoding, so that its bytes are not those the endpoint
    /// produced.
    pub content_encoded: bool,
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Time that work takes on its machine now, in percent of the usual time; `None` if it reports
    /// none or no valid one.
    pub slowdown_percent: Option<u32>,
}

/// Decodes and encodes headers.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Decodes the headers of a client request.
    pub decode_request: fn(&HeaderMap) -> RequestHeaders,
    /// Writes an attempt's headers into a map that may already hold those of the client request.
    pub encode_attempt: fn(&mut HeaderMap, AttemptHeaders<'_>),
    /// Id of the request that a response answers.
    pub response_id: fn(&HeaderMap) -> Option<&str>,
    /// Decodes the status code and the headers of a response.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
}
