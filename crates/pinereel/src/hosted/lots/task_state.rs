//! What the tasks of a runner's items tell it.

use super::{
    commit::{PendingSegment, first_segment},
    runner::Runner,
    state::{FleetKey, ItemTask, PartialOutput},
};
use pinereel_core::batch::{EngineKey, Failure, RetryDecision, RunOutcome};
use pinereel_port::lot::{Event, Item, Sample};
use std::time::Duration;
use tokio::time::Instant;

/// A run is not moved twice within this time: its new engine must show its pace first.
const MIN_MOVE_INTERVAL: Duration = Duration::from_millis(400);

impl Runner {
    pub(super) fn item(&self, task: &ItemTask) -> Option<Item> {
        let state = self.state.borrow();
        let open = state.lots.get(&task.lot)?;
        open.submission.items.get(task.index).cloned()
    }

    /// The text of an item so far.
    pub(super) fn partial_output(&self, task: &ItemTask) -> PartialOutput {
        let state = self.state.borrow();
        let open = state.lots.get(&task.lot);
        open.map(|open| open.outputs[task.index].clone())
            .unwrap_or_default()
    }

    /// Number of an item's last event, and the newest version that made a part of its text.
    pub(super) fn resume_point(&self, task: &ItemTask) -> (Option<u64>, Option<u64>) {
        let state = self.state.borrow();
        let Some(open) = state.lots.get(&task.lot) else {
            return (None, None);
        };
        let output = &open.outputs[task.index];
        (output.last_event, output.versions.last().copied())
    }

    /// Adds an event to an item's text.
    pub(super) fn add_event(&self, task: &ItemTask, event: &Event, version: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&task.lot) {
            open.outputs[task.index].push_event(event, version);
        }
    }

    /// Forgets an item's text.
    pub(super) fn discard_output(&self, task: &ItemTask) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&task.lot) {
            open.outputs[task.index] = PartialOutput::default();
        }
    }

    /// The task of an item is at its end.
    pub(super) fn task_ended(&self, task: &ItemTask) {
        let handle = {
            let mut state = self.state.borrow_mut();
            let open = state.lots.get_mut(&task.lot);
            open.and_then(|open| open.tasks.remove(&task.index))
        };
        drop(handle);
    }

    /// A run made an event; says whether it should go on at another engine.
    pub(super) fn record_event(
        &self,
        task: &ItemTask,
        key: EngineKey,
        interval: Option<Duration>,
    ) -> bool {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(fleet) = state.fleets.get_mut(&task.fleet) else {
            return false;
        };
        match interval {
            Some(interval) => fleet.event_received(key, interval),
            None => fleet.first_event_received(key),
        }
        let has_queued_items = state.lots.values().any(|open| open.lot.queued() > 0);
        let Some(open) = state.lots.get_mut(&task.lot) else {
            return false;
        };
        let last_event = open.outputs[task.index].last_event.unwrap_or_default();
        let oldest_version = task.oldest_version;
        if has_queued_items
            || fleet
                .move_target(now, key, oldest_version, last_event)
                .is_none()
        {
            return false;
        }
        let last_move = open.last_moves.get(&task.index);
        if last_move.is_some_and(|at| at.elapsed() < MIN_MOVE_INTERVAL) {
            return false;
        }
        open.last_moves.insert(task.index, Instant::now());
        true
    }

    /// How long a run waits for the next event.
    pub(super) fn stall_timeout(&self, task: &ItemTask, key: EngineKey) -> Duration {
        let state = self.state.borrow();
        let fleet = state.fleets.get(&task.fleet);
        fleet.map_or(Duration::MAX, |fleet| fleet.stall_timeout(key))
    }

    /// Waits until a run at an engine is lost, since that has started again.
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

    pub(super) fn run_ended(&self, fleet: &FleetKey, key: EngineKey, outcome: RunOutcome) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.run_ended(now, key, outcome);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// A run that began in doubt ended.
    pub(super) fn suspect_run_ended(&self, fleet: &FleetKey, key: EngineKey) {
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.suspect_run_ended(key);
        }
    }

    pub(super) fn run_failed(
        &self,
        task: &ItemTask,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        let decision = match state.lots.get_mut(&task.lot) {
            Some(open) => open.lot.run_failed(task.index, failure, max_attempts),
            None => RetryDecision::Retry,
        };
        drop(state);
        self.wake.notify_one();
        decision
    }

    pub(super) fn score_failed(
        &self,
        task: &ItemTask,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        match state.lots.get_mut(&task.lot) {
            Some(open) => open.lot.score_failed(task.index, failure, max_attempts),
            None => RetryDecision::Retry,
        }
    }

    pub(super) fn finish_item(&self, task: &ItemTask, sample: Sample) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&task.lot) {
            open.lot.finish(task.index, sample);
            open.commit_wakeup.notify_one();
        }
    }

    /// What is to be committed next; `None` if the lot is not worked on any more.
    pub(super) fn pending_segment(&self, lot: &str) -> Option<PendingSegment> {
        let state = self.state.borrow();
        let open = state.lots.get(lot)?;
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

    /// A segment stands in the store.
    pub(super) fn segment_committed(&self, lot: &str, from: usize, samples: Vec<Sample>) {
        let mut aborted_tasks = Vec::new();
        let mut is_complete = false;
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.lots.get_mut(lot) else {
                return;
            };
            if let Err(gap) = open.lot.add_segment(from, samples) {
                log::error!(id = lot; "{gap}");
            }
            // Another runner may have finished what still runs here.
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
            // The committer itself may be the caller, and ends with the lot: so this comes last.
            self.close_lot(&lot.into(), "complete");
        }
    }
}
