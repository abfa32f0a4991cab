//! Scheduling: placement of samples on endpoints, aborts, retries and speculative attempts.

use super::{
    Action, Runner, Start,
    runner::RETRY_CREDIT,
    state::{Attempt, AttemptKey, Progress, SampleKey, SampleState},
};
use crate::{Time, fair::Class, hash, staleness};
use compact_str::CompactString;
use std::{cmp::Reverse, collections::BTreeSet, mem, time::Duration};

/// Most queued samples of a lot that are considered for one slot.
const MAX_CANDIDATES: usize = 64;

/// Fewest endpoints of known speed from which a median is taken to find slow ones.
const MIN_RATED_ENDPOINTS: usize = 3;

/// Token time above which an endpoint is slow, in tenths of the median token time.
const SLOW_FACTOR_TENTHS: u64 = 30;

impl Runner {
    /// Fills free slots, on the least loaded endpoint first.
    pub(super) fn dispatch(&mut self, now: Time) {
        if self.draining {
            return;
        }
        // Starting attempts does not change the speeds.
        let slow = self.slow_endpoints(now);
        let mut unusable = BTreeSet::new();
        while let Some((sample, endpoint)) = self.next_start(now, &slow, &mut unusable) {
            self.start_attempt(now, sample, &endpoint);
        }
    }

    /// The next sample to start, and its endpoint. Endpoints on which nothing can start are added to
    /// `unusable` and considered only once, since this does not change while slots only fill.
    fn next_start(
        &self,
        now: Time,
        slow: &BTreeSet<CompactString>,
        unusable: &mut BTreeSet<CompactString>,
    ) -> Option<(SampleKey, CompactString)> {
        for endpoint in self.free_endpoints(slow, unusable) {
            let queued = self.next_queued(now, &endpoint);
            let sample = queued.or_else(|| self.speculation_candidate(now, &endpoint));
            if let Some(sample) = sample {
                return Some((sample, endpoint));
            }
            unusable.insert(endpoint);
        }
        None
    }

    /// Endpoints with free slots that are not `unusable`, in the order in which to fill them.
    fn free_endpoints(
        &self,
        slow: &BTreeSet<CompactString>,
        unusable: &BTreeSet<CompactString>,
    ) -> Vec<CompactString> {
        let endpoints = self.endpoints.iter();
        let free = endpoints
            .filter(|(key, e)| e.running_attempts < e.offer.slots && !unusable.contains(*key));
        // If all runners preferred the same one of equal endpoints, they would overload it together.
        let seed = self.stats.started;
        let mut free: Vec<_> = free.collect();
        free.sort_by_cached_key(|(key, e)| {
            let tie_break = if self.policy.hash_tie_break {
                hash::rendezvous(seed, key)
            } else {
                0
            };
            let slow = slow.contains(*key);
            (
                slow,
                e.running_attempts,
                Reverse(e.offer.version),
                tie_break,
            )
        });
        free.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Endpoints that are much slower than the median, by the attempts of this runner. Live requests
    /// should avoid them too, because slow endpoints appear idle.
    pub fn slow_endpoints(&self, now: Time) -> BTreeSet<CompactString> {
        let mut slow = BTreeSet::new();
        if !self.policy.avoid_slow {
            return slow;
        }
        let endpoints = self.endpoints.iter();
        let rated = endpoints.filter_map(|(key, e)| Some((e.token_time.current(now)?, key)));
        let mut rated: Vec<_> = rated.collect();
        rated.sort_unstable();
        if rated.len() < MIN_RATED_ENDPOINTS {
            return slow;
        }
        let limit = rated[rated.len() / 2].0 * SLOW_FACTOR_TENTHS / 10;
        let above_limit = rated.iter().filter(|(token, _)| *token > limit);
        slow.extend(above_limit.map(|(_, key)| (*key).clone()));
        slow
    }

    /// Moves attempts away from slow endpoints; they resume elsewhere from their output so far.
    pub(super) fn move_from_slow(&mut self, now: Time) {
        let slow = self.slow_endpoints(now);
        if slow.is_empty() || !self.policy.resume {
            return;
        }
        let attempts = self.attempts.iter();
        let movable =
            attempts.filter(|(_, a)| slow.contains(&a.endpoint) && a.last_chunk_at.is_some());
        let movable: Vec<_> = movable.map(|(key, _)| key).collect();
        for key in movable {
            self.push_cancel(key);
            if let Some(attempt) = self.end(key) {
                self.stats.moved += 1;
                self.requeue(attempt.sample, Some(attempt.progress));
            }
        }
    }

    /// The queued sample to start next on `endpoint`.
    fn next_queued(&self, now: Time, endpoint: &str) -> Option<SampleKey> {
        let model = &self.endpoints[endpoint].offer.model;
        let mut lots: Vec<_> = self.lots.values().collect();
        lots.retain(|lot| lot.spec.model == *model && !lot.queue.is_empty());
        lots.sort_by_key(|lot| (lot.spec.step, lot.arrival));
        if !self.policy.fair_share {
            lots.sort_by_key(|lot| lot.arrival);
        }
        let running = self.endpoints[endpoint].running_attempts;
        if running >= self.policy.prefetch_slots {
            lots.retain(|lot| lot.requested);
        }
        if self.policy.requested_first {
            lots.sort_by_key(|lot| !lot.requested);
        }
        while !lots.is_empty() {
            let mut flows = lots.iter().map(|lot| lot.spec.trainer.as_str());
            let flow = if self.policy.fair_share {
                self.fair_share.next_flow(flows)?
            } else {
                flows.next()?
            };
            let mut lots_of_flow = lots.iter().filter(|lot| lot.spec.trainer == flow);
            let found = lots_of_flow.find_map(|lot| {
                let mut candidates = lot.queue.iter().take(MAX_CANDIDATES);
                candidates.find(|queue_key| self.can_start(now, queue_key.2, endpoint))
            });
            if let Some((_, _, sample)) = found {
                return Some(*sample);
            }
            lots.retain(|lot| lot.spec.trainer != flow);
        }
        None
    }

    /// Whether the endpoint's version is likely to meet the staleness bound when the sample completes.
    fn can_start(&self, now: Time, sample: SampleKey, endpoint: &str) -> bool {
        if !self.policy.staleness_aware_start {
            return true;
        }
        let offer = &self.endpoints[endpoint].offer;
        let sample_state = &self.samples[sample];
        let lot = &self.lots[&sample_state.lot];
        // A waiting trainer gets all that its bound allows: fresher weights may never be served.
        let bound = if lot.requested {
            lot.spec.bound
        } else {
            lot.spec.bound.min(self.policy.prefetch_bound)
        };
        if !staleness::is_fresh(offer.version, lot.spec.version, bound) {
            return false;
        }
        let group_state = &lot.groups[&sample_state.group];
        let cached = group_state.cached_version(endpoint, now);
        if cached.is_some_and(|v| !staleness::is_fresh(v, lot.spec.version, lot.spec.bound)) {
            return false;
        }
        let tokens = u64::from(group_state.predicted_tokens());
        let completes_at = now + Duration::from_micros(self.sample_token_us.saturating_mul(tokens));
        let rate = self.publication_rates.get(&lot.spec.model);
        if rate.is_none_or(|rate| rate.stays_fresh(offer.version, completes_at, bound)) {
            return true;
        }
        // If no endpoint serves a newer version, waiting would not help.
        let offers = self.endpoints.values().map(|e| &e.offer);
        let mut usable = offers.filter(|o| o.model == offer.model && o.slots > 0);
        usable.all(|other| other.version <= offer.version)
    }

    /// The running sample for a speculative attempt on an idle slot: the one that started first.
    fn speculation_candidate(&self, now: Time, endpoint: &str) -> Option<SampleKey> {
        if !self.policy.speculative_attempts {
            return None;
        }
        let model = &self.endpoints[endpoint].offer.model;
        let lots = self.lots.values();
        let mut lots_of_model = lots.filter(|lot| lot.spec.model == *model);
        if lots_of_model.any(|lot| !lot.queue.is_empty()) {
            return None;
        }
        let due = self.attempts.values().filter(|attempt| {
            let sample_state = &self.samples[attempt.sample];
            let is_due = now.since(attempt.started_at) >= self.policy.speculate_after;
            let is_single = sample_state.attempts.len() == 1 && attempt.endpoint != endpoint;
            let is_same_model = self.lots[&sample_state.lot].spec.model == *model;
            is_due && is_single && is_same_model && self.can_start(now, attempt.sample, endpoint)
        });
        let first = due.min_by_key(|attempt| (attempt.started_at, attempt.sample));
        first.map(|attempt| attempt.sample)
    }

    fn start_attempt(&mut self, now: Time, sample: SampleKey, endpoint: &str) {
        let speculative = !self.samples[sample].attempts.is_empty();
        let progress = self.resume_point(sample, endpoint).unwrap_or_default();
        let resumed_tokens = progress.record.tokens();
        self.unqueue(sample);
        self.count_start(&progress, speculative);
        let resume = progress.text.clone();
        let attempt = self.attempts.insert(Attempt {
            sample,
            endpoint: endpoint.into(),
            started_at: now,
            last_chunk_at: None,
            resumed_tokens,
            progress,
        });
        let target = self.endpoints.get_mut(endpoint);
        target
            .expect("the endpoint was just chosen")
            .running_attempts += 1;
        let sample_state = &mut self.samples[sample];
        let is_retry = speculative || sample_state.was_started;
        sample_state.attempts.push(attempt);
        sample_state.was_started = true;
        let lot = &self.lots[&sample_state.lot];
        let is_past_deadline = now >= lot.spec.deadline;
        let group_state = &lot.groups[&sample_state.group];
        let cost = u64::from(
            group_state
                .predicted_tokens()
                .saturating_sub(resumed_tokens),
        );
        self.fair_share
            .charge(&lot.spec.trainer, lot.spec.weight, cost);
        self.actions.push(Action::Start(Start {
            attempt,
            endpoint: endpoint.into(),
            lot: sample_state.lot.clone(),
            index: sample_state.index,
            prompt: group_state.group.prompt.clone(),
            max_tokens: group_state.group.max_tokens,
            seed: sampling_seed(lot.spec.digest, sample_state.index),
            resume,
            resume_tokens: resumed_tokens,
            class: if is_retry || is_past_deadline || self.policy.requested_first && lot.requested {
                Class::Straggler
            } else {
                Class::Bulk
            },
        }));
        if !is_retry {
            self.add_retry_credit(u64::from(self.limits.retry_percent));
        }
    }

    const fn count_start(&mut self, progress: &Progress, speculative: bool) {
        self.stats.started += 1;
        self.stats.resumed += (progress.record.tokens() > 0) as u64;
        self.stats.speculative += speculative as u64;
    }

    /// Output from which an attempt on `endpoint` may resume: its versions must meet the staleness
    /// bound and not be newer than that of the endpoint.
    fn resume_point(&mut self, sample: SampleKey, endpoint: &str) -> Option<Progress> {
        let sample_state = &mut self.samples[sample];
        let saved = sample_state.saved_progress.take();
        let running = sample_state
            .attempts
            .first()
            .map(|key| &self.attempts[*key].progress);
        let from = saved.or_else(|| running.cloned())?;
        let spec = &self.lots[&sample_state.lot].spec;
        let is_fresh = staleness::is_fresh(from.record.oldest_version()?, spec.version, spec.bound);
        let is_not_older = from.record.last_version()? <= self.endpoints[endpoint].offer.version;
        let resumable = self.policy.resume && is_fresh && is_not_older;
        resumable.then(|| Progress {
            record: from.record.resume(),
            text: from.text,
        })
    }

    /// Aborts a running attempt whose output is too old, and queues its sample again with `queue`,
    /// which is [`Self::retry`] or [`Self::requeue`].
    pub(super) fn abort_if_stale(
        &mut self,
        key: AttemptKey,
        queue: impl Fn(&mut Self, SampleKey, Option<Progress>),
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let sample = attempt.sample;
        let oldest = attempt.progress.record.oldest_version();
        let spec = &self.lots[&self.samples[sample].lot].spec;
        let is_fresh = oldest.is_none_or(|o| staleness::is_fresh(o, spec.version, spec.bound));
        if is_fresh || !self.policy.early_abort {
            return;
        }
        self.stats.aborted += 1;
        self.push_cancel(key);
        self.end(key);
        queue(self, sample, None);
    }

    /// Aborts attempts and discards finished samples that are too old, after a newer version or a
    /// tighter bound.
    pub(super) fn abort_stale(&mut self) {
        if !self.policy.early_abort {
            return;
        }
        let running: Vec<_> = self.attempts.keys().collect();
        for key in running {
            self.abort_if_stale(key, Self::requeue);
        }
        let samples = self.samples.iter();
        let stale = samples.filter(|(_, sample_state)| self.is_stale(sample_state));
        let stale: Vec<_> = stale.map(|(key, _)| key).collect();
        for key in stale {
            self.expire_finished(key);
        }
    }

    fn is_stale(&self, sample_state: &SampleState) -> bool {
        let spec = &self.lots[&sample_state.lot].spec;
        let finished = sample_state.finished.as_ref();
        let oldest = finished.and_then(|f| crate::provenance::oldest_version(&f.sample.spans));
        oldest.is_some_and(|o| !staleness::is_fresh(o, spec.version, spec.bound))
    }

    /// Discards a finished sample that is too old, and queues it again.
    pub(super) fn expire_finished(&mut self, key: SampleKey) {
        self.stats.stale_samples += 1;
        self.discard_finished(key);
        self.requeue(key, None);
    }

    /// Queues a sample again as the retry budget allows.
    pub(super) fn retry(&mut self, key: SampleKey, kept: Option<Progress>) {
        if !self.save_progress(key, kept) {
            return;
        }
        let sample_state = &mut self.samples[key];
        if !mem::replace(&mut sample_state.awaiting_retry, true) {
            self.retry_queue.push_back(key);
        }
        self.release_retries();
    }

    /// Queues a sample again at no cost to the retry budget.
    pub(super) fn requeue(&mut self, key: SampleKey, kept: Option<Progress>) {
        if self.save_progress(key, kept) {
            self.enqueue(key);
        }
    }

    /// Keeps the longer of the saved and the given output. Returns whether the sample needs a new
    /// attempt.
    fn save_progress(&mut self, key: SampleKey, kept: Option<Progress>) -> bool {
        let sample_state = &mut self.samples[key];
        let known = sample_state
            .saved_progress
            .as_ref()
            .map_or(0, |p| p.record.tokens());
        if let Some(kept) = kept.filter(|k| k.record.tokens() > known) {
            sample_state.saved_progress = Some(kept);
        }
        sample_state.needs_work() && sample_state.attempts.is_empty()
    }

    pub(super) fn add_retry_credit(&mut self, credit: u64) {
        let max_credit = u64::from(self.limits.retry_burst).max(1) * RETRY_CREDIT;
        self.retry_credit = self.retry_credit.saturating_add(credit).min(max_credit);
    }

    /// Moves samples from the retry queue to the queues of their lots as the retry budget allows.
    pub(super) fn release_retries(&mut self) {
        while self.retry_credit >= RETRY_CREDIT {
            let Some(key) = self.retry_queue.pop_front() else {
                return;
            };
            let sample_state = &mut self.samples[key];
            sample_state.awaiting_retry = false;
            let needs_attempt = sample_state.needs_work()
                && sample_state.attempts.is_empty()
                && sample_state.queue_key.is_none();
            if needs_attempt {
                self.retry_credit -= RETRY_CREDIT;
                self.enqueue(key);
            }
        }
    }

    pub(super) fn enqueue(&mut self, key: SampleKey) {
        self.unqueue(key);
        let sample_state = &mut self.samples[key];
        let lot = self.lots.get_mut(&sample_state.lot);
        let lot = lot.expect("samples are removed with their lot");
        let predicted = if self.policy.longest_first {
            lot.groups[&sample_state.group].predicted_tokens()
        } else {
            0
        };
        let queue_key = (Reverse(predicted), sample_state.index, key);
        sample_state.queue_key = Some(queue_key);
        lot.queue.insert(queue_key);
    }

    pub(super) fn unqueue(&mut self, key: SampleKey) {
        let sample_state = &mut self.samples[key];
        if let Some(queue_key) = sample_state.queue_key.take()
            && let Some(lot) = self.lots.get_mut(&sample_state.lot)
        {
            lot.queue.remove(&queue_key);
        }
    }

    /// Updates the predicted length of a group by a finished sample, and the queue order of the rest.
    pub(super) fn update_prediction(&mut self, key: SampleKey, tokens: u32) {
        let sample_state = &self.samples[key];
        let Some(lot) = self.lots.get_mut(&sample_state.lot) else {
            return;
        };
        let Some(group_state) = lot.groups.get_mut(&sample_state.group) else {
            return;
        };
        group_state.finished_samples += 1;
        group_state.finished_tokens += u64::from(tokens);
        let first = group_state.group.first;
        let range = first..first.saturating_add(group_state.group.samples);
        let keys: Vec<_> = lot.samples.range(range).map(|(_, key)| *key).collect();
        for key in keys {
            if self.samples[key].queue_key.is_some() {
                self.enqueue(key);
            }
        }
    }
}

fn sampling_seed(lot: hash::Digest, index: u32) -> u64 {
    hash::rendezvous(u64::from(index), &lot.to_string())
}
