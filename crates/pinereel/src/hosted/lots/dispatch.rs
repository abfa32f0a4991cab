//! The dispatch loop of a runner: starts queued items on engines, oldest lot first.

use super::{
    super::demand,
    item_task::{self, ActiveRun},
    runner::Runner,
    state::{AbortOnDrop, FleetKey, ItemTask, OpenLot},
    stream::Placement,
};
use pinereel_core::{
    batch::{EngineKey, Fleet, Listing},
    crash::EndpointStart,
    hash,
    rollout::EngineShares,
    routing_table,
};
use pinereel_port::{
    config::{Route, RouteKind},
    endpoint::Entry,
    lot::Sample,
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Upper bound of the pause between two dispatch rounds, since nothing notifies the loop when an
/// engine's backoff ends.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(60);

impl Runner {
    /// Starts items while engines have free slots, and waits for changes, until dropped.
    pub(super) async fn dispatch(self: &Rc<Self>) {
        let mut endpoints = self.deps.endpoints.changes();
        loop {
            self.deps.stall.wait_for_catch_up().await;
            self.sync_fleets();
            self.expire_items();
            while self.start_next_item() {}
            tokio::select! {
                () = self.wake.notified() => {}
                _ = endpoints.changed() => {}
                () = sleep(DISPATCH_INTERVAL) => {}
            }
        }
    }

    /// Updates each fleet for which the endpoint list or the size of the working set has changed.
    fn sync_fleets(&self) {
        let mut restarted = false;
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let keys: BTreeSet<_> = state
            .open_lots
            .values()
            .filter_map(|open| self.fleet_key(open))
            .collect();
        for key in keys {
            let deps = &self.deps;
            let demands = demand::model_demands(&deps.config, &deps.duties, &key.service);
            let count =
                demand::working_set_size(&deps.config, &deps.endpoints, &key.service, &demands);
            let shares = state.engine_shares.entry(key.service.clone()).or_default();
            shares.update(count, demands);
            let source = (deps.endpoints.change_count(), count, shares.revision());
            let previous = state.fleet_sources.insert(key.clone(), source);
            if previous == Some(source) {
                continue;
            }
            let ids = || {
                deps.endpoints
                    .ranked(&key.service, count, [], |e| e.id.clone())
            };
            let assigned = shares.engines_of(&key.model, ids);
            if let Some(assigned) = &assigned
                && previous.map(|(_, _, revision)| revision) != Some(shares.revision())
            {
                log::info!(
                    service = key.service.as_str(),
                    model = key.model.as_str(),
                    demands:? = shares.demands(),
                    engines = assigned.len(),
                    listed = count;
                    "engines assigned to runner"
                );
            }
            let fleet = state.fleets.entry(key.clone()).or_default();
            let to_listing = |entry: &Entry| Listing {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
                slots: entry.slots,
                leaving: entry.draining,
                assigned: assigned.as_ref().is_none_or(|ids| ids.contains(&entry.id)),
                version: entry.models.get(&key.model).copied(),
            };
            // Engines with runs stay in the fleet after they leave the working set.
            let listings = deps
                .endpoints
                .ranked(&key.service, count, fleet.busy_ids(), to_listing);
            restarted |= fleet.update(listings);
        }
        drop(guard);
        if restarted {
            self.restarts.send_modify(|restarts| *restarts += 1);
        }
    }

    /// The lot's route in the current configuration; `None` if there is none for lots.
    fn route(&self, open: &OpenLot) -> Option<Route> {
        let table = self.deps.config.table()?;
        let route = table.route_for(&open.host, &open.path)?;
        (route.kind == RouteKind::Lot).then(|| route.clone())
    }

    /// The fleet that runs the lot's items.
    fn fleet_key(&self, open: &OpenLot) -> Option<FleetKey> {
        let route = self.route(open)?;
        let seed = hash::stable(open.path.as_bytes());
        Some(FleetKey {
            service: routing_table::pick_service(&route, seed)?.into(),
            model: open.model.clone(),
        })
    }

    /// The next item of a lot and the engine that accepts it. Engines that have crashed under an item are no
    /// reason not to run it: an item never crashes engines by itself, and is owed.
    fn pick_item(&self, open: &mut OpenLot, fleet: &Fleet) -> Option<(usize, EngineKey)> {
        let now = self.deps.clock.now();
        let key = fleet.pick(now, open.submission.min_version, None)?;
        Some((open.lot.start()?, key))
    }

    /// Starts the next item that an engine accepts, of the oldest lot that has one. Returns `false`
    /// if there is none.
    fn start_next_item(self: &Rc<Self>) -> bool {
        if self.draining.get() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let mut by_age: Vec<_> = state
            .open_lots
            .iter()
            .map(|(id, open)| (open.opened_at, id.clone()))
            .collect();
        by_age.sort();
        for (_, id) in by_age {
            let state = &mut *state;
            let Some(open) = state.open_lots.get_mut(&id) else {
                continue;
            };
            if open.lot.queued() == 0 {
                continue;
            }
            let (Some(route), Some(fleet_key)) = (self.route(open), self.fleet_key(open)) else {
                continue;
            };
            let Some(fleet) = state.fleets.get_mut(&fleet_key) else {
                continue;
            };
            let oldest_version = open.submission.min_version;
            let Some((index, key)) = self.pick_item(open, fleet) else {
                continue;
            };
            let (Some(engine), Some(run)) = (fleet.get(key), fleet.start_run(key)) else {
                continue;
            };
            let placement = Placement {
                key,
                start: EndpointStart {
                    endpoint: engine.listing.id.clone(),
                    incarnation: engine.listing.incarnation,
                },
                address: engine.listing.address,
            };
            let is_assigned = engine.listing.assigned;
            let shares = state.engine_shares.get(&fleet_key.service);
            if shares.is_some_and(EngineShares::is_shared) {
                let metrics = &self.deps.metrics;
                let engine = if is_assigned { "assigned" } else { "other" };
                metrics.count(&metrics.run_starts, &[engine]);
            }
            let task = ItemTask {
                caller: open.caller.clone(),
                item_id: open.submission.items[index].id.clone(),
                host: open.host.clone(),
                lot_id: id,
                index,
                fleet: fleet_key,
                oldest_version,
            };
            let active_run = ActiveRun::new(self, &task, run);
            let future = item_task::run(Rc::clone(self), task, route, placement, active_run);
            // Replaces the handle of a previous task of the item.
            open.tasks
                .insert(index, AbortOnDrop(actix_rt::spawn(future)));
            return true;
        }
        false
    }

    /// Gives up the unfinished items of lots that are older than their route's `item_ttl`.
    fn expire_items(&self) {
        let mut state = self.state.borrow_mut();
        let mut aborted_tasks = Vec::new();
        for open in state.open_lots.values_mut() {
            let Some(ttl) = self.route(open).and_then(|route| route.item_ttl) else {
                continue;
            };
            if open.opened_at.elapsed() < ttl {
                continue;
            }
            for index in 0..open.lot.total() {
                if !open.lot.is_finished(index) {
                    let item = open.submission.items[index].id.clone();
                    open.lot.finish(index, Sample { item, output: None });
                    aborted_tasks.extend(open.tasks.remove(&index));
                }
            }
            open.commit_wakeup.notify_one();
        }
        drop(state);
        drop(aborted_tasks);
    }
}
