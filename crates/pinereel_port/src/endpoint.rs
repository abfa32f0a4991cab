//! Endpoints as the platform's endpoint list describes them.

use compact_str::CompactString;
use std::{collections::BTreeMap, net::SocketAddr};

/// One incarnation of an endpoint. An endpoint may restart under the same id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of the endpoint, which is the same for all its incarnations.
    pub id: CompactString,
    /// Start time in Unix milliseconds; 0 if the entry has none. A later incarnation has none of
    /// the state of an earlier one.
    pub incarnation: u64,
    /// Name of the service that the endpoint belongs to.
    pub service: CompactString,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: CompactString,
    /// Number of requests that the endpoint runs concurrently; at least 1.
    pub slots: u32,
    /// Whether it is a spot endpoint, which may be preempted at short notice.
    pub spot: bool,
    /// Whether the endpoint is draining and must get no new requests.
    pub draining: bool,
    /// Version of the weights that the endpoint serves, by model.
    pub models: BTreeMap<CompactString, u64>,
}
