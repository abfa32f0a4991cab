//! The schema of the configuration document.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A complete configuration. Unknown keys are rejected.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Pools of endpoints, by name. The platform's instance list says which endpoints are in each.
    pub pools: BTreeMap<CompactString, Pool>,
    /// Trainers, by name.
    pub trainers: BTreeMap<CompactString, Trainer>,
    /// Request limits, the same at every instance.
    pub limits: Limits,
}

/// Kind of the endpoints in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines that serve a model.
    Engine,
    /// Services without a model.
    Service,
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of its endpoints.
    pub kind: PoolKind,
    /// The model that its engines serve; required for engine pools, absent for service pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<CompactString>,
    /// Maximum number of requests in flight from one instance to one endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Service calls that may run at most once, as `METHOD /path-prefix`.
    #[serde(default)]
    pub non_idempotent: Vec<CompactString>,
    /// Whether the engines reject requests with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Minimum fraction of the engines, from 0 to 1, that stays in service while weights are
    /// loaded.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Maximum number of engines that load weights at the same time: the throughput of the weight store
    /// divided by the throughput of one load.
    #[serde(default = "default_loads")]
    pub loads: u32,
}

/// A trainer and the pools that it uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The engine pool that generates its samples.
    pub pool: CompactString,
    /// Staleness bound: maximum number of versions that a sample's oldest token may be behind the
    /// trainer at delivery.
    pub bound: u64,
    /// Its weight in fair sharing when several trainers use the same engines.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The service pool that scores its samples, by `POST /score`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<CompactString>,
}

/// Request limits, the same at every instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body: u32,
    /// Maximum number of live requests of one pool and priority that wait for an endpoint at one
    /// instance.
    pub max_queue: u32,
    /// Maximum number of samples in one lot.
    pub max_samples: u32,
    /// Deadline of a live request that gives none, in milliseconds.
    pub default_deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 1 << 20,
            max_queue: 256,
            max_samples: 8_192,
            default_deadline_ms: 30_000,
        }
    }
}

const fn default_slots() -> u32 {
    8
}

const fn default_floor() -> f64 {
    0.5
}

const fn default_loads() -> u32 {
    64
}

const fn default_share() -> u32 {
    1
}
