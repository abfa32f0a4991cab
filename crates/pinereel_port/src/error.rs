//! The error of all decoding functions.

use compact_str::CompactString;

/// Maximum length of [`DecodeError::reason`] in bytes. Reasons repeat text of the message, which may be long.
const MAX_REASON_BYTES: usize = 512;

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
    /// Creates an error for a message of the kind `subject`. A reason that is too long is cut.
    pub fn new(subject: &'static str, reason: impl ToString) -> Self {
        let reason = reason.to_string();
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        Self {
            subject,
            reason: reason[..end].into(),
        }
    }
}
