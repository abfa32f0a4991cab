//! Tokens and shared secrets, read from files and hidden in debug output.

use compact_str::{CompactString, format_compact};
use std::{fmt, fs, io, os::unix::fs::PermissionsExt as _, path::Path};

/// Minimum length of a token or secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Permission bits that let any user of the machine read or write the file.
const OTHER_USERS_MODE_BITS: u32 = 0o006;

/// Token or shared secret; its text is never written to logs or debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps `text`, without the checks of [`Secret::read`].
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// Whether `given` is `prefix` followed by the secret. The time of the comparison does not
    /// depend on where the two differ.
    pub fn matches(&self, prefix: &str, given: &[u8]) -> bool {
        let expected = prefix.bytes().chain(self.0.bytes());
        let length = prefix.len() + self.0.len();
        let differ = expected.zip(given).fold(0, |acc, (x, y)| acc | (x ^ y));
        given.len() == length && differ == 0
    }

    /// Reads the file at `path` and trims surrounding white space.
    ///
    /// # Errors
    /// A description of the expected file: readable, not accessible to other users of the machine,
    /// and at least 16 bytes long.
    pub fn read(path: &Path) -> Result<Self, CompactString> {
        let unreadable = |error: io::Error| format_compact!("a readable file ({error})");
        let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode();
        if mode & OTHER_USERS_MODE_BITS != 0 {
            let mode = mode & 0o777;
            return Err(format_compact!(
                "a file closed to other users (its mode is {mode:04o}; use chmod o-rw)"
            ));
        }
        let text = fs::read_to_string(path).map_err(unreadable)?;
        let text = text.trim();
        let len = text.len();
        if len < MIN_SECRET_BYTES {
            return Err(format_compact!(
                "a file with at least {MIN_SECRET_BYTES} bytes (it has {len})"
            ));
        }
        Ok(Self::new(text))
    }

    /// The plain text, to be sent or compared.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
