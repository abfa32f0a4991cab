//! The platform's list of endpoints.

use compact_str::CompactString;
use std::{collections::BTreeMap, net::SocketAddr};

/// One start of one endpoint, as the list has it. An endpoint may start again under its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its id.
    pub id: CompactString,
    /// When it started, in Unix milliseconds; 0 if it does not say. A later start holds and knows nothing
    /// of an earlier one.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be taken away at short notice.
    pub spot: bool,
    /// Whether it is leaving: no new work for it.
    pub draining: bool,
    /// Version of the weights that it serves, by model.
    pub models: BTreeMap<CompactString, u64>,
}
