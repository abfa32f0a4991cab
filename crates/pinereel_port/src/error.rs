//! What could not be translated.

use compact_str::CompactString;

/// A message of the platform that does not have the form that its protocol says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {subject}: {reason}")]
pub struct DecodeError {
    /// Which message.
    pub subject: &'static str,
    /// What is wrong with it.
    pub reason: CompactString,
}

impl DecodeError {
    /// A fault of `what`, because of `why`.
    pub fn new(subject: &'static str, reason: impl ToString) -> Self {
        Self {
            subject,
            reason: reason.to_string().into(),
        }
    }
}
