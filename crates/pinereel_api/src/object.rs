//! The platform's object API: versioned objects with conditional updates and watches.
//!
//! | call | path | answer |
//! |---|---|---|
//! | read | `GET /objects/{kind}/{name}` | 200 [`Object`], 404 |
//! | list | `GET /objects/{kind}?prefix=P` | 200 [`List`] |
//! | watch | `GET /objects/{kind}?after=R&wait_ms=W` | 200 [`Changes`] (long poll), 410 if R is too old |
//! | create | `PUT /objects/{kind}/{name}` with `If-None-Match: *` | 200 [`Written`], 409 [`Written`] of the present one |
//! | update | `PUT /objects/{kind}/{name}` with `If-Match: V` | 200 [`Written`], 404, 409 [`Written`] |
//! | delete | `DELETE /objects/{kind}/{name}` with `If-Match: V` | 204, 404, 409 |
//!
//! 429 means the rate is exceeded (`Retry-After` in seconds), 503 that the API is down. A value is
//! any JSON of at most [`MAX_VALUE_BYTES`] bytes. A waiting watch counts as one call.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Largest value the API stores, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Kind of the platform's own lagging list of instances (read only), values are [`Instance`].
pub const INSTANCES: &str = "instances";
/// Kind of the configuration; it has one object, [`CONFIG_NAME`].
pub const CONFIG: &str = "config";
/// Name of the one configuration object.
pub const CONFIG_NAME: &str = "current";
/// Kind of the entries' own membership objects.
pub const MEMBERS: &str = "members";
/// Kind of the newest published weights, one object a model.
pub const WEIGHTS: &str = "weights";
/// Kind of the leases for control duties.
pub const LEASES: &str = "leases";
/// Kind of the idempotency segments, named `SHARD.N` with N of ten digits.
pub const CLAIMS: &str = "claims";

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: CompactString,
    /// Changes with every write; never reused.
    pub version: u64,
    /// The content.
    pub value: serde_json::Value,
}

/// Answer to a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the whole API at the time of the answer; a watch starts after it.
    pub revision: u64,
    /// The objects in order of their names.
    pub items: Vec<Object>,
}

/// Answer to a watch: what changed after the given revision. Empty when the wait ran out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Continue the watch after this revision.
    pub revision: u64,
    /// The changed objects, oldest change first.
    pub changes: Vec<Change>,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Name within the kind.
    pub name: CompactString,
    /// Version of the object after the change.
    pub version: u64,
    /// The new value; absent if the object was deleted.
    pub value: Option<serde_json::Value>,
}

/// Body of a create or update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The new value.
    pub value: serde_json::Value,
}

/// Answer to a create or update, and body of a 409: the version that now stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Version of the object.
    pub version: u64,
}

/// What the platform's lagging list says of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Changes with each start of the process on it.
    pub incarnation: u64,
    /// `IP:PORT` on which it serves.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// The pool it belongs to; `entry` for the system's own instances.
    pub pool: CompactString,
    /// Whether it is leaving.
    pub state: InstanceState,
}

/// Live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop: no new work.
    Leaving,
}

/// Faults of the stand-in: `POST /faults`. Absent fields leave a fault as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answer 503 to everything for so long, in milliseconds (0 ends an outage).
    pub outage_ms: Option<u64>,
    /// Hold every answer for so long, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Take the next so many writes, then drop the connection without an answer.
    pub lose_write_answers: Option<u32>,
    /// Only lose answers of writes to this kind.
    pub lose_kind: Option<CompactString>,
    /// End all waiting watches once, and answer 410 to the next watch of each kind.
    pub end_watches: Option<bool>,
    /// Refuse connections' requests that carry this user agent (cuts off one entry).
    pub cut_agents: Option<Vec<CompactString>>,
}

/// Calls answered by the stand-in since its start: `GET /stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and lists, by kind.
    pub reads: std::collections::BTreeMap<CompactString, u64>,
    /// Creates, updates and deletes, by kind.
    pub writes: std::collections::BTreeMap<CompactString, u64>,
    /// Watches begun, by kind.
    pub watches: std::collections::BTreeMap<CompactString, u64>,
    /// Watches waiting now.
    pub waiting: u64,
    /// Of these, by kind.
    pub waiting_by_kind: std::collections::BTreeMap<CompactString, u64>,
    /// Calls refused for their rate.
    pub limited: u64,
}
