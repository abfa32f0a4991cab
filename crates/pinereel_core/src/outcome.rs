//! Outcome of a request: an answer, proof that it did not run, or unknown.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why it is certain that a request did not run.
///
/// Each variant is a proof. [`Outcome::NotRun`] can only be built from one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// Refused before an endpoint was chosen (admission, bad input, drain, configuration).
    Refused,
    /// The pool has no endpoint that may receive requests.
    NoEndpoint,
    /// The connection for this attempt could not be opened, so no byte of it was sent.
    NotOpened,
    /// The endpoint refused the request before it ran any of it.
    EndpointRefused,
    /// The idempotency key could not be claimed, so nothing was sent.
    NotClaimed,
}

/// Final outcome of a request or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome<T> {
    /// The complete answer.
    Answer(T),
    /// It did not run. The caller may send it again after `retry_after`.
    NotRun {
        /// Proof that it did not run.
        #[serde(rename = "evidence")]
        reason: NotRunReason,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// Bytes were sent and no complete answer came back, so it may or may not have run.
    Unknown,
}

impl<T> Outcome<T> {
    /// Whether the same request may be sent again without the risk of running twice.
    pub const fn is_safe_to_retry(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}
