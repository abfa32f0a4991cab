//! Which requests are the same one.

use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, str::FromStr};

/// What makes a request the same one when it comes again: its caller, where it goes and what it
/// carries. The id is left out, since each attempt of a caller has its own.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a> {
    /// The caller's workspace, or its credential; empty if it gives none. One caller's requests so never count
    /// against another one that can be told apart.
    pub caller: &'a [u8],
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// What it carries.
    pub content: Content<'a>,
}

/// What a request carries.
#[derive(Clone, Copy, Debug)]
pub enum Content<'a> {
    /// The whole body.
    Body(&'a [u8]),
    /// The name of its whole prompt. The body is not looked at then: it may differ between two that ask the same.
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

/// First 128 bits of the SHA-256 of a request's [`Parts`]: alike on all instances and builds, and the
/// only thing about a request that is kept or passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(Digest);

/// A text that is no identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an identity has 32 hexadecimal digits")]
pub struct ParseIdentityError;

impl Identity {
    /// The identity of a request.
    pub fn of(parts: Parts<'_>) -> Self {
        let texts = [parts.method, parts.host, parts.target].map(str::as_bytes);
        let [method, host, target] = texts;
        let mut bytes = Vec::new();
        // Each length comes first, so that no two requests have the same bytes.
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
