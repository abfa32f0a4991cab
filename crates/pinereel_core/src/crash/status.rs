//! Whether a request may run given the crashes recorded for it, and the changes of that status.

use super::{ISOLATE_AT_CRASHES, Identity, PROPAGATION_DELAY};
use serde::Serialize;
use std::time::Duration;

/// Whether a request may run, and under which restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// No crash counts against it.
    Unrestricted,
    /// Endpoints crashed while it ran there. It may be the cause, or have run beside the cause.
    Suspected {
        /// Crashes that count against it.
        crashes: usize,
        /// Time since the last crash.
        age: Duration,
    },
    /// It crashes endpoints and must not run.
    Blocked {
        /// Endpoint starts that crashed under it, including those that no longer count.
        crashes: usize,
        /// Time since the last crash.
        age: Duration,
        /// Time until the record expires and the request may run again.
        expires_in: Duration,
    },
}

impl RequestStatus {
    /// Whether it may run only where nothing else starts.
    pub const fn requires_isolation(&self) -> bool {
        matches!(self, Self::Suspected { crashes, .. } if *crashes >= ISOLATE_AT_CRASHES)
    }

    /// How long a suspected request waits until all instances know of the last crash under it.
    pub fn propagation_wait(&self) -> Option<Duration> {
        match self {
            Self::Suspected { age, .. } => PROPAGATION_DELAY
                .checked_sub(*age)
                .filter(|remaining| !remaining.is_zero()),
            Self::Unrestricted | Self::Blocked { .. } => None,
        }
    }
}

/// Kind of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The number of crashes that count against it has grown.
    #[serde(rename = "doubt")]
    Suspected,
    /// It must not run any more.
    #[serde(rename = "verdict")]
    Blocked,
    /// It may run again: other requests explain its crashes, or it was cleared.
    #[serde(rename = "acquitted")]
    Unblocked,
    /// Fewer crashes count against it: a run of it completed, the endpoint answered, or an operator
    /// cleared it.
    Cleared,
}

/// A change of one request's status, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request whose status changed.
    pub identity: Identity,
    /// How its status changed.
    pub kind: ChangeKind,
    /// Endpoint starts that crashed under it, including those that no longer count.
    pub crashes: usize,
    /// Time since the last crash.
    pub age: Duration,
}
