//! What changes here when a new number comes into force.

use super::Pin;
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

/// Tells the runner of lots and the endpoints what differs from the old configuration.
pub fn changed(shared: &Rc<Shared>, old: Option<&Pin>) {
    let Some(pin) = shared.config.pin() else {
        return;
    };
    let entry = shared.name().as_str();
    log::info!(entry, number = pin.number; "config: in force");
    shared
        .metrics
        .config_number
        .set(i64::try_from(pin.number).unwrap_or(i64::MAX));
    let empty = Document::default();
    let old = old.map_or(&empty, |pin| &pin.document);
    for (trainer, bound) in bounds(old, &pin.document) {
        lots::step(shared, lot::Event::BoundChanged { trainer, bound });
    }
    for instance in slots(shared, old, &pin.document) {
        endpoints::step(shared, Event::Listed(instance));
    }
}

/// Trainers whose staleness bound differs, with the new one.
fn bounds(old: &Document, new: &Document) -> Vec<(CompactString, u64)> {
    let bound = |name| old.trainers.get(name).map(|trainer| trainer.bound);
    new.trainers
        .iter()
        .filter(|(name, trainer)| bound(*name) != Some(trainer.bound))
        .map(|(name, trainer)| (name.clone(), trainer.bound))
        .collect()
}

/// Endpoints whose pool has another number of slots now.
fn slots(shared: &Shared, old: &Document, new: &Document) -> Vec<endpoint::Listing> {
    let set = shared.endpoints.set();
    let mut changed = Vec::new();
    for (_, known) in set.iter() {
        let Some(pool) = new.pools.get(&known.pool) else {
            continue;
        };
        let before = old.pools.get(&known.pool).map(|pool| pool.slots);
        if before == Some(pool.slots) || known.state == endpoint::State::Gone {
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
