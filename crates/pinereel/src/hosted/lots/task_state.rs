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
const MOVE_PAUSE: Duration = Duration::from_millis(400);

impl Runner {
    pub(super) fn item(&self, work: &ItemTask) -> Option<Item> {
        let state = self.state.borrow();
        let open = state.lots.get(&work.lot)?;
        open.submission.items.get(work.at).cloned()
    }

    /// The text of an item so far.
    pub(super) fn draft(&self, work: &ItemTask) -> PartialOutput {
        let state = self.state.borrow();
        let open = state.lots.get(&work.lot);
        open.map(|open| open.drafts[work.at].clone())
            .unwrap_or_default()
    }

    /// Number of an item's last event, and the newest version that made a part of its text.
    pub(super) fn progress(&self, work: &ItemTask) -> (Option<u64>, Option<u64>) {
        let state = self.state.borrow();
        let Some(open) = state.lots.get(&work.lot) else {
            return (None, None);
        };
        let draft = &open.drafts[work.at];
        (draft.last, draft.versions.last().copied())
    }

    /// Adds an event to an item's text.
    pub(super) fn add_event(&self, work: &ItemTask, event: &Event, version: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.drafts[work.at].add(event, version);
        }
    }

    /// Forgets an item's text.
    pub(super) fn drop_text(&self, work: &ItemTask) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.drafts[work.at] = PartialOutput::default();
        }
    }

    /// The task of an item is at its end.
    pub(super) fn task_ended(&self, work: &ItemTask) {
        let task = {
            let mut state = self.state.borrow_mut();
            let open = state.lots.get_mut(&work.lot);
            open.and_then(|open| open.tasks.remove(&work.at))
        };
        drop(task);
    }

    /// A run made an event; says whether it should go on at another engine.
    pub(super) fn progressed(
        &self,
        work: &ItemTask,
        key: EngineKey,
        gap: Option<Duration>,
    ) -> bool {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(fleet) = state.fleets.get_mut(&work.fleet) else {
            return false;
        };
        match gap {
            Some(gap) => fleet.event_received(key, gap),
            None => fleet.first_event_received(key),
        }
        let waiting = state.lots.values().any(|open| open.lot.queued() > 0);
        let Some(open) = state.lots.get_mut(&work.lot) else {
            return false;
        };
        let events = open.drafts[work.at].last.unwrap_or_default();
        let oldest = work.oldest_version;
        if waiting || fleet.move_target(now, key, oldest, events).is_none() {
            return false;
        }
        let recent = open.moved.get(&work.at);
        if recent.is_some_and(|at| at.elapsed() < MOVE_PAUSE) {
            return false;
        }
        open.moved.insert(work.at, Instant::now());
        true
    }

    /// How long a run waits for the next event.
    pub(super) fn patience(&self, work: &ItemTask, key: EngineKey) -> Duration {
        let state = self.state.borrow();
        let fleet = state.fleets.get(&work.fleet);
        fleet.map_or(Duration::MAX, |fleet| fleet.stall_timeout(key))
    }

    /// Waits until a run at an engine is lost, since that has started again.
    pub(super) async fn lost(&self, fleet: &FleetKey, key: EngineKey) {
        let mut restarts = self.restarts.subscribe();
        loop {
            let lost = {
                let state = self.state.borrow();
                let fleet = state.fleets.get(fleet);
                fleet.is_some_and(|fleet| fleet.has_restarted(key))
            };
            if lost || restarts.changed().await.is_err() {
                return;
            }
        }
    }

    pub(super) fn run_ended(&self, fleet: &FleetKey, key: EngineKey, halt: RunOutcome) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.run_ended(now, key, halt);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// A run that began in doubt ended.
    pub(super) fn doubt_ended(&self, fleet: &FleetKey, key: EngineKey) {
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.suspect_run_ended(key);
        }
    }

    pub(super) fn run_failed(
        &self,
        work: &ItemTask,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        let fate = match state.lots.get_mut(&work.lot) {
            Some(open) => open.lot.run_failed(work.at, failure, max_attempts),
            None => RetryDecision::Retry,
        };
        drop(state);
        self.wake.notify_one();
        fate
    }

    pub(super) fn score_failed(
        &self,
        work: &ItemTask,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let mut state = self.state.borrow_mut();
        match state.lots.get_mut(&work.lot) {
            Some(open) => open.lot.score_failed(work.at, failure, max_attempts),
            None => RetryDecision::Retry,
        }
    }

    pub(super) fn finished(&self, work: &ItemTask, sample: Sample) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.lot.finish(work.at, sample);
            open.more.notify_one();
        }
    }

    /// What is to be committed next; `None` if the lot is not worked on any more.
    pub(super) fn pending(&self, lot: &str) -> Option<PendingSegment> {
        let state = self.state.borrow();
        let open = state.lots.get(lot)?;
        let samples = first_segment(open.lot.uncommitted());
        let all = open.lot.commit_log().next_position() + open.lot.uncommitted().len()
            >= open.lot.total();
        Some(PendingSegment {
            from: open.lot.commit_log().next_position(),
            total: open.lot.total(),
            urgent: self.draining.get()
                || all
                || open.lot.will_satisfy_trainer()
                || samples.len() < open.lot.uncommitted().len(),
            samples,
        })
    }

    /// A segment stands in the store.
    pub(super) fn listed(&self, lot: &str, from: usize, samples: Vec<Sample>) {
        let mut ended = Vec::new();
        let mut complete = false;
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.lots.get_mut(lot) else {
                return;
            };
            if let Err(gap) = open.lot.add_segment(from, samples) {
                log::error!(id = lot; "{gap}");
            }
            // Another runner may have finished what still runs here.
            let done: Vec<_> = open.tasks.keys().copied().collect();
            for at in done {
                if open.lot.is_finished(at) {
                    ended.extend(open.tasks.remove(&at));
                }
            }
            complete |= open.lot.is_complete();
        }
        drop(ended);
        if complete {
            // The committer itself may be the caller, and ends with the lot: so this comes last.
            self.close(&lot.into(), "complete");
        }
    }
}
