//! What could not be translated.

use compact_str::CompactString;

/// A message of the platform that does not have the form that its protocol says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {what}: {why}")]
pub struct Fault {
    /// Which message.
    pub what: &'static str,
    /// What is wrong with it.
    pub why: CompactString,
}

impl Fault {
    /// A fault of `what`, because of `why`.
    pub fn new(what: &'static str, why: impl ToString) -> Self {
        Self {
            what,
            why: why.to_string().into(),
        }
    }
}
