//! The platform's list of endpoints.

use compact_str::CompactString;
use std::{collections::BTreeMap, net::SocketAddr};

/// One start of one endpoint, as the list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Differs between starts of the same endpoint.
    pub id: CompactString,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving: no new work for it.
    pub leaving: bool,
    /// Version of the weights that it serves, by model.
    pub models: BTreeMap<CompactString, u64>,
}
