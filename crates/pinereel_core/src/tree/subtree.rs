//! Number of instances and the rank of each: sizes are summed up the tree, ranks are assigned down the
//! tree.

use crate::lease::Rank;
use serde::{Deserialize, Serialize};

/// Number of instances in a part of the tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeSize {
    /// Instances that are preferred as holders of duties.
    pub preferred: u32,
    /// All other instances.
    pub others: u32,
}

impl SubtreeSize {
    /// The size of a single instance.
    pub fn one(preferred: bool) -> Self {
        Self {
            preferred: u32::from(preferred),
            others: u32::from(!preferred),
        }
    }

    /// The size of both parts together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            preferred: self.preferred.saturating_add(other.preferred),
            others: self.others.saturating_add(other.others),
        }
    }

    /// Number of all instances in the part.
    pub const fn count(self) -> u32 {
        self.preferred.saturating_add(self.others)
    }
}

/// The ranks of a part of the tree among all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRange {
    /// Instances that come before this part.
    pub before: SubtreeSize,
    /// Size of the whole tree.
    #[serde(rename = "of")]
    pub total: SubtreeSize,
}

impl RankRange {
    /// The first rank of the range, for an instance that is `preferred` or not.
    pub fn rank(self, preferred: bool) -> Rank {
        let number = if preferred {
            self.before.preferred
        } else {
            self.total.preferred.saturating_add(self.before.others)
        };
        Rank {
            number,
            preferred: self.total.preferred,
            total: self.total.count(),
        }
    }

    /// The ranks that follow those of `part`.
    #[must_use]
    pub const fn after(self, part: SubtreeSize) -> Self {
        Self {
            before: self.before.plus(part),
            total: self.total,
        }
    }
}
