//! Selects the engines that are ordered to load next, within the limits on concurrent loads and on
//! engines out of service.

use super::{
    Action, Controller,
    engine::{Engine, Phase},
    load_slots::Claim,
    plan::min_serving,
};
use crate::{Time, Version};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// An engine that may be ordered to load: the cost of the order, the version that it serves, its
/// outstanding requests, its name. The smallest candidate is ordered first: of equal cost, the
/// engine furthest behind, which is of the least use.
type Candidate = (Cost, Option<Version>, u32, CompactString);

/// Resources that an order to an engine uses up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cost {
    /// None: the engine is loading already.
    Nothing,
    /// A load slot of the weight store.
    Load,
    /// A load slot, and an engine in service.
    Service,
}

impl Controller {
    /// The load slots that this model can use now, for [`load_slots::divide`](super::load_slots::divide).
    ///
    /// Engines that may not be ordered now are not pending, as slots for them would stay unused:
    /// those that are unreachable, in quarantine or backed off, those that must stay in service, and
    /// all during the load delay.
    pub fn claim(&self, now: Time) -> Claim {
        let settings = self.settings;
        let loading = self.loading_count(now);
        let target = self.target.filter(|_| self.load_delay_is_over(now));
        let waits = |engine: &&Engine| {
            target.is_some_and(|target| engine.waits_for_load(target, now, &settings))
        };
        let waiting = || self.engines.values().filter(waits);
        let waiting_in_service = waiting().filter(|e| e.serves()).count();
        let waiting_out_of_service = waiting().count() - waiting_in_service;
        let (serving, needed) = self.serving_and_needed();
        let may_leave_service = waiting_in_service.min(serving.saturating_sub(needed));
        Claim {
            engines: self.engines.values().filter(|e| !e.leaving).count(),
            pending: loading + waiting_out_of_service + may_leave_service,
            loading,
            published_at: self.target_since,
        }
    }

    /// Number of engines that are loading, or may be.
    fn loading_count(&self, now: Time) -> usize {
        let engines = self.engines.values();
        engines.filter(|e| e.may_load(now, &self.settings)).count()
    }

    /// Number of engines in service, and how many must stay so.
    fn serving_and_needed(&self) -> (usize, usize) {
        let engines = self.engines.values();
        let reachable = engines.filter(|e| !e.leaving && !e.is_unreachable());
        let (mut count, mut serving) = (0, 0);
        for engine in reachable {
            count += 1;
            serving += usize::from(engine.serves());
        }
        let needed = min_serving(count, self.settings.min_serving_share);
        (serving, needed)
    }

    /// Whether loads of the target may start.
    fn load_delay_is_over(&self, now: Time) -> bool {
        now >= self.target_since + self.settings.load_delay
    }

    /// Orders as many engines as the free load slots and the minimum in service allow.
    pub(super) fn issue_orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (Some(target), Some(lease)) = (self.target, self.lease) else {
            return;
        };
        if !self.load_delay_is_over(now) {
            return;
        }
        let settings = self.settings;
        let loading = self.loading_count(now);
        let mut load_slots = settings.max_loads.saturating_sub(loading);
        if !self
            .engines
            .values()
            .any(|e| e.needs_order(target, now, &settings))
        {
            return;
        }
        let (serving, needed) = self.serving_and_needed();
        let mut spare_serving = serving.saturating_sub(needed);
        // A load in progress may have ended since the last status. Replacing it is then a new load
        // of an engine in service, so it must fit the limits too; late orders of a former holder
        // may have exceeded them.
        let may_replace = loading <= settings.max_loads && serving >= needed;
        let mut zones = self.candidates(target, now, may_replace);
        let mut out_of_service = self.out_of_service_by_zone();
        while let Some(name) = next_engine(&mut zones, &out_of_service, load_slots, spare_serving) {
            let Some(engine) = self.engines.get_mut(&name) else {
                return;
            };
            spare_serving -= usize::from(engine.serves());
            load_slots -= usize::from(!engine.may_load(now, &settings));
            *out_of_service.entry(engine.zone.clone()).or_default() += 1;
            engine.idle_before_order = !engine.may_load(now, &settings);
            engine.load_ruled_out = false;
            engine.phase = Phase::Ordered {
                version: target,
                ordered_at: now,
                is_accepted: false,
                start_observed: true,
            };
            actions.push(Action::Order {
                name,
                version: target,
                fence: lease.fence,
            });
        }
    }

    /// Engines that need an order, by zone and each zone in reverse order, so that the best
    /// candidate is last. Engines that are loading are left out unless `may_replace`.
    fn candidates(
        &self,
        target: Version,
        now: Time,
        may_replace: bool,
    ) -> BTreeMap<CompactString, Vec<Candidate>> {
        let mut zones: BTreeMap<CompactString, Vec<Candidate>> = BTreeMap::new();
        for (name, engine) in &self.engines {
            let cost = self.order_cost(engine, now);
            let is_due = engine.needs_order(target, now, &self.settings);
            if is_due && (may_replace || cost != Cost::Nothing) {
                let version = engine.status.version;
                let candidate = (cost, version, engine.outstanding, name.clone());
                zones
                    .entry(engine.zone.clone())
                    .or_default()
                    .push(candidate);
            }
        }
        for queue in zones.values_mut() {
            queue.sort_by(|a, b| b.cmp(a));
        }
        zones
    }

    fn order_cost(&self, engine: &Engine, now: Time) -> Cost {
        if engine.serves() {
            Cost::Service
        } else if engine.may_load(now, &self.settings) {
            Cost::Nothing
        } else {
            Cost::Load
        }
    }

    fn out_of_service_by_zone(&self) -> BTreeMap<CompactString, usize> {
        let mut out_of_service = BTreeMap::new();
        for engine in self.engines.values().filter(|e| !e.serves()) {
            *out_of_service.entry(engine.zone.clone()).or_default() += 1;
        }
        out_of_service
    }
}

/// Takes the next engine to order: among the best candidates of the zones, the one furthest behind,
/// and of these the one in the zone with the fewest engines out of service.
fn next_engine(
    zones: &mut BTreeMap<CompactString, Vec<Candidate>>,
    out_of_service: &BTreeMap<CompactString, usize>,
    load_slots: usize,
    spare_serving: usize,
) -> Option<CompactString> {
    let allowed = |queue: &[Candidate]| match queue.last() {
        Some((Cost::Nothing, ..)) => true,
        Some((Cost::Load, ..)) => load_slots > 0,
        Some((Cost::Service, ..)) => load_slots > 0 && spare_serving > 0,
        None => false,
    };
    let (_, queue) = zones
        .iter_mut()
        .filter(|(_, queue)| allowed(queue))
        .min_by_key(|(zone, queue)| {
            let version = queue.last().map(|(_, version, ..)| *version);
            (
                version,
                out_of_service.get(*zone).copied().unwrap_or_default(),
            )
        })?;
    queue.pop().map(|(.., name)| name)
}
