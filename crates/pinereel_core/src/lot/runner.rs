//! The state machine of one runner: its state, the dispatch of events, and the life of attempts.

use super::{
    Action, Event, Failure, Finish, Limits, Lot, Offer, Policy, Sample,
    state::{Attempt, AttemptKey, Endpoint, Finished, Progress, SampleKey, SampleState},
};
use crate::{Time, Version, fair::Scheduler, provenance, staleness, staleness::PublicationRate};
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    mem,
};

/// Counters of a runner since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts started.
    pub started: u64,
    /// Of these, attempts that resumed from earlier chunks.
    pub resumed: u64,
    /// Of these, speculative second attempts of a running sample.
    pub speculative: u64,
    /// Samples finished.
    pub finished: u64,
    /// Chunks, failures and scores that were dropped because their attempt or scoring had ended.
    pub late_events: u64,
    /// Attempts rejected for their stamps or offsets.
    pub invalid_stamps: u64,
    /// Attempts that broke off.
    pub lost: u64,
    /// Running attempts moved away from a slow endpoint.
    pub moved: u64,
    /// Running attempts aborted because their output was too old.
    pub aborted: u64,
    /// Finished samples discarded because they were too old.
    pub stale_samples: u64,
}

/// Scheduler of all lots on one instance, driven by [`Runner::step`].
#[derive(Debug)]
pub struct Runner {
    pub(super) policy: Policy,
    pub(super) limits: Limits,
    pub(super) lots: BTreeMap<CompactString, Lot>,
    pub(super) samples: SlotMap<SampleKey, SampleState>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) endpoints: BTreeMap<CompactString, Endpoint>,
    pub(super) publication_rates: BTreeMap<CompactString, PublicationRate>,
    pub(super) fair_share: Scheduler,
    /// Samples that wait for the retry budget, oldest first.
    pub(super) retry_queue: VecDeque<SampleKey>,
    /// Retry budget, in units of which one retry costs [`RETRY_CREDIT`].
    pub(super) retry_credit: u64,
    pub(super) last_tick: Time,
    /// Pending scorings by ticket; those that failed have the time of their retry.
    pub(super) scorings: BTreeMap<u64, (SampleKey, Option<Time>)>,
    pub(super) next_ticket: u64,
    pub(super) next_arrival: u64,
    /// Moving average of the time per output token over all finished samples, in microseconds.
    pub(super) sample_token_us: u64,
    pub(super) draining: bool,
    pub(super) stats: Stats,
    pub(super) actions: Vec<Action>,
}

/// Cost of one retry in the units of the retry budget, which are hundredths of a retry.
pub(super) const RETRY_CREDIT: u64 = 100;

impl Runner {
    /// Creates a runner without lots or endpoints, and with a full retry budget.
    pub fn new(policy: Policy, limits: Limits) -> Self {
        Self {
            policy,
            limits,
            lots: BTreeMap::new(),
            samples: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            endpoints: BTreeMap::new(),
            publication_rates: BTreeMap::new(),
            fair_share: Scheduler::default(),
            retry_queue: VecDeque::new(),
            retry_credit: u64::from(limits.retry_burst) * RETRY_CREDIT,
            last_tick: Time::ZERO,
            scorings: BTreeMap::new(),
            next_ticket: 0,
            next_arrival: 0,
            sample_token_us: 0,
            draining: false,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let is_partial_chunk = matches!(&event, Event::Chunk(chunk) if chunk.finish.is_none());
        let running = self.attempts.len();
        match event {
            Event::Assign(spec) => self.assign(now, spec),
            Event::Offer(offer) => self.endpoint_offered(offer),
            Event::Chunk(chunk) => self.chunk_received(now, chunk),
            Event::Failed { attempt, failure } => self.attempt_failed(now, attempt, failure),
            Event::EndpointLost { endpoint } => self.endpoint_lost(now, &endpoint),
            Event::Published { model, version } => self.version_published(now, &model, version),
            Event::BoundChanged { trainer, bound } => self.bound_changed(&trainer, bound),
            Event::Collect(request) => self.collect(now, request),
            Event::Scored { ticket, score } => self.scored(ticket, score),
            Event::ScoreFailed { ticket } => self.score_failed(now, ticket),
            Event::Handover { spec, samples } => self.take_over(now, spec, samples),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(now),
        }
        // A chunk that does not end an attempt frees no slot; this keeps the common case cheap.
        if (!is_partial_chunk || self.attempts.len() != running) && self.has_work() {
            self.dispatch(now);
        }
        mem::take(&mut self.actions)
    }

    /// The lots held.
    pub fn lots(&self) -> impl Iterator<Item = &Lot> {
        self.lots.values()
    }

    /// Counters since the start.
    pub const fn stats(&self) -> Stats {
        self.stats
    }

    /// Number of running attempts and pending scorings; a draining runner may stop at 0.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.scorings.len()
    }

    /// Whether any sample is queued or running. If not, dispatch would scan all endpoints for nothing.
    fn has_work(&self) -> bool {
        let has_queued = || self.lots.values().any(|lot| !lot.queue.is_empty());
        !self.attempts.is_empty() || has_queued()
    }

    fn endpoint_offered(&mut self, offer: Offer) {
        let known = self.endpoints.get(&offer.endpoint);
        let (running_attempts, token_time) =
            known.map_or_else(Default::default, |e| (e.running_attempts, e.token_time));
        if offer.slots == 0 && running_attempts == 0 {
            self.endpoints.remove(&offer.endpoint);
            return;
        }
        let key = offer.endpoint.clone();
        let endpoint = Endpoint {
            offer,
            running_attempts,
            token_time,
        };
        self.endpoints.insert(key, endpoint);
    }

    fn chunk_received(&mut self, now: Time, chunk: super::Chunk) {
        let Some(attempt) = self.attempts.get_mut(chunk.attempt) else {
            self.stats.late_events += 1;
            return;
        };
        let pushed = if chunk.stamp.tokens == 0 && !chunk.text.is_empty() {
            Err(provenance::Error::Contradictory)
        } else {
            attempt.progress.record.push(&chunk.stamp)
        };
        if let Err(error) = pushed {
            self.reject_stamps(chunk.attempt, error);
            return;
        }
        attempt.progress.text.push_str(&chunk.text);
        // The stamp of the engine is newer than the last report on it.
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            let served = &mut endpoint.offer.version;
            *served = chunk.stamp.version.unwrap_or_default().max(*served);
            // The time to the first chunk may include a wait for a slot.
            if let Some(last_chunk_at) = attempt.last_chunk_at.filter(|_| chunk.stamp.tokens > 0) {
                let elapsed = now.since(last_chunk_at);
                endpoint.token_time.record(now, elapsed, chunk.stamp.tokens);
            }
        }
        attempt.last_chunk_at = Some(now);
        let reused = chunk.stamp.reused.iter().map(|span| span.version).min();
        if let Some(oldest) = reused {
            self.record_cached_prefix(now, chunk.attempt, oldest);
        }
        match chunk.finish {
            Some(Finish::Complete) => self.finish_attempt(now, chunk.attempt),
            Some(Finish::Cancelled) => self.attempt_lost(now, chunk.attempt),
            // Too old without a newer publication: the engine reuses old prefixes or runs old weights,
            // and may do so on each attempt. The retry budget bounds these attempts.
            None => self.abort_if_stale(chunk.attempt, Self::retry),
        }
    }

    fn record_cached_prefix(&mut self, now: Time, key: AttemptKey, oldest: Version) {
        let attempt = &self.attempts[key];
        let sample_state = &self.samples[attempt.sample];
        let lot = self.lots.get_mut(&sample_state.lot);
        if let Some(group_state) = lot.and_then(|lot| lot.groups.get_mut(&sample_state.group)) {
            group_state.note_cached_prefix(&attempt.endpoint, oldest, now);
        }
    }

    /// Ends an attempt with invalid stamps. After a gap or a repeat the earlier output stays usable;
    /// after any other error none of it can be trusted.
    fn reject_stamps(&mut self, key: AttemptKey, error: provenance::Error) {
        self.stats.invalid_stamps += 1;
        self.push_cancel(key);
        let Some(attempt) = self.end(key) else { return };
        let kept = error.keeps_prefix().then_some(attempt.progress);
        if kept.is_none() {
            self.samples[attempt.sample].saved_progress = None;
        }
        self.retry(attempt.sample, kept);
    }

    fn attempt_failed(&mut self, now: Time, key: AttemptKey, failure: Failure) {
        let Some(attempt) = self.attempts.get(key) else {
            self.stats.late_events += 1;
            return;
        };
        if failure == Failure::NotRun
            && let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint)
        {
            endpoint.offer.slots = 0;
        }
        self.attempt_lost(now, key);
    }

    fn endpoint_lost(&mut self, now: Time, endpoint: &str) {
        let attempts = self.attempts.iter();
        let lost = attempts.filter(|(_, attempt)| attempt.endpoint == endpoint);
        let lost: Vec<_> = lost.map(|(key, _)| key).collect();
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.offer.slots = 0;
        }
        for key in lost {
            self.attempt_lost(now, key);
        }
        self.endpoints.remove(endpoint);
    }

    /// An attempt broke off. Its complete chunks are kept, and may already be the complete sample.
    fn attempt_lost(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let sample_state = &self.samples[attempt.sample];
        let group = &self.lots[&sample_state.lot].groups[&sample_state.group].group;
        if attempt.progress.record.tokens() >= group.max_tokens.max(1) {
            self.finish_attempt(now, key);
            return;
        }
        self.stats.lost += 1;
        let Some(attempt) = self.end(key) else { return };
        self.retry(attempt.sample, Some(attempt.progress));
    }

    /// Removes an attempt and frees its slot.
    pub(super) fn end(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.running_attempts -= 1;
            if endpoint.running_attempts == 0 && endpoint.offer.slots == 0 {
                self.endpoints.remove(&attempt.endpoint);
            }
        }
        let sample_state = self.samples.get_mut(attempt.sample);
        let sample_state = sample_state.expect("a sample's attempts end before it is removed");
        sample_state.attempts.retain(|other| *other != key);
        Some(attempt)
    }

    pub(super) fn push_cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(key) {
            let endpoint = attempt.endpoint.clone();
            self.actions.push(Action::Cancel {
                attempt: key,
                endpoint,
            });
        }
    }

    /// Cancels and removes all attempts of a sample.
    pub(super) fn cancel_attempts(&mut self, sample: SampleKey) {
        for key in self.samples[sample].attempts.clone() {
            self.push_cancel(key);
            self.end(key);
        }
    }

    fn finish_attempt(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.end(key) else { return };
        let Progress { text, record } = attempt.progress;
        let Some(oldest) = record.oldest_version() else {
            // Without any stamp the weight versions are unknown.
            self.stats.invalid_stamps += 1;
            self.retry(attempt.sample, None);
            return;
        };
        let output_tokens = u64::from(record.tokens() - attempt.resumed_tokens).max(1);
        let elapsed_us = now.since(attempt.started_at).as_micros();
        let token_us = u64::try_from(elapsed_us).unwrap_or(u64::MAX) / output_tokens;
        self.sample_token_us = (self.sample_token_us * 7 + token_us) / 8;
        let sample_state = &self.samples[attempt.sample];
        let spec = &self.lots[&sample_state.lot].spec;
        if self.policy.early_abort && !staleness::is_fresh(oldest, spec.version, spec.bound) {
            self.stats.stale_samples += 1;
            self.retry(attempt.sample, None);
            return;
        }
        let sample = Sample {
            group: sample_state.group,
            index: sample_state.index,
            text,
            tokens: record.tokens(),
            spans: record.spans(),
            score: None,
        };
        self.stats.finished += 1;
        self.update_prediction(attempt.sample, sample.tokens);
        self.store_finished(attempt.sample, sample);
    }

    /// Stores a finished sample and cancels all other attempts at it: the first that finishes counts.
    pub(super) fn store_finished(&mut self, key: SampleKey, sample: Sample) {
        self.cancel_attempts(key);
        self.unqueue(key);
        let scored = self.lots[&self.samples[key].lot].spec.scored;
        let score_ticket =
            (scored && sample.score.is_none()).then(|| self.request_score(key, &sample));
        let sample_state = &mut self.samples[key];
        sample_state.saved_progress = None;
        sample_state.finished = Some(Finished {
            sample,
            score_ticket,
        });
        if score_ticket.is_none() {
            self.announce_finished(key);
        }
    }

    /// Updates the prediction of publications only. The version of a trainer is what it states in each
    /// collect; other trainers of the model may be behind.
    pub(super) fn version_published(&mut self, now: Time, model: &str, version: Version) {
        let rate = self.publication_rates.get_mut(model);
        let newer = rate.map(|rate| rate.record_publication(version, now));
        if newer.is_none() {
            self.publication_rates
                .insert(model.into(), PublicationRate::new(version, now));
        }
    }

    fn bound_changed(&mut self, trainer: &str, bound: u64) {
        for lot in self.lots.values_mut() {
            if lot.spec.trainer == trainer {
                lot.spec.bound = bound;
            }
        }
        self.abort_stale();
    }

    fn tick(&mut self, now: Time) {
        let elapsed_ms = now.since(self.last_tick).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        let rate = u64::from(self.limits.retries_per_second) * RETRY_CREDIT;
        self.last_tick = now;
        self.add_retry_credit(elapsed_ms.saturating_mul(rate) / 1_000);
        self.release_retries();
        self.move_from_slow(now);
        self.retry_scores(now);
        self.drop_idle_lots(now);
    }
}
