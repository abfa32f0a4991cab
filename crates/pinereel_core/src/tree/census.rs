//! How many instances there are, counted up the tree, and each one's place, told down the tree.

use crate::lease::Rank;
use serde::{Deserialize, Serialize};

/// Instances of a part of the tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// Those that should rather hold duties.
    pub preferred: u32,
    /// The rest.
    pub others: u32,
}

impl Census {
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
    pub const fn all(self) -> u32 {
        self.preferred.saturating_add(self.others)
    }
}

/// The places of a part of the tree among all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranks {
    /// Places before this part's.
    pub before: Census,
    /// The whole tree.
    pub of: Census,
}

impl Ranks {
    /// The first place, for one instance.
    pub fn place(self, preferred: bool) -> Rank {
        let number = if preferred {
            self.before.preferred
        } else {
            self.of.preferred.saturating_add(self.before.others)
        };
        Rank {
            number,
            preferred: self.of.preferred,
            total: self.of.all(),
        }
    }

    /// The places after those of `part`.
    #[must_use]
    pub const fn after(self, part: Census) -> Self {
        Self {
            before: self.before.plus(part),
            of: self.of,
        }
    }
}
