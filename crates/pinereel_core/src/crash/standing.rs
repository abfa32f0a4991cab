//! How a request stands, and what changes about it.

use super::{Identity, LAST_CHANCE, SETTLE};
use serde::Serialize;
use std::time::Duration;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing counts against it.
    Free,
    /// Endpoints have crashed while it ran there: it may be to blame, or have run beside another.
    Doubted {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
    },
    /// It crashes endpoints: it must not run any more.
    Convicted {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
        /// When it is forgotten, and may be tried again.
        forgotten_in: Duration,
    },
}

impl Standing {
    /// Whether it may run once more, where nothing else begins.
    pub const fn is_last_chance(&self) -> bool {
        matches!(self, Self::Doubted { endpoints, .. } if *endpoints >= LAST_CHANCE)
    }

    /// How long a request in doubt waits until all instances know of the last crash under it.
    pub fn settles_in(&self) -> Option<Duration> {
        match self {
            Self::Doubted { age, .. } => SETTLE.checked_sub(*age).filter(|left| !left.is_zero()),
            Self::Free | Self::Convicted { .. } => None,
        }
    }
}

/// What changed about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Another endpoint counts against it.
    Doubt,
    /// It must not run any more.
    Verdict,
    /// It must not be refused any more: others are to blame, or it has been cleared.
    Acquitted,
    /// A run of it came to its end, the endpoints live, or an operator said so.
    Cleared,
}

/// A change of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub identity: Identity,
    /// What changed.
    pub what: What,
    /// Endpoints that count against it now.
    pub endpoints: usize,
    /// Time since the last of them.
    pub age: Duration,
}
