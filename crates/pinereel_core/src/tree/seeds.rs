//! How an instance without a parent finds one if the store does not answer it.
//!
//! The store has the address of the root, and heartbeats have those of the root and its standbys. An instance that
//! the store does not answer as it starts has neither, so it tries the seeds: instances whose addresses are in its
//! settings. A seed that has no data itself may know the root, which introduces itself to the seeds.

use crate::Time;
use compact_str::CompactString;
use std::time::Duration;

/// Time between two introductions of a root to the seeds.
pub const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(3);
/// Time after an introduction during which its sender is tried. It may be the root no longer.
const MAX_INTRODUCTION_AGE: Duration = Duration::from_secs(10);

/// The seeds, and the root that has introduced itself to this instance.
#[derive(Clone, Debug)]
pub struct Seeds {
    own_address: CompactString,
    addresses: Vec<CompactString>,
    introduced: Option<(CompactString, Time)>,
}

impl Seeds {
    /// The seeds at `addresses`, of which this instance may be one.
    pub fn new(
        own_address: CompactString,
        addresses: impl IntoIterator<Item = CompactString>,
    ) -> Self {
        let others = addresses.into_iter().filter(|seed| *seed != own_address);
        Self {
            addresses: others.collect(),
            own_address,
            introduced: None,
        }
    }

    /// Records the introduction of the root at `address`.
    pub fn on_introduction(&mut self, now: Time, address: CompactString) {
        if address != self.own_address {
            self.introduced = Some((address, now));
        }
    }

    /// Address of the root that has introduced itself lately.
    pub fn introduced_root(&self, now: Time) -> Option<&CompactString> {
        let (address, at) = self.introduced.as_ref()?;
        (now.since(*at) < MAX_INTRODUCTION_AGE).then_some(address)
    }

    /// Addresses to try for a parent, in this order, after those that the store and heartbeats name.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = &CompactString> {
        self.introduced_root(now).into_iter().chain(&self.addresses)
    }

    /// The seeds to which a root introduces itself. Its children are linked to it already.
    pub fn to_introduce(
        &self,
        children: impl Iterator<Item = CompactString>,
    ) -> Vec<CompactString> {
        let mut seeds = self.addresses.clone();
        children.for_each(|child| seeds.retain(|seed| *seed != child));
        seeds
    }
}
