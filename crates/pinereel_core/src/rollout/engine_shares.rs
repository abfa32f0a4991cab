//! The engines that are kept up to date for each model, as computed by the runner of a model's lots.
//!
//! In the first steps all engines have the initial version. Runners that each know only their own
//! runs then choose the same engines and fill their queues, unless each keeps to the engines of its
//! model. The holder of the orders' lease computes the assignment from the same demands. The two can
//! differ for the period in which leases are read (0.7 s), and by less than the minimum change of
//! [`should_reassign`], since each keeps the demands of its own last change.
//!
//! Designed for 2 to 8 models and up to a few hundred engines of one service; the engines are
//! assigned again only when the endpoint list or the demands change.

use super::{Demand, assign_models, should_reassign, with_last_known};
use compact_str::CompactString;
use std::collections::BTreeSet;

/// How the models of one service share its engines.
#[derive(Clone, Debug, Default)]
pub struct EngineShares {
    /// The models' demands at the last change of the shares.
    demands: Vec<Demand>,
    /// Number of changes of the shares.
    revision: u64,
}

impl EngineShares {
    /// Takes over the current demands if the shares of `engines` engines change enough.
    pub fn update(&mut self, engines: usize, demands: Vec<Demand>) {
        let demands = with_last_known(&self.demands, demands);
        let models_changed = {
            let known = self.demands.iter().map(|demand| &demand.model);
            known.ne(demands.iter().map(|demand| &demand.model))
        };
        if models_changed || should_reassign(engines, &self.demands, &demands) {
            self.demands = demands;
            self.revision += 1;
        }
    }

    /// Number of changes so far.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The demands by which the engines are shared.
    pub fn demands(&self) -> &[Demand] {
        &self.demands
    }

    /// Whether two models or more share the engines.
    pub const fn is_shared(&self) -> bool {
        self.demands.len() > 1
    }

    /// Those of the `ranked` engines of the working set that are assigned to `model`; `None` for all
    /// engines if the models do not share them.
    pub fn engines_of(
        &self,
        model: &str,
        ranked: impl FnOnce() -> Vec<CompactString>,
    ) -> Option<BTreeSet<CompactString>> {
        if !self.is_shared() {
            return None;
        }
        let assigned = assign_models(ranked(), &self.demands).into_iter();
        let own = assigned.filter(|(_, assigned_model)| assigned_model == model);
        Some(own.map(|(engine, _)| engine).collect())
    }
}
