//! Commits the results of a lot, segment by segment, with conditional creates.
//!
//! Several instances may run the same lot. If another one has created the segment already, it is
//! read and applied, and its samples replace those that this instance has for the same items.

use super::{
    runner::Runner,
    schema::{MAX_SEGMENT_SAMPLES, Segment, parse_segment, results_kind, segment_name},
};
use crate::objects::{Error, Purpose};
use pinereel_port::{lot::Sample, store::Consistency};
use std::{rc::Rc, time::Duration};
use tokio::{sync::Notify, time::sleep};

/// Time for which a result that is not urgent waits for others to share its segment. Trainers read
/// twice a second, and each commit is a priced write.
const COMMIT_DELAY: Duration = Duration::from_millis(300);
/// Pause after a failed read or write of a segment, or one whose response was lost.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the text in a segment. The store accepts objects of up to a megabyte, and JSON
/// escapes may double the size of the text.
const MAX_SEGMENT_TEXT_BYTES: usize = 400_000;

/// Commits the results of a lot as they finish, until it is closed.
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

/// Waits until the next segment is urgent, or the lot is closed.
async fn until_urgent(runner: &Runner, lot: &str, wakeup: &Notify) {
    while runner
        .pending_segment(lot)
        .is_some_and(|pending| !pending.urgent)
    {
        wakeup.notified().await;
    }
}

/// The next segment to commit.
pub(super) struct PendingSegment {
    /// Position of the first sample.
    pub(super) from: usize,
    /// Number of items of the lot.
    pub(super) total: usize,
    /// The samples that fit into the segment.
    pub(super) samples: Vec<Sample>,
    /// Whether it is committed immediately rather than after [`COMMIT_DELAY`].
    pub(super) urgent: bool,
}

/// The longest prefix of `samples` that fits into one segment; at least one sample, however large.
pub(super) fn first_segment(samples: &[Sample]) -> Vec<Sample> {
    let mut bytes = 0;
    let fitting = samples
        .iter()
        .take(MAX_SEGMENT_SAMPLES)
        .take_while(|sample| {
            let size = sample.output.as_ref().map_or(0, |output| output.text.len());
            let is_first = bytes == 0;
            bytes += size;
            is_first || bytes <= MAX_SEGMENT_TEXT_BYTES
        });
    fitting.cloned().collect()
}

/// Creates a segment, or applies the one that exists at its position.
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
            log::error!(id = lot, from, error:% = error; "serializing the segment failed");
            sleep(WRITE_RETRY_DELAY).await;
            return;
        }
    };
    let store = &runner.deps.store;
    match store.create(Purpose::Lots, &kind, &name, &spec).await {
        Ok(object) => {
            let count = segment.samples.len();
            log::info!(id = lot, from, count, revision = object.revision; "results committed");
            let metrics = &runner.deps.metrics;
            metrics.count(&metrics.committed_results, &["own"]);
            runner.segment_committed(lot, from, segment.samples);
        }
        Err(Error::Conflict) => load_segment(runner, lot, from).await,
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "creating the segment failed");
            sleep(WRITE_RETRY_DELAY).await;
            if !error.had_no_effect() {
                load_segment(runner, lot, from).await;
            }
        }
    }
}

/// Reads the segment at a position and applies it, whoever wrote it.
async fn load_segment(runner: &Rc<Runner>, lot: &str, from: usize) {
    let (kind, name) = (results_kind(lot), segment_name(from));
    let read = runner
        .deps
        .store
        .read(Purpose::Lots, &kind, &name, Consistency::Linearizable);
    match read.await {
        Ok(Some(object)) => match parse_segment(&object) {
            Ok((_, segment)) => {
                let count = segment.samples.len();
                log::info!(
                    id = lot, from, count, revision = object.revision;
                    "existing segment applied"
                );
                let metrics = &runner.deps.metrics;
                metrics.count(&metrics.committed_results, &["found"]);
                runner.segment_committed(lot, from, segment.samples);
            }
            Err(fault) => {
                log::error!(id = lot, from; "{fault}");
                sleep(WRITE_RETRY_DELAY).await;
            }
        },
        // The write had no effect; the next iteration repeats it.
        Ok(None) => {}
        Err(error) => {
            log::warn!(id = lot, from, error:% = error; "reading the segment failed");
            sleep(WRITE_RETRY_DELAY).await;
        }
    }
}
