//! Calls toward the platform that one instance makes at a time.

use actix_http::{Method, StatusCode, header::HeaderMap};
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Who makes a call, and under which lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Fencing token of its lease.
    pub fencing_token: u64,
}

/// How many endpoints of a service an availability zone should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleTarget<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone.
    pub zone: &'a str,
    /// Number of endpoints of that kind.
    pub count: u32,
    /// Whether of the cheap ones, which may be taken away at short notice.
    pub spot: bool,
}

/// A call as it goes out.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// JSON.
    pub body: Bytes,
}

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Done,
    /// Refused: a newer fencing token was seen, or there is nothing of what was asked for.
    Rejected,
    /// Not done now.
    RetryLater,
}

impl Outcome {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Rejected => "declined",
            Self::RetryLater => "not now",
        }
    }
}

/// Writes these calls and reads their answers.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reports how many requests of each workspace began in a window.
    pub report_usage: fn(LeaseHolder<'_>, u64, &BTreeMap<CompactString, u64>) -> Request,
    /// Asks for endpoints.
    pub set_endpoint_count: fn(LeaseHolder<'_>, ScaleTarget<'_>) -> Request,
    /// Reads an answer.
    pub outcome: fn(StatusCode) -> Outcome,
}
