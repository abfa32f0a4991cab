//! Index of the endpoints that take work, by service.

use crate::rollout::rank;
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

/// Ids of the endpoints that take work, so that a service's endpoints are found without scanning
/// all others.
#[derive(Clone, Debug, Default)]
pub struct ServiceIndex {
    services: BTreeMap<CompactString, Service>,
    /// Service and slots of each endpoint.
    by_id: BTreeMap<CompactString, (CompactString, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Ordered by rank, lowest first.
    ranked: BTreeSet<(u64, CompactString)>,
    /// Total of the slots.
    slots: u64,
}

impl ServiceIndex {
    /// Adds an endpoint of a service, or updates its service and slots.
    pub fn insert(&mut self, id: &CompactString, service: &CompactString, slots: u32) {
        let service_slots = (service.clone(), slots);
        if self.by_id.get(id) == Some(&service_slots) {
            return;
        }
        self.remove(id);
        let entry = self.services.entry(service.clone()).or_default();
        entry.ranked.insert((rank(id), id.clone()));
        entry.slots += u64::from(slots);
        self.by_id.insert(id.clone(), service_slots);
    }

    /// Removes an endpoint that takes no more work.
    pub fn remove(&mut self, id: &CompactString) {
        let Some((service, slots)) = self.by_id.remove(id) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&service) {
            entry.ranked.remove(&(rank(id), id.clone()));
            entry.slots -= u64::from(slots);
        }
    }

    /// Number of endpoints of a service.
    pub fn count(&self, service: &str) -> usize {
        let service = self.services.get(service);
        service.map_or(0, |service| service.ranked.len())
    }

    /// Total slots of a service's endpoints.
    pub fn slots(&self, service: &str) -> u64 {
        let service = self.services.get(service);
        service.map_or(0, |service| service.slots)
    }

    /// Endpoints of a service, in the order in which they join its working set.
    pub fn ranked(&self, service: &str) -> impl Iterator<Item = &CompactString> {
        let service = self.services.get(service).into_iter();
        service.flat_map(|service| service.ranked.iter().map(|(_, id)| id))
    }
}
