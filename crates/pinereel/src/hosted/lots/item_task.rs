//! The task of one item: runs it on an engine, scores its output and records the result.

use super::{
    runner::Runner,
    score,
    state::{FleetKey, ItemTask},
    stream::{Placement, RunEnd, RunError, run_on_engine},
};
use pinereel_core::batch::{Failure, RetryDecision, Run, RunOutcome};
use pinereel_port::{
    config::Route,
    lot::{Item, Output, Sample},
};
use std::rc::Rc;
use tokio::time::Instant;

/// Ends a run when dropped; as cancelled, unless [`ActiveRun::end`] was called. Created with the run, since
/// a task that is aborted before its first poll executes none of its code.
pub(super) struct ActiveRun {
    runner: Rc<Runner>,
    fleet: FleetKey,
    /// Taken when dropped.
    run: Option<Run>,
    outcome: RunOutcome,
}

impl ActiveRun {
    pub(super) fn new(runner: &Rc<Runner>, task: &ItemTask, run: Run) -> Self {
        Self {
            runner: Rc::clone(runner),
            fleet: task.fleet.clone(),
            run: Some(run),
            outcome: RunOutcome::Cancelled,
        }
    }

    fn end(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.runner.end_run(&self.fleet, run, self.outcome);
        }
    }
}

/// Runs an item on the engine of `placement`, and scores its output if it is complete. A run that
/// fails returns the item to the queue.
pub(super) async fn run(
    runner: Rc<Runner>,
    task: ItemTask,
    route: Route,
    placement: Placement,
    active_run: ActiveRun,
) {
    if let Some(item) = runner.item(&task) {
        run_item(&runner, &task, &item, &route, &placement, active_run).await;
    }
    runner.task_ended(&task);
}

async fn run_item(
    runner: &Rc<Runner>,
    task: &ItemTask,
    item: &Item,
    route: &Route,
    placement: &Placement,
    active_run: ActiveRun,
) {
    let started = Instant::now();
    let end = tokio::select! {
        end = run_on_engine(runner, task, item, route, placement) => end,
        () = runner.wait_for_restart(&task.fleet, placement.key) =>
            RunEnd::Broken(RunError::Restarted),
    };
    let outcome = match end {
        RunEnd::Complete | RunEnd::Failed | RunEnd::Impossible => RunOutcome::Finished,
        RunEnd::Left => RunOutcome::Cancelled,
        RunEnd::Refused | RunEnd::Outdated => RunOutcome::Rejected,
        RunEnd::Broken(_) => RunOutcome::Failed,
    };
    active_run.end(outcome);
    let metrics = &runner.deps.metrics;
    metrics.count(&metrics.item_runs, &[end.as_str()]);
    log_run(task, placement, end, started, runner.resume_point(task).0);
    if matches!(end, RunEnd::Complete | RunEnd::Failed | RunEnd::Impossible) {
        let crashes = &runner.deps.crashes;
        crashes.record_alive(&placement.start, started.elapsed());
    }
    let failure = match end {
        RunEnd::Complete => {
            score_and_finish(runner, task, item).await;
            return;
        }
        RunEnd::Failed => Failure::Failed,
        RunEnd::Impossible => Failure::Impossible,
        RunEnd::Refused | RunEnd::Broken(_) | RunEnd::Left | RunEnd::Outdated => {
            Failure::Interrupted
        }
    };
    if runner.run_failed(task, failure, route.max_attempts) == RetryDecision::GiveUp {
        give_up(runner, task, item, "rejected, or too many runs failed");
    }
}

fn log_run(
    task: &ItemTask,
    placement: &Placement,
    end: RunEnd,
    started: Instant,
    last_event: Option<u64>,
) {
    log::info!(
        id = task.item_id.as_str(),
        lot = task.lot_id.as_str(),
        endpoint = placement.start.endpoint.as_str(),
        outcome:? = end,
        last_event:serde = last_event,
        ms = started.elapsed().as_millis() as u64;
        "item run"
    );
}

/// Scores the complete output and records the result; gives the item up if that fails.
async fn score_and_finish(runner: &Rc<Runner>, task: &ItemTask, item: &Item) {
    let score = match &item.scorer {
        Some(scorer) => match score::score(runner, task, scorer).await {
            Some(score) => Some(score),
            None => {
                give_up(runner, task, item, "too many scorings failed");
                return;
            }
        },
        None => None,
    };
    let output = runner.partial_output(task);
    let scored = Output {
        text: output.text,
        versions: output.versions.into_iter().collect(),
        score,
    };
    let sample = Sample {
        item: item.id.clone(),
        output: Some(scored),
    };
    runner.finish_item(task, sample);
}

fn give_up(runner: &Rc<Runner>, task: &ItemTask, item: &Item, reason: &str) {
    log::warn!(id = item.id.as_str(), lot = task.lot_id.as_str(), why = reason; "item given up");
    let sample = Sample {
        item: item.id.clone(),
        output: None,
    };
    runner.finish_item(task, sample);
}
