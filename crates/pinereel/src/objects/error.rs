//! Errors of calls to the object API.

/// Error of a call to the object API.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was sent: the breaker is open, or no connection could be opened.
    #[error("object API not reached: {0}")]
    NotSent(String),
    /// Nothing was sent: a limit of this process is reached, which says nothing about the API.
    #[error("object API not reached: {0}")]
    Limited(&'static str),
    /// Nothing was sent: the call makes no valid request, which says nothing about the API.
    #[error("invalid request: {0}")]
    Invalid(String),
    /// The API refused the call: it is down, limits the rate, or does not accept the request.
    #[error("object API refused: {0}")]
    Refused(String),
    /// The response was lost, or the API failed: a write may have taken effect.
    #[error("object API's answer was lost: {0}")]
    Unknown(String),
    /// The write's version condition does not hold.
    #[error("conflict")]
    Conflict,
    /// The object does not exist.
    #[error("not found")]
    NotFound,
    /// The watch's revision is too old: the caller must list again.
    #[error("revision too old")]
    Gone,
    /// The response does not follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that failed with this error certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}
