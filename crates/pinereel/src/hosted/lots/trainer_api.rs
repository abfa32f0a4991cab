//! Calls of trainers: submitting, reading and ending lots, on any instance.
//!
//! Any instance can answer each call, since it reads or writes the object store. Only committed results
//! are returned; those that this instance has read before are returned from memory.

use super::schema::{
    LOT_KIND, LotSpec, LotStatus, MAX_SEGMENT_SAMPLES, Tombstone, parse_lot, parse_segment,
    parse_tombstone, results_kind, scoped_id, segment_name,
};
use crate::{
    hosted::{metrics::Metrics, store::Store},
    objects::{Error, Purpose},
    state::Clock,
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::batch::{ReadAnswer, ReadPlan, ResultsCache};
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
    /// Number of bytes that are sent besides the head.
    pub const fn body_length(&self) -> usize {
        match self {
            Self::Results(bytes) => bytes.len(),
            Self::Body(bytes) => bytes.len(),
            _ => 0,
        }
    }

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
    clock: Clock,
    metrics: Metrics,
    /// Number of items, by lot.
    cached_totals: RefCell<BTreeMap<CompactString, usize>>,
    /// Results that have been read.
    cache: RefCell<ResultsCache>,
}

impl TrainerApi {
    /// Creates an instance with empty caches.
    pub fn new(adapter: Adapter, store: &Store, clock: Clock, metrics: &Metrics) -> Self {
        Self {
            adapter,
            store: store.clone(),
            clock,
            metrics: metrics.clone(),
            cached_totals: RefCell::default(),
            cache: RefCell::default(),
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
        if !can_be_name(id) {
            return Reply::Malformed(
                "the id of a lot must not be empty, `.`, `..` or contain `/`".into(),
            );
        }
        let lot = match serde_json::from_slice::<&RawValue>(body) {
            Ok(lot) => lot,
            Err(error) => return Reply::Malformed(error.to_string().into()),
        };
        let summary = match (self.adapter.lot.check_submission)(lot.get()) {
            Ok(summary) => summary,
            Err(fault) => return Reply::Malformed(fault.to_string().into()),
        };
        let total = summary.items;
        let id = &*scoped_id(caller, id);
        let spec = LotSpec {
            workspace: caller.workspace(),
            host,
            path,
            model: &summary.model,
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
        let outages = *self.store.recoveries().borrow();
        let plan =
            self.cache
                .borrow_mut()
                .plan(self.clock.now(), lot, from, !wait.is_zero(), outages);
        log::debug!(id = lot, from, plan:? = plan; "results: read planned");
        if plan == ReadPlan::Cached
            && let Some((samples, total)) = self.cache.borrow().results(lot, from)
        {
            self.metrics.count(&self.metrics.result_reads, &["memory"]);
            return Ok(Some(self.encode(total, from, samples)));
        }
        if let ReadPlan::Watch { revision, total } = plan {
            self.metrics.count(&self.metrics.result_reads, &["watch"]);
            let began_at = Instant::now();
            let known = ReadAnswer {
                total,
                from,
                samples: Vec::new(),
                revision,
                outages,
            };
            match self.watch_results(lot, known, wait).await {
                Ok((samples, is_complete)) if is_complete || !samples.is_empty() => {
                    return Ok(Some(self.encode(total, from, &samples)));
                }
                // The store did not answer at all: a list would take the rest of the trainer's time.
                Err(Error::Unknown(reason)) if began_at.elapsed() > wait => {
                    self.cache.borrow_mut().remove(lot);
                    return Err(Error::Unknown(reason));
                }
                // The history is lost, the lot is gone, or the watch was cut.
                Ok(_) | Err(Error::Gone | Error::Unknown(_)) => {
                    self.cache.borrow_mut().remove(lot);
                }
                Err(error) => return Err(error),
            }
        }
        self.metrics.count(&self.metrics.result_reads, &["list"]);
        self.list_results(lot, from, wait, outages).await
    }

    /// Waits for results after those of `known`. Returns them up to the first gap, and whether there is
    /// none; then they are cached.
    async fn watch_results(
        &self,
        lot: &str,
        known: ReadAnswer,
        wait: Duration,
    ) -> Result<(Vec<Sample>, bool), Error> {
        let kind = results_kind(lot);
        let watch = self.store.watch(Purpose::Lots, &kind, known.revision, wait);
        let answer = watch.await?;
        let is_deleted = answer.changes.iter().any(|change| change.deleted);
        if is_deleted || answer.revision < known.revision {
            self.cache.borrow_mut().remove(lot);
            return Ok((Vec::new(), false));
        }
        let changes = answer.changes.into_iter();
        let mut objects: Vec<_> = changes.map(|change| change.object).collect();
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        let (samples, is_complete) = self.consecutive_samples(lot, known.from, &objects);
        let mut cache = self.cache.borrow_mut();
        if !is_complete {
            cache.remove(lot);
            return Ok((samples, false));
        }
        let recorded = ReadAnswer {
            samples: samples.clone(),
            revision: answer.revision,
            ..known
        };
        cache.record_watch(self.clock.now(), lot, recorded);
        Ok((samples, true))
    }

    /// Lists the results from position `from` on, and waits for the first if there are none.
    async fn list_results(
        &self,
        lot: &str,
        from: usize,
        wait: Duration,
        outages: u64,
    ) -> Result<Option<Vec<u8>>, Error> {
        let kind = results_kind(lot);
        // A segment has a bounded number of samples, so the one that holds the position starts
        // after this name.
        let after = from.checked_sub(MAX_SEGMENT_SAMPLES).map(segment_name);
        let (objects, revision) = self
            .store
            .list(Purpose::Lots, &kind, after.as_deref())
            .await?;
        let (mut samples, is_complete) = self.consecutive_samples(lot, from, &objects);
        let Some(total) = self.total(lot).await? else {
            self.cache.borrow_mut().remove(lot);
            return Ok(None);
        };
        let listed = ReadAnswer {
            total,
            from,
            samples: Vec::new(),
            revision,
            outages,
        };
        // A watch from this revision does not return what the list contains behind a gap.
        if is_complete {
            let now = self.clock.now();
            let recorded = ReadAnswer {
                samples: samples.clone(),
                ..listed
            };
            self.cache.borrow_mut().record_list(now, lot, recorded);
        } else {
            self.cache.borrow_mut().remove(lot);
        }
        if samples.is_empty() && from < total && !wait.is_zero() {
            match self.watch_results(lot, listed, wait).await {
                Ok((watched, _)) => samples = watched,
                // The revision is no longer watchable, or the watch failed: the trainer calls again.
                Err(Error::Gone | Error::Unknown(_)) => {
                    self.cache.borrow_mut().remove(lot);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(Some(self.encode(total, from, &samples)))
    }

    /// Serializes the first of `samples`, as many as fit into one answer.
    fn encode(&self, total: usize, from: usize, samples: &[Sample]) -> Vec<u8> {
        let count = count_that_fit(samples, self.adapter.lot.max_page_bytes);
        (self.adapter.lot.encode_results)(ResultsPage {
            total,
            offset: from,
            samples: &samples[..count],
        })
    }

    /// The samples from position `from` up to the first gap, from segments ordered by name, and whether
    /// there is no gap.
    fn consecutive_samples(
        &self,
        lot: &str,
        from: usize,
        objects: &[Object],
    ) -> (Vec<Sample>, bool) {
        let mut samples = Vec::new();
        for object in objects {
            let (start, segment) = match parse_segment(object) {
                Ok(segment) => segment,
                // Another writer's object; if it hides a segment, the next one is behind a gap.
                Err(fault) => {
                    log::error!(id = lot; "{fault}");
                    continue;
                }
            };
            self.cache_total(lot, segment.total);
            if start > from + samples.len() {
                return (samples, false);
            }
            let skip = (from + samples.len()) - start;
            samples.extend(segment.samples.into_iter().skip(skip));
        }
        (samples, true)
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
        self.cache.borrow_mut().remove(lot);
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

/// Whether an id can be the name of an object: one segment of a path.
fn can_be_name(id: &str) -> bool {
    !matches!(id, "" | "." | "..") && !id.contains('/')
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
