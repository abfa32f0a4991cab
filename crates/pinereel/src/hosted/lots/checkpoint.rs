//! Checkpoints: partial outputs of a lot's items, from which the next runner resumes.
//!
//! The longest outputs decide when a step completes and take seconds; restarted from the beginning,
//! they would be late. A runner therefore writes them to the object store periodically, and writes
//! all partial outputs at a planned stop, before it releases the lease. There is one object for
//! each lot and process.

use super::{
    runner::Runner,
    schema::{checkpoint_kind, results_kind},
    state::PartialOutput,
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use pinereel_port::store::Consistency;
use std::{cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep_until, timeout};

/// Timeout of all writes at a planned stop; the release of the lease waits for them.
const STOP_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two checkpoints of a lot; a runner that is killed loses the work of half an
/// interval on average.
/// An output that decides when its step completes takes up to 7 s, so a lot costs three writes.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between two checks for outputs to write, when a checkpoint is due and there are none. A
/// whole [`CHECKPOINT_INTERVAL`] would add to the work that is lost.
const OUTPUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Lowest number of an output's last event at which a periodic checkpoint includes that output. An
/// engine takes half a second for this many events.
pub(super) const MIN_CHECKPOINT_EVENT: u64 = 10;
/// Upper bound of the text in a checkpoint. The store accepts objects of up to a megabyte, and JSON
/// escapes may double the size of the text.
const MAX_CHECKPOINT_TEXT_BYTES: usize = 400_000;

/// Partial outputs of a lot, by item id.
pub(super) type PartialOutputs = BTreeMap<CompactString, PartialOutput>;

/// Aborts all runs and writes a checkpoint of each lot. The next runner restarts the items of a lot
/// whose checkpoint is not written within [`STOP_WRITE_TIMEOUT`].
pub(super) async fn write_all(runner: &Runner) {
    let lots = runner.abort_runs();
    let writes = lots
        .iter()
        .map(|(lot, checkpoint)| write(runner, lot, checkpoint));
    if timeout(STOP_WRITE_TIMEOUT, join_all(writes)).await.is_err() {
        log::warn!(lots = lots.len(); "checkpoints not written before the timeout");
    }
}

/// Writes checkpoints of a lot's long outputs until the lot is closed: one in each interval in which
/// there are new ones, as soon as there are.
pub(super) async fn write_periodically(runner: Rc<Runner>, lot: CompactString) {
    let mut written = PartialOutputs::new();
    let mut due_at = Instant::now() + CHECKPOINT_INTERVAL;
    loop {
        sleep_until(due_at).await;
        let Some(checkpoint) = runner.checkpoint(&lot) else {
            return;
        };
        let started_at = Instant::now();
        if checkpoint.outputs.is_empty() || checkpoint.outputs == written {
            due_at = started_at + OUTPUT_CHECK_INTERVAL;
            continue;
        }
        if let Some(revision) = write(&runner, &lot, &checkpoint).await {
            runner.checkpoint_written(&lot, revision);
            written = checkpoint.outputs;
        }
        // The time that a slow store takes for the write is part of the interval.
        due_at = started_at + CHECKPOINT_INTERVAL;
    }
}

/// The outputs that fit into one object, longest first: these decide when the step completes.
pub(super) fn longest_outputs<'a>(
    outputs: impl Iterator<Item = (&'a CompactString, &'a PartialOutput)>,
) -> PartialOutputs {
    let mut outputs: Vec<_> = outputs.collect();
    outputs.sort_by_key(|(_, output)| Reverse(output.last_event));
    let mut bytes = 0;
    let fitting = outputs.into_iter().take_while(|(_, output)| {
        bytes += output.text.len();
        bytes <= MAX_CHECKPOINT_TEXT_BYTES
    });
    fitting
        .map(|(id, output)| (id.clone(), output.clone()))
        .collect()
}

/// Partial outputs of a lot's uncommitted items, as one object.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// The partial outputs, by item id.
    pub(super) outputs: PartialOutputs,
    /// Revision of the checkpoint that it replaces; `None` if this process has written none.
    pub(super) revision: Option<u64>,
}

/// Writes a checkpoint in place of the previous one. Returns its revision, or `None` if the write
/// failed.
async fn write(runner: &Runner, lot: &str, checkpoint: &Checkpoint) -> Option<u64> {
    let mut written = try_write(runner, lot, checkpoint).await;
    if matches!(written, Err(Error::Conflict)) {
        // An earlier write took effect although its response was lost or is still to come.
        written = overwrite(runner, lot, checkpoint).await;
    }
    match written {
        Ok(revision) => {
            log::info!(id = lot, texts = checkpoint.outputs.len(), revision; "checkpoint written");
            Some(revision)
        }
        Err(error) => {
            log::warn!(
                id = lot, texts = checkpoint.outputs.len(), error:% = error;
                "checkpoint not written"
            );
            None
        }
    }
}

/// Object name for this process. Slashes are replaced, because names are part of URL paths.
fn object_name(runner: &Runner) -> String {
    runner.deps.duties.id().replace('/', ".")
}

async fn try_write(runner: &Runner, lot: &str, checkpoint: &Checkpoint) -> Result<u64, Error> {
    let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
    let (kind, name) = (checkpoint_kind(lot), object_name(runner));
    let store = &runner.deps.store;
    let object = match checkpoint.revision {
        None => {
            let spec = serde_json::to_string(&checkpoint.outputs).map_err(malformed)?;
            store.create(Purpose::Lots, &kind, &name, &spec).await?
        }
        Some(revision) => {
            let spec = serde_json::to_value(&checkpoint.outputs).map_err(malformed)?;
            let update = store.update(Purpose::Lots, &kind, &name, revision, &spec);
            update.await?
        }
    };
    Ok(object.revision)
}

async fn overwrite(runner: &Runner, lot: &str, checkpoint: &Checkpoint) -> Result<u64, Error> {
    let (kind, name) = (checkpoint_kind(lot), object_name(runner));
    let store = &runner.deps.store;
    let read = store.read(Purpose::Lots, &kind, &name, Consistency::Linearizable);
    let checkpoint = Checkpoint {
        revision: read.await?.map(|object| object.revision),
        outputs: checkpoint.outputs.clone(),
    };
    try_write(runner, lot, &checkpoint).await
}

/// Reads the checkpoints that all runners of a lot have written; the longest output of each item
/// counts.
pub(super) async fn read_all(runner: &Runner, lot: &str) -> Result<PartialOutputs, Error> {
    let store = &runner.deps.store;
    let (objects, _) = store
        .list(Purpose::Lots, &checkpoint_kind(lot), None)
        .await?;
    let mut longest = PartialOutputs::new();
    for object in objects {
        match serde_json::from_value::<PartialOutputs>(object.spec) {
            Ok(outputs) => {
                for (item, output) in outputs {
                    let longest_output = longest.entry(item).or_default();
                    if output.last_event > longest_output.last_event {
                        *longest_output = output;
                    }
                }
            }
            Err(error) => log::error!(id = lot, error:% = error; "malformed checkpoint"),
        }
    }
    Ok(longest)
}

/// The kinds of the objects that belong to a lot, other than the lot object itself.
pub(super) fn dependent_kinds(lot: &str) -> [CompactString; 2] {
    [results_kind(lot), checkpoint_kind(lot)]
}
