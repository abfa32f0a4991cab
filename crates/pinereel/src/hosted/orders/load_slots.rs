//! Ticks the rollouts of all models of one service, and divides the service's load slots among them.

use super::{
    Orders,
    assignment::Assignment,
    rollout::{Rollout, Snapshot},
};
use compact_str::CompactString;
use pinereel_core::{
    Time,
    rollout::{
        load_slots::{self, Claim},
        max_loads,
    },
};
use serde::Serialize;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval between ticks of the controllers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two log lines on the division of a service. It changes with each load that
/// ends, up to 20 times a second.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The rollouts of one service, one for each model.
pub(super) struct Rollouts {
    orders: Rc<Orders>,
    service: CompactString,
    rollouts: Vec<(Rc<Rollout>, Snapshot)>,
    /// The last claims of the models, and the limits of concurrent loads that follow from them.
    published: (Vec<Claim>, Vec<usize>),
    /// Time of the last log line on the division; `None` before the first.
    logged_at: Option<Time>,
}

/// Log entry on one model's part of the load slots.
#[derive(Serialize)]
struct Division<'a> {
    model: &'a str,
    engines: usize,
    pending: usize,
    loading: usize,
    /// Age of the newest version, or of this holder's lease if that is newer.
    age_ms: u64,
    limit: usize,
}

impl Rollouts {
    pub(super) fn new(
        orders: Rc<Orders>,
        service: CompactString,
        rollouts: Vec<Rc<Rollout>>,
    ) -> Self {
        let limits = vec![0; rollouts.len()];
        let with_snapshot = rollouts.into_iter().map(|r| (r, Snapshot::default()));
        Self {
            orders,
            service,
            rollouts: with_snapshot.collect(),
            published: (Vec::new(), limits),
            logged_at: None,
        }
    }

    /// Ticks all controllers, until dropped. Returns immediately if the service has no models.
    pub(super) async fn run(mut self) {
        while !self.rollouts.is_empty() {
            for (rollout, snapshot) in &mut self.rollouts {
                rollout.update(snapshot);
            }
            self.divide();
            self.rollouts.iter().for_each(|(rollout, _)| rollout.tick());
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Sets the maximum number of concurrent loads of each model.
    fn divide(&mut self) {
        let orders = Rc::clone(&self.orders);
        let assignments = orders.assignments.borrow();
        let Some(assignment) = assignments.get(&self.service) else {
            return;
        };
        if let [(rollout, _)] = self.rollouts.as_slice() {
            let limit = self.single_model_limit(assignment, rollout);
            rollout.controller.borrow_mut().set_max_loads(limit);
            return;
        }
        let now = orders.deps.duties.now();
        let rollouts = self.rollouts.iter().map(|(rollout, _)| rollout);
        let claims: Vec<Claim> = rollouts
            .clone()
            .map(|rollout| rollout.controller.borrow().claim(now))
            .collect();
        let total = load_slots::total(assignment.listed_count, orders.deps.settings.loads);
        let limits = load_slots::divide(total, &claims);
        for (rollout, limit) in rollouts.zip(&limits) {
            rollout.controller.borrow_mut().set_max_loads(*limit);
        }
        let division = (claims, limits);
        if division != self.published {
            self.publish(now, total, &division);
            self.published = division;
        }
    }

    /// The limit of the only model of a service.
    fn single_model_limit(&self, assignment: &Assignment, rollout: &Rollout) -> usize {
        max_loads(
            assignment.listed_count,
            assignment.engine_count(),
            assignment.engines_of(&rollout.model).len(),
            self.orders.deps.settings.loads,
        )
    }

    /// Updates the metrics with a new division, and logs it if the limits have changed, unless the last
    /// line is too recent.
    fn publish(&mut self, now: Time, total: usize, (claims, limits): &(Vec<Claim>, Vec<usize>)) {
        let metrics = &self.orders.deps.metrics;
        let mut divisions = Vec::new();
        for (((rollout, _), claim), limit) in self.rollouts.iter().zip(claims).zip(limits) {
            let model = rollout.model.as_str();
            metrics.set_load_slots(model, *limit, claim);
            divisions.push(Division {
                model,
                engines: claim.engines,
                pending: claim.pending,
                loading: claim.loading,
                age_ms: now.since(claim.published_at).as_millis() as u64,
                limit: *limit,
            });
        }
        let is_due = |at| now.since(at) >= MIN_LOG_INTERVAL;
        if *limits != self.published.1 && self.logged_at.is_none_or(is_due) {
            self.logged_at = Some(now);
            log::info!(
                service = self.service.as_str(),
                total,
                models:serde = divisions;
                "load slots divided"
            );
        }
    }
}

impl Drop for Rollouts {
    /// Clears the metrics, as another instance divides the slots from now on.
    fn drop(&mut self) {
        let none = Claim {
            engines: 0,
            pending: 0,
            loading: 0,
            published_at: Time::ZERO,
        };
        for (rollout, _) in &self.rollouts {
            let metrics = &self.orders.deps.metrics;
            metrics.set_load_slots(&rollout.model, 0, &none);
        }
    }
}
