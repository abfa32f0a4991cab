//! Commits of results: the next segment of a lot, created only if it does not exist.

use super::{
    runner::Runner,
    schema::{MAX_SEGMENT_SAMPLES, Segment, parse_segment, results_kind, segment_name},
};
use crate::objects::{Error, Purpose};
use pinereel_port::{lot::Sample, store::Freshness};
use std::{rc::Rc, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// How long a result waits for others that may be committed with it. Trainers read twice a second,
/// and each commit is a priced write.
const COMMIT_DELAY: Duration = Duration::from_millis(300);
/// Pause after a write that failed or whose answer was lost.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most bytes of text in one segment; the store takes a megabyte, and JSON may double the text.
const MAX_SEGMENT_TEXT_BYTES: usize = 400_000;

/// Commits the results of a lot as they come, until dropped.
pub(super) async fn commit_results(
    runner: Rc<Runner>,
    lot: compact_str::CompactString,
    wakeup: Rc<Notify>,
) {
    loop {
        let Some(pending) = runner.pending_segment(&lot) else {
            return;
        };
        if pending.samples.is_empty() {
            wakeup.notified().await;
            continue;
        }
        if !pending.urgent {
            tokio::select! {
                () = sleep(COMMIT_DELAY) => {}
                () = until_urgent(&runner, &lot, &wakeup) => {}
            }
        }
        let Some(pending) = runner.pending_segment(&lot) else {
            return;
        };
        write_segment(&runner, &lot, pending.from, pending.total, pending.samples).await;
    }
}

async fn until_urgent(runner: &Runner, lot: &str, wakeup: &Notify) {
    while runner
        .pending_segment(lot)
        .is_some_and(|pending| !pending.urgent)
    {
        wakeup.notified().await;
    }
}

/// What is to be committed next.
pub(super) struct PendingSegment {
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
    let fits = samples
        .iter()
        .take(MAX_SEGMENT_SAMPLES)
        .take_while(|sample| {
            let size = sample.made.as_ref().map_or(0, |made| made.text.len());
            let is_first = bytes == 0;
            bytes += size;
            is_first || bytes <= MAX_SEGMENT_TEXT_BYTES
        });
    fits.cloned().collect()
}

async fn write_segment(
    runner: &Rc<Runner>,
    lot: &str,
    from: usize,
    total: usize,
    samples: Vec<Sample>,
) {
    let (kind, name) = (results_kind(lot), segment_name(from));
    let segment = Segment { total, samples };
    let spec = match serde_json::to_string(&segment) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(id = lot, from, error:% = error; "results not written");
            sleep(WRITE_RETRY_DELAY).await;
            return;
        }
    };
    let store = &runner.parts.store;
    match store.create(Purpose::Lots, &kind, &name, &spec).await {
        Ok(object) => {
            let count = segment.samples.len();
            log::info!(id = lot, from, count, revision = object.revision; "results committed");
            let metrics = &runner.parts.metrics;
            metrics.count(&metrics.committed, &["own"]);
            runner.segment_committed(lot, from, segment.samples);
        }
        Err(Error::Conflict) => load_segment(runner, lot, from).await,
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "results written or not");
            sleep(WRITE_RETRY_DELAY).await;
            if !error.had_no_effect() {
                load_segment(runner, lot, from).await;
            }
        }
    }
}

/// Reads what stands at a position and takes it over, whoever wrote it.
async fn load_segment(runner: &Rc<Runner>, lot: &str, from: usize) {
    let (kind, name) = (results_kind(lot), segment_name(from));
    let read = runner
        .parts
        .store
        .read(Purpose::Lots, &kind, &name, Freshness::Current);
    match read.await {
        Ok(Some(object)) => match parse_segment(&object) {
            Ok((_, segment)) => {
                let count = segment.samples.len();
                log::info!(id = lot, from, count, revision = object.revision; "results found");
                let metrics = &runner.parts.metrics;
                metrics.count(&metrics.committed, &["found"]);
                runner.segment_committed(lot, from, segment.samples);
            }
            Err(fault) => {
                log::error!(id = lot, from; "{fault}");
                sleep(WRITE_RETRY_DELAY).await;
            }
        },
        // Not written: the next round writes it.
        Ok(None) => {}
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "results not read");
            sleep(WRITE_RETRY_DELAY).await;
        }
    }
}
