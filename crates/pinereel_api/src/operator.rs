//! HTTP API for operators. Every request needs `authorization: Bearer TOKEN`.
//!
//! | call | path | answer |
//! |---|---|---|
//! | show | `GET /v1/config` | 200 [`Config`] |
//! | check | `POST /v1/config/check` [`Patch`] | 200 [`Checked`] |
//! | patch | `POST /v1/config` [`Patch`] | 200 [`Patched`] |
//! | status | `GET /v1/status` | 200 [`Status`] |
//! | drain | `POST /v1/drain` | 202 |

use compact_str::CompactString;
use pinereel_core::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the configuration.
    pub number: u64,
    /// Content of the configuration.
    pub document: serde_json::Value,
}

/// Patch to the configuration of a given number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Number of the configuration that the patch was written against.
    pub base: u64,
    /// Id of the patch, chosen by its author; a repeated patch gets the same response.
    pub id: CompactString,
    /// JSON merge patch (RFC 7396).
    pub merge: serde_json::Value,
}

/// Response to a check: the document that the patch would produce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// The patched document.
    pub document: serde_json::Value,
}

/// Response to an accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patched {
    /// Number of the configuration now in force.
    pub number: u64,
}

/// State of the system as known to one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the responding entry.
    pub entry: CompactString,
    /// Configuration number of the responding entry.
    pub number: u64,
    /// Known entries, by name.
    pub entries: BTreeMap<CompactString, Entry>,
    /// Endpoints to which this entry routes, by name.
    pub endpoints: BTreeMap<CompactString, Endpoint>,
    /// Newest published version, by model.
    pub versions: BTreeMap<CompactString, Version>,
    /// Fencing tokens of the leases that this entry holds, by lease.
    pub leases: BTreeMap<CompactString, u64>,
    /// Number of calls to the object API since the start, by purpose.
    pub object_calls: BTreeMap<CompactString, u64>,
}

/// One entry as seen by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its availability zone.
    pub zone: CompactString,
    /// Configuration number that it last confirmed.
    pub number: u64,
    /// Milliseconds since its last summary; absent for the responding entry itself.
    pub heard_ms: Option<u64>,
    /// Whether its configuration is older than the responding entry's.
    pub lags: bool,
}

/// One endpoint as seen by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Pool to which it belongs.
    pub pool: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// `live`, `leaving`, `ejected` or `gone`.
    pub state: CompactString,
    /// Number of requests that this entry has in flight at the endpoint.
    pub outstanding: u32,
    /// Version of the weights that it serves; for engines only.
    pub version: Option<Version>,
}
