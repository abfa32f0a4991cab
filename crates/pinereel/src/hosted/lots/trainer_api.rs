//! Calls of trainers: submitting, reading and ending lots, on any instance.
//!
//! Each call reads or writes the object store, so any instance can answer it, and only committed
//! results are returned.

use super::schema::{
    LOT_KIND, LotSpec, LotStatus, MAX_SEGMENT_SAMPLES, Tombstone, parse_lot, parse_segment,
    parse_tombstone, results_kind, scoped_id, segment_name,
};
use crate::{
    hosted::store::Store,
    objects::{Error, Purpose},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_port::{
    Adapter,
    headers::Caller,
    lot::{ResultsPage, Sample},
    store::{Consistency, Object},
};
use serde_json::value::RawValue;
use std::{cell::RefCell, collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Upper bound of the lots whose number of items is cached. With that number cached, a read of
/// results costs one call to the store.
const MAX_CACHED_TOTALS: usize = 256;
/// Delay before a retry that trainers are asked for when the store refuses a call. After an outage,
/// the store answers again within about this time of its return.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Upper bound of the attempts of one write. Writes are idempotent: an attempt after one that took
/// effect, although its response was lost, finds its result.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Pause after a failed write, or one whose response was lost, before it is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The answer to a trainer's call. Log lines show the names of the variants.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The lot is stored.
    Accepted,
    /// The lot is ended.
    Ended,
    /// Results, serialized.
    Results(Vec<u8>),
    /// Body of an item's request.
    Body(Bytes),
    /// There is no such lot or item.
    NotFound,
    /// The submission is malformed; with the reason.
    Malformed(CompactString),
    /// The call had no effect and may be retried after this delay.
    NotDone(Duration),
    /// The call may have taken effect.
    Unknown,
}

impl Reply {
    /// Value of the metric label.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Ended => "ended",
            Self::Results(_) => "results",
            Self::Body(_) => "body",
            Self::NotFound => "not found",
            Self::Malformed(_) => "malformed",
            Self::NotDone(_) => "not done",
            Self::Unknown => "unknown",
        }
    }
}

/// Answers trainers' calls from the object store.
pub struct TrainerApi {
    adapter: Adapter,
    store: Store,
    /// Number of items, by lot.
    cached_totals: RefCell<BTreeMap<CompactString, usize>>,
}

impl TrainerApi {
    /// Creates an instance with an empty cache.
    pub fn new(adapter: Adapter, store: &Store) -> Self {
        Self {
            adapter,
            store: store.clone(),
            cached_totals: RefCell::default(),
        }
    }

    /// Accepts a lot: it is durable once its object is created. Starts no attempt after `deadline`.
    pub async fn submit(
        &self,
        caller: &Caller,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Reply {
        let lot = match serde_json::from_slice::<&RawValue>(body) {
            Ok(lot) => lot,
            Err(error) => return Reply::Malformed(error.to_string().into()),
        };
        let value = serde_json::from_str(lot.get()).unwrap_or_default();
        let submission = match (self.adapter.lot.decode_submission)(&value) {
            Ok(submission) => submission,
            Err(fault) => return Reply::Malformed(fault.to_string().into()),
        };
        drop(value);
        let total = submission.items.len();
        let id = &*scoped_id(caller, id);
        let spec = LotSpec {
            workspace: caller.workspace(),
            host,
            path,
            model: &submission.model,
            lot,
        };
        let spec = match serde_json::to_string(&spec) {
            Ok(spec) => spec,
            Err(error) => return Reply::Malformed(error.to_string().into()),
        };
        let reply = self.create(id, &spec, deadline).await;
        if reply == Reply::Accepted {
            self.cache_total(id, total);
        }
        log::info!(id, path, items = total, outcome:? = reply; "lot submitted");
        reply
    }

    /// Creates the lot object, and retries while the outcome is unknown.
    async fn create(&self, id: &str, spec: &str, deadline: Instant) -> Reply {
        let mut maybe_written = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if Instant::now() >= deadline {
                break;
            }
            match self.store.create(Purpose::Lots, LOT_KIND, id, spec).await {
                // On a conflict the lot exists: the trainer submitted it before, or an attempt whose
                // response was lost took effect.
                Ok(_) | Err(Error::Conflict) => return Reply::Accepted,
                Err(error) if error.had_no_effect() => {
                    log::warn!(id, error:% = error; "creating the lot failed; nothing was written");
                    break;
                }
                Err(error) => {
                    log::warn!(
                        id, error:% = error;
                        "creating the lot failed; it may have been written"
                    );
                    maybe_written = true;
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
        if maybe_written {
            Reply::Unknown
        } else {
            Reply::NotDone(RETRY_AFTER)
        }
    }

    /// Reads results from position `from` on; waits up to `wait` for the first.
    pub async fn read(&self, caller: &Caller, lot: &str, from: usize, wait: Duration) -> Reply {
        let lot = &*scoped_id(caller, lot);
        let read = self.read_results(lot, from, wait).await;
        match read {
            Ok(Some(bytes)) => Reply::Results(bytes),
            Ok(None) => {
                log::info!(id = lot, from; "lot not found");
                Reply::NotFound
            }
            Err(error) => {
                log::warn!(id = lot, from, error:% = error; "reading the lot's results failed");
                Reply::NotDone(RETRY_AFTER)
            }
        }
    }

    /// The serialized results; `None` if there is no such lot.
    async fn read_results(
        &self,
        lot: &str,
        from: usize,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, Error> {
        let kind = results_kind(lot);
        // A segment has a bounded number of samples, so the one that holds the position starts
        // after this name.
        let after = from.checked_sub(MAX_SEGMENT_SAMPLES).map(segment_name);
        let (objects, revision) = self
            .store
            .list(Purpose::Lots, &kind, after.as_deref())
            .await?;
        let mut samples = self.consecutive_samples(lot, from, &objects);
        if samples.is_empty() {
            let Some(total) = self.total(lot).await? else {
                return Ok(None);
            };
            if from < total && !wait.is_zero() {
                let changes = self.store.watch(Purpose::Lots, &kind, revision, wait).await;
                let changes = match changes {
                    Ok(changes) => changes.changes,
                    // The revision is no longer watchable, or the watch failed: the trainer
                    // calls again.
                    Err(Error::Gone | Error::Unknown(_)) => Vec::new(),
                    Err(error) => return Err(error),
                };
                let objects: Vec<_> = changes.into_iter().map(|change| change.object).collect();
                samples = self.consecutive_samples(lot, from, &objects);
            }
        }
        let total = self.cached_total(lot).unwrap_or_default();
        let count = count_that_fit(&samples, self.adapter.lot.max_page_bytes);
        let samples = &samples[..count];
        Ok(Some((self.adapter.lot.encode_results)(ResultsPage {
            total,
            offset: from,
            samples,
        })))
    }

    /// The samples from position `from` up to the first gap, from segments ordered by name.
    fn consecutive_samples(&self, lot: &str, from: usize, objects: &[Object]) -> Vec<Sample> {
        let mut samples = Vec::new();
        for object in objects {
            let (start, segment) = match parse_segment(object) {
                Ok(segment) => segment,
                Err(fault) => {
                    log::error!(id = lot; "{fault}");
                    break;
                }
            };
            self.cache_total(lot, segment.total);
            if start > from + samples.len() {
                break;
            }
            let skip = (from + samples.len()) - start;
            samples.extend(segment.samples.into_iter().skip(skip));
        }
        samples
    }

    /// Number of items of the lot, cached or read from the store; `None` if there is no such lot.
    async fn total(&self, lot: &str) -> Result<Option<usize>, Error> {
        if let Some(total) = self.cached_total(lot) {
            return Ok(Some(total));
        }
        let object = self.read_lot_object(lot).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let tombstone = Tombstone::of(&self.adapter, &object);
        let total = tombstone
            .map_err(|fault| Error::Malformed(fault.to_string()))?
            .items;
        self.cache_total(lot, total);
        Ok(Some(total))
    }

    async fn read_lot_object(&self, lot: &str) -> Result<Option<Object>, Error> {
        let read = self
            .store
            .read(Purpose::Lots, LOT_KIND, lot, Consistency::Linearizable);
        read.await
    }

    fn cached_total(&self, lot: &str) -> Option<usize> {
        self.cached_totals.borrow().get(lot).copied()
    }

    /// Caches the number of items of a lot; a full cache drops the lot with the smallest name.
    fn cache_total(&self, lot: &str, total: usize) {
        let mut totals = self.cached_totals.borrow_mut();
        if totals.len() >= MAX_CACHED_TOTALS && !totals.contains_key(lot) {
            totals.pop_first();
        }
        totals.insert(lot.into(), total);
    }

    /// Reads the body of an item's request; not found once the lot is a tombstone.
    pub async fn body(&self, caller: &Caller, lot: &str, item: &str) -> Reply {
        let lot = &*scoped_id(caller, lot);
        let object = match self.read_lot_object(lot).await {
            Ok(Some(object)) => object,
            Ok(None) => return Reply::NotFound,
            Err(error) => {
                log::warn!(id = lot, item, error:% = error; "reading the item failed");
                return Reply::NotDone(RETRY_AFTER);
            }
        };
        if parse_tombstone(&object).is_some() {
            return Reply::NotFound;
        }
        match parse_lot(&self.adapter, &object) {
            Ok(accepted) => {
                let mut items = accepted.submission.items.into_iter();
                let found = items.find(|i| i.id == item);
                found.map_or(Reply::NotFound, |item| Reply::Body(item.body))
            }
            Err(fault) => {
                log::error!(id = lot, item; "{fault}");
                Reply::NotDone(RETRY_AFTER)
            }
        }
    }

    /// Marks a lot as ended; idempotent. Starts no attempt after `deadline`.
    pub async fn end(&self, caller: &Caller, lot: &str, deadline: Instant) -> Reply {
        let lot = &*scoped_id(caller, lot);
        let status = serde_json::json!(LotStatus { ended: true });
        let mut reply = Reply::NotDone(RETRY_AFTER);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if Instant::now() >= deadline {
                break;
            }
            match self
                .store
                .update_status(Purpose::Lots, LOT_KIND, lot, &status)
                .await
            {
                Ok(()) => {
                    reply = Reply::Ended;
                    break;
                }
                Err(Error::NotFound) => {
                    reply = Reply::NotFound;
                    break;
                }
                Err(error) => {
                    log::warn!(id = lot, error:% = error; "marking the lot as ended failed");
                    if !error.had_no_effect() {
                        reply = Reply::Unknown;
                    }
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
        log::info!(id = lot, outcome:? = reply; "lot ended by its trainer");
        reply
    }
}

/// Number of samples that fit into an answer of `bytes`; at least one if there are any. JSON
/// escapes may double the size of the text.
fn count_that_fit(samples: &[Sample], bytes: usize) -> usize {
    /// Assumed size of a serialized result without its text.
    const RESULT_OVERHEAD_BYTES: usize = 256;
    let mut remaining_bytes = bytes / 2;
    let mut count = 0;
    for sample in samples {
        let size =
            RESULT_OVERHEAD_BYTES + sample.output.as_ref().map_or(0, |output| output.text.len());
        if count > 0 && size > remaining_bytes {
            break;
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
        count += 1;
    }
    count
}
