//! Unfinished texts pass from one runner to the next.
//!
//! The longest texts decide when a step is whole, and take seconds: begun again, they would be late.
//! So a runner writes them to the store now and then, and a planned stop writes all of them before
//! the duty is released: one object a lot, which whoever opens the lot next goes on from.

use super::{
    runner::Runner,
    schema::{checkpoint_kind, results_kind},
    state::PartialOutput,
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use pinereel_port::store::Freshness;
use std::{cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Longest time for the hand-over: the duty waits for it.
const STOP_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two writes of a lot's long texts: a runner that is killed loses half as much on
/// average. A text that decides about its step takes up to 7 s, so that a lot costs three writes.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Events from which on a text is worth keeping: half a second of an engine's time.
pub(super) const MIN_CHECKPOINT_EVENT: u64 = 10;
/// Most bytes of text that are written; the store takes a megabyte, and JSON may double the text.
const MAX_CHECKPOINT_TEXT_BYTES: usize = 400_000;

/// Unfinished texts of a lot, by item.
pub(super) type PartialOutputs = BTreeMap<CompactString, PartialOutput>;

/// Writes the unfinished texts of all lots. What cannot be written in time is begun again.
pub(super) async fn write_all(runner: &Runner) {
    let lots = runner.abort_runs();
    let writes = lots
        .iter()
        .map(|(lot, checkpoint)| write(runner, lot, checkpoint));
    if timeout(STOP_WRITE_TIMEOUT, join_all(writes)).await.is_err() {
        log::warn!(lots = lots.len(); "texts not handed over in time");
    }
}

/// Writes the long unfinished texts of a lot now and then, until dropped.
pub(super) async fn write_periodically(runner: Rc<Runner>, lot: CompactString) {
    let mut written = PartialOutputs::new();
    loop {
        sleep(CHECKPOINT_INTERVAL).await;
        let Some(checkpoint) = runner.checkpoint(&lot) else {
            return;
        };
        if checkpoint.outputs.is_empty() || checkpoint.outputs == written {
            continue;
        }
        if let Some(revision) = write(&runner, &lot, &checkpoint).await {
            runner.checkpoint_written(&lot, revision);
            written = checkpoint.outputs;
        }
    }
}

/// The texts that fit into one object: the longest, which decide when the step is whole.
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

/// What a runner has of a lot and that is not listed.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// The texts.
    pub(super) outputs: PartialOutputs,
    /// Revision of this runner's object with earlier ones; none before the first.
    pub(super) revision: Option<u64>,
}

/// Writes texts over those that were written before; gives the revision.
async fn write(runner: &Runner, lot: &str, checkpoint: &Checkpoint) -> Option<u64> {
    let mut written = try_write(runner, lot, checkpoint).await;
    if matches!(written, Err(Error::Conflict)) {
        // An earlier write, whose answer was lost or is still under way.
        written = overwrite(runner, lot, checkpoint).await;
    }
    match written {
        Ok(revision) => {
            log::info!(id = lot, texts = checkpoint.outputs.len(), revision; "texts kept");
            Some(revision)
        }
        Err(error) => {
            log::warn!(id = lot, texts = checkpoint.outputs.len(), error:% = error; "texts not kept");
            None
        }
    }
}

/// Name of this runner's object; it stands in paths.
fn object_name(runner: &Runner) -> String {
    runner.parts.duties.id().replace('/', ".")
}

async fn try_write(runner: &Runner, lot: &str, checkpoint: &Checkpoint) -> Result<u64, Error> {
    let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
    let (kind, name) = (checkpoint_kind(lot), object_name(runner));
    let store = &runner.parts.store;
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
    let store = &runner.parts.store;
    let read = store.read(Purpose::Lots, &kind, &name, Freshness::Current);
    let checkpoint = Checkpoint {
        revision: read.await?.map(|object| object.revision),
        outputs: checkpoint.outputs.clone(),
    };
    try_write(runner, lot, &checkpoint).await
}

/// Reads the texts that earlier runners of a lot have handed over; of two for one item the longer.
pub(super) async fn read_all(runner: &Runner, lot: &str) -> Result<PartialOutputs, Error> {
    let store = &runner.parts.store;
    let (objects, _) = store
        .list(Purpose::Lots, &checkpoint_kind(lot), None)
        .await?;
    let mut longest = PartialOutputs::new();
    for object in objects {
        match serde_json::from_value::<PartialOutputs>(object.spec) {
            Ok(outputs) => {
                for (item, output) in outputs {
                    let known = longest.entry(item).or_default();
                    if output.last_event > known.last_event {
                        *known = output;
                    }
                }
            }
            Err(error) => log::error!(id = lot, error:% = error; "texts unreadable"),
        }
    }
    Ok(longest)
}

/// Everything that lies in the store of a lot beside the lot itself.
pub(super) fn dependent_kinds(lot: &str) -> [CompactString; 2] {
    [results_kind(lot), checkpoint_kind(lot)]
}
