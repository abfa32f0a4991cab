//! The content of the configuration.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One whole configuration. Unknown keys are refused when it is read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Pools of endpoints, by name. The platform's instance list says which endpoints are in each.
    pub pools: BTreeMap<CompactString, Pool>,
    /// Trainers, by name.
    pub trainers: BTreeMap<CompactString, Trainer>,
    /// Bounds that hold for every entry.
    pub limits: Limits,
}

/// What a pool's endpoints are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its endpoints are.
    pub kind: PoolKind,
    /// The model that its engines serve; required for engines, absent for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<CompactString>,
    /// Most requests in flight at one endpoint, from one entry.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// `METHOD /path-prefix` of calls that may run at most once, for services.
    #[serde(default)]
    pub non_idempotent: Vec<CompactString>,
    /// Whether the engines refuse orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Share of the engines (0 to 1) that must stay in service while weights are loaded.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Most engines that load weights at once: the weight store's rate by the rate of one load.
    #[serde(default = "default_loads")]
    pub loads: u32,
}

/// One trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The engine pool that makes its samples.
    pub pool: CompactString,
    /// Most versions that a sample's oldest token may be behind the trainer at delivery.
    pub bound: u64,
    /// Its weight when trainers share engines.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The service pool that scores its samples, by `POST /score`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<CompactString>,
}

/// Bounds that hold for every entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub max_body: u32,
    /// Most live requests of one pool and priority waiting in one entry for an endpoint.
    pub max_queue: u32,
    /// Most samples in one lot.
    pub max_samples: u32,
    /// Deadline of a live request that names none, in milliseconds.
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
