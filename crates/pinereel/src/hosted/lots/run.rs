//! The way of one item: engine, scoring, result.

use super::{
    runner::{Parts, Runner},
    score,
    state::{FleetName, Work},
    stream::{Break, End, Place, identity, stream},
};
use pinereel_core::{
    batch::{Failure, RetryDecision, RunOutcome},
    crash::ISOLATE_AT_CRASHES,
};
use pinereel_port::{
    config::Route,
    lot::{Item, Output, Sample},
};
use std::rc::Rc;
use tokio::time::Instant;

/// Counts a run at its engine; one that is dropped counts as cancelled.
struct Running {
    runner: Rc<Runner>,
    fleet: FleetName,
    place: Place,
    halt: RunOutcome,
}

impl Drop for Running {
    fn drop(&mut self) {
        let key = self.place.key;
        self.runner.run_ended(&self.fleet, key, self.halt);
        if self.place.doubts > 0 {
            self.runner.doubt_ended(&self.fleet, key);
        }
    }
}

/// Runs an item at `place`, and scores it if its text is whole.
pub(super) async fn run(runner: Rc<Runner>, work: Work, route: Route, place: Place) {
    if let Some(item) = runner.item(&work) {
        run_item(&runner, &work, &item, &route, &place).await;
    }
    runner.task_ended(&work);
}

async fn run_item(runner: &Rc<Runner>, work: &Work, item: &Item, route: &Route, place: &Place) {
    let began = Instant::now();
    let mut running = Running {
        runner: Rc::clone(runner),
        fleet: work.fleet.clone(),
        place: place.clone(),
        halt: RunOutcome::Cancelled,
    };
    let end = tokio::select! {
        end = stream(runner, work, item, route, place) => end,
        () = runner.lost(&work.fleet, place.key) => End::Broken(Break::Restarted),
    };
    running.halt = match end {
        End::Complete | End::Failed | End::Impossible => RunOutcome::Finished,
        End::Left => RunOutcome::Cancelled,
        End::Refused | End::Outdated => RunOutcome::Rejected,
        End::Broken(_) => RunOutcome::Failed,
    };
    drop(running);
    let metrics = &runner.parts.metrics;
    metrics.count(&metrics.item_runs, &[end.as_str()]);
    report(work, place, end, began, runner.progress(work).0);
    note_crash(runner, work, item, place, end, began);
    let failure = match end {
        End::Complete => {
            finish(runner, work, item).await;
            return;
        }
        End::Failed => Failure::Failed,
        End::Impossible => Failure::Impossible,
        End::Refused | End::Broken(_) | End::Left | End::Outdated => Failure::Interrupted,
    };
    if runner.run_failed(work, failure, route.max_attempts) == RetryDecision::GiveUp {
        give_up(runner, work, item, "its engine refuses it or fails on it");
    }
}

/// Notes what a run says about the item: whether its engine crashed under it.
fn note_crash(runner: &Runner, work: &Work, item: &Item, place: &Place, end: End, began: Instant) {
    let Parts {
        crashes, endpoints, ..
    } = &runner.parts;
    let identity = || identity(&work.caller, &work.host, item);
    match end {
        // One that was leaving, or is listed no more, ends by itself.
        End::Broken(Break::Crashed) if endpoints.is_current(&place.start) => {
            crashes.crashed(
                identity(),
                place.start.clone(),
                place.doubts >= ISOLATE_AT_CRASHES,
            );
        }
        End::Complete | End::Failed | End::Impossible => {
            crashes.answered(identity, place.start.clone(), began.elapsed());
        }
        _ => {}
    }
}

fn report(work: &Work, place: &Place, end: End, began: Instant, last: Option<u64>) {
    log::info!(
        id = work.item.as_str(),
        lot = work.lot.as_str(),
        endpoint = place.start.endpoint.as_str(),
        outcome:? = end,
        last_event:serde = last,
        ms = began.elapsed().as_millis() as u64;
        "item run"
    );
}

/// The text is whole: it is scored and becomes a result.
async fn finish(runner: &Rc<Runner>, work: &Work, item: &Item) {
    let score = match &item.scorer {
        Some(scorer) => match score::score(runner, work, scorer).await {
            Some(score) => Some(score),
            None => {
                give_up(runner, work, item, "its scorer fails on it");
                return;
            }
        },
        None => None,
    };
    let draft = runner.draft(work);
    let made = Output {
        text: draft.text,
        versions: draft.versions.into_iter().collect(),
        score,
    };
    let sample = Sample {
        item: item.id.clone(),
        output: Some(made),
    };
    runner.finished(work, sample);
}

fn give_up(runner: &Rc<Runner>, work: &Work, item: &Item, why: &str) {
    log::warn!(id = item.id.as_str(), lot = work.lot.as_str(), why; "item given up");
    let sample = Sample {
        item: item.id.clone(),
        output: None,
    };
    runner.finished(work, sample);
}
