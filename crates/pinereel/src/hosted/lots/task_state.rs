//! The state that the tasks of items read and update: partial outputs, runs, results and commits.

use super::{
    commit::{PendingSegment, first_segment},
    runner::Runner,
    state::{FleetKey, ItemTask, PartialOutput},
    stream::Placement,
};
use pinereel_core::{
    Time,
    batch::{EngineKey, Failure, Fleet, MAX_TIMEOUT, RetryDecision, Run, RunOutcome},
};
use pinereel_port::{
    headers::Load,
    lot::{Event, Item, Sample},
};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two moves of an item, so that the speed of its new engine is known first.
const MIN_MOVE_INTERVAL: Duration = Duration::from_millis(400);

impl Runner {
    /// The item as submitted; `None` if its lot is closed.
    pub(super) fn item(&self, task: &ItemTask) -> Option<Item> {
        let state = self.state.borrow();
        let open = state.open_lots.get(&task.lot_id)?;
        open.submission.items.get(task.index).cloned()
    }

    /// The partial output of an item; empty if its lot is closed.
    pub(super) fn partial_output(&self, task: &ItemTask) -> PartialOutput {
        let state = self.state.borrow();
        let open = state.open_lots.get(&task.lot_id);
        open.map(|open| open.outputs[task.index].clone())
            .unwrap_or_default()
    }

    /// Where a run of the item resumes: the number of its last event, and the newest version of the
    /// weights that generated a part of its output.
    pub(super) fn resume_point(&self, task: &ItemTask) -> (Option<u64>, Option<u64>) {
        let state = self.state.borrow();
        let Some(open) = state.open_lots.get(&task.lot_id) else {
            return (None, None);
        };
        let output = &open.outputs[task.index];
        (output.last_event, output.versions.last().copied())
    }

    /// Appends an event to the item's partial output.
    pub(super) fn add_event(&self, task: &ItemTask, event: &Event, version: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.open_lots.get_mut(&task.lot_id) {
            open.outputs[task.index].push_event(event, version);
        }
    }

    /// Discards the item's partial output; its next run starts from the beginning.
    pub(super) fn discard_output(&self, task: &ItemTask) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.open_lots.get_mut(&task.lot_id) {
            open.outputs[task.index] = PartialOutput::default();
        }
    }

    /// Removes the handle of an item's task, called by the task as its last step.
    pub(super) fn task_ended(&self, task: &ItemTask) {
        let handle = {
            let mut state = self.state.borrow_mut();
            let open = state.open_lots.get_mut(&task.lot_id);
            open.and_then(|open| open.tasks.remove(&task.index))
        };
        drop(handle);
    }

    /// Records an event of a run, `interval` after the one before (`None` for the first). Returns
    /// whether the run should move to another engine; if so, the caller stops it.
    pub(super) fn record_event(
        &self,
        task: &ItemTask,
        key: EngineKey,
        interval: Option<Duration>,
    ) -> bool {
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(fleet) = state.fleets.get_mut(&task.fleet) else {
            return false;
        };
        match interval {
            Some(interval) => fleet.event_received(now, key, interval),
            None => fleet.first_event_received(key),
        }
        let has_queued_items = state.open_lots.values().any(|open| open.lot.queued() > 0);
        let Some(open) = state.open_lots.get_mut(&task.lot_id) else {
            return false;
        };
        let last_event = open.outputs[task.index].last_event.unwrap_or_default();
        if has_queued_items {
            return false;
        }
        let target = fleet.move_target(now, key, task.oldest_version, last_event);
        let Some(target) = target else {
            return false;
        };
        let last_move = open.last_moves.get(&task.index);
        if last_move.is_some_and(|at| at.elapsed() < MIN_MOVE_INTERVAL) {
            return false;
        }
        open.last_moves.insert(task.index, Instant::now());
        log_move(now, task, fleet, key, target);
        if fleet.reported_speed(now, key).is_some() {
            let metrics = &self.deps.metrics;
            metrics.count(&metrics.engine_speed, &["move"]);
        }
        true
    }

    /// How long a run waits for its next event.
    pub(super) fn stall_timeout(&self, task: &ItemTask, key: EngineKey) -> Duration {
        let state = self.state.borrow();
        let fleet = state.fleets.get(&task.fleet);
        fleet.map_or(Duration::MAX, |fleet| fleet.stall_timeout(key))
    }

    /// How long a run waits for its response head, and again for its first event.
    pub(super) fn first_event_timeout(&self, task: &ItemTask, key: EngineKey) -> Duration {
        let now = self.deps.clock.now();
        let state = self.state.borrow();
        let fleet = state.fleets.get(&task.fleet);
        fleet.map_or(MAX_TIMEOUT, |fleet| fleet.first_event_timeout(now, key))
    }

    /// Logs that a run got no first event within a timeout that follows from the engine's interval.
    pub(super) fn log_first_event_timeout(
        &self,
        task: &ItemTask,
        placement: &Placement,
        waited: Duration,
    ) {
        let now = self.deps.clock.now();
        let state = self.state.borrow();
        let fleet = state.fleets.get(&task.fleet);
        let engine = fleet.and_then(|fleet| fleet.get(placement.key));
        let age = engine.and_then(|engine| engine.report_age(now));
        log::info!(
            id = task.item_id.as_str(),
            endpoint = placement.start.endpoint.as_str(),
            waited_ms = waited.as_millis() as u64,
            interval_ms:serde = engine.and_then(|engine| engine.event_interval_ms),
            report_age_ms:serde = age.map(|age| age.as_millis() as u64);
            "no first event in time"
        );
        let metrics = &self.deps.metrics;
        metrics.count(&metrics.engine_speed, &["first_event_timeout"]);
    }

    /// Records the load that an engine reported with the response head of a run.
    pub(super) fn load_reported(&self, task: &ItemTask, key: EngineKey, load: Load) {
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&task.fleet) {
            fleet.load_reported(now, key, load);
        }
    }

    /// Waits until the engine has restarted, so that a run on it is lost.
    pub(super) async fn wait_for_restart(&self, fleet: &FleetKey, key: EngineKey) {
        let mut restarts = self.restarts.subscribe();
        loop {
            let restarted = {
                let state = self.state.borrow();
                let fleet = state.fleets.get(fleet);
                fleet.is_some_and(|fleet| fleet.has_restarted(key))
            };
            if restarted || restarts.changed().await.is_err() {
                return;
            }
        }
    }

    /// Ends a run, and records its outcome for the health of its engine.
    pub(super) fn end_run(&self, fleet: &FleetKey, run: Run, outcome: RunOutcome) {
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.end_run(now, run, outcome);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Records that a run ended without a result; the item is queued again.
    pub(super) fn run_failed(
        &self,
        task: &ItemTask,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        let decision = match state.open_lots.get_mut(&task.lot_id) {
            Some(open) => open.lot.run_failed(task.index, failure, max_attempts),
            None => RetryDecision::Retry,
        };
        drop(state);
        self.wake.notify_one();
        decision
    }

    /// Number of endpoints that have failed on the scoring of an item.
    pub(super) fn failed_scorings(&self, task: &ItemTask) -> u32 {
        let state = self.state.borrow();
        let open = state.open_lots.get(&task.lot_id);
        open.map_or(0, |open| open.lot.failed_scorings(task.index))
    }

    /// Records that a scoring ended without a score, after `failures` endpoints had failed on it.
    pub(super) fn scorings_failed(
        &self,
        task: &ItemTask,
        failures: u32,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        match state.open_lots.get_mut(&task.lot_id) {
            Some(open) => open.lot.scorings_failed(task.index, failures, max_attempts),
            None => RetryDecision::Retry,
        }
    }

    /// Records the result of an item, or that it was given up, and wakes the commit task.
    pub(super) fn finish_item(&self, task: &ItemTask, sample: Sample) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.open_lots.get_mut(&task.lot_id) {
            open.lot.finish(task.index, sample);
            open.commit_wakeup.notify_one();
        }
    }

    /// The next segment to commit; `None` if the lot is closed.
    pub(super) fn pending_segment(&self, lot: &str) -> Option<PendingSegment> {
        let state = self.state.borrow();
        let open = state.open_lots.get(lot)?;
        let samples = first_segment(open.lot.uncommitted());
        let all_finished = open.lot.commit_log().next_position() + open.lot.uncommitted().len()
            >= open.lot.total();
        Some(PendingSegment {
            from: open.lot.commit_log().next_position(),
            total: open.lot.total(),
            urgent: self.draining.get()
                || all_finished
                || open.lot.will_satisfy_trainer()
                || samples.len() < open.lot.uncommitted().len(),
            samples,
        })
    }

    /// Applies a segment that is in the store, and closes the lot if that completes it.
    pub(super) fn segment_committed(&self, lot: &str, from: usize, samples: Vec<Sample>) {
        let mut aborted_tasks = Vec::new();
        let mut is_complete = false;
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.open_lots.get_mut(lot) else {
                return;
            };
            if let Err(gap) = open.lot.add_segment(from, samples) {
                log::error!(id = lot; "{gap}");
            }
            // Another runner may have finished items that still run here.
            let running: Vec<_> = open.tasks.keys().copied().collect();
            for index in running {
                if open.lot.is_finished(index) {
                    aborted_tasks.extend(open.tasks.remove(&index));
                }
            }
            is_complete |= open.lot.is_complete();
        }
        drop(aborted_tasks);
        if is_complete {
            // Last, because closing the lot aborts its commit task, which may be the caller.
            self.close_lot(&lot.into(), "complete");
        }
    }
}

/// Logs the speeds for which a run moves, if its engine reports its slowdown.
fn log_move(now: Time, task: &ItemTask, fleet: &Fleet, from: EngineKey, target: EngineKey) {
    let Some(speed) = fleet.reported_speed(now, from) else {
        return;
    };
    let target_speed = fleet.reported_speed(now, target);
    let id = |key| fleet.get(key).map(|engine| engine.listing.id.as_str());
    log::info!(
        id = task.item_id.as_str(),
        endpoint = id(from),
        to = id(target),
        interval_ms = speed.interval_ms,
        slowdown:serde = speed.slowdown,
        report_age_ms = speed.report_age.as_millis() as u64,
        to_interval_ms:serde = target_speed.map(|speed| speed.interval_ms);
        "run moves to a faster engine"
    );
}
