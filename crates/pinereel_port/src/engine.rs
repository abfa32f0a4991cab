//! What model engines are told, and what they tell.

use crate::DecodeError;
use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// An order to load a version of a model's weights. Running requests go on under the new version
/// unless `whole_runs` is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The version to load.
    pub version: u64,
    /// Whether running requests end under the old version first.
    pub finish_running_first: bool,
    /// Instance that gives the order.
    pub lease_holder: &'a str,
    /// Fencing token of the lease that the order is given under.
    pub fencing_token: u64,
    /// Orders that the engine must have accepted before; a later one makes this one void.
    pub expected_accepted_loads: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// Being carried out.
    Accepted,
    /// The engine has that version.
    Holds,
    /// Another order is being carried out, or the count of orders differs.
    Busy,
    /// The fencing token is older than one that the engine has seen.
    Fenced,
    /// Another engine has this address now.
    OtherEndpoint,
    /// Refused for another reason.
    Refused,
}

impl LoadOutcome {
    /// The name in logs and metrics.
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

/// What an engine reports of itself, some 100 ms old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub incarnation: u64,
    /// Version by model.
    pub models: BTreeMap<CompactString, u64>,
    /// Whether an order is being carried out.
    pub loading: bool,
    /// Orders accepted since its start.
    pub accepted_loads: u64,
}

/// Calls at engines.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Path of the report, for a GET.
    pub status_report_path: &'static str,
    /// Reads a report.
    pub decode_status_report: fn(&[u8]) -> Result<StatusReport, DecodeError>,
    /// Path of orders, for a POST.
    pub load_path: &'static str,
    /// Writes an order.
    pub encode_load_request: fn(LoadRequest<'_>) -> Bytes,
    /// Reads the answer to an order.
    pub load_outcome: fn(StatusCode) -> LoadOutcome,
}
