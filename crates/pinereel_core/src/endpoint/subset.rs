//! Which endpoints an entry works with, so that its state doesn't grow with the fleet.
//!
//! Each endpoint picks its entries by rendezvous hashing over the entries' names: so many of its
//! own zone and so many of others. So every endpoint is covered by the same number of entries
//! whatever the hash does, and a lost entry moves only the endpoints that it covered.

use crate::hash;

/// How many entries work with each endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cover {
    /// Entries of the endpoint's own zone.
    pub local: usize,
    /// Entries of other zones, for spill-over.
    pub remote: usize,
}

/// An entry, as far as subsets matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// The cover that gives each entry about `size` of `endpoints`, split evenly between the zones.
///
/// At least two entries a side cover an endpoint, so that one lost entry orphans none.
pub fn cover(entries: usize, endpoints: usize, target_size: usize) -> Cover {
    const MIN_ENTRIES_PER_SIDE: usize = 2;
    let entries_per_endpoint = (entries * target_size).div_ceil(endpoints.max(1));
    let local = entries_per_endpoint.div_ceil(2).max(MIN_ENTRIES_PER_SIDE);
    Cover {
        local,
        remote: (entries_per_endpoint - entries_per_endpoint.div_ceil(2)).max(MIN_ENTRIES_PER_SIDE),
    }
}

/// Whether the entry `me` works with `endpoint` in `zone`.
///
/// `entries` holds all entries, `me` included. If fewer entries of a side exist than asked for,
/// all of that side work with it.
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
    let own_score = (hash::score(key, own.name), own.name);
    let higher_scores = entries
        .iter()
        .filter(|e| (e.zone == zone) == local)
        .filter(|e| (hash::score(key, e.name), e.name) > own_score)
        .take(count)
        .count();
    higher_scores < count
}
