//! Trainers' calls: lots are accepted, read and ended at any instance.
//!
//! Everything here is a read or write of the object store, so that it does not matter which
//! instance is asked, and nothing is shown that is not committed.

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
    live::Caller,
    lot::{Reading, Sample},
    store::{Freshness, Object},
};
use serde_json::value::RawValue;
use std::{cell::RefCell, collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Lots whose number of items is remembered, so that reading one costs one call.
const MAX_CACHED_TOTALS: usize = 256;
/// What the store's refusals ask the caller to wait: it answers again within about this time of its
/// return.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Tries of one write whose outcome is not known, each followed by a look.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Pause before a look at a write whose answer was lost.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The answer to a trainer's call.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The lot is kept.
    Accepted,
    /// The lot is ended.
    Ended,
    /// Results, as they are sent.
    Results(Vec<u8>),
    /// What an item sends to its engine.
    Body(Bytes),
    /// There is no such lot or item.
    NotFound,
    /// What was sent is no lot.
    Malformed(CompactString),
    /// Nothing was done; come back after this time.
    NotDone(Duration),
    /// It may have been done.
    Unknown,
}

impl Reply {
    /// The name in metrics.
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

/// Answers trainers' calls.
pub struct TrainerApi {
    adapter: Adapter,
    store: Store,
    cached_totals: RefCell<BTreeMap<CompactString, usize>>,
}

impl TrainerApi {
    /// A desk before `store`.
    pub fn new(adapter: Adapter, store: &Store) -> Self {
        Self {
            adapter,
            store: store.clone(),
            cached_totals: RefCell::default(),
        }
    }

    /// Accepts a lot: it is kept from the moment at which its object was created.
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
        let submission = match (self.adapter.lot.submission)(&value) {
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

    async fn create(&self, id: &str, spec: &str, deadline: Instant) -> Reply {
        let mut maybe_written = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if Instant::now() >= deadline {
                break;
            }
            match self.store.create(Purpose::Lots, LOT_KIND, id, spec).await {
                // It exists: the trainer sent it before, or this write went through unheard.
                Ok(_) | Err(Error::Conflict) => return Reply::Accepted,
                Err(error) if error.had_no_effect() => {
                    log::warn!(id, error:% = error; "lot not written");
                    break;
                }
                Err(error) => {
                    log::warn!(id, error:% = error; "lot written or not");
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

    /// Reads results from a position on; waits at most `wait` for the first.
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
                log::warn!(id = lot, from, error:% = error; "lot not read");
                Reply::NotDone(RETRY_AFTER)
            }
        }
    }

    async fn read_results(
        &self,
        lot: &str,
        from: usize,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, Error> {
        let kind = results_kind(lot);
        // Far enough back for the segment that holds the position, wherever it begins.
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
                    // History is gone, or the watch was cut: the caller asks again.
                    Err(Error::Gone | Error::Unknown(_)) => Vec::new(),
                    Err(error) => return Err(error),
                };
                let objects: Vec<_> = changes.into_iter().map(|change| change.object).collect();
                samples = self.consecutive_samples(lot, from, &objects);
            }
        }
        let total = self.cached_total(lot).unwrap_or_default();
        let count = count_that_fit(&samples, self.adapter.lot.reading_bytes);
        let samples = &samples[..count];
        Ok(Some((self.adapter.lot.reading)(Reading {
            total,
            from,
            samples,
        })))
    }

    /// The samples from a position on without a gap, out of segments in the order of their names.
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

    /// Number of the lot's items; `None` if there is no such lot.
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
            .read(Purpose::Lots, LOT_KIND, lot, Freshness::Current);
        read.await
    }

    fn cached_total(&self, lot: &str) -> Option<usize> {
        self.cached_totals.borrow().get(lot).copied()
    }

    fn cache_total(&self, lot: &str, total: usize) {
        let mut totals = self.cached_totals.borrow_mut();
        if totals.len() >= MAX_CACHED_TOTALS && !totals.contains_key(lot) {
            totals.pop_first();
        }
        totals.insert(lot.into(), total);
    }

    /// What an item sends to its engine.
    pub async fn body(&self, caller: &Caller, lot: &str, item: &str) -> Reply {
        let lot = &*scoped_id(caller, lot);
        let object = match self.read_lot_object(lot).await {
            Ok(Some(object)) => object,
            Ok(None) => return Reply::NotFound,
            Err(error) => {
                log::warn!(id = lot, item, error:% = error; "item not read");
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

    /// Ends a lot. Ending it again changes nothing.
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
                .report(Purpose::Lots, LOT_KIND, lot, &status)
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
                    log::warn!(id = lot, error:% = error; "lot's end not written");
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

/// How many samples fit into an answer of `bytes`; at least one. The text may double in size when
/// it is written as JSON.
fn count_that_fit(samples: &[Sample], bytes: usize) -> usize {
    /// Bytes of a result beside its text.
    const RESULT_OVERHEAD_BYTES: usize = 256;
    let mut remaining_bytes = bytes / 2;
    let mut count = 0;
    for sample in samples {
        let size = RESULT_OVERHEAD_BYTES + sample.made.as_ref().map_or(0, |made| made.text.len());
        if count > 0 && size > remaining_bytes {
            break;
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
        count += 1;
    }
    count
}
