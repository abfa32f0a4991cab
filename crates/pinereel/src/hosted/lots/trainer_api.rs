//! Trainers' calls: lots are accepted, read and ended at any instance.
//!
//! Everything here is a read or write of the object store, so that it does not matter which
//! instance is asked, and nothing is shown that is not committed.

use super::schema::{
    LOTS, LotSpec, LotStatus, SEGMENT_SAMPLES, Tombstone, accepted, name, results, segment,
    segment_name, stub,
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
const REMEMBERED: usize = 256;
/// What the store's refusals ask the caller to wait: it answers again within about this time of its
/// return.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Tries of one write whose outcome is not known, each followed by a look.
const WRITES: u32 = 4;
/// Pause before a look at a write whose answer was lost.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

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
    totals: RefCell<BTreeMap<CompactString, usize>>,
}

impl TrainerApi {
    /// A desk before `store`.
    pub fn new(adapter: Adapter, store: &Store) -> Self {
        Self {
            adapter,
            store: store.clone(),
            totals: RefCell::default(),
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
        give_up: Instant,
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
        let id = &*name(caller, id);
        let accepting = LotSpec {
            workspace: caller.workspace(),
            host,
            path,
            model: &submission.model,
            lot,
        };
        let spec = match serde_json::to_string(&accepting) {
            Ok(spec) => spec,
            Err(error) => return Reply::Malformed(error.to_string().into()),
        };
        let reply = self.create(id, &spec, give_up).await;
        if reply == Reply::Accepted {
            self.remember(id, total);
        }
        log::info!(id, path, items = total, outcome:? = reply; "lot submitted");
        reply
    }

    async fn create(&self, id: &str, spec: &str, give_up: Instant) -> Reply {
        let mut sent = false;
        for _ in 0..WRITES {
            if Instant::now() >= give_up {
                break;
            }
            match self.store.create(Purpose::Lots, LOTS, id, spec).await {
                // It exists: the trainer sent it before, or this write went through unheard.
                Ok(_) | Err(Error::Conflict) => return Reply::Accepted,
                Err(error) if error.had_no_effect() => {
                    log::warn!(id, error:% = error; "lot not written");
                    break;
                }
                Err(error) => {
                    log::warn!(id, error:% = error; "lot written or not");
                    sent = true;
                    tokio::time::sleep(LOOK_PAUSE).await;
                }
            }
        }
        if sent {
            Reply::Unknown
        } else {
            Reply::NotDone(RETRY_AFTER)
        }
    }

    /// Reads results from a position on; waits at most `wait` for the first.
    pub async fn read(&self, caller: &Caller, lot: &str, from: usize, wait: Duration) -> Reply {
        let lot = &*name(caller, lot);
        let read = self.results(lot, from, wait).await;
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

    async fn results(
        &self,
        lot: &str,
        from: usize,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, Error> {
        let kind = results(lot);
        // Far enough back for the segment that holds the position, wherever it begins.
        let after = from.checked_sub(SEGMENT_SAMPLES).map(segment_name);
        let (objects, revision) = self
            .store
            .list(Purpose::Lots, &kind, after.as_deref())
            .await?;
        let mut samples = self.samples(lot, from, &objects);
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
                samples = self.samples(lot, from, &objects);
            }
        }
        let total = self.known_total(lot).unwrap_or_default();
        let count = fitting(&samples, self.adapter.lot.reading_bytes);
        let samples = &samples[..count];
        Ok(Some((self.adapter.lot.reading)(Reading {
            total,
            from,
            samples,
        })))
    }

    /// The samples from a position on without a gap, out of segments in the order of their names.
    fn samples(&self, lot: &str, from: usize, objects: &[Object]) -> Vec<Sample> {
        let mut samples = Vec::new();
        for object in objects {
            let (start, segment) = match segment(object) {
                Ok(segment) => segment,
                Err(fault) => {
                    log::error!(id = lot; "{fault}");
                    break;
                }
            };
            self.remember(lot, segment.total);
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
        if let Some(total) = self.known_total(lot) {
            return Ok(Some(total));
        }
        let object = self.lot(lot).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let stub = Tombstone::of(&self.adapter, &object);
        let total = stub
            .map_err(|fault| Error::Malformed(fault.to_string()))?
            .items;
        self.remember(lot, total);
        Ok(Some(total))
    }

    async fn lot(&self, lot: &str) -> Result<Option<Object>, Error> {
        let read = self
            .store
            .read(Purpose::Lots, LOTS, lot, Freshness::Current);
        read.await
    }

    fn known_total(&self, lot: &str) -> Option<usize> {
        self.totals.borrow().get(lot).copied()
    }

    fn remember(&self, lot: &str, total: usize) {
        let mut totals = self.totals.borrow_mut();
        if totals.len() >= REMEMBERED && !totals.contains_key(lot) {
            totals.pop_first();
        }
        totals.insert(lot.into(), total);
    }

    /// What an item sends to its engine.
    pub async fn body(&self, caller: &Caller, lot: &str, item: &str) -> Reply {
        let lot = &*name(caller, lot);
        let object = match self.lot(lot).await {
            Ok(Some(object)) => object,
            Ok(None) => return Reply::NotFound,
            Err(error) => {
                log::warn!(id = lot, item, error:% = error; "item not read");
                return Reply::NotDone(RETRY_AFTER);
            }
        };
        if stub(&object).is_some() {
            return Reply::NotFound;
        }
        match accepted(&self.adapter, &object) {
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
    pub async fn end(&self, caller: &Caller, lot: &str, give_up: Instant) -> Reply {
        let lot = &*name(caller, lot);
        let status = serde_json::json!(LotStatus { ended: true });
        let mut reply = Reply::NotDone(RETRY_AFTER);
        for _ in 0..WRITES {
            if Instant::now() >= give_up {
                break;
            }
            match self.store.report(Purpose::Lots, LOTS, lot, &status).await {
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
                    tokio::time::sleep(LOOK_PAUSE).await;
                }
            }
        }
        log::info!(id = lot, outcome:? = reply; "lot ended by its trainer");
        reply
    }
}

/// How many samples fit into an answer of `bytes`; at least one. The text may double in size when
/// it is written as JSON.
fn fitting(samples: &[Sample], bytes: usize) -> usize {
    /// Bytes of a result beside its text.
    const FRAME: usize = 256;
    let mut left = bytes / 2;
    let mut count = 0;
    for sample in samples {
        let size = FRAME + sample.made.as_ref().map_or(0, |made| made.text.len());
        if count > 0 && size > left {
            break;
        }
        left = left.saturating_sub(size);
        count += 1;
    }
    count
}
