//! The heartbeat that each parent sends to its children, with the age of the data.

use super::{MAX_AGE, MAX_AGE_PER_LEVEL, RankRange};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Heartbeat from a parent to a child, sent several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Addresses from the root to the sender. A receiver that finds its own address leaves the sender,
    /// since the link would close a loop.
    #[serde(rename = "lineage")]
    pub ancestors: Vec<CompactString>,
    /// Addresses of the standbys that replace the root, in this order.
    #[serde(rename = "deputies")]
    pub standbys: Vec<CompactString>,
    /// Time since the store last answered the root, including the time on the way to the sender; `None`
    /// while the topmost instance above the sender has no data yet.
    pub age: Option<Duration>,
    /// Whether that topmost instance reads the store and gets answers. If not, it looks for a parent.
    #[serde(rename = "reads")]
    pub reads_store: bool,
    /// For how long the store has answered all calls of the root.
    #[serde(rename = "calm")]
    pub store_uptime: Duration,
    /// Ranks of the receiver and all below it.
    pub ranks: RankRange,
    /// Whether the sender itself gets store calls of its children answered.
    #[serde(default)]
    pub store_calls: bool,
    /// Whether the store answers that topmost instance now; `None` if that instance does not read the
    /// store, or if a build without this field has forwarded the heartbeat.
    #[serde(rename = "answers", default, skip_serializing_if = "Option::is_none")]
    pub store_answers: Option<bool>,
    /// Addresses of the children of the sender that read the store for it, as it is not answered itself.
    #[serde(rename = "backups", default, skip_serializing_if = "Vec::is_empty")]
    pub backup_readers: Vec<CompactString>,
}

impl Heartbeat {
    /// Number of levels from the root to the receiver.
    pub fn level(&self) -> u32 {
        u32::try_from(self.ancestors.len()).unwrap_or(u32::MAX)
    }

    /// Whether the data are still to come: the topmost instance has begun to read the store.
    pub const fn is_loading(&self) -> bool {
        self.age.is_none() && self.reads_store
    }

    /// Whether the data are fresh enough for the receiver.
    pub fn is_fresh(&self) -> bool {
        self.age.is_some_and(|age| age < self.max_age())
    }

    /// How old the data may be at the receiver.
    pub fn max_age(&self) -> Duration {
        MAX_AGE + MAX_AGE_PER_LEVEL * self.level().saturating_sub(1)
    }
}
