//! Why a call gave no result.

/// Why a call gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing left: the breaker is open, the budget is spent, or no connection could be opened.
    #[error("object API not reached: {0}")]
    NotSent(String),
    /// The API answered that it did not do it (down or limiting).
    #[error("object API refused: {0}")]
    Refused(String),
    /// The answer was lost: a write may have taken effect.
    #[error("object API's answer was lost: {0}")]
    Unknown(String),
    /// The condition does not hold.
    #[error("conflict")]
    Conflict,
    /// No such object.
    #[error("not found")]
    NotFound,
    /// The watch's revision is too old: list again.
    #[error("revision too old")]
    Gone,
    /// The answer is not what the protocol says.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that ended so certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}
