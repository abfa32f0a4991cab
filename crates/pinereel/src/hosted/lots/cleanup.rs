//! Deletes lots from the object store after their retention time, and replaces ended ones by
//! tombstones before that.

use super::{checkpoint::dependent_kinds, runner::Runner, schema::LOT_KIND};
use crate::objects::{Error, Purpose};
use futures_util::future::join_all;
use pinereel_port::store::Consistency;
use serde_json::json;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between two cleanup passes.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Time from a lot's end to its tombstone, during which concurrent calls still find the whole lot.
const TOMBSTONE_DELAY: Duration = Duration::from_secs(2);
/// Added to the retention time, because each instance counts it from when it first saw the lot.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Writes tombstones and deletes expired lots periodically, until dropped. Called by the runner of `model`.
pub(super) async fn clean_up(runner: &Rc<Runner>, model: &str) {
    let retention = runner.deps.retention + RETENTION_MARGIN;
    loop {
        sleep(CLEANUP_INTERVAL).await;
        write_tombstones(runner).await;
        let models = runner.configured_models();
        let has_runner = |model: &str| models.contains(model);
        let now = runner.deps.clock.now();
        let expired = {
            let state = runner.state.borrow();
            let lots = &state.stored_lots;
            lots.expired(now, model, has_runner, retention)
        };
        for (lot, revision) in expired {
            if runner.is_open(&lot) {
                continue;
            }
            match remove_lot(runner, &lot, revision).await {
                Ok(count) => {
                    log::info!(id = lot.as_str(), objects = count; "expired lot deleted");
                    let metrics = &runner.deps.metrics;
                    metrics.count(&metrics.lot_events, &["removed"]);
                    runner.state.borrow_mut().stored_lots.remove(&lot);
                }
                // The next pass retries, with the lot's current state.
                Err(error) => log::warn!(id = lot.as_str(), error:% = error; "lot not deleted"),
            }
        }
    }
}

/// Replaces lots that ended at least [`TOMBSTONE_DELAY`] ago by tombstones. The writes are
/// concurrent so that their changes come together: a change ends each runner's watch of the lots.
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
        let store = &runner.deps.store;
        let update = store.update(Purpose::Lots, LOT_KIND, lot, *revision, tombstone);
        match update.await {
            Ok(object) => {
                log::info!(
                    id = lot.as_str(), revision = object.revision;
                    "ended lot replaced by a tombstone"
                );
            }
            // Another runner wrote the tombstone or deleted the lot.
            Err(Error::Conflict | Error::NotFound) => {}
            // The next pass retries.
            Err(error) => {
                log::warn!(id = lot.as_str(), error:% = error; "writing the tombstone failed");
                return;
            }
        }
        runner.state.borrow_mut().ended.remove(lot);
    });
    join_all(updates).await;
}

/// Deletes a lot of this revision with its results and checkpoints. The lot object goes last: without it,
/// nothing would refer to the remaining objects. Returns the number of results and checkpoints deleted.
///
/// # Errors
/// [`Error::Conflict`] if the lot has another revision.
async fn remove_lot(runner: &Runner, lot: &str, revision: u64) -> Result<usize, Error> {
    let store = &runner.deps.store;
    let read = store.read(Purpose::Lots, LOT_KIND, lot, Consistency::Linearizable);
    match read.await? {
        Some(object) if object.revision == revision => {}
        Some(_) => return Err(Error::Conflict),
        None => return Ok(0),
    }
    let mut count = 0;
    for kind in dependent_kinds(lot) {
        let (objects, _) = store.list(Purpose::Lots, &kind, None).await?;
        for object in &objects {
            store.delete(Purpose::Lots, &kind, &object.name).await?;
        }
        count += objects.len();
    }
    let deletion = store.delete_at(Purpose::Lots, LOT_KIND, lot, revision);
    deletion.await?;
    Ok(count)
}
