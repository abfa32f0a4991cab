//! Which item starts next, and at which engine.

use super::{
    super::demand,
    run,
    runner::Runner,
    state::{FleetName, Open, Task, Work},
    stream::{Place, identity},
};
use pinereel_core::{
    batch::{EngineKey, Fleet, Listing},
    crash::{EndpointStart, ISOLATE_AT_CRASHES, RequestStatus},
    hash, routing_table,
};
use pinereel_port::{
    config::{Kind, Route},
    endpoint::Entry,
    lot::Sample,
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Longest pause between two looks for engines that may take an item again.
const LOOK: Duration = Duration::from_millis(60);

impl Runner {
    /// Places items at engines as long as there are both.
    pub(super) async fn dispatch(self: &Rc<Self>) {
        let mut endpoints = self.parts.endpoints.changes();
        loop {
            self.parts.stall.caught_up().await;
            self.sync_fleets();
            self.give_up_old();
            self.release();
            while self.place_one() {}
            tokio::select! {
                () = self.wake.notified() => {}
                _ = endpoints.changed() => {}
                () = sleep(LOOK) => {}
            }
        }
    }

    /// Brings each model's view of its engines up to date, where the list or its working set has changed.
    fn sync_fleets(&self) {
        let mut lost = false;
        let mut state = self.state.borrow_mut();
        let wanted: BTreeSet<_> = state
            .lots
            .values()
            .filter_map(|open| self.fleet(open))
            .collect();
        for name in wanted {
            let parts = &self.parts;
            let count = demand::working_set(
                &parts.config,
                &parts.duties,
                &parts.endpoints,
                &name.service,
            );
            let source = (parts.endpoints.change_count(), count);
            if state.synced.insert(name.clone(), source) == Some(source) {
                continue;
            }
            let fleet = state.fleets.entry(name.clone()).or_default();
            let read = |entry: &Entry| Listing {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
                slots: entry.slots,
                leaving: entry.leaving,
                version: entry.models.get(&name.model).copied(),
            };
            // A run goes on at an engine that is not in the set any more.
            let listed = parts
                .endpoints
                .ranked(&name.service, count, fleet.busy_ids(), read);
            lost |= fleet.update(listed);
        }
        drop(state);
        if lost {
            self.restarts.send_modify(|restarts| *restarts += 1);
        }
    }

    /// The lot's route under the configuration in force.
    fn route(&self, open: &Open) -> Option<Route> {
        let table = self.parts.config.table()?;
        let route = table.route_for(&open.host, &open.path)?;
        (route.kind == Kind::Lot).then(|| route.clone())
    }

    /// The engines that a lot's items go to.
    fn fleet(&self, open: &Open) -> Option<FleetName> {
        let route = self.route(open)?;
        let seed = hash::stable(open.path.as_bytes());
        Some(FleetName {
            service: routing_table::pick_service(&route, seed)?.into(),
            model: open.model.clone(),
        })
    }

    /// Items that could not be started at the last look may be now.
    fn release(&self) {
        let mut state = self.state.borrow_mut();
        state
            .lots
            .values_mut()
            .for_each(|open| open.lot.requeue_deferred());
    }

    /// How many endpoints have crashed under an item; none if it must not run any more.
    fn doubts(&self, open: &Open, at: usize) -> Option<usize> {
        let identity = || identity(&open.caller, &open.host, &open.submission.items[at]);
        match self.parts.crashes.status(identity) {
            RequestStatus::Unrestricted => Some(0),
            RequestStatus::Suspected { endpoints, .. } => Some(endpoints),
            RequestStatus::Blocked { .. } => None,
        }
    }

    /// The next item of a lot, its engine, and how many endpoints have crashed under it. One that may not run now is
    /// held back, and the next one is looked at.
    fn next_item(&self, open: &mut Open, fleet: &mut Fleet) -> Option<(usize, EngineKey, usize)> {
        let now = self.parts.clock.now();
        let oldest_version = open.submission.oldest_version;
        if !fleet.has_free_slot(now, oldest_version) {
            return None;
        }
        loop {
            let at = open.lot.start()?;
            let doubts = self.doubts(open, at);
            let pick = |doubts| fleet.pick_for_item(now, oldest_version, doubts);
            match doubts.zip(doubts.and_then(pick)) {
                Some((doubts, key)) => return Some((at, key, doubts)),
                None => open.lot.defer(at),
            }
            if doubts.is_some_and(|doubts| doubts >= ISOLATE_AT_CRASHES) {
                fleet.reserve(now, oldest_version);
            }
        }
    }

    /// Starts the next item of the oldest lot that has one, if an engine takes it.
    fn place_one(self: &Rc<Self>) -> bool {
        if self.draining.get() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let mut by_age: Vec<_> = state
            .lots
            .iter()
            .map(|(id, open)| (open.opened, id.clone()))
            .collect();
        by_age.sort();
        for (_, id) in by_age {
            let state = &mut *state;
            let Some(open) = state.lots.get_mut(&id) else {
                continue;
            };
            if open.lot.queued() == 0 {
                continue;
            }
            let (Some(route), Some(name)) = (self.route(open), self.fleet(open)) else {
                continue;
            };
            let Some(fleet) = state.fleets.get_mut(&name) else {
                continue;
            };
            let oldest_version = open.submission.oldest_version;
            let Some((at, key, doubts)) = self.next_item(open, fleet) else {
                continue;
            };
            let Some(engine) = fleet.get(key) else {
                continue;
            };
            let place = Place {
                key,
                start: EndpointStart {
                    endpoint: engine.listing.id.clone(),
                    incarnation: engine.listing.incarnation,
                },
                address: engine.listing.address,
                doubts,
            };
            fleet.run_started(self.parts.clock.now(), key, doubts);
            let work = Work {
                caller: open.caller.clone(),
                item: open.submission.items[at].id.clone(),
                host: open.host.clone(),
                lot: id,
                at,
                fleet: name,
                oldest_version,
            };
            let task = run::run(Rc::clone(self), work, route, place);
            // One that ended before is replaced.
            open.tasks.insert(at, Task(actix_rt::spawn(task)));
            return true;
        }
        false
    }

    /// Lists items whose time is over as given up.
    fn give_up_old(&self) {
        let mut state = self.state.borrow_mut();
        let mut ended = Vec::new();
        for open in state.lots.values_mut() {
            let Some(ttl) = self.route(open).and_then(|route| route.item_ttl) else {
                continue;
            };
            if open.opened.elapsed() < ttl {
                continue;
            }
            for at in 0..open.lot.total() {
                if !open.lot.is_finished(at) {
                    let item = open.submission.items[at].id.clone();
                    open.lot.finish(at, Sample { item, made: None });
                    ended.extend(open.tasks.remove(&at));
                }
            }
            open.more.notify_one();
        }
        drop(state);
        drop(ended);
    }
}
