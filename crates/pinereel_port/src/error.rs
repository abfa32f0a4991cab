//! The error of all decoding functions.

use compact_str::CompactString;

/// A message that does not conform to the platform's protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {subject}: {reason}")]
pub struct DecodeError {
    /// The kind of message, such as `"endpoint"`.
    pub subject: &'static str,
    /// Why it could not be decoded.
    pub reason: CompactString,
}

impl DecodeError {
    /// Creates an error for a message of the kind `subject`.
    pub fn new(subject: &'static str, reason: impl ToString) -> Self {
        Self {
            subject,
            reason: reason.to_string().into(),
        }
    }
}
