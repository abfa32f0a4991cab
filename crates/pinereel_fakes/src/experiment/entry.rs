//! One entry of a run: its runner and its view of the endpoints, driven as the daemon does.

use super::{
    job::{Job, Life, Origin},
    policy::{Ahead, Policy},
    scenario::Scenario,
    world::World,
};
use compact_str::{CompactString, format_compact};
use pinereel::engines;
use pinereel_api::engine::{self, Request};
use pinereel_core::{
    Time, Version, cursor,
    endpoint::{self, AttemptEnd, Key, LoadReport, Set, State},
    lot::{self, Action, AttemptKey, Event, Failure, Limits, Offer, Runner, Start},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Pause between load reports of one engine.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// The same for an engine that serves older weights than the newest.
const EAGER_PAUSE: Duration = Duration::from_millis(25);
/// Pause between ticks of the runner.
const TICK: Duration = Duration::from_millis(100);
/// Pause between lists of the weights, and of the instances, at the object API.
pub(super) const LIST_PAUSE: Duration = Duration::from_millis(500);
/// Tokens of one chunk of bulk work.
const CHUNK_TOKENS: u32 = 32;

/// An attempt at an engine.
pub(super) struct Sent {
    engine: usize,
    key: Key,
    id: CompactString,
    tokens: u32,
    started: Time,
    sample: (CompactString, u32),
}

/// A question of a front that waits for samples.
pub(super) struct Waiting {
    pub(super) collect: u64,
    pub(super) ask: lot::CollectRequest,
}

/// One entry.
pub(super) struct Entry {
    pub(super) name: CompactString,
    pub(super) zone: usize,
    pub(super) life: Life,
    pub(super) up: bool,
    pub(super) runner: Runner,
    pub(super) set: Set,
    pub(super) known: Version,
    pub(super) waits: BTreeMap<u64, Waiting>,
    /// Lots submitted here.
    pub(super) fronts: BTreeMap<CompactString, (usize, u64)>,
    /// Live requests that found no room.
    pub(super) waiting: VecDeque<u64>,
    sent: BTreeMap<AttemptKey, Sent>,
    requests: u64,
}

impl Entry {
    pub(super) fn new(index: usize, number: u32, zones: usize, policy: &Policy) -> Self {
        Self {
            name: format_compact!("entry-{index}"),
            zone: index % zones,
            life: Life {
                entry: index,
                number,
            },
            up: true,
            runner: Runner::new(policy.lot, limits(policy)),
            set: Set::default(),
            known: Version(0),
            waits: BTreeMap::new(),
            fronts: BTreeMap::new(),
            waiting: VecDeque::new(),
            sent: BTreeMap::new(),
            requests: 0,
        }
    }

    /// A new id of a request.
    pub(super) fn request_id(&mut self) -> CompactString {
        self.requests += 1;
        let Life { entry, number } = self.life;
        format_compact!("{entry}.{number}.{}", self.requests)
    }
}

impl World {
    /// Whether this life of an entry goes on.
    pub(super) fn lives(&self, life: Life) -> bool {
        let entry = &self.entries[life.entry];
        entry.up && entry.life == life
    }

    /// Starts an entry's regular work.
    pub(super) fn start_entry(&mut self, index: usize) {
        let life = self.entries[index].life;
        for engine in 0..self.engines.len() {
            let instance = self.instance(engine);
            let event = endpoint::Event::Listed(instance);
            self.entries[index].set.step(self.now, event);
            // Spread, so that entries don't read an engine all at once.
            let spread = REPORT_PAUSE * ((index * 7 + engine * 3) % 64) as u32 / 64;
            self.queue.send(self.now, spread, Job::Poll(life, engine));
        }
        let spread = TICK * index as u32 / self.entries.len() as u32;
        self.queue.send(self.now, spread, Job::Tick(life));
        let spread = LIST_PAUSE * index as u32 / self.entries.len() as u32;
        self.queue.send(self.now, spread, Job::List(life));
    }

    fn instance(&self, engine: usize) -> endpoint::Listing {
        let Scenario {
            model,
            zones,
            entry_slots,
            ..
        } = &self.scenario;
        let engine = &self.engines[engine];
        endpoint::Listing {
            name: engine.name.clone(),
            incarnation: engine.incarnation,
            address: engine.name.clone(),
            zone: zones[engine.zone].clone(),
            pool: model.clone(),
            slots: *entry_slots,
            leaving: false,
        }
    }

    pub(super) fn tick(&mut self, life: Life) {
        if self.lives(life) {
            self.step(life, Event::Tick);
            self.queue.send(self.now, TICK, Job::Tick(life));
            self.queue.send(self.now, Duration::ZERO, Job::Room(life));
        }
    }

    /// Reads one engine's state.
    pub(super) fn poll(&mut self, life: Life, index: usize) {
        if !self.lives(life) {
            return;
        }
        let engine = &self.engines[index];
        let trip = 2 * self.between(self.entries[life.entry].zone, engine.zone);
        if engine.up {
            let report = engine.report(self.now, self.lag);
            let job = Job::Report(life, index, engine.incarnation, report);
            self.queue.send(self.now, trip, job);
        } else {
            self.offer(life, index);
        }
        let pause = self.report_pause(life, index) + trip;
        self.queue.send(self.now, pause, Job::Poll(life, index));
    }

    /// An engine on old weights is about to get new ones: it is read more often.
    fn report_pause(&self, life: Life, index: usize) -> Duration {
        let entry = &self.entries[life.entry];
        let found = entry.set.find(&self.engines[index].name);
        let old = found.is_some_and(|(_, e)| e.version.is_some_and(|v| v < entry.known));
        if self.policy.eager && old {
            EAGER_PAUSE
        } else {
            REPORT_PAUSE
        }
    }

    pub(super) fn report(
        &mut self,
        life: Life,
        index: usize,
        incarnation: u64,
        report: LoadReport,
    ) {
        if !self.lives(life) {
            return;
        }
        let name = self.engines[index].name.clone();
        let set = &mut self.entries[life.entry].set;
        if let Some((key, _)) = set.find(&name) {
            let event = endpoint::Event::Reported {
                incarnation,
                key,
                report,
            };
            set.step(self.now, event);
        }
        self.offer(life, index);
    }

    /// Tells the runner what an engine has to offer.
    fn offer(&mut self, life: Life, index: usize) {
        let set = &self.entries[life.entry].set;
        let Some((_, endpoint)) = set.find(&self.engines[index].name) else {
            return;
        };
        let Some(version) = endpoint.version else {
            return;
        };
        let live = endpoint.state == State::Live;
        let offer = Offer {
            endpoint: endpoint.name.clone(),
            model: self.scenario.model.clone(),
            version,
            slots: if live { endpoint.limit() } else { 0 },
        };
        self.step(life, Event::Offer(offer));
    }

    /// Tells a runner an event and carries out what it wants.
    pub(super) fn step(&mut self, life: Life, event: Event) {
        let actions = self.entries[life.entry].runner.step(self.now, event);
        for action in actions {
            self.act(life, action);
        }
    }

    fn act(&mut self, life: Life, action: Action) {
        match action {
            Action::Start(start) => self.start(life, start),
            Action::Cancel { attempt, .. } => self.cancel_attempt(life, attempt),
            Action::Answer {
                call,
                samples,
                missing,
            } => self.answer(life, call, samples, missing),
            Action::Rejected { error, .. } => {
                // A trainer's own token is never of another lot, nor behind.
                debug_assert!(error != cursor::Error::Malformed);
            }
            Action::Ready { lot } => self.ready(life, &lot),
            Action::Refused { .. }
            | Action::Assigned { .. }
            | Action::Dropped { .. }
            | Action::Score { .. }
            | Action::Handover { .. } => {}
        }
    }

    fn start(&mut self, life: Life, start: Start) {
        let now = self.now;
        let entry = &mut self.entries[life.entry];
        let origin = Origin::Attempt(life, start.attempt);
        let Some((key, endpoint)) = entry.set.find(&start.endpoint) else {
            let job = Job::Broken(origin, AttemptEnd::Cancelled, Failure::NotRun);
            self.queue.send(now, Duration::ZERO, job);
            return;
        };
        let version = endpoint.version.unwrap_or_default();
        let id = entry.request_id();
        let tokens = start.max_tokens;
        let event = endpoint::Event::Started { key, tokens };
        entry.set.step(now, event);
        let engines = &self.engines;
        let engine = engines.iter().position(|e| e.name == start.endpoint);
        let engine = engine.expect("only engines are offered");
        let sent = Sent {
            engine,
            key,
            id: id.clone(),
            tokens,
            started: now,
            sample: (start.lot, start.index),
        };
        entry.sent.insert(start.attempt, sent);
        let request = Request {
            model: self.scenario.model.clone(),
            prompt: start.prompt,
            max_tokens: start.max_tokens,
            stream: true,
            seed: start.seed,
            priority: start.class.number(),
            request_id: id,
            chunk_tokens: CHUNK_TOKENS,
            cache_salt: format_compact!("{version}"),
            resume: start.resume,
            resume_tokens: start.resume_tokens,
        };
        let after = self.to_origin(engine, origin);
        self.queue
            .send(now, after, Job::Request(engine, origin, request));
    }

    fn cancel_attempt(&mut self, life: Life, attempt: AttemptKey) {
        let Some(sent) = self.end(life, attempt, AttemptEnd::Cancelled) else {
            return;
        };
        let after = self.to_origin(sent.engine, Origin::Attempt(life, attempt));
        let job = Job::Cancel(sent.engine, sent.id);
        self.queue.send(self.now, after, job);
    }

    /// Takes an attempt off the books of its endpoint.
    fn end(&mut self, life: Life, attempt: AttemptKey, end: AttemptEnd) -> Option<Sent> {
        let entry = &mut self.entries[life.entry];
        let sent = entry.sent.remove(&attempt)?;
        let event = endpoint::Event::Finished {
            key: sent.key,
            tokens: sent.tokens,
            took: self.now.since(sent.started),
            end,
        };
        entry.set.step(self.now, event);
        if !entry.waiting.is_empty() {
            self.queue.send(self.now, Duration::ZERO, Job::Room(life));
        }
        Some(sent)
    }

    /// A chunk of an attempt arrives.
    pub(super) fn attempt_chunk(&mut self, life: Life, attempt: AttemptKey, chunk: engine::Chunk) {
        if !self.lives(life) {
            return;
        }
        if let Some(sent) = self.entries[life.entry].sent.get(&attempt) {
            let made = chunk.offset + chunk.tokens;
            self.tally.made(sent.sample.clone(), made);
        }
        if chunk.finish.is_some() {
            self.end(life, attempt, AttemptEnd::Completed);
        }
        self.step(life, Event::Chunk(engines::lot_chunk(attempt, chunk)));
    }

    /// An attempt broke off.
    pub(super) fn attempt_broken(
        &mut self,
        life: Life,
        attempt: AttemptKey,
        end: AttemptEnd,
        failure: Failure,
    ) {
        if self.lives(life) {
            self.end(life, attempt, end);
            self.step(life, Event::Failed { attempt, failure });
        }
    }

    /// A published version becomes known.
    pub(super) fn known(&mut self, life: Life, version: Version) {
        if !self.lives(life) || version <= self.entries[life.entry].known {
            return;
        }
        self.entries[life.entry].known = version;
        let model = self.scenario.model.clone();
        self.step(life, Event::Published { model, version });
        self.target(life, version);
    }
}

fn limits(policy: &Policy) -> Limits {
    let max_steps_ahead = match policy.ahead {
        Ahead::Collect(steps) => steps,
        Ahead::None | Ahead::Train => 1,
    };
    Limits {
        max_steps_ahead,
        ..Limits::default()
    }
}
