//! Object API of the platform: versioned objects with conditional updates and watches.
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
//! 429 means that the rate limit is exceeded (`Retry-After` in seconds), 503 that the API is down.
//! A value is any JSON of at most [`MAX_VALUE_BYTES`] bytes. A pending watch counts as one call.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum size of a value, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Kind of the platform's list of instances (read-only, delayed); values are [`Instance`].
pub const INSTANCES: &str = "instances";
/// Kind of the configuration; has a single object, [`CONFIG_NAME`].
pub const CONFIG: &str = "config";
/// Name of the configuration object.
pub const CONFIG_NAME: &str = "current";
/// Kind of the membership objects, which each entry writes for itself.
pub const MEMBERS: &str = "members";
/// Kind of the newest published weights; one object per model.
pub const WEIGHTS: &str = "weights";
/// Kind of the leases for control duties, each held by one entry.
pub const LEASES: &str = "leases";
/// Kind of the segments of idempotency claims, named `SHARD.N` with N of ten digits.
pub const CLAIMS: &str = "claims";

/// A stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: CompactString,
    /// Changes with every write; never reused.
    pub version: u64,
    /// Content of the object.
    pub value: serde_json::Value,
}

/// Response to a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the whole store at the time of the response; a watch starts after it.
    pub revision: u64,
    /// Objects, sorted by name.
    pub items: Vec<Object>,
}

/// Response to a watch: changes after the given revision. Empty if there was none in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after which the next watch starts.
    pub revision: u64,
    /// Changed objects, oldest change first.
    pub changes: Vec<Change>,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Name within the kind.
    pub name: CompactString,
    /// Version of the object after the change.
    pub version: u64,
    /// New value; absent if the object was deleted.
    pub value: Option<serde_json::Value>,
}

/// Body of a create or update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Value to store.
    pub value: serde_json::Value,
}

/// Response to a create or update, and body of a 409: the object's current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Current version of the object.
    pub version: u64,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Changes with each start of the instance's process.
    pub incarnation: u64,
    /// `IP:PORT` of its listener.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Pool to which it belongs; `entry` for instances that run the daemon.
    pub pool: CompactString,
    /// Whether it is in service or leaving.
    pub state: InstanceState,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop: takes no new requests.
    Leaving,
}

/// Faults to inject into the fake API: `POST /faults`. Absent fields leave a fault unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answer 503 to all requests for this time, in milliseconds (0 ends an outage).
    pub outage_ms: Option<u64>,
    /// Delay of every response, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of next writes that are applied, after which the connection is closed without a
    /// response.
    pub lose_write_answers: Option<u32>,
    /// Restricts `lose_write_answers` to writes of this kind.
    pub lose_kind: Option<CompactString>,
    /// End all pending watches once, and answer 410 to the next watch of each kind.
    pub end_watches: Option<bool>,
    /// Refuse requests with one of these user agents, which disconnects single entries.
    pub cut_agents: Option<Vec<CompactString>>,
}

/// Calls that the fake API answered since its start: `GET /stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and lists, by kind.
    pub reads: std::collections::BTreeMap<CompactString, u64>,
    /// Creates, updates and deletes, by kind.
    pub writes: std::collections::BTreeMap<CompactString, u64>,
    /// Watches started, by kind.
    pub watches: std::collections::BTreeMap<CompactString, u64>,
    /// Pending watches.
    pub waiting: u64,
    /// Pending watches, by kind.
    pub waiting_by_kind: std::collections::BTreeMap<CompactString, u64>,
    /// Calls refused by the rate limit.
    pub limited: u64,
}
