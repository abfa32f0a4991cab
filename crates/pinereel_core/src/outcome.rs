//! What became of a request: the answer, "not run" with evidence, or unknown.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why it is certain that a request did not run. Every variant is evidence, not a guess.
///
/// An outcome `NotRun` can be built only from one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// Refused before an endpoint was chosen (admission, bad input, drain, configuration).
    Refused,
    /// No endpoint of the pool may receive work.
    NoEndpoint,
    /// Opening the connection for this very attempt failed, so no byte of it left.
    NotOpened,
    /// The endpoint answered, before it ran anything, that it will not run the request.
    EndpointRefused,
    /// The idempotency key could not be claimed, so nothing was sent.
    NotClaimed,
}

/// The final outcome of a request or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome<T> {
    /// The whole answer.
    Answer(T),
    /// It did not run. The caller may send it again after `retry_after`.
    NotRun {
        /// What proves it.
        #[serde(rename = "evidence")]
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Bytes left and no whole answer came back: it may or may not have run.
    Unknown,
}

impl<T> Outcome<T> {
    /// Whether the same request may be sent again without a risk of running twice.
    pub const fn is_safe_to_retry(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}
