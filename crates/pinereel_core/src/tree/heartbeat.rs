//! The sign of life that goes down the tree.

use super::{MAX_AGE, MAX_AGE_PER_LEVEL, RankRange};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a parent tells its children several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Addresses from the root to the sender: a receiver that finds its own would wait for itself.
    #[serde(rename = "lineage")]
    pub ancestors: Vec<CompactString>,
    /// Who stands in for the root, in this order.
    #[serde(rename = "deputies")]
    pub standbys: Vec<CompactString>,
    /// Time since the store last answered the root, with what it took to pass that on; none while the head of this
    /// part of the tree has nothing to pass on yet.
    pub age: Option<Duration>,
    /// Whether that head reads the store, and is answered; if not, it looks for a parent.
    #[serde(rename = "reads")]
    pub reads_store: bool,
    /// For how long the store has answered all calls of the root.
    #[serde(rename = "calm")]
    pub store_uptime: Duration,
    /// Places of the receiver and of all below it.
    pub ranks: RankRange,
}

impl Heartbeat {
    /// Levels between the root and the sender's children.
    pub fn level(&self) -> u32 {
        u32::try_from(self.ancestors.len()).unwrap_or(u32::MAX)
    }

    /// Whether news are still to come: the head has begun to read the store.
    pub const fn is_loading(&self) -> bool {
        self.age.is_none() && self.reads_store
    }

    /// Whether the news are fresh enough for the receiver.
    pub fn is_fresh(&self) -> bool {
        self.age.is_some_and(|age| age < self.max_age())
    }

    /// How old the news may be at the sender's children.
    pub fn max_age(&self) -> Duration {
        MAX_AGE + MAX_AGE_PER_LEVEL * self.level().saturating_sub(1)
    }
}
