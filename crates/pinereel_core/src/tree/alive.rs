//! The sign of life that goes down the tree.

use super::{LEVEL, Ranks, STALE};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a parent tells its children several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alive {
    /// Addresses from the root to the sender: a receiver that finds its own would wait for itself.
    pub lineage: Vec<CompactString>,
    /// Who stands in for the root, in this order.
    pub deputies: Vec<CompactString>,
    /// Time since the store last answered the root, with what it took to pass that on; none while the head of this
    /// part of the tree has nothing to pass on yet.
    pub age: Option<Duration>,
    /// Whether that head reads the store, and is answered; if not, it looks for a parent.
    pub reads: bool,
    /// For how long the store has answered all calls of the root.
    pub calm: Duration,
    /// Places of the receiver and of all below it.
    pub ranks: Ranks,
}

impl Alive {
    /// Levels between the root and the sender's children.
    pub fn level(&self) -> u32 {
        u32::try_from(self.lineage.len()).unwrap_or(u32::MAX)
    }

    /// Whether news are still to come: the head has begun to read the store.
    pub const fn is_reading(&self) -> bool {
        self.age.is_none() && self.reads
    }

    /// Whether the news are fresh enough for the receiver.
    pub fn is_fresh(&self) -> bool {
        self.age.is_some_and(|age| age < self.bound())
    }

    /// How old the news may be at the sender's children.
    pub fn bound(&self) -> Duration {
        STALE + LEVEL * self.level().saturating_sub(1)
    }
}
