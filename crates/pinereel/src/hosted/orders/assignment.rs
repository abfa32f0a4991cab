//! Assigns the engines in the working set of a service to its models, by their demand.

use super::{DEMAND_CHECK_INTERVAL, Orders};
use crate::hosted::demand;
use compact_str::CompactString;
use pinereel_core::{
    Time,
    rollout::{Demand, assign_models, should_reassign, with_last_known, working_set_size},
};
use std::collections::BTreeMap;

/// The model for which each engine of the working set is kept up to date.
#[derive(Default)]
pub(super) struct Assignment {
    /// Number of the last change of the endpoint list that was taken into account.
    checked_change: Option<u64>,
    /// Time of the last check of the demand.
    checked_at: Time,
    /// The working set, in the order of the endpoint ranking.
    engines: Vec<CompactString>,
    /// The models' demand at the last reassignment.
    demands: Vec<Demand>,
    /// The engines assigned to each model.
    by_model: BTreeMap<CompactString, Vec<CompactString>>,
    /// Number of endpoints of the service that take work, in the working set or not.
    pub(super) listed_count: usize,
}

impl Assignment {
    /// The engines assigned to a model.
    pub(super) fn engines_of(&self, model: &str) -> &[CompactString] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Number of engines in the working set.
    pub(super) const fn engine_count(&self) -> usize {
        self.engines.len()
    }

    fn assign(&mut self, engines: Vec<CompactString>, demands: Vec<Demand>) {
        self.by_model.clear();
        for (engine, model) in assign_models(engines.iter().cloned(), &demands) {
            self.by_model.entry(model).or_default().push(engine);
        }
        self.engines = engines;
        self.demands = demands;
    }
}

impl Orders {
    /// Updates the assignment of a service if the endpoint list has changed or a check of the demand is
    /// due.
    pub(super) fn update_assignment(&self, service: &CompactString) {
        let deps = &self.deps;
        let (now, change) = (deps.duties.now(), deps.endpoints.change_count());
        let mut assignments = self.assignments.borrow_mut();
        let assignment = assignments.entry(service.clone()).or_default();
        let list_changed = assignment.checked_change != Some(change);
        if !list_changed && now.since(assignment.checked_at) < DEMAND_CHECK_INTERVAL {
            return;
        }
        assignment.checked_at = now;
        assignment.checked_change = Some(change);
        assignment.listed_count = deps.endpoints.available_count(service);
        let demands = demand::model_demands(&deps.config, &deps.duties, service);
        let slots = demand::slots_per_engine(&deps.config, service);
        let count = working_set_size(assignment.listed_count, slots, &demands);
        let engines = deps
            .endpoints
            .ranked(service, count, [], |entry| entry.id.clone());
        let demands = with_last_known(&assignment.demands, demands);
        let reassign = should_reassign(engines.len(), &assignment.demands, &demands);
        if reassign {
            log::info!(
                service = service.as_str(),
                demands:? = demands,
                engines = engines.len(),
                listed = assignment.listed_count;
                "engines reassigned to models"
            );
            assignment.assign(engines, demands);
        } else if engines != assignment.engines {
            let demands = std::mem::take(&mut assignment.demands);
            assignment.assign(engines, demands);
        }
    }
}
