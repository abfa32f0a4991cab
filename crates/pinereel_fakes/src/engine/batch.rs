//! Simulation of continuous batching in a fake engine. It does no I/O and reads no clock: time is
//! passed in.
//!
//! The engine runs in steps. A step generates one token for each running sequence, and takes longer
//! the more sequences run and the more prompt tokens it must compute first. Sequences are admitted
//! and removed between steps. A weight swap pauses the steps; running sequences then continue under
//! the new weights, so that several versions may compute one sample.

pub use super::types::{Options, Record, Refusal};
use super::{
    cache::{self, Cache, CachedBlocks, Change},
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

/// Priority of live callers, whose requests may preempt those of lower priority.
const LIVE_PRIORITY: u8 = 2;
/// Minimum duration of a step, in seconds.
const MIN_STEP_SECONDS: f64 = 1e-6;
/// Maximum duration of a step, in seconds.
const MAX_STEP_SECONDS: f64 = 3_600.0;
/// Maximum number of attempts whose record is kept. Beyond it, the smallest id is dropped.
const MAX_RECORDS: usize = 100_000;
/// Maximum number of cache changes that are kept.
const MAX_CACHE_CHANGES: usize = 4_096;

/// A weight swap in progress.
#[derive(Clone, Copy, Debug)]
struct Swap {
    version: Version,
    ends_at: Time,
    /// Error with which the swap will end; `None` if it will succeed.
    failure: Option<&'static str>,
}

/// Sort key of a sequence: higher priorities first, then order of arrival.
type SequenceKey = (Reverse<u8>, u64);

/// The simulation of one fake engine.
#[derive(Clone, Debug)]
pub struct Engine {
    options: Options,
    faults: Faults,
    version: Option<Version>,
    swap_failure: Option<&'static str>,
    swap: Option<Swap>,
    /// Until this time, steps take twice as long.
    warm_up_ends_at: Time,
    /// End of the step in progress.
    step_ends_at: Option<Time>,
    /// Number of requests accepted.
    arrivals: u64,
    waiting: BTreeMap<SequenceKey, Sequence>,
    running: BTreeMap<SequenceKey, Sequence>,
    cache: Cache,
    /// The newest cache changes: number, time and change.
    cache_changes: VecDeque<(u64, Time, Change)>,
    /// Number of the newest cache change.
    last_change_number: u64,
    records: BTreeMap<CompactString, Record>,
    generated_tokens: u64,
    /// Value of `generated_tokens` at which the engine crashes.
    crash_at_tokens: Option<u64>,
    /// Chunks that the next [`Engine::advance`] returns.
    chunks: Vec<Chunk>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: Options) -> Self {
        Self {
            faults: Faults::default(),
            version: options.initial_version,
            swap_failure: None,
            swap: None,
            warm_up_ends_at: Time::ZERO,
            step_ends_at: None,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            cache: Cache::new(options.cache_blocks),
            cache_changes: VecDeque::new(),
            last_change_number: 0,
            records: BTreeMap::new(),
            generated_tokens: 0,
            crash_at_tokens: None,
            chunks: Vec::new(),
            options,
        }
    }

    /// Version being served.
    pub const fn version(&self) -> Option<Version> {
        self.version
    }

    /// Version being loaded.
    pub fn loading_version(&self) -> Option<Version> {
        self.swap.map(|swap| swap.version)
    }

    /// Error of the last swap, if it failed.
    pub const fn swap_failure(&self) -> Option<&'static str> {
        self.swap_failure
    }

    /// Number of running sequences.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of queued sequences.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of output tokens generated since the start.
    pub const fn generated_tokens(&self) -> u64 {
        self.generated_tokens
    }

    /// Injected faults.
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What was actually computed for each attempt, by attempt id.
    pub const fn records(&self) -> &BTreeMap<CompactString, Record> {
        &self.records
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, now: Time, faults: Faults) {
        if let Some(version) = faults.stamp_unordered {
            self.switch_to(version);
        }
        self.crash_at_tokens = faults
            .crash_after_tokens
            .map(|more| self.generated_tokens + more);
        self.faults = faults;
        self.start_step(now);
    }

    /// Queues a request. [`Engine::advance`] returns its chunks.
    ///
    /// # Errors
    /// If the engine refuses the request, of which nothing runs then.
    pub fn submit(&mut self, now: Time, request: Request) -> Result<(), Refusal> {
        if self.faults.leaving {
            return Err(Refusal::Leaving);
        }
        if self.version.is_none() {
            return Err(Refusal::NotLoaded);
        }
        if self.waiting.len() >= self.options.max_waiting {
            return Err(Refusal::Full);
        }
        if self.find_key(&request.request_id).is_some() {
            return Err(Refusal::Duplicate);
        }
        self.add_record(&request);
        self.arrivals += 1;
        let key = (Reverse(request.priority), self.arrivals);
        self.waiting.insert(key, Sequence::new(request));
        self.start_step(now);
        Ok(())
    }

    /// Cancels an attempt; its last chunk has [`FinishReason::Cancelled`]. Returns false if no
    /// attempt with this id is waiting or running.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(key) = self.find_key(id) else {
            return false;
        };
        let sequence = self.waiting.remove(&key);
        let Some(mut sequence) = sequence.or_else(|| self.running.remove(&key)) else {
            return false;
        };
        self.emit_chunk(&mut sequence, Some(FinishReason::Cancelled));
        true
    }

    /// Starts to load a version. An order for the version being loaded has no effect; one for the
    /// served version only aborts a swap to another version.
    pub fn load(&mut self, now: Time, version: Version) {
        if self.loading_version() == Some(version) {
            return;
        }
        if self.version == Some(version) {
            // The newest order wins, so a swap to another version is aborted.
            self.swap = None;
            self.start_step(now);
            return;
        }
        self.swap_failure = None;
        let mut swap = Swap {
            version,
            ends_at: now + self.options.swap_time,
            failure: None,
        };
        if self.faults.swap_partway {
            swap.failure = Some("failed partway");
            swap.ends_at = now + self.options.swap_time / 2;
        } else if self.faults.fail_next_swaps > 0 {
            self.faults.fail_next_swaps -= 1;
            swap.failure = Some("failed");
        }
        self.swap = Some(swap);
        self.step_ends_at = None;
    }

    /// Whether the engine has crashed; it then does nothing until [`Engine::restart`].
    pub fn has_crashed(&self) -> bool {
        self.crash_at_tokens
            .is_some_and(|at| self.generated_tokens >= at)
    }

    /// Time of the next event, the end of a step or swap; `None` if no event is scheduled.
    pub fn next_event(&self) -> Option<Time> {
        if self.has_crashed() {
            return None;
        }
        self.swap.map(|swap| swap.ends_at).or(self.step_ends_at)
    }

    /// Processes all events up to `now` and returns the chunks emitted since the last call.
    pub fn advance(&mut self, now: Time) -> Vec<Chunk> {
        while let Some(due) = self.next_event().filter(|due| *due <= now) {
            if let Some(swap) = self.swap.take() {
                self.finish_swap(due, swap);
            } else {
                self.finish_step();
            }
            self.start_step(due);
        }
        std::mem::take(&mut self.chunks)
    }

    /// Returns the cached blocks at the start of `prompt`, for import by another engine.
    pub fn export_blocks(&mut self, prompt: &str) -> CachedBlocks {
        self.cache.find("", prompt)
    }

    /// Adds blocks of another engine to the cache. They keep the versions that computed them.
    pub fn import_blocks(&mut self, now: Time, blocks: &CachedBlocks) {
        self.cache.import(blocks);
        self.record_cache_changes(now);
    }

    /// Returns the cache changes with numbers above `after` that are at least `lag` old, each with
    /// its number.
    pub fn cache_changes(&self, now: Time, after: u64, lag: Duration) -> Vec<(u64, Change)> {
        let old_enough = |at: &Time| now.since(*at) >= lag;
        self.cache_changes
            .iter()
            .filter(|(number, at, _)| *number > after && old_enough(at))
            .map(|(number, _, change)| (*number, *change))
            .collect()
    }

    /// Restarts the engine as after a crash. Only the records and the other faults remain.
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

    fn find_key(&self, id: &str) -> Option<SequenceKey> {
        let mut all = self.waiting.iter().chain(&self.running);
        all.find(|(_, sequence)| sequence.request.request_id == id)
            .map(|(key, _)| *key)
    }

    fn add_record(&mut self, request: &Request) {
        if self.records.len() >= MAX_RECORDS {
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

    /// Starts a step if there are sequences to run, no step or swap is in progress, and no fault
    /// stalls the engine.
    fn start_step(&mut self, now: Time) {
        if self.step_ends_at.is_some() || self.swap.is_some() || self.faults.stall {
            return;
        }
        let Some(version) = self.version else {
            return;
        };
        self.admit_waiting();
        if self.running.is_empty() {
            return;
        }
        let prefill_tokens = self.prefill(version);
        self.record_cache_changes(now);
        self.step_ends_at = Some(now + self.step_duration(now, prefill_tokens));
    }

    /// Moves waiting sequences into free slots. A live request that finds no free slot preempts the
    /// newest sequence of the lowest priority, if that is below its own.
    fn admit_waiting(&mut self) {
        while let Some((key, _)) = self.waiting.first_key_value() {
            let key = *key;
            if self.running.len() >= self.options.slots && !self.preempt_for(key.0.0) {
                return;
            }
            if let Some(sequence) = self.waiting.remove(&key) {
                self.running.insert(key, sequence);
            }
        }
    }

    /// Preempts a sequence to free a slot for a request of `priority`; returns false if none may be
    /// preempted.
    fn preempt_for(&mut self, priority: u8) -> bool {
        if priority < LIVE_PRIORITY {
            return false;
        }
        let last = self.running.last_entry();
        let Some(entry) = last.filter(|entry| entry.key().0.0 < priority) else {
            return false;
        };
        // The preempted sequence keeps its KV cache, so it later resumes where it stopped.
        let (key, sequence) = entry.remove_entry();
        self.waiting.insert(key, sequence);
        true
    }

    /// Computes the prompts of newly admitted sequences; returns the number of tokens computed.
    fn prefill(&mut self, version: Version) -> u32 {
        let mut total = 0;
        for sequence in self.running.values_mut().filter(|s| !s.prefilled) {
            let request = &sequence.request;
            sequence.reused_spans = self
                .cache
                .find(&request.cache_salt, &request.prompt)
                .spans();
            let reused: u32 = sequence.reused_spans.iter().map(|span| span.tokens).sum();
            let rest = cache::count_tokens(&request.prompt) - reused;
            self.cache
                .insert(&request.cache_salt, &request.prompt, version);
            let tokens = rest + request.resume_tokens;
            sequence.computed_span = (tokens > 0).then_some(Span { version, tokens });
            sequence.prefilled = true;
            total += tokens;
            if let Some(record) = self.records.get_mut(&request.request_id) {
                record.prompt_spans.clone_from(&sequence.reused_spans);
                cache::append_span(&mut record.prompt_spans, version, tokens);
            }
        }
        total
    }

    /// Duration of a step that computes `prefill_tokens` and then one token per running sequence.
    fn step_duration(&self, now: Time, prefill_tokens: u32) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let decode = (1.0 + self.options.batch_cost * others) / self.options.tokens_per_second;
        let prefill = f64::from(prefill_tokens) / self.options.prefill_tokens_per_second;
        let warm_up_factor = if now < self.warm_up_ends_at { 2.0 } else { 1.0 };
        let seconds = (decode + prefill) * warm_up_factor * self.faults.slow_factor;
        // The bounds prevent steps of zero or unlimited length, whatever the options are.
        Duration::from_secs_f64(seconds.clamp(MIN_STEP_SECONDS, MAX_STEP_SECONDS))
    }

    /// Generates one token for each running sequence.
    fn finish_step(&mut self) {
        self.step_ends_at = None;
        let Some(version) = self.version else {
            return;
        };
        for (key, mut sequence) in std::mem::take(&mut self.running) {
            if sequence.generated_tokens < sequence.total_tokens {
                sequence.generate_token();
                self.generated_tokens += 1;
                if let Some(record) = self.records.get_mut(&sequence.request.request_id) {
                    cache::append_span(&mut record.output_spans, version, 1);
                }
            }
            if sequence.generated_tokens >= sequence.total_tokens {
                let finish = sequence.finish_reason();
                self.emit_chunk(&mut sequence, Some(finish));
                continue;
            }
            if sequence.pending_tokens >= sequence.request.chunk_tokens {
                self.emit_chunk(&mut sequence, None);
            }
            self.running.insert(key, sequence);
        }
    }

    /// Applies the outcome of a swap that has ended.
    fn finish_swap(&mut self, now: Time, swap: Swap) {
        self.swap_failure = swap.failure;
        if swap.failure.is_none() {
            self.switch_to(swap.version);
            self.warm_up_ends_at = now + self.options.warm_up_time;
        } else if self.faults.swap_partway {
            self.unload_weights();
        }
    }

    /// Serves `version` from now on. Pending tokens, which the old version computed, are emitted
    /// first, so that no chunk mixes versions.
    fn switch_to(&mut self, version: Version) {
        self.emit_all(None);
        self.version = Some(version);
    }

    /// Drops the weights, since partly loaded ones compute nothing usable. All running and waiting
    /// sequences are cancelled.
    fn unload_weights(&mut self) {
        self.emit_all(Some(FinishReason::Cancelled));
        self.running.clear();
        self.waiting.clear();
        self.version = None;
    }

    /// Emits the pending text of all sequences.
    fn emit_all(&mut self, finish: Option<FinishReason>) {
        let mut running = std::mem::take(&mut self.running);
        let mut waiting = std::mem::take(&mut self.waiting);
        for sequence in running.values_mut().chain(waiting.values_mut()) {
            self.emit_chunk(sequence, finish);
        }
        self.running = running;
        self.waiting = waiting;
    }

    /// Emits the pending text of a sequence as a chunk, stamped with the served version. With
    /// `finish` it is the last chunk and may be empty; otherwise nothing is emitted without pending
    /// text.
    fn emit_chunk(&mut self, sequence: &mut Sequence, finish: Option<FinishReason>) {
        if sequence.pending_tokens == 0 && finish.is_none() {
            return;
        }
        let first = !std::mem::replace(&mut sequence.first_chunk_emitted, true);
        let version = self.version.filter(|_| !self.faults.omit_stamps);
        let regresses = self.faults.regress_stamps && !first;
        let chunk = Chunk {
            id: sequence.request.request_id.clone(),
            offset: sequence.generated_tokens - sequence.pending_tokens,
            text: std::mem::take(&mut sequence.pending_text),
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
        self.chunks.push(chunk);
    }

    /// Numbers the cache changes since the last call and keeps them for
    /// [`Engine::cache_changes`].
    fn record_cache_changes(&mut self, now: Time) {
        for change in self.cache.take_changes() {
            self.last_change_number += 1;
            if self.cache_changes.len() >= MAX_CACHE_CHANGES {
                self.cache_changes.pop_front();
            }
            self.cache_changes
                .push_back((self.last_change_number, now, change));
        }
    }
}
