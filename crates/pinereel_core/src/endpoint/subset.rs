//! Deterministic subsetting: which endpoints an entry works with, so that its state does not grow
//! with the fleet.
//!
//! Each endpoint selects a number of entries in its own zone and in other zones by rendezvous
//! hashing over the entries' names. Every endpoint is thus covered by the same number of entries,
//! and the loss of an entry moves only the endpoints that it covered.

use crate::hash;

/// Number of entries that work with each endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cover {
    /// Entries of the endpoint's own zone.
    pub local: usize,
    /// Entries of other zones, for spill-over.
    pub remote: usize,
}

/// An entry as seen by the subset selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// The cover that gives each entry about `target_size` of the endpoints, split evenly between own
/// and other zones.
///
/// At least two entries in the own zone and two in other zones cover an endpoint, so that the loss
/// of one entry leaves no endpoint uncovered.
pub fn cover(entries: usize, endpoints: usize, target_size: usize) -> Cover {
    const MIN_ENTRIES_PER_SIDE: usize = 2;
    let entries_per_endpoint = (entries * target_size).div_ceil(endpoints.max(1));
    let local = entries_per_endpoint.div_ceil(2).max(MIN_ENTRIES_PER_SIDE);
    Cover {
        local,
        remote: (entries_per_endpoint - entries_per_endpoint.div_ceil(2)).max(MIN_ENTRIES_PER_SIDE),
    }
}

/// Whether the entry `own` works with `endpoint` in `zone`.
///
/// `entries` contains all entries, `own` included. If the own zone or the other zones have fewer
/// entries than `cover` asks for, all of them work with the endpoint.
pub fn contains(
    own: Entry<'_>,
    entries: &[Entry<'_>],
    endpoint: &str,
    zone: &str,
    cover: Cover,
) -> bool {
    let local = own.zone == zone;
    let count = if local { cover.local } else { cover.remote };
    let key = hash::stable(endpoint.as_bytes());
    let own_score = (hash::rendezvous(key, own.name), own.name);
    let higher_scores = entries
        .iter()
        .filter(|e| (e.zone == zone) == local)
        .filter(|e| (hash::rendezvous(key, e.name), e.name) > own_score)
        .take(count)
        .count();
    higher_scores < count
}
