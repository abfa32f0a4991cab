//! Unfinished texts pass from one runner to the next.
//!
//! The longest texts decide when a step is whole, and take seconds: begun again, they would be late.
//! So a runner writes them to the store now and then, and a planned stop writes all of them before
//! the duty is released: one object a lot, which whoever opens the lot next goes on from.

use super::{
    runner::Runner,
    schema::{drafts, results},
    state::PartialOutput,
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use futures_util::future::join_all;
use pinereel_port::store::Freshness;
use std::{cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Longest time for the hand-over: the duty waits for it.
const LONGEST: Duration = Duration::from_millis(500);

/// Pause between two writes of a lot's long texts: a runner that is killed loses half as much on
/// average. A text that decides about its step takes up to 7 s, so that a lot costs three writes.
const PERIOD: Duration = Duration::from_millis(2_000);

/// Events from which on a text is worth keeping: half a second of an engine's time.
pub(super) const LONG_TEXT: u64 = 10;
/// Most bytes of text that are written; the store takes a megabyte, and JSON may double the text.
const TEXT_BYTES: usize = 400_000;

/// Unfinished texts of a lot, by item.
pub(super) type PartialOutputs = BTreeMap<CompactString, PartialOutput>;

/// Writes the unfinished texts of all lots. What cannot be written in time is begun again.
pub(super) async fn hand_over(runner: &Runner) {
    let lots = runner.leave();
    let writes = lots.iter().map(|(lot, left)| write(runner, lot, left));
    if timeout(LONGEST, join_all(writes)).await.is_err() {
        log::warn!(lots = lots.len(); "texts not handed over in time");
    }
}

/// Writes the long unfinished texts of a lot now and then, until dropped.
pub(super) async fn keep(runner: Rc<Runner>, lot: CompactString) {
    let mut kept = PartialOutputs::new();
    loop {
        sleep(PERIOD).await;
        let Some(left) = runner.long_texts(&lot) else {
            return;
        };
        if left.texts.is_empty() || left.texts == kept {
            continue;
        }
        if let Some(revision) = write(&runner, &lot, &left).await {
            runner.texts_kept(&lot, revision);
            kept = left.texts;
        }
    }
}

/// The texts that fit into one object: the longest, which decide when the step is whole.
pub(super) fn fitting<'a>(
    texts: impl Iterator<Item = (&'a CompactString, &'a PartialOutput)>,
) -> PartialOutputs {
    let mut texts: Vec<_> = texts.collect();
    texts.sort_by_key(|(_, draft)| Reverse(draft.last));
    let mut bytes = 0;
    let fitting = texts.into_iter().take_while(|(_, draft)| {
        bytes += draft.text.len();
        bytes <= TEXT_BYTES
    });
    fitting
        .map(|(id, draft)| (id.clone(), draft.clone()))
        .collect()
}

/// What a runner has of a lot and that is not listed.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// The texts.
    pub(super) texts: PartialOutputs,
    /// Revision of this runner's object with earlier ones; none before the first.
    pub(super) revision: Option<u64>,
}

/// Writes texts over those that were written before; gives the revision.
async fn write(runner: &Runner, lot: &str, left: &Checkpoint) -> Option<u64> {
    let mut written = try_write(runner, lot, left).await;
    if matches!(written, Err(Error::Conflict)) {
        // An earlier write, whose answer was lost or is still under way.
        written = write_over(runner, lot, left).await;
    }
    match written {
        Ok(revision) => {
            log::info!(id = lot, texts = left.texts.len(), revision; "texts kept");
            Some(revision)
        }
        Err(error) => {
            log::warn!(id = lot, texts = left.texts.len(), error:% = error; "texts not kept");
            None
        }
    }
}

/// Name of this runner's object; it stands in paths.
fn name(runner: &Runner) -> String {
    runner.parts.duties.id().replace('/', ".")
}

async fn try_write(runner: &Runner, lot: &str, left: &Checkpoint) -> Result<u64, Error> {
    let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
    let (kind, name) = (drafts(lot), name(runner));
    let store = &runner.parts.store;
    let object = match left.revision {
        None => {
            let spec = serde_json::to_string(&left.texts).map_err(malformed)?;
            store.create(Purpose::Lots, &kind, &name, &spec).await?
        }
        Some(revision) => {
            let spec = serde_json::to_value(&left.texts).map_err(malformed)?;
            let update = store.update(Purpose::Lots, &kind, &name, revision, &spec);
            update.await?
        }
    };
    Ok(object.revision)
}

async fn write_over(runner: &Runner, lot: &str, left: &Checkpoint) -> Result<u64, Error> {
    let (kind, name) = (drafts(lot), name(runner));
    let store = &runner.parts.store;
    let read = store.read(Purpose::Lots, &kind, &name, Freshness::Current);
    let left = Checkpoint {
        revision: read.await?.map(|object| object.revision),
        texts: left.texts.clone(),
    };
    try_write(runner, lot, &left).await
}

/// Reads the texts that earlier runners of a lot have handed over; of two for one item the longer.
pub(super) async fn inherit(runner: &Runner, lot: &str) -> Result<PartialOutputs, Error> {
    let store = &runner.parts.store;
    let (objects, _) = store.list(Purpose::Lots, &drafts(lot), None).await?;
    let mut all = PartialOutputs::new();
    for object in objects {
        match serde_json::from_value::<PartialOutputs>(object.spec) {
            Ok(texts) => {
                for (item, draft) in texts {
                    let known = all.entry(item).or_default();
                    if draft.last > known.last {
                        *known = draft;
                    }
                }
            }
            Err(error) => log::error!(id = lot, error:% = error; "texts unreadable"),
        }
    }
    Ok(all)
}

/// Everything that lies in the store of a lot beside the lot itself.
pub(super) fn kinds(lot: &str) -> [CompactString; 2] {
    [results(lot), drafts(lot)]
}
