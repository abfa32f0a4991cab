//! Identifies one start of an endpoint process.

use crate::endpoint::Endpoint;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One start of an endpoint process. A start crashes at most once, however many requests it was
/// running.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointStart {
    /// Id of the endpoint.
    pub endpoint: CompactString,
    /// Differs between starts under one id.
    pub incarnation: u64,
}

impl From<&Endpoint> for EndpointStart {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.name.clone(),
            incarnation: endpoint.incarnation,
        }
    }
}
