//! Body of every error response.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Machine-readable error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request's body or headers are malformed.
    BadRequest,
    /// A header, body or queue exceeds its limit.
    TooLarge,
    /// The request was not received in time.
    SlowSender,
    /// No such path, pool, trainer, service or lot.
    NotFound,
    /// A token or secret is missing or wrong.
    Unauthorized,
    /// The instance is draining, starting, or cannot confirm its configuration.
    Unavailable,
    /// The predicted completion is after the deadline, or the queue is full.
    Overloaded,
    /// No endpoint may receive the request now.
    NoEndpoint,
    /// The request was sent to an endpoint, and no complete response was received.
    Unknown,
    /// Another request with the same idempotency key is running.
    InProgress,
    /// The idempotency key was used with a different request.
    KeyConflict,
    /// The patch's base number is not the number of the configuration in force.
    Conflict,
    /// The patch is not valid.
    InvalidPatch,
    /// The patch was not confirmed by all instances and was rolled back.
    NotConfirmed,
    /// The entry does not have the lot; submit it again (idempotent).
    LotUnknown,
    /// The lot id was used with different content.
    LotConflict,
    /// The cursor token is malformed.
    BadToken,
    /// The cursor token belongs to another lot.
    ForeignToken,
    /// The cursor token's step is older than the trainer's current step.
    BehindToken,
    /// The deadline passed.
    Deadline,
    /// The platform's object API cannot be reached.
    ObjectApi,
}

/// JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Machine-readable error code.
    pub code: Code,
    /// Human-readable description.
    pub message: CompactString,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay before a retry, in milliseconds; absent where a retry is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Whether a failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}
