//! Results of lots that an instance has read from the store, so that the next read of a trainer costs
//! at most one call.
//!
//! Designed for deployments with four trainers that made 1,159 lists and 111 watches of results in
//! 56 s: each read listed the lot's segments again, although most reads ask for what follows the
//! results of the read before.
//!
//! Results are immutable and their positions fixed, so that a remembered result is never wrong. The
//! cache answers only what it has, and never that there is nothing: that takes a call to the store.

use crate::Time;
use compact_str::CompactString;
use pinereel_port::lot::Sample;
use std::{collections::BTreeMap, time::Duration};

/// Most lots in the cache. Each trainer has two overlapping steps.
const MAX_LOTS: usize = 16;
/// Most bytes of results in the cache: two lots of 160 items with 16 KiB each, beside an instance's
/// smallest memory of 120 MB.
const MAX_BYTES: usize = 6 << 20;
/// Assumed size of a result in memory, without its text.
const SAMPLE_OVERHEAD_BYTES: usize = 256;
/// Longest time since the store last answered a call about a lot after which its results are still
/// used. A lot that has ended stays in the store for minutes, and is answered from the store soon
/// after it has been removed there. Trainers read a lot several times a second.
const MAX_UNCHECKED_AGE: Duration = Duration::from_secs(5);

/// How to answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPlan {
    /// With [`ResultsCache::results`], without a call.
    Cached,
    /// With one watch from this revision, at the end of the cached results.
    Watch {
        /// Revision of the store.
        revision: u64,
        /// Number of items of the lot.
        total: usize,
    },
    /// With a list.
    List,
}

/// What the store answered about a lot.
#[derive(Clone, Debug)]
pub struct ReadAnswer {
    /// Number of items of the lot.
    pub total: usize,
    /// Position of the first of `samples`.
    pub from: usize,
    /// Consecutive results.
    pub samples: Vec<Sample>,
    /// Revision of the store from which a watch returns all later results.
    pub revision: u64,
    /// Number of outages of the store that had ended before the call was made. After an outage, the
    /// store may accept a watch from a revision whose history it has lost, and never answer it.
    pub outages: u64,
}

/// Consecutive results of one lot.
#[derive(Clone, Debug)]
struct Entry {
    answer: ReadAnswer,
    bytes: usize,
    checked_at: Time,
    used_at: Time,
}

impl Entry {
    /// Position after the last result.
    const fn end(&self) -> usize {
        self.answer.from + self.answer.samples.len()
    }
}

/// Results of recently read lots, at most 16 lots and 6 MiB.
#[derive(Clone, Debug, Default)]
pub struct ResultsCache {
    lots: BTreeMap<CompactString, Entry>,
    bytes: usize,
}

impl ResultsCache {
    /// How to answer a read of `lot` from position `from` on, which may wait for results only if
    /// `waits`. `outages` is the number of outages of the store that have ended.
    pub fn plan(
        &mut self,
        now: Time,
        lot: &str,
        from: usize,
        waits: bool,
        outages: u64,
    ) -> ReadPlan {
        let Some(entry) = self.lots.get_mut(lot) else {
            return ReadPlan::List;
        };
        if now.since(entry.checked_at) > MAX_UNCHECKED_AGE {
            self.remove(lot);
            return ReadPlan::List;
        }
        entry.used_at = now;
        if (entry.answer.from..entry.end()).contains(&from) {
            return ReadPlan::Cached;
        }
        let is_watchable =
            entry.end() == from && from < entry.answer.total && entry.answer.outages == outages;
        // Without a wait, a list answers for certain what there is.
        match is_watchable && waits {
            true => ReadPlan::Watch {
                revision: entry.answer.revision,
                total: entry.answer.total,
            },
            false => ReadPlan::List,
        }
    }

    /// The results of `lot` from position `from` on, and the number of its items; `None` if the result
    /// at `from` is not cached.
    pub fn results(&self, lot: &str, from: usize) -> Option<(&[Sample], usize)> {
        let entry = self.lots.get(lot)?;
        let samples = entry
            .answer
            .samples
            .get(from.checked_sub(entry.answer.from)?..)?;
        (!samples.is_empty()).then_some((samples, entry.answer.total))
    }

    /// Records what a list returned. It replaces what is cached, unless it is older or continues it.
    pub fn record_list(&mut self, now: Time, lot: &str, answer: ReadAnswer) {
        if let Some(entry) = self.lots.get_mut(lot) {
            // A concurrent read has overtaken this one: with the older answer, a position that has been
            // read would return less than before.
            let known = &entry.answer;
            if answer.revision < known.revision && answer.outages <= known.outages {
                return;
            }
            // A position that nobody has reached yet is no reason to forget the results.
            if answer.samples.is_empty() && answer.from > entry.end() {
                return;
            }
            let is_adjacent = (entry.answer.from..=entry.end()).contains(&answer.from);
            let end = answer.from + answer.samples.len();
            if is_adjacent && end >= entry.end() {
                let known = answer.from - entry.answer.from;
                let ReadAnswer {
                    samples,
                    revision,
                    outages,
                    total,
                    ..
                } = answer;
                entry.answer.samples.truncate(known);
                entry.answer.samples.extend(samples);
                (entry.answer.revision, entry.answer.outages) = (revision, outages);
                entry.answer.total = total;
                return self.finish(now, lot);
            }
        }
        self.remove(lot);
        let entry = Entry {
            answer,
            bytes: 0,
            checked_at: now,
            used_at: now,
        };
        self.lots.insert(lot.into(), entry);
        self.finish(now, lot);
    }

    /// Records what a watch from the end of the cached results returned.
    pub fn record_watch(&mut self, now: Time, lot: &str, answer: ReadAnswer) {
        let Some(entry) = self.lots.get_mut(lot) else {
            return;
        };
        // A concurrent read may have recorded the same results.
        if entry.end() != answer.from || answer.revision < entry.answer.revision {
            return;
        }
        entry.answer.samples.extend(answer.samples);
        entry.answer.revision = answer.revision;
        self.finish(now, lot);
    }

    /// Forgets a lot: it has ended or is gone, or its revision cannot be watched.
    pub fn remove(&mut self, lot: &str) {
        if let Some(entry) = self.lots.remove(lot) {
            self.bytes -= entry.bytes;
        }
    }

    /// Number of lots and size of their results in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.lots.len(), self.bytes)
    }

    /// Updates the size of a lot that the store has just answered about, and forgets the lots that have
    /// not been read for the longest time while the cache is too large.
    fn finish(&mut self, now: Time, lot: &str) {
        if let Some(entry) = self.lots.get_mut(lot) {
            (entry.checked_at, entry.used_at) = (now, now);
            let bytes = entry.answer.samples.iter().map(sample_bytes).sum();
            self.bytes = self.bytes - entry.bytes + bytes;
            entry.bytes = bytes;
            if bytes > MAX_BYTES {
                self.remove(lot);
            }
        }
        while self.lots.len() > MAX_LOTS || self.bytes > MAX_BYTES {
            let oldest = self.lots.iter().min_by_key(|(_, entry)| entry.used_at);
            let Some(oldest) = oldest.map(|(lot, _)| lot.clone()) else {
                return;
            };
            self.remove(&oldest);
        }
    }
}

/// Approximate size of a result in memory.
fn sample_bytes(sample: &Sample) -> usize {
    let output = sample.output.as_ref();
    SAMPLE_OVERHEAD_BYTES + output.map_or(0, |output| output.text.len())
}
