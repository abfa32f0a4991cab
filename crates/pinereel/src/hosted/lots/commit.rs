//! Commits of results: the next segment of a lot, created only if it does not exist.

use super::{
    record::{SEGMENT_SAMPLES, Segment, results, segment, segment_name},
    runner::Runner,
};
use crate::objects::{Error, Purpose};
use pinereel_port::{lot::Sample, store::Consistency};
use std::{rc::Rc, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// How long a result waits for others that may be committed with it. Trainers read twice a second,
/// and each commit is a priced write.
const GATHER: Duration = Duration::from_millis(300);
/// Pause after a write that failed or whose answer was lost.
const RETRY: Duration = Duration::from_millis(100);
/// Most bytes of text in one segment; the store takes a megabyte, and JSON may double the text.
const SEGMENT_BYTES: usize = 400_000;

/// Commits the results of a lot as they come, until dropped.
pub(super) async fn commit(runner: Rc<Runner>, lot: compact_str::CompactString, more: Rc<Notify>) {
    loop {
        let Some(pending) = runner.pending(&lot) else {
            return;
        };
        if pending.samples.is_empty() {
            more.notified().await;
            continue;
        }
        if !pending.urgent {
            tokio::select! {
                () = sleep(GATHER) => {}
                () = until_urgent(&runner, &lot, &more) => {}
            }
        }
        let Some(pending) = runner.pending(&lot) else {
            return;
        };
        write(&runner, &lot, pending.from, pending.total, pending.samples).await;
    }
}

async fn until_urgent(runner: &Runner, lot: &str, more: &Notify) {
    while runner.pending(lot).is_some_and(|pending| !pending.urgent) {
        more.notified().await;
    }
}

/// What is to be committed next.
pub(super) struct Pending {
    /// Position of the first sample.
    pub(super) from: usize,
    /// Items of the lot.
    pub(super) total: usize,
    /// The samples; more may wait.
    pub(super) samples: Vec<Sample>,
    /// Whether the trainer waits for just these.
    pub(super) urgent: bool,
}

/// The first samples that fit into one segment.
pub(super) fn first_segment(samples: &[Sample]) -> Vec<Sample> {
    let mut bytes = 0;
    let fits = samples.iter().take(SEGMENT_SAMPLES).take_while(|sample| {
        let size = sample.output.as_ref().map_or(0, |made| made.text.len());
        let first = bytes == 0;
        bytes += size;
        first || bytes <= SEGMENT_BYTES
    });
    fits.cloned().collect()
}

async fn write(runner: &Rc<Runner>, lot: &str, from: usize, total: usize, samples: Vec<Sample>) {
    let (kind, name) = (results(lot), segment_name(from));
    let segment = Segment { total, samples };
    let spec = match serde_json::to_string(&segment) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(id = lot, from, error:% = error; "results not written");
            sleep(RETRY).await;
            return;
        }
    };
    let store = &runner.parts.store;
    match store.create(Purpose::Lots, &kind, &name, &spec).await {
        Ok(object) => {
            let count = segment.samples.len();
            log::info!(id = lot, from, count, revision = object.revision; "results committed");
            let metrics = &runner.parts.metrics;
            metrics.count(&metrics.committed_results, &["own"]);
            runner.listed(lot, from, segment.samples);
        }
        Err(Error::Conflict) => adopt(runner, lot, from).await,
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "results written or not");
            sleep(RETRY).await;
            if !error.had_no_effect() {
                adopt(runner, lot, from).await;
            }
        }
    }
}

/// Reads what stands at a position and takes it over, whoever wrote it.
async fn adopt(runner: &Rc<Runner>, lot: &str, from: usize) {
    let (kind, name) = (results(lot), segment_name(from));
    let read = runner
        .parts
        .store
        .read(Purpose::Lots, &kind, &name, Consistency::Linearizable);
    match read.await {
        Ok(Some(object)) => match segment(&object) {
            Ok((_, segment)) => {
                let count = segment.samples.len();
                log::info!(id = lot, from, count, revision = object.revision; "results found");
                let metrics = &runner.parts.metrics;
                metrics.count(&metrics.committed_results, &["found"]);
                runner.listed(lot, from, segment.samples);
            }
            Err(fault) => {
                log::error!(id = lot, from; "{fault}");
                sleep(RETRY).await;
            }
        },
        // Not written: the next round writes it.
        Ok(None) => {}
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "results not read");
            sleep(RETRY).await;
        }
    }
}
