//! How a request stands, and what changes about it.

use super::{ISOLATE_AT_CRASHES, Identity, PROPAGATION_DELAY};
use serde::Serialize;
use std::time::Duration;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Nothing counts against it.
    Unrestricted,
    /// Endpoints have crashed while it ran there: it may be to blame, or have run beside another.
    Suspected {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
    },
    /// It crashes endpoints: it must not run any more.
    Blocked {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
        /// When it is forgotten, and may be tried again.
        forgotten_in: Duration,
    },
}

impl RequestStatus {
    /// Whether it may run once more, where nothing else begins.
    pub const fn requires_isolation(&self) -> bool {
        matches!(self, Self::Suspected { endpoints, .. } if *endpoints >= ISOLATE_AT_CRASHES)
    }

    /// How long a request in doubt waits until all instances know of the last crash under it.
    pub fn propagation_wait(&self) -> Option<Duration> {
        match self {
            Self::Suspected { age, .. } => PROPAGATION_DELAY
                .checked_sub(*age)
                .filter(|left| !left.is_zero()),
            Self::Unrestricted | Self::Blocked { .. } => None,
        }
    }
}

/// What changed about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Another endpoint counts against it.
    #[serde(rename = "doubt")]
    Suspected,
    /// It must not run any more.
    #[serde(rename = "verdict")]
    Blocked,
    /// It must not be refused any more: others are to blame, or it has been cleared.
    #[serde(rename = "acquitted")]
    Unblocked,
    /// A run of it came to its end, the endpoints live, or an operator said so.
    Cleared,
}

/// A change of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub identity: Identity,
    /// What changed.
    pub kind: ChangeKind,
    /// Endpoints that count against it now.
    pub endpoints: usize,
    /// Time since the last of them.
    pub age: Duration,
}
