//! Continuous batching as plain code: no I/O, no clock of its own.
//!
//! The engine runs steps. In each step every running sequence gets one token; a step takes longer
//! the more sequences run and the more prompt tokens have to be computed first. Sequences come and
//! go between steps. A weight swap pauses the steps; what runs goes on under the new weights, so a
//! sample can be made by several versions.

pub use super::model::{Options, Record, Refusal};
use super::{
    cache::{self, Blob, Cache, Change},
    fault::Faults,
    sequence::Sequence,
};
use compact_str::CompactString;
use pinereel_api::engine::{Chunk, FinishReason, Request};
use pinereel_core::{Span, Time, Version, hash::Digest};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Priority of live callers; they may preempt whatever is below.
const LIVE: u8 = 2;
/// Shortest step, in seconds.
const SHORTEST_STEP: f64 = 1e-6;
/// Longest step, in seconds.
const LONGEST_STEP: f64 = 3_600.0;
/// Most attempts whose record is kept.
const RECORDS: usize = 100_000;
/// Most cache changes that are kept.
const CHANGES: usize = 4_096;

/// A weight swap under way.
#[derive(Clone, Copy, Debug)]
struct Swap {
    version: Version,
    until: Time,
    failure: Option<&'static str>,
}

/// Key of a waiting or running sequence: higher priorities first, then by arrival.
type Key = (Reverse<u8>, u64);

/// The batching model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    options: Options,
    /// What is made to go wrong.
    faults: Faults,
    version: Option<Version>,
    failed: Option<&'static str>,
    swap: Option<Swap>,
    warm_at: Time,
    /// End of the step under way.
    step: Option<Time>,
    arrivals: u64,
    waiting: BTreeMap<Key, Sequence>,
    running: BTreeMap<Key, Sequence>,
    cache: Cache,
    changes: VecDeque<(u64, Time, Change)>,
    changed: u64,
    records: BTreeMap<CompactString, Record>,
    tokens: u64,
    /// Total of tokens at which it crashes.
    crash_at: Option<u64>,
    out: Vec<Chunk>,
}

impl Engine {
    /// An idle engine.
    pub fn new(options: Options) -> Self {
        Self {
            faults: Faults::default(),
            version: options.version,
            failed: None,
            swap: None,
            warm_at: Time::ZERO,
            step: None,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            cache: Cache::new(options.cache_blocks),
            changes: VecDeque::new(),
            changed: 0,
            records: BTreeMap::new(),
            tokens: 0,
            crash_at: None,
            out: Vec::new(),
            options,
        }
    }

    /// The version that it serves.
    pub const fn version(&self) -> Option<Version> {
        self.version
    }

    /// The version that it is loading.
    pub fn loading(&self) -> Option<Version> {
        self.swap.map(|swap| swap.version)
    }

    /// Why the last swap failed.
    pub const fn failed(&self) -> Option<&'static str> {
        self.failed
    }

    /// Sequences running now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences waiting now.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Output tokens computed since the start.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The faults in force.
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What truly happened, by attempt id.
    pub const fn records(&self) -> &BTreeMap<CompactString, Record> {
        &self.records
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, now: Time, faults: Faults) {
        if let Some(version) = faults.stamp_unordered {
            self.serve(version);
        }
        self.crash_at = faults.crash_after_tokens.map(|more| self.tokens + more);
        self.faults = faults;
        self.plan(now);
    }

    /// Takes a request. Its chunks come from [`Engine::advance`].
    pub fn submit(&mut self, now: Time, request: Request) -> Result<(), Refusal> {
        if self.faults.leaving {
            return Err(Refusal::Leaving);
        }
        if self.version.is_none() {
            return Err(Refusal::NotLoaded);
        }
        if self.waiting.len() >= self.options.queue {
            return Err(Refusal::Full);
        }
        if self.key_of(&request.request_id).is_some() {
            return Err(Refusal::Duplicate);
        }
        self.record(&request);
        self.arrivals += 1;
        let key = (Reverse(request.priority), self.arrivals);
        self.waiting.insert(key, Sequence::new(request));
        self.plan(now);
        Ok(())
    }

    /// Cancels an attempt; its last chunk says so. False if there is none of this id.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(key) = self.key_of(id) else {
            return false;
        };
        let sequence = self.waiting.remove(&key);
        let Some(mut sequence) = sequence.or_else(|| self.running.remove(&key)) else {
            return false;
        };
        self.flush(&mut sequence, Some(FinishReason::Cancelled));
        true
    }

    /// Starts to load a version. What is loaded or being loaded already changes nothing.
    pub fn load(&mut self, now: Time, version: Version) {
        if self.loading() == Some(version) {
            return;
        }
        if self.version == Some(version) {
            // The newest order wins: a swap under way to something else is given up.
            self.swap = None;
            self.plan(now);
            return;
        }
        self.failed = None;
        let mut swap = Swap {
            version,
            until: now + self.options.swap,
            failure: None,
        };
        if self.faults.swap_partway {
            swap.failure = Some("failed partway");
            swap.until = now + self.options.swap / 2;
        } else if self.faults.fail_next_swaps > 0 {
            self.faults.fail_next_swaps -= 1;
            swap.failure = Some("failed");
        }
        self.swap = Some(swap);
        self.step = None;
    }

    /// Whether it crashed; it does nothing more until [`Engine::restart`].
    pub fn crashed(&self) -> bool {
        self.crash_at.is_some_and(|at| self.tokens >= at)
    }

    /// When something happens next; nothing before the next call if `None`.
    pub fn next(&self) -> Option<Time> {
        if self.crashed() {
            return None;
        }
        self.swap.map(|swap| swap.until).or(self.step)
    }

    /// Runs everything due up to `now` and hands out the chunks made since the last call.
    pub fn advance(&mut self, now: Time) -> Vec<Chunk> {
        while let Some(due) = self.next().filter(|due| *due <= now) {
            if let Some(swap) = self.swap.take() {
                self.end_swap(due, swap);
            } else {
                self.end_step();
            }
            self.plan(due);
        }
        std::mem::take(&mut self.out)
    }

    /// Cached blocks at the start of `prompt`, for another engine.
    pub fn export(&mut self, prompt: &str) -> Blob {
        self.cache.find("", prompt)
    }

    /// Takes over blocks from another engine; they keep the versions that computed them.
    pub fn import(&mut self, now: Time, blob: &Blob) {
        self.cache.import(blob);
        self.note_changes(now);
    }

    /// Cache changes after number `after` that are at least `lag` old: number and change.
    pub fn changes(&self, now: Time, after: u64, lag: Duration) -> Vec<(u64, Change)> {
        let late = |at: &Time| now.since(*at) >= lag;
        self.changes
            .iter()
            .filter(|(number, at, _)| *number > after && late(at))
            .map(|(number, _, change)| (*number, *change))
            .collect()
    }

    /// Loses everything but the records, as after a crash and a start.
    pub fn restart(&mut self) {
        let records = std::mem::take(&mut self.records);
        let faults = Faults {
            crash_after_tokens: None,
            ..self.faults.clone()
        };
        *self = Self::new(self.options.clone());
        self.records = records;
        self.faults = faults;
    }

    fn key_of(&self, id: &str) -> Option<Key> {
        let mut all = self.waiting.iter().chain(&self.running);
        all.find(|(_, sequence)| sequence.request.request_id == id)
            .map(|(key, _)| *key)
    }

    fn record(&mut self, request: &Request) {
        if self.records.len() >= RECORDS {
            self.records.pop_first();
        }
        let record = Record {
            prompt: Digest::of(request.prompt.as_bytes()).to_string(),
            seed: request.seed,
            prompt_spans: Vec::new(),
            output_spans: Vec::new(),
            tokens: 0,
            finished: None,
        };
        self.records.insert(request.request_id.clone(), record);
    }

    /// Begins a step if there is something to do and nothing in the way.
    fn plan(&mut self, now: Time) {
        if self.step.is_some() || self.swap.is_some() || self.faults.stall {
            return;
        }
        let Some(version) = self.version else {
            return;
        };
        self.admit();
        if self.running.is_empty() {
            return;
        }
        let prefill = self.prefill(version);
        self.note_changes(now);
        self.step = Some(now + self.step_time(now, prefill));
    }

    /// Fills free slots; live work may push out the bulk sequence that came last.
    fn admit(&mut self) {
        while let Some((key, _)) = self.waiting.first_key_value() {
            let key = *key;
            if self.running.len() >= self.options.slots && !self.preempt(key.0.0) {
                return;
            }
            if let Some(sequence) = self.waiting.remove(&key) {
                self.running.insert(key, sequence);
            }
        }
    }

    fn preempt(&mut self, priority: u8) -> bool {
        if priority < LIVE {
            return false;
        }
        let last = self.running.last_entry();
        let Some(entry) = last.filter(|entry| entry.key().0.0 < priority) else {
            return false;
        };
        // It keeps its KV, so it goes on later where it stopped.
        let (key, sequence) = entry.remove_entry();
        self.waiting.insert(key, sequence);
        true
    }

    /// Computes the prompts of newly admitted sequences; returns the tokens computed.
    fn prefill(&mut self, version: Version) -> u32 {
        let mut total = 0;
        for sequence in self.running.values_mut().filter(|s| !s.prefilled) {
            let request = &sequence.request;
            sequence.reused = self
                .cache
                .find(&request.cache_salt, &request.prompt)
                .spans();
            let reused: u32 = sequence.reused.iter().map(|span| span.tokens).sum();
            let rest = cache::tokens(&request.prompt) - reused;
            self.cache
                .fill(&request.cache_salt, &request.prompt, version);
            let tokens = rest + request.resume_tokens;
            sequence.computed = (tokens > 0).then_some(Span { version, tokens });
            sequence.prefilled = true;
            total += tokens;
            if let Some(record) = self.records.get_mut(&request.request_id) {
                record.prompt_spans.clone_from(&sequence.reused);
                cache::append(&mut record.prompt_spans, version, tokens);
            }
        }
        total
    }

    fn step_time(&self, now: Time, prefill: u32) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let decode = (1.0 + self.options.batch_cost * others) / self.options.tokens_per_second;
        let prefill = f64::from(prefill) / self.options.prefill_per_second;
        let cold = if now < self.warm_at { 2.0 } else { 1.0 };
        let seconds = (decode + prefill) * cold * self.faults.slow_factor;
        // Bounded on both sides, so that no setting makes steps endless or without length.
        Duration::from_secs_f64(seconds.clamp(SHORTEST_STEP, LONGEST_STEP))
    }

    /// Gives every running sequence its token.
    fn end_step(&mut self) {
        self.step = None;
        let Some(version) = self.version else {
            return;
        };
        for (key, mut sequence) in std::mem::take(&mut self.running) {
            if sequence.done < sequence.length {
                sequence.grow();
                self.tokens += 1;
                if let Some(record) = self.records.get_mut(&sequence.request.request_id) {
                    cache::append(&mut record.output_spans, version, 1);
                }
            }
            if sequence.done >= sequence.length {
                let finish = sequence.finish();
                self.flush(&mut sequence, Some(finish));
                continue;
            }
            if sequence.pending_tokens >= sequence.request.chunk_tokens {
                self.flush(&mut sequence, None);
            }
            self.running.insert(key, sequence);
        }
    }

    fn end_swap(&mut self, now: Time, swap: Swap) {
        self.failed = swap.failure;
        if swap.failure.is_none() {
            self.serve(swap.version);
            self.warm_at = now + self.options.warm_up;
        } else if self.faults.swap_partway {
            self.lose_weights();
        }
    }

    /// Serves `version` from now on. Chunks that are being gathered end with the old one.
    fn serve(&mut self, version: Version) {
        self.flush_all(None);
        self.version = Some(version);
    }

    /// Half-loaded weights compute nothing: what runs or waits is cancelled.
    fn lose_weights(&mut self) {
        self.flush_all(Some(FinishReason::Cancelled));
        self.running.clear();
        self.waiting.clear();
        self.version = None;
    }

    fn flush_all(&mut self, finish: Option<FinishReason>) {
        let mut running = std::mem::take(&mut self.running);
        let mut waiting = std::mem::take(&mut self.waiting);
        for sequence in running.values_mut().chain(waiting.values_mut()) {
            self.flush(sequence, finish);
        }
        self.running = running;
        self.waiting = waiting;
    }

    /// Hands out what a sequence gathered, with its stamp.
    fn flush(&mut self, sequence: &mut Sequence, finish: Option<FinishReason>) {
        if sequence.pending_tokens == 0 && finish.is_none() {
            return;
        }
        let first = !std::mem::replace(&mut sequence.started, true);
        let version = self.version.filter(|_| !self.faults.omit_stamps);
        let regresses = self.faults.regress_stamps && !first;
        let chunk = Chunk {
            id: sequence.request.request_id.clone(),
            offset: sequence.done - sequence.pending_tokens,
            text: std::mem::take(&mut sequence.pending),
            tokens: std::mem::take(&mut sequence.pending_tokens),
            version: version.map(|v| Version(v.0.saturating_sub(u64::from(regresses)))),
            reused: if first {
                sequence.prompt_spans(self.version)
            } else {
                Vec::new()
            },
            finish,
        };
        if let Some(record) = self.records.get_mut(&chunk.id) {
            record.tokens += chunk.tokens;
            record.finished = finish;
        }
        self.out.push(chunk);
    }

    fn note_changes(&mut self, now: Time) {
        for change in self.cache.take_changes() {
            self.changed += 1;
            if self.changes.len() >= CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back((self.changed, now, change));
        }
    }
}
