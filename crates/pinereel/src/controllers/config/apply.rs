//! Notifies the other controllers when a new configuration comes into force.

use super::Snapshot;
use crate::{
    controllers::{endpoints, lots},
    state::Shared,
};
use compact_str::CompactString;
use pinereel_core::{
    config::Document,
    endpoint::{self, Event},
    lot,
};
use std::rc::Rc;

/// Passes the differences from the `old` configuration to the lots' runner and the endpoints.
pub fn apply_snapshot(shared: &Rc<Shared>, old: Option<&Snapshot>) {
    let Some(snapshot) = shared.config.snapshot() else {
        return;
    };
    let entry = shared.name().as_str();
    log::info!(entry, number = snapshot.number; "config: in force");
    shared
        .metrics
        .config_number
        .set(i64::try_from(snapshot.number).unwrap_or(i64::MAX));
    let empty = Document::default();
    let old = old.map_or(&empty, |snapshot| &snapshot.document);
    for (trainer, bound) in changed_bounds(old, &snapshot.document) {
        lots::step(shared, lot::Event::BoundChanged { trainer, bound });
    }
    for instance in changed_slots(shared, old, &snapshot.document) {
        endpoints::step(shared, Event::Listed(instance));
    }
}

/// Trainers whose staleness bound has changed, with the new bound.
fn changed_bounds(old: &Document, new: &Document) -> Vec<(CompactString, u64)> {
    let bound = |name| old.trainers.get(name).map(|trainer| trainer.bound);
    new.trainers
        .iter()
        .filter(|(name, trainer)| bound(*name) != Some(trainer.bound))
        .map(|(name, trainer)| (name.clone(), trainer.bound))
        .collect()
}

/// Listings of the endpoints whose pool's number of slots has changed.
fn changed_slots(shared: &Shared, old: &Document, new: &Document) -> Vec<endpoint::Listing> {
    let set = shared.endpoints.set();
    let mut changed = Vec::new();
    for (_, known) in set.iter() {
        let Some(pool) = new.pools.get(&known.pool) else {
            continue;
        };
        let old_slots = old.pools.get(&known.pool).map(|pool| pool.slots);
        if old_slots == Some(pool.slots) || known.state == endpoint::State::Gone {
            continue;
        }
        changed.push(endpoint::Listing {
            name: known.name.clone(),
            incarnation: known.incarnation,
            address: known.address.clone(),
            zone: known.zone.clone(),
            pool: known.pool.clone(),
            slots: pool.slots,
            leaving: known.state == endpoint::State::Leaving,
        });
    }
    changed
}
