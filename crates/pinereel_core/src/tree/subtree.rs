//! How many instances there are, counted up the tree, and each one's place, told down the tree.

use crate::lease::Rank;
use serde::{Deserialize, Serialize};

/// Instances of a part of the tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeSize {
    /// Those that should rather hold duties.
    pub preferred: u32,
    /// The rest.
    pub others: u32,
}

impl SubtreeSize {
    /// One instance.
    pub fn one(preferred: bool) -> Self {
        Self {
            preferred: u32::from(preferred),
            others: u32::from(!preferred),
        }
    }

    /// Both parts together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            preferred: self.preferred.saturating_add(other.preferred),
            others: self.others.saturating_add(other.others),
        }
    }

    /// All instances of the part.
    pub const fn count(self) -> u32 {
        self.preferred.saturating_add(self.others)
    }
}

/// The places of a part of the tree among all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRange {
    /// Places before this part's.
    pub before: SubtreeSize,
    /// The whole tree.
    #[serde(rename = "of")]
    pub total: SubtreeSize,
}

impl RankRange {
    /// The first place, for one instance.
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

    /// The places after those of `part`.
    #[must_use]
    pub const fn after(self, part: SubtreeSize) -> Self {
        Self {
            before: self.before.plus(part),
            total: self.total,
        }
    }
}
