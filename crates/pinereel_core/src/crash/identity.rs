//! Identity of a request across retries, independent of its request id.

use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, str::FromStr};

/// What identifies a request: its caller, its target and its content. The request id is left out,
/// since each retry has its own.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The caller's workspace or its credential; empty if it gives neither. It keeps one caller's
    /// requests from counting against those of another caller that can be told apart.
    pub caller: &'a [u8],
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Body or prompt.
    pub content: Content<'a>,
}

/// Content that identifies a request.
#[derive(Clone, Copy, Debug)]
pub enum Content<'a> {
    /// The whole body.
    Body(&'a [u8]),
    /// The name of the whole prompt. The body is ignored then, since it may differ between requests
    /// for the same completion.
    Prompt(&'a str),
}

impl<'a> Content<'a> {
    /// The prompt if there is one, else the body.
    pub fn new(prompt: Option<&'a str>, body: &'a [u8]) -> Self {
        prompt.map_or(Self::Body(body), Self::Prompt)
    }

    const fn bytes(self) -> (&'static [u8], &'a [u8]) {
        match self {
            Self::Body(body) => (b"", body),
            Self::Prompt(name) => (b"prompt", name.as_bytes()),
        }
    }
}

/// First 128 bits of the SHA-256 of a request's [`RequestParts`]. The same on all instances and builds,
/// and the only information about a request that is stored or sent to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(Digest);

/// Error for a text that is not an [`Identity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an identity has 32 hexadecimal digits")]
pub struct ParseIdentityError;

impl Identity {
    /// Hashes the parts of a request.
    pub fn of(parts: RequestParts<'_>) -> Self {
        let texts = [parts.method, parts.host, parts.target].map(str::as_bytes);
        let [method, host, target] = texts;
        let mut bytes = Vec::new();
        // Each part is preceded by its length, so that no two requests hash the same bytes.
        let (kind, content) = parts.content.bytes();
        for part in [parts.caller, method, host, target, content] {
            bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        bytes.extend_from_slice(kind);
        Self(Digest::of(&bytes))
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Identity {
    type Err = ParseIdentityError;

    fn from_str(text: &str) -> Result<Self, ParseIdentityError> {
        if text.len() != 32 || !text.is_ascii() {
            return Err(ParseIdentityError);
        }
        let mut bytes = [0; 16];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdentityError)?;
        }
        Ok(Self(Digest(bytes)))
    }
}

impl Serialize for Identity {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Identity {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
