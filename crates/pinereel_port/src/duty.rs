//! Calls toward the platform that one instance makes at a time.

use actix_http::{Method, StatusCode, header::HeaderMap};
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Who makes a call, and under which lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// How many endpoints of a service an availability zone should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size<'a> {
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
pub struct Call {
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
pub enum Verdict {
    /// Done.
    Done,
    /// Refused: a newer fencing token was seen, or there is nothing of what was asked for.
    Declined,
    /// Not done now.
    NotNow,
}

impl Verdict {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Declined => "declined",
            Self::NotNow => "not now",
        }
    }
}

/// Writes these calls and reads their answers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reports how many requests of each workspace began in a window.
    pub usage: fn(Holder<'_>, u64, &BTreeMap<CompactString, u64>) -> Call,
    /// Asks for endpoints.
    pub size: fn(Holder<'_>, Size<'_>) -> Call,
    /// Reads an answer.
    pub verdict: fn(StatusCode) -> Verdict,
}
