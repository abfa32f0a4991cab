//! One start of an endpoint.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One start of one endpoint: it crashes once at most, however many requests it takes along.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// Id of the endpoint.
    pub endpoint: CompactString,
    /// Differs between starts under one id.
    pub incarnation: u64,
}
