//! The body of every answer that is not a success.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What went wrong, in words that a program can match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request's body or headers are malformed.
    BadRequest,
    /// A header, body or queue is larger than its bound.
    TooLarge,
    /// The sender did not deliver the request in time.
    SlowSender,
    /// No such path, pool, trainer, service or lot.
    NotFound,
    /// A token or secret is missing or wrong.
    Unauthorized,
    /// The instance is draining, starting, or cannot confirm its configuration.
    Unavailable,
    /// Predicted completion lies after the deadline, or the queue is at its bound.
    Overloaded,
    /// No endpoint may receive this work now.
    NoEndpoint,
    /// Bytes left for an endpoint and no whole answer came back.
    Unknown,
    /// The same idempotency key is being executed now.
    InProgress,
    /// The idempotency key was used with another body.
    KeyConflict,
    /// The base number is not the configuration's number.
    Conflict,
    /// The patch is not valid.
    InvalidPatch,
    /// The patch was not confirmed by all instances and was taken back.
    NotConfirmed,
    /// The entry lacks the lot; submit it again (idempotent).
    LotUnknown,
    /// The lot id was used with another content.
    LotConflict,
    /// The cursor token is malformed.
    BadToken,
    /// The cursor token belongs to another lot.
    ForeignToken,
    /// The token's step is behind the trainer's current step.
    BehindToken,
    /// The deadline passed.
    Deadline,
    /// The platform's object API cannot be reached.
    ObjectApi,
}

/// The JSON body of an answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What went wrong.
    pub code: Code,
    /// One sentence for a person.
    pub message: CompactString,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds; absent where coming back is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Whether a request that got no answer ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}
