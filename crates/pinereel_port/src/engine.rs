//! Control requests to model engines: load a version of the weights, and report the status.

use crate::DecodeError;
use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// A request to load a version of a model's weights. Requests that the engine is running continue
/// with the new version unless `finish_running_first` is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRequest<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Version of the weights to load.
    pub version: u64,
    /// Whether running requests finish with the old version before the new one is loaded.
    pub finish_running_first: bool,
    /// Name of the instance that sends the request.
    pub lease_holder: &'a str,
    /// Fencing token of the lease that the request is sent under.
    pub fencing_token: u64,
    /// [`StatusReport::accepted_loads`] that the sender last read. The engine rejects the request
    /// if it has accepted another one since then.
    pub expected_accepted_loads: u64,
}

/// The engine's response to a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The version is being loaded.
    Accepted,
    /// The engine already has this version.
    Holds,
    /// Another load is in progress, or the number of accepted loads differs from the expected one.
    Busy,
    /// The fencing token is older than one that the engine has seen.
    Fenced,
    /// Another engine listens on this address now.
    OtherEndpoint,
    /// Rejected for another reason.
    Refused,
}

impl LoadOutcome {
    /// Label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::OtherEndpoint => "other endpoint",
            Self::Refused => "refused",
        }
    }
}

/// An engine's status, which is about 100 ms old when it is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Start time of the engine in Unix milliseconds; 0 if the report has none.
    pub incarnation: u64,
    /// Loaded version of the weights, by model.
    pub models: BTreeMap<CompactString, u64>,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Number of load requests accepted since the engine started.
    pub accepted_loads: u64,
}

/// Encodes requests to model engines and decodes their responses.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Path of the status report, requested with `GET`.
    pub status_report_path: &'static str,
    /// Decodes the body of a status report.
    pub decode_status_report: fn(&[u8]) -> Result<StatusReport, DecodeError>,
    /// Path of load requests, sent with `POST`.
    pub load_path: &'static str,
    /// Encodes the body of a load request.
    pub encode_load_request: fn(LoadRequest<'_>) -> Bytes,
    /// Maps the status code of the response to a load request.
    pub load_outcome: fn(StatusCode) -> LoadOutcome,
}
