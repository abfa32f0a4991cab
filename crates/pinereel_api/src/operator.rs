//! The operators' listener. Every call carries `authorization: Bearer TOKEN`.
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

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its number.
    pub number: u64,
    /// Its content.
    pub document: serde_json::Value,
}

/// A patch against a numbered configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The number that the patch was written against.
    pub base: u64,
    /// Id of the patch, chosen by its author; a repeat is answered like the first.
    pub id: CompactString,
    /// JSON merge patch (RFC 7396).
    pub merge: serde_json::Value,
}

/// Answer to a check: the document that the patch would give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// The patched document.
    pub document: serde_json::Value,
}

/// Answer to an accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patched {
    /// The number now in force.
    pub number: u64,
}

/// What one entry knows of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: CompactString,
    /// Its configuration number.
    pub number: u64,
    /// Known entries, with the configuration number each last confirmed.
    pub entries: BTreeMap<CompactString, Entry>,
    /// Endpoints that this entry routes to.
    pub endpoints: BTreeMap<CompactString, Endpoint>,
    /// Newest published version by model.
    pub versions: BTreeMap<CompactString, Version>,
    /// Leases this entry holds, with their fencing tokens.
    pub leases: BTreeMap<CompactString, u64>,
    /// Calls to the object API since the start, by purpose.
    pub object_calls: BTreeMap<CompactString, u64>,
}

/// One entry as seen by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its availability zone.
    pub zone: CompactString,
    /// The number it last confirmed.
    pub number: u64,
    /// Milliseconds since it was last heard; absent for the entry itself.
    pub heard_ms: Option<u64>,
    /// Whether it lags behind the answering entry.
    pub lags: bool,
}

/// One endpoint as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its pool.
    pub pool: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// `live`, `leaving`, `ejected` or `gone`.
    pub state: CompactString,
    /// Requests this entry has in flight there.
    pub outstanding: u32,
    /// The version that it serves, for engines.
    pub version: Option<Version>,
}
