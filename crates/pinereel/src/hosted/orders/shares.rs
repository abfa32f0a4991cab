//! The models' shares of a service's working set of engines.

use super::{DEMANDS, Orders};
use crate::hosted::demand;
use compact_str::CompactString;
use pinereel_core::{
    Time,
    rollout::{Demand, assign_models, should_reassign, working_set_size},
};
use std::collections::BTreeMap;

/// Which model each engine of the working set is kept up to date for.
#[derive(Default)]
pub(super) struct Shares {
    /// The change of the endpoint list that was last looked at.
    looked_at_change: Option<u64>,
    /// When the demands were last looked at.
    looked_at: Time,
    /// The working set, in its order.
    engines: Vec<CompactString>,
    /// What the models asked for when engines last changed hands.
    demands: Vec<Demand>,
    /// Engines by model.
    by_model: BTreeMap<CompactString, Vec<CompactString>>,
    /// Endpoints of the service that take work, in the working set or not.
    pub(super) listed: usize,
}

impl Shares {
    /// The engines of a model.
    pub(super) fn of(&self, model: &str) -> &[CompactString] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Number of engines that are shared.
    pub(super) const fn len(&self) -> usize {
        self.engines.len()
    }

    fn set(&mut self, engines: Vec<CompactString>, demands: Vec<Demand>) {
        self.by_model.clear();
        for (engine, model) in assign_models(engines.iter().cloned(), &demands) {
            self.by_model.entry(model).or_default().push(engine);
        }
        self.engines = engines;
        self.demands = demands;
    }
}

impl Orders {
    /// Brings the shares of a service up to date.
    pub(super) fn share(&self, service: &CompactString) {
        let parts = &self.parts;
        let (now, change) = (parts.duties.now(), parts.endpoints.change_count());
        let mut all = self.shares.borrow_mut();
        let shares = all.entry(service.clone()).or_default();
        let listed_anew = shares.looked_at_change != Some(change);
        if !listed_anew && now.since(shares.looked_at) < DEMANDS {
            return;
        }
        shares.looked_at = now;
        shares.looked_at_change = Some(change);
        shares.listed = parts.endpoints.available_count(service);
        let demands = demand::model_demands(&parts.config, &parts.duties, service);
        let slots = demand::slots_per_engine(&parts.config, service);
        let count = working_set_size(shares.listed, slots, &demands);
        let engines = parts
            .endpoints
            .ranked(service, count, [], |entry| entry.id.clone());
        let worth = should_reassign(engines.len(), &shares.demands, &demands);
        if worth {
            log::info!(
                service = service.as_str(),
                demands:? = demands,
                engines = engines.len(),
                listed = shares.listed;
                "engines shared anew"
            );
            shares.set(engines, demands);
        } else if engines != shares.engines {
            let demands = std::mem::take(&mut shares.demands);
            shares.set(engines, demands);
        }
    }
}
