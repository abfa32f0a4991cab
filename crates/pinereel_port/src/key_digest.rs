//! Digests of client keys. The keys themselves are never stored.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use std::{fmt, str::FromStr};

/// SHA-256 digest of a client's key. Keys are random, so a digest neither reveals its key nor can
/// be found by guessing.
///
/// Only digests are compared, never keys, so the duration of a comparison reveals nothing about a
/// key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

/// The text is not a hexadecimal SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key's digest has 64 hexadecimal digits")]
pub struct ParseKeyDigestError;

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Omits the digest, so that nothing derived from a key gets into a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseKeyDigestError;

    fn from_str(text: &str) -> Result<Self, ParseKeyDigestError> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return Err(ParseKeyDigestError);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(2 * self.0.len());
        for byte in self.0 {
            text.push_str(&format!("{byte:02x}"));
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
