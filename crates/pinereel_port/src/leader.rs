//! Requests to the platform that only the instance holding a lease may send: usage reports and
//! scaling requests. Each carries the lease's fencing token.

use actix_http::{Method, StatusCode, header::HeaderMap};
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The sender of a request and its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder<'a> {
    /// Name of the instance that holds the lease.
    pub instance: &'a str,
    /// Fencing token of the lease.
    pub fencing_token: u64,
}

/// The number of endpoints that a service should have in an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleTarget<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the availability zone.
    pub zone: &'a str,
    /// Target number of endpoints of the kind that `spot` selects.
    pub count: u32,
    /// Whether `count` is of spot endpoints, which are cheaper and may be preempted at short
    /// notice.
    pub spot: bool,
}

/// An encoded HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: &'static str,
    /// Headers, with the lease holder and its fencing token.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
}

/// The platform's response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was carried out.
    Done,
    /// Rejected: the platform has seen a newer fencing token, or what the request names does not
    /// exist.
    Rejected,
    /// Not carried out; the request may be sent again later.
    RetryLater,
}

impl Outcome {
    /// Label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Rejected => "declined",
            Self::RetryLater => "not now",
        }
    }
}

/// Encodes these requests and decodes the responses.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Encodes a report of how many requests of each workspace started in a time window; the second
    /// argument is the window's number.
    pub report_usage: fn(LeaseHolder<'_>, u64, &BTreeMap<CompactString, u64>) -> Request,
    /// Encodes a request to scale a service in a zone.
    pub set_endpoint_count: fn(LeaseHolder<'_>, ScaleTarget<'_>) -> Request,
    /// Maps the status code of a response.
    pub outcome: fn(StatusCode) -> Outcome,
}
