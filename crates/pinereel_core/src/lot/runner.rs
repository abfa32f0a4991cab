//! The state machine of one runner: what it holds, and which event goes where.

use super::{
    Action, Event, Failure, Finish, Limits, Lot, Offer, Policy, Sample,
    state::{Attempt, AttemptKey, Endpoint, Entry, Finished, Progress, SampleKey},
};
use crate::{Time, Version, fair::Scheduler, provenance, staleness, staleness::Pace};
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    mem,
};

/// What a runner has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts started.
    pub started: u64,
    /// Of these, attempts that went on from earlier chunks.
    pub resumed: u64,
    /// Of these, second attempts of a running sample.
    pub duplicated: u64,
    /// Samples finished.
    pub finished: u64,
    /// Chunks and failures of attempts that are not running, dropped.
    pub late: u64,
    /// Attempts void for their stamps or offsets.
    pub void: u64,
    /// Attempts lost.
    pub lost: u64,
    /// Running attempts moved away from a slow endpoint.
    pub moved: u64,
    /// Running attempts aborted as too old.
    pub aborted: u64,
    /// Finished samples void as too old.
    pub stale: u64,
}

/// All lots that one entry runs. See the module's head.
#[derive(Debug)]
pub struct Runner {
    pub(super) policy: Policy,
    pub(super) limits: Limits,
    pub(super) lots: BTreeMap<CompactString, Lot>,
    pub(super) samples: SlotMap<SampleKey, Entry>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) endpoints: BTreeMap<CompactString, Endpoint>,
    pub(super) paces: BTreeMap<CompactString, Pace>,
    pub(super) share: Scheduler,
    /// Samples that wait for the retry budget.
    pub(super) parked: VecDeque<SampleKey>,
    /// Retries left, in hundredths.
    pub(super) credit: u64,
    pub(super) ticked: Time,
    /// Scorings under way; with a time: to be tried again then.
    pub(super) scorings: BTreeMap<u64, (SampleKey, Option<Time>)>,
    pub(super) next_ticket: u64,
    pub(super) next_order: u64,
    /// Smoothed time per output token, in microseconds.
    pub(super) token_time: u64,
    pub(super) draining: bool,
    pub(super) stats: Stats,
    pub(super) actions: Vec<Action>,
}

/// A retry, in the units of the budget.
pub(super) const RETRY: u64 = 100;

impl Runner {
    /// An empty runner.
    pub fn new(policy: Policy, limits: Limits) -> Self {
        Self {
            policy,
            limits,
            lots: BTreeMap::new(),
            samples: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            endpoints: BTreeMap::new(),
            paces: BTreeMap::new(),
            share: Scheduler::default(),
            parked: VecDeque::new(),
            credit: u64::from(limits.retry_burst) * RETRY,
            ticked: Time::ZERO,
            scorings: BTreeMap::new(),
            next_ticket: 0,
            next_order: 0,
            token_time: 0,
            draining: false,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Takes an event and gives what is to be done, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let quiet = matches!(&event, Event::Chunk(chunk) if chunk.finish.is_none());
        let running = self.attempts.len();
        match event {
            Event::Assign(spec) => self.assign(now, spec),
            Event::Offer(offer) => self.offer(offer),
            Event::Chunk(chunk) => self.chunk(now, chunk),
            Event::Failed { attempt, failure } => self.failed(now, attempt, failure),
            Event::Gone { endpoint } => self.gone(now, &endpoint),
            Event::Published { model, version } => self.published(now, &model, version),
            Event::Bound { trainer, bound } => self.bound(&trainer, bound),
            Event::Collect(ask) => self.collect(now, ask),
            Event::Scored { ticket, score } => self.scored(ticket, score),
            Event::ScoreFailed { ticket } => self.score_failed(now, ticket),
            Event::Handover { spec, samples } => self.handover(now, spec, samples),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(now),
        }
        // A chunk that ends nothing frees no slot: the common case stays cheap.
        if (!quiet || self.attempts.len() != running) && self.has_work() {
            self.dispatch(now);
        }
        mem::take(&mut self.actions)
    }

    /// The lots held.
    pub fn lots(&self) -> impl Iterator<Item = &Lot> {
        self.lots.values()
    }

    /// What was done so far.
    pub const fn stats(&self) -> Stats {
        self.stats
    }

    /// Attempts and scorings under way; a draining runner may stop at 0.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.scorings.len()
    }

    /// Whether a sample waits or runs. If not, looking at each endpoint would be in vain.
    fn has_work(&self) -> bool {
        let waits = || self.lots.values().any(|lot| !lot.queue.is_empty());
        !self.attempts.is_empty() || waits()
    }

    fn offer(&mut self, offer: Offer) {
        let known = self.endpoints.get(&offer.endpoint);
        let (running, speed) = known.map_or_else(Default::default, |e| (e.running, e.speed));
        if offer.slots == 0 && running == 0 {
            self.endpoints.remove(&offer.endpoint);
            return;
        }
        let key = offer.endpoint.clone();
        let endpoint = Endpoint {
            offer,
            running,
            speed,
        };
        self.endpoints.insert(key, endpoint);
    }

    fn chunk(&mut self, now: Time, chunk: super::Chunk) {
        let Some(attempt) = self.attempts.get_mut(chunk.attempt) else {
            self.stats.late += 1;
            return;
        };
        let pushed = if chunk.stamp.tokens == 0 && !chunk.text.is_empty() {
            Err(provenance::Error::Contradictory)
        } else {
            attempt.progress.record.push(&chunk.stamp)
        };
        if let Err(error) = pushed {
            self.void(chunk.attempt, error);
            return;
        }
        attempt.progress.text.push_str(&chunk.text);
        // The engine's own stamp is newer than the last report.
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            let served = &mut endpoint.offer.version;
            *served = chunk.stamp.version.unwrap_or_default().max(*served);
            // The time to the first chunk may be a wait for a slot.
            if let Some(heard) = attempt.heard.filter(|_| chunk.stamp.tokens > 0) {
                let took = now.since(heard);
                endpoint.speed.note(now, took, chunk.stamp.tokens);
            }
        }
        attempt.heard = Some(now);
        let reused = chunk.stamp.reused.iter().map(|span| span.version).min();
        if let Some(oldest) = reused {
            self.note_reuse(now, chunk.attempt, oldest);
        }
        match chunk.finish {
            Some(Finish::Whole) => self.finish(now, chunk.attempt),
            Some(Finish::Cancelled) => self.lose(now, chunk.attempt),
            // Too old although nothing new was published since: its engine reuses old prefixes or
            // runs old weights, and may do so each time.
            None => self.abort_if_stale(chunk.attempt, Self::retry),
        }
    }

    fn note_reuse(&mut self, now: Time, key: AttemptKey, oldest: Version) {
        let attempt = &self.attempts[key];
        let entry = &self.samples[attempt.sample];
        let lot = self.lots.get_mut(&entry.lot);
        if let Some(mates) = lot.and_then(|lot| lot.groups.get_mut(&entry.group)) {
            mates.reused(&attempt.endpoint, oldest, now);
        }
    }

    /// The stamps are broken. A gap leaves what came before it; else nothing can be trusted.
    fn void(&mut self, key: AttemptKey, error: provenance::Error) {
        self.stats.void += 1;
        self.cancel(key);
        let Some(attempt) = self.end(key) else { return };
        let kept = error.keeps_prefix().then_some(attempt.progress);
        if kept.is_none() {
            self.samples[attempt.sample].partial = None;
        }
        self.retry(attempt.sample, kept);
    }

    fn failed(&mut self, now: Time, key: AttemptKey, failure: Failure) {
        let Some(attempt) = self.attempts.get(key) else {
            self.stats.late += 1;
            return;
        };
        if failure == Failure::NotRun
            && let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint)
        {
            endpoint.offer.slots = 0;
        }
        self.lose(now, key);
    }

    fn gone(&mut self, now: Time, endpoint: &str) {
        let all = self.attempts.iter();
        let lost = all.filter(|(_, attempt)| attempt.endpoint == endpoint);
        let lost: Vec<_> = lost.map(|(key, _)| key).collect();
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.offer.slots = 0;
        }
        for key in lost {
            self.lose(now, key);
        }
        self.endpoints.remove(endpoint);
    }

    /// An attempt broke off. Its whole chunks stay, and may already be all of the sample.
    fn lose(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let entry = &self.samples[attempt.sample];
        let group = &self.lots[&entry.lot].groups[&entry.group].group;
        if attempt.progress.record.tokens() >= group.max_tokens.max(1) {
            self.finish(now, key);
            return;
        }
        self.stats.lost += 1;
        let Some(attempt) = self.end(key) else { return };
        self.retry(attempt.sample, Some(attempt.progress));
    }

    /// Takes an attempt off the books.
    pub(super) fn end(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.running -= 1;
            if endpoint.running == 0 && endpoint.offer.slots == 0 {
                self.endpoints.remove(&attempt.endpoint);
            }
        }
        let entry = self.samples.get_mut(attempt.sample);
        let entry = entry.expect("a sample's attempts end before it is removed");
        entry.attempts.retain(|other| *other != key);
        Some(attempt)
    }

    pub(super) fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(key) {
            let endpoint = attempt.endpoint.clone();
            self.actions.push(Action::Cancel {
                attempt: key,
                endpoint,
            });
        }
    }

    /// Cancels and ends all attempts of a sample.
    pub(super) fn cancel_all(&mut self, sample: SampleKey) {
        for key in self.samples[sample].attempts.clone() {
            self.cancel(key);
            self.end(key);
        }
    }

    fn finish(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.end(key) else { return };
        let Progress { text, record } = attempt.progress;
        let Some(oldest) = record.oldest() else {
            // Without a single stamp nobody knows what made it.
            self.stats.void += 1;
            self.retry(attempt.sample, None);
            return;
        };
        let made = u64::from(record.tokens() - attempt.base).max(1);
        let micros = now.since(attempt.started).as_micros();
        let each = u64::try_from(micros).unwrap_or(u64::MAX) / made;
        self.token_time = (self.token_time * 7 + each) / 8;
        let entry = &self.samples[attempt.sample];
        let spec = &self.lots[&entry.lot].spec;
        if self.policy.early_abort && !staleness::fits(oldest, spec.version, spec.bound) {
            self.stats.stale += 1;
            self.retry(attempt.sample, None);
            return;
        }
        let sample = Sample {
            group: entry.group,
            index: entry.index,
            text,
            tokens: record.tokens(),
            spans: record.spans(),
            score: None,
        };
        self.stats.finished += 1;
        self.learn(attempt.sample, sample.tokens);
        self.keep(attempt.sample, sample);
    }

    /// Keeps a finished sample; the first one wins and ends all other work on it.
    pub(super) fn keep(&mut self, key: SampleKey, sample: Sample) {
        self.cancel_all(key);
        self.unqueue(key);
        let scored = self.lots[&self.samples[key].lot].spec.scored;
        let ticket = (scored && sample.score.is_none()).then(|| self.score(key, &sample));
        let entry = &mut self.samples[key];
        entry.partial = None;
        entry.finished = Some(Finished { sample, ticket });
        if ticket.is_none() {
            self.ready(key);
        }
    }

    /// Only a forecast: which version a trainer is at, it says itself with each collect. Other
    /// trainers of the model may well be behind.
    pub(super) fn published(&mut self, now: Time, model: &str, version: Version) {
        let pace = self.paces.get_mut(model);
        let newer = pace.map(|pace| pace.publish(version, now));
        if newer.is_none() {
            self.paces.insert(model.into(), Pace::new(version, now));
        }
    }

    fn bound(&mut self, trainer: &str, bound: u64) {
        for lot in self.lots.values_mut() {
            if lot.spec.trainer == trainer {
                lot.spec.bound = bound;
            }
        }
        self.abort_stale();
    }

    fn tick(&mut self, now: Time) {
        let passed = now.since(self.ticked).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        let rate = u64::from(self.limits.retries_per_second) * RETRY;
        self.ticked = now;
        self.earn(passed.saturating_mul(rate) / 1_000);
        self.unpark();
        self.move_slow(now);
        self.rescore(now);
        self.drop_idle(now);
    }
}
