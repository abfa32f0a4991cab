//! Versions of model weights, and the spans of tokens that each version computed.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a published set of weights of one model; later weights have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Number of versions by which `self` is behind `newest`; zero if it is not behind.
    pub const fn versions_behind(self, newest: Self) -> u64 {
        newest.0.saturating_sub(self.0)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// A run of consecutive tokens of a sample (prompt or output) computed under one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// Version of the weights that computed the tokens.
    pub version: Version,
    /// Number of tokens.
    pub tokens: u32,
}
