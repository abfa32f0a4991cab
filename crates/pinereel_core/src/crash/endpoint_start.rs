//! One start of an endpoint.

use crate::endpoint::Endpoint;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One start of one endpoint: it crashes once at most, however many requests it takes along.
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
