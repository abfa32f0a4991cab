//! Lots that nobody may read any more are removed from the object store.

use super::{handover::kinds, record::LOTS, runner::Runner};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use serde_json::json;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Pause between two looks for lots that are over.
const LOOK: Duration = Duration::from_secs(10);
/// A lot stays as it was sent so long after its end, for calls that crossed it.
const SETTLED: Duration = Duration::from_secs(2);
/// A lot is kept so much longer than it must be: instances count from when they first saw it.
const MARGIN: Duration = Duration::from_secs(60);

/// When this instance first saw each lot. A later holder of the duty begins anew, so that a lot is
/// never removed too early.
#[derive(Debug, Default)]
pub(super) struct Ages(BTreeMap<CompactString, Instant>);

impl Ages {
    /// Notes a lot.
    pub(super) fn seen(&mut self, lot: &CompactString) {
        let now = Instant::now();
        self.0.entry(lot.clone()).or_insert(now);
    }

    /// Forgets a lot that is gone.
    pub(super) fn forget(&mut self, lot: &str) {
        self.0.remove(lot);
    }

    /// Lots that are older than `age`.
    fn older(&self, age: Duration) -> Vec<CompactString> {
        let older = self.0.iter().filter(|(_, since)| since.elapsed() >= age);
        older.map(|(lot, _)| lot.clone()).collect()
    }
}

/// Removes lots that are over, until dropped.
pub(super) async fn sweep(runner: &Rc<Runner>) {
    let kept = runner.parts.kept + MARGIN;
    loop {
        sleep(LOOK).await;
        cut_down(runner).await;
        for lot in runner.ages(|ages| ages.older(kept)) {
            if runner.is_open(&lot) {
                continue;
            }
            match remove(runner, &lot).await {
                Ok(count) => {
                    log::info!(id = lot.as_str(), objects = count; "lot removed");
                    let metrics = &runner.parts.metrics;
                    metrics.count(&metrics.lot_events, &["removed"]);
                    runner.ages(|ages| ages.forget(&lot));
                }
                // The next look tries again.
                Err(error) => log::warn!(id = lot.as_str(), error:% = error; "lot not removed"),
            }
        }
    }
}

/// Replaces the lots that ended some time ago by stubs. All at once, since each runner's watch of the
/// lots ends with a change.
async fn cut_down(runner: &Runner) {
    let ended: Vec<_> = {
        let state = runner.state.borrow();
        let old = state.ended.iter();
        old.filter(|(_, ended)| ended.since.elapsed() >= SETTLED)
            .map(|(id, ended)| (id.clone(), ended.revision, json!(ended.stub)))
            .collect()
    };
    let updates = ended.iter().map(async |(lot, revision, stub)| {
        let store = &runner.parts.store;
        let update = store.update(Purpose::Lots, LOTS, lot, *revision, stub);
        match update.await {
            Ok(object) => {
                log::info!(id = lot.as_str(), revision = object.revision; "lot cut down to a stub");
            }
            // Another runner did it.
            Err(Error::Conflict | Error::NotFound) => {}
            // The next sweep tries again.
            Err(error) => {
                log::warn!(id = lot.as_str(), error:% = error; "lot not cut down");
                return;
            }
        }
        runner.state.borrow_mut().ended.remove(lot);
    });
    join_all(updates).await;
}

/// Removes the results first: without its lot object nobody would look for them.
async fn remove(runner: &Runner, lot: &str) -> Result<usize, Error> {
    let store = &runner.parts.store;
    let mut count = 0;
    for kind in kinds(lot) {
        let (objects, _) = store.list(Purpose::Lots, &kind, None).await?;
        for object in &objects {
            store.delete(Purpose::Lots, &kind, &object.name).await?;
        }
        count += objects.len();
    }
    store.delete(Purpose::Lots, LOTS, lot).await?;
    Ok(count)
}
