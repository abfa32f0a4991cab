//! Lots that nobody may read any more are removed from the object store.

use super::{checkpoint::dependent_kinds, runner::Runner, schema::LOT_KIND};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use serde_json::json;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Pause between two looks for lots that are over.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// A lot stays as it was sent so long after its end, for calls that crossed it.
const TOMBSTONE_DELAY: Duration = Duration::from_secs(2);
/// A lot is kept so much longer than it must be: instances count from when they first saw it.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// When this instance first saw each lot. A later holder of the duty begins anew, so that a lot is
/// never removed too early.
#[derive(Debug, Default)]
pub(super) struct FirstSeen(BTreeMap<CompactString, Instant>);

impl FirstSeen {
    /// Notes a lot.
    pub(super) fn record(&mut self, lot: &CompactString) {
        let now = Instant::now();
        self.0.entry(lot.clone()).or_insert(now);
    }

    /// Forgets a lot that is gone.
    pub(super) fn remove(&mut self, lot: &str) {
        self.0.remove(lot);
    }

    /// Lots that are older than `age`.
    fn older_than(&self, age: Duration) -> Vec<CompactString> {
        let older = self
            .0
            .iter()
            .filter(|(_, first_seen)| first_seen.elapsed() >= age);
        older.map(|(lot, _)| lot.clone()).collect()
    }
}

/// Removes lots that are over, until dropped.
pub(super) async fn clean_up(runner: &Rc<Runner>) {
    let retention = runner.parts.retention + RETENTION_MARGIN;
    loop {
        sleep(CLEANUP_INTERVAL).await;
        write_tombstones(runner).await;
        for lot in runner.with_first_seen(|first_seen| first_seen.older_than(retention)) {
            if runner.is_open(&lot) {
                continue;
            }
            match remove_lot(runner, &lot).await {
                Ok(count) => {
                    log::info!(id = lot.as_str(), objects = count; "lot removed");
                    let metrics = &runner.parts.metrics;
                    metrics.count(&metrics.lots, &["removed"]);
                    runner.with_first_seen(|first_seen| first_seen.remove(&lot));
                }
                // The next look tries again.
                Err(error) => log::warn!(id = lot.as_str(), error:% = error; "lot not removed"),
            }
        }
    }
}

/// Replaces the lots that ended some time ago by stubs. All at once, since each runner's watch of the
/// lots ends with a change.
async fn write_tombstones(runner: &Runner) {
    let ended: Vec<_> = {
        let state = runner.state.borrow();
        let ended = state.ended.iter();
        ended
            .filter(|(_, ended)| ended.noticed_at.elapsed() >= TOMBSTONE_DELAY)
            .map(|(id, ended)| (id.clone(), ended.revision, json!(ended.tombstone)))
            .collect()
    };
    let updates = ended.iter().map(async |(lot, revision, tombstone)| {
        let store = &runner.parts.store;
        let update = store.update(Purpose::Lots, LOT_KIND, lot, *revision, tombstone);
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
async fn remove_lot(runner: &Runner, lot: &str) -> Result<usize, Error> {
    let store = &runner.parts.store;
    let mut count = 0;
    for kind in dependent_kinds(lot) {
        let (objects, _) = store.list(Purpose::Lots, &kind, None).await?;
        for object in &objects {
            store.delete(Purpose::Lots, &kind, &object.name).await?;
        }
        count += objects.len();
    }
    store.delete(Purpose::Lots, LOT_KIND, lot).await?;
    Ok(count)
}
