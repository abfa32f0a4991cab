//! Which sample starts where, and what is aborted, queued again or duplicated.

use super::{
    Action, Runner, Start,
    runner::RETRY,
    state::{Attempt, AttemptKey, Entry, Progress, SampleKey},
};
use crate::{Time, fair::Class, hash, staleness};
use compact_str::CompactString;
use std::{cmp::Reverse, collections::BTreeSet, mem, time::Duration};

/// Most waiting samples of a lot that are looked at for one slot.
const MAX_LOOKS: usize = 64;

/// Endpoints of known speed that it takes to call one slow.
const FEWEST_SPEEDS: usize = 3;

/// Time of a token, against the median endpoint's, beyond which an endpoint is slow; in tenths.
const SLOW_TENTHS: u64 = 30;

impl Runner {
    /// Fills free slots, least loaded endpoint first.
    pub(super) fn dispatch(&mut self, now: Time) {
        if self.draining {
            return;
        }
        // A start changes no speed.
        let slow = self.slow(now);
        let mut useless = BTreeSet::new();
        while let Some((sample, endpoint)) = self.next_start(now, &slow, &mut useless) {
            self.start(now, sample, &endpoint);
        }
    }

    /// What starts next, and where. Endpoints that nothing can start on become `useless`; each is
    /// looked at once, since that does not change while slots only fill.
    fn next_start(
        &self,
        now: Time,
        slow: &BTreeSet<CompactString>,
        useless: &mut BTreeSet<CompactString>,
    ) -> Option<(SampleKey, CompactString)> {
        for endpoint in self.free(slow, useless) {
            let queued = self.choose(now, &endpoint);
            let sample = queued.or_else(|| self.straggler(now, &endpoint));
            if let Some(sample) = sample {
                return Some((sample, endpoint));
            }
            useless.insert(endpoint);
        }
        None
    }

    /// Endpoints with free slots that are not `useless`, the one to fill first in front.
    fn free(
        &self,
        slow: &BTreeSet<CompactString>,
        useless: &BTreeSet<CompactString>,
    ) -> Vec<CompactString> {
        let all = self.endpoints.iter();
        let free = all.filter(|(key, e)| e.running < e.offer.slots && !useless.contains(*key));
        // Runners that all prefer the same endpoint among equals would fill it together.
        let turn = self.stats.started;
        let mut free: Vec<_> = free.collect();
        free.sort_by_cached_key(|(key, e)| {
            let tie = if self.policy.spread {
                hash::score(turn, key)
            } else {
                0
            };
            let slow = slow.contains(*key);
            (slow, e.running, Reverse(e.offer.version), tie)
        });
        free.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Endpoints that are much slower than most, by the attempts of this runner. Live requests
    /// should avoid them too: they look idle.
    pub fn slow(&self, now: Time) -> BTreeSet<CompactString> {
        let mut slow = BTreeSet::new();
        if !self.policy.avoid_slow {
            return slow;
        }
        let all = self.endpoints.iter();
        let known = all.filter_map(|(key, e)| Some((e.speed.known(now)?, key)));
        let mut known: Vec<_> = known.collect();
        known.sort_unstable();
        if known.len() < FEWEST_SPEEDS {
            return slow;
        }
        let limit = known[known.len() / 2].0 * SLOW_TENTHS / 10;
        let beyond = known.iter().filter(|(token, _)| *token > limit);
        slow.extend(beyond.map(|(_, key)| (*key).clone()));
        slow
    }

    /// Moves attempts away from slow endpoints; what they made goes along.
    pub(super) fn move_slow(&mut self, now: Time) {
        let slow = self.slow(now);
        if slow.is_empty() || !self.policy.resume {
            return;
        }
        let all = self.attempts.iter();
        let there = all.filter(|(_, a)| slow.contains(&a.endpoint) && a.heard.is_some());
        let there: Vec<_> = there.map(|(key, _)| key).collect();
        for key in there {
            self.cancel(key);
            if let Some(attempt) = self.end(key) {
                self.stats.moved += 1;
                self.again(attempt.sample, Some(attempt.progress));
            }
        }
    }

    /// The waiting sample that goes next on `endpoint`.
    fn choose(&self, now: Time, endpoint: &str) -> Option<SampleKey> {
        let model = &self.endpoints[endpoint].offer.model;
        let mut lots: Vec<_> = self.lots.values().collect();
        lots.retain(|lot| lot.spec.model == *model && !lot.queue.is_empty());
        lots.sort_by_key(|lot| (lot.spec.step, lot.order));
        if !self.policy.fair {
            lots.sort_by_key(|lot| lot.order);
        }
        let running = self.endpoints[endpoint].running;
        if running >= self.policy.ahead_slots {
            lots.retain(|lot| lot.wanted);
        }
        if self.policy.wanted_first {
            lots.sort_by_key(|lot| !lot.wanted);
        }
        while !lots.is_empty() {
            let mut flows = lots.iter().map(|lot| lot.spec.trainer.as_str());
            let flow = if self.policy.fair {
                self.share.next_flow(flows)?
            } else {
                flows.next()?
            };
            let mut own = lots.iter().filter(|lot| lot.spec.trainer == flow);
            let found = own.find_map(|lot| {
                let mut looks = lot.queue.iter().take(MAX_LOOKS);
                looks.find(|rank| self.startable(now, rank.2, endpoint))
            });
            if let Some((_, _, sample)) = found {
                return Some(*sample);
            }
            lots.retain(|lot| lot.spec.trainer != flow);
        }
        None
    }

    /// Whether the endpoint's version is likely to be fresh enough when the sample is done.
    fn startable(&self, now: Time, sample: SampleKey, endpoint: &str) -> bool {
        if !self.policy.staleness_aware_start {
            return true;
        }
        let offer = &self.endpoints[endpoint].offer;
        let entry = &self.samples[sample];
        let lot = &self.lots[&entry.lot];
        // Whoever waits takes all that its bound allows: nothing fresher may ever be served.
        let bound = if lot.wanted {
            lot.spec.bound
        } else {
            lot.spec.bound.min(self.policy.start_bound)
        };
        if !staleness::fits(offer.version, lot.spec.version, bound) {
            return false;
        }
        let mates = &lot.groups[&entry.group];
        let cached = mates.cached_on(endpoint, now);
        if cached.is_some_and(|v| !staleness::fits(v, lot.spec.version, lot.spec.bound)) {
            return false;
        }
        let tokens = u64::from(mates.predicted());
        let done = now + Duration::from_micros(self.token_time.saturating_mul(tokens));
        let pace = self.paces.get(&lot.spec.model);
        if pace.is_none_or(|pace| pace.lasts(offer.version, done, bound)) {
            return true;
        }
        // Nothing newer is served, so waiting would not help.
        let all = self.endpoints.values().map(|e| &e.offer);
        let mut usable = all.filter(|o| o.model == offer.model && o.slots > 0);
        usable.all(|other| other.version <= offer.version)
    }

    /// A running sample worth a second attempt on an idle slot: the one started first.
    fn straggler(&self, now: Time, endpoint: &str) -> Option<SampleKey> {
        if !self.policy.duplicates {
            return None;
        }
        let model = &self.endpoints[endpoint].offer.model;
        let lots = self.lots.values();
        let mut same = lots.filter(|lot| lot.spec.model == *model);
        if same.any(|lot| !lot.queue.is_empty()) {
            return None;
        }
        let due = self.attempts.values().filter(|attempt| {
            let entry = &self.samples[attempt.sample];
            let old = now.since(attempt.started) >= self.policy.duplicate_after;
            let alone = entry.attempts.len() == 1 && attempt.endpoint != endpoint;
            let fits = self.lots[&entry.lot].spec.model == *model;
            old && alone && fits && self.startable(now, attempt.sample, endpoint)
        });
        let first = due.min_by_key(|attempt| (attempt.started, attempt.sample));
        first.map(|attempt| attempt.sample)
    }

    fn start(&mut self, now: Time, sample: SampleKey, endpoint: &str) {
        let twin = !self.samples[sample].attempts.is_empty();
        let progress = self.resumable(sample, endpoint).unwrap_or_default();
        let base = progress.record.tokens();
        self.unqueue(sample);
        self.count(&progress, twin);
        let resume = progress.text.clone();
        let attempt = self.attempts.insert(Attempt {
            sample,
            endpoint: endpoint.into(),
            started: now,
            heard: None,
            base,
            progress,
        });
        let target = self.endpoints.get_mut(endpoint);
        target.expect("the endpoint was just chosen").running += 1;
        let entry = &mut self.samples[sample];
        let again = twin || entry.tried;
        entry.attempts.push(attempt);
        entry.tried = true;
        let lot = &self.lots[&entry.lot];
        let late = now >= lot.spec.deadline;
        let mates = &lot.groups[&entry.group];
        let cost = u64::from(mates.predicted().saturating_sub(base));
        self.share.charge(&lot.spec.trainer, lot.spec.weight, cost);
        self.actions.push(Action::Start(Start {
            attempt,
            endpoint: endpoint.into(),
            lot: entry.lot.clone(),
            index: entry.index,
            prompt: mates.group.prompt.clone(),
            max_tokens: mates.group.max_tokens,
            seed: seed(lot.spec.digest, entry.index),
            resume,
            resume_tokens: base,
            class: if again || late || self.policy.wanted_first && lot.wanted {
                Class::Straggler
            } else {
                Class::Bulk
            },
        }));
        if !again {
            self.earn(u64::from(self.limits.retry_percent));
        }
    }

    const fn count(&mut self, progress: &Progress, twin: bool) {
        self.stats.started += 1;
        self.stats.resumed += (progress.record.tokens() > 0) as u64;
        self.stats.duplicated += twin as u64;
    }

    /// What an attempt on `endpoint` may go on from: versions must still fit and not go back.
    fn resumable(&mut self, sample: SampleKey, endpoint: &str) -> Option<Progress> {
        let entry = &mut self.samples[sample];
        let lost = entry.partial.take();
        let twin = entry
            .attempts
            .first()
            .map(|key| &self.attempts[*key].progress);
        let from = lost.or_else(|| twin.cloned())?;
        let spec = &self.lots[&entry.lot].spec;
        let fits = staleness::fits(from.record.oldest()?, spec.version, spec.bound);
        let onward = from.record.last()? <= self.endpoints[endpoint].offer.version;
        let resumable = self.policy.resume && fits && onward;
        resumable.then(|| Progress {
            record: from.record.resume(),
            text: from.text,
        })
    }

    /// Aborts a running attempt whose spans do not fit, and queues its sample again by `queue`.
    pub(super) fn abort_if_stale(
        &mut self,
        key: AttemptKey,
        queue: impl Fn(&mut Self, SampleKey, Option<Progress>),
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let sample = attempt.sample;
        let oldest = attempt.progress.record.oldest();
        let spec = &self.lots[&self.samples[sample].lot].spec;
        let fits = oldest.is_none_or(|o| staleness::fits(o, spec.version, spec.bound));
        if fits || !self.policy.early_abort {
            return;
        }
        self.stats.aborted += 1;
        self.cancel(key);
        self.end(key);
        queue(self, sample, None);
    }

    /// After a newer version or a tighter bound: aborts, and voids what waits for a collect.
    pub(super) fn abort_stale(&mut self) {
        if !self.policy.early_abort {
            return;
        }
        let running: Vec<_> = self.attempts.keys().collect();
        for key in running {
            self.abort_if_stale(key, Self::again);
        }
        let all = self.samples.iter();
        let old = all.filter(|(_, entry)| self.is_stale(entry));
        let old: Vec<_> = old.map(|(key, _)| key).collect();
        for key in old {
            self.void_finished(key);
        }
    }

    fn is_stale(&self, entry: &Entry) -> bool {
        let spec = &self.lots[&entry.lot].spec;
        let finished = entry.finished.as_ref();
        let oldest = finished.and_then(|f| crate::provenance::oldest(&f.sample.spans));
        oldest.is_some_and(|o| !staleness::fits(o, spec.version, spec.bound))
    }

    /// Drops a finished sample that is too old, and queues it again.
    pub(super) fn void_finished(&mut self, key: SampleKey) {
        self.stats.stale += 1;
        self.forget_finished(key);
        self.again(key, None);
    }

    /// Queues a sample again within the retry budget.
    pub(super) fn retry(&mut self, key: SampleKey, kept: Option<Progress>) {
        if !self.leave(key, kept) {
            return;
        }
        let entry = &mut self.samples[key];
        if !mem::replace(&mut entry.parked, true) {
            self.parked.push_back(key);
        }
        self.unpark();
    }

    /// Queues a sample again at no cost to the retry budget.
    pub(super) fn again(&mut self, key: SampleKey, kept: Option<Progress>) {
        if self.leave(key, kept) {
            self.enqueue(key);
        }
    }

    /// Keeps the longest progress; whether the sample needs a new attempt.
    fn leave(&mut self, key: SampleKey, kept: Option<Progress>) -> bool {
        let entry = &mut self.samples[key];
        let known = entry.partial.as_ref().map_or(0, |p| p.record.tokens());
        if let Some(kept) = kept.filter(|k| k.record.tokens() > known) {
            entry.partial = Some(kept);
        }
        entry.open() && entry.attempts.is_empty()
    }

    pub(super) fn earn(&mut self, credit: u64) {
        let most = u64::from(self.limits.retry_burst).max(1) * RETRY;
        self.credit = self.credit.saturating_add(credit).min(most);
    }

    /// Queues parked samples as far as the retry budget goes.
    pub(super) fn unpark(&mut self) {
        while self.credit >= RETRY {
            let Some(key) = self.parked.pop_front() else {
                return;
            };
            let entry = &mut self.samples[key];
            entry.parked = false;
            let wanted = entry.open() && entry.attempts.is_empty() && entry.rank.is_none();
            if wanted {
                self.credit -= RETRY;
                self.enqueue(key);
            }
        }
    }

    pub(super) fn enqueue(&mut self, key: SampleKey) {
        self.unqueue(key);
        let entry = &mut self.samples[key];
        let lot = self.lots.get_mut(&entry.lot);
        let lot = lot.expect("samples are removed with their lot");
        let predicted = if self.policy.long_first {
            lot.groups[&entry.group].predicted()
        } else {
            0
        };
        let rank = (Reverse(predicted), entry.index, key);
        entry.rank = Some(rank);
        lot.queue.insert(rank);
    }

    pub(super) fn unqueue(&mut self, key: SampleKey) {
        let entry = &mut self.samples[key];
        if let Some(rank) = entry.rank.take()
            && let Some(lot) = self.lots.get_mut(&entry.lot)
        {
            lot.queue.remove(&rank);
        }
    }

    /// Learns from a finished sample how long its group mates may get.
    pub(super) fn learn(&mut self, key: SampleKey, tokens: u32) {
        let entry = &self.samples[key];
        let Some(lot) = self.lots.get_mut(&entry.lot) else {
            return;
        };
        let Some(mates) = lot.groups.get_mut(&entry.group) else {
            return;
        };
        mates.finished += 1;
        mates.tokens += u64::from(tokens);
        let first = mates.group.first;
        let range = first..first.saturating_add(mates.group.samples);
        let keys: Vec<_> = lot.samples.range(range).map(|(_, key)| *key).collect();
        for key in keys {
            if self.samples[key].rank.is_some() {
                self.enqueue(key);
            }
        }
    }
}

fn seed(lot: hash::Digest, index: u32) -> u64 {
    hash::score(u64::from(index), &lot.to_string())
}
