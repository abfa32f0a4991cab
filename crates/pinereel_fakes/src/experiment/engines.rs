//! The engines of a run: the stand-in's batching model, and what goes in and out of it.

use super::{
    job::{Job, Life, Origin},
    world::World,
};
use crate::engine::batch;
use compact_str::{CompactString, format_compact};
use pinereel_api::engine::{Chunk, Request};
use pinereel_core::{
    Time, Version,
    endpoint::{AttemptEnd, LoadReport},
    lot::Failure,
    rollout::Status,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Load figures that are kept to answer with a lag.
const MAX_HISTORY: usize = 64;
/// Time between two of them.
const HISTORY_STEP: Duration = Duration::from_millis(50);

/// One engine.
pub(super) struct Engine {
    pub(super) name: CompactString,
    pub(super) zone: usize,
    pub(super) batch: batch::Engine,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    /// Who gets the chunks of an attempt.
    origins: BTreeMap<CompactString, Origin>,
    /// When the next wake-up is due.
    wake: Option<Time>,
    /// Running and waiting sequences at some times.
    history: VecDeque<(Time, u32, u32)>,
    /// Output tokens of earlier incarnations.
    tokens: u64,
}

impl Engine {
    pub(super) fn new(index: usize, zones: usize, options: batch::Options) -> Self {
        Self {
            name: format_compact!("engine-{index}"),
            zone: index % zones,
            batch: batch::Engine::new(options),
            incarnation: 1,
            up: true,
            origins: BTreeMap::new(),
            wake: None,
            history: VecDeque::new(),
            tokens: 0,
        }
    }

    /// Output tokens computed so far.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens + self.batch.generated_tokens()
    }

    /// What it says of its weights.
    pub(super) fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            version: self.batch.version(),
            loading: self.batch.loading_version(),
            failed: self.batch.swap_failure().is_some(),
        }
    }

    /// What it says of its load, which is `lag` old.
    pub(super) fn report(&self, now: Time, lag: Duration) -> LoadReport {
        let old = self.history.iter().rev();
        let old = old.copied().find(|(at, ..)| now.since(*at) >= lag);
        let (at, running, waiting) = old.unwrap_or((Time::ZERO, 0, 0));
        LoadReport {
            at,
            running,
            waiting,
            version: self.batch.version(),
            loading: self.batch.loading_version(),
            leaving: false,
        }
    }

    fn note(&mut self, now: Time) {
        let last = self.history.back().map(|(at, ..)| *at);
        if last.is_some_and(|at| now.since(at) < HISTORY_STEP) {
            return;
        }
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        let (running, waiting) = (
            self.batch.running_count() as u32,
            self.batch.waiting_count() as u32,
        );
        self.history.push_back((now, running, waiting));
    }
}

impl World {
    /// Lets an engine run up to now, hands out what it made, and plans its next wake-up.
    pub(super) fn run_engine(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        if !engine.up {
            return;
        }
        let chunks = engine.batch.advance(now);
        engine.note(now);
        for chunk in chunks {
            self.hand_out(index, chunk);
        }
        let engine = &mut self.engines[index];
        let next = engine.batch.next_event();
        if next != engine.wake {
            engine.wake = next;
            if let Some(at) = next {
                self.queue.send(now, at.since(now), Job::Wake(index));
            }
        }
    }

    /// A wake-up that isn't the one planned last is out of date.
    pub(super) fn wake(&mut self, index: usize) {
        if self.engines[index].wake == Some(self.now) {
            self.engines[index].wake = None;
            self.run_engine(index);
        }
    }

    fn hand_out(&mut self, index: usize, chunk: Chunk) {
        let engine = &mut self.engines[index];
        let origin = if chunk.finish.is_some() {
            engine.origins.remove(&chunk.id)
        } else {
            engine.origins.get(&chunk.id).copied()
        };
        let Some(origin) = origin else { return };
        let after = self.to_origin(index, origin);
        self.queue.send(self.now, after, Job::Chunk(origin, chunk));
    }

    pub(super) fn to_origin(&self, engine: usize, origin: Origin) -> Duration {
        let entry = match origin {
            Origin::Attempt(life, _) => life.entry,
            Origin::Live(call, _) => self.live.entry(call),
        };
        self.between(self.engines[engine].zone, self.entries[entry].zone)
    }

    /// A request arrives.
    pub(super) fn request(&mut self, index: usize, origin: Origin, request: Request) {
        let after = self.to_origin(index, origin);
        let engine = &mut self.engines[index];
        let id = request.request_id.clone();
        let refused = if engine.up {
            let taken = engine.batch.submit(self.now, request);
            taken.is_err().then_some(AttemptEnd::Overloaded)
        } else {
            Some(AttemptEnd::ConnectionRefused)
        };
        if let Some(end) = refused {
            let job = Job::Broken(origin, end, Failure::NotRun);
            self.queue.send(self.now, after, job);
            return;
        }
        engine.origins.insert(id, origin);
        self.run_engine(index);
    }

    /// A cancel arrives, or the connection of an attempt is closed.
    pub(super) fn cancel(&mut self, index: usize, id: &str) {
        let engine = &mut self.engines[index];
        engine.origins.remove(id);
        if engine.up && engine.batch.cancel(id) {
            self.run_engine(index);
        }
    }

    /// Ends everything of an entry that died.
    pub(super) fn close_all(&mut self, life: Life) {
        for index in 0..self.engines.len() {
            let all = self.engines[index].origins.iter();
            let own = all.filter(|(_, origin)| match origin {
                Origin::Attempt(other, _) => *other == life,
                Origin::Live(call, _) => self.live.entry(*call) == life.entry,
            });
            let own: Vec<_> = own.map(|(id, _)| id.clone()).collect();
            for id in own {
                self.cancel(index, &id);
            }
        }
    }

    /// An engine dies: its connections break.
    pub(super) fn crash(&mut self, index: usize) {
        self.run_engine(index);
        let engine = &mut self.engines[index];
        engine.tokens += engine.batch.generated_tokens();
        engine.batch.restart();
        engine.up = false;
        engine.incarnation += 1;
        engine.wake = None;
        for origin in std::mem::take(&mut engine.origins).into_values() {
            let after = self.to_origin(index, origin);
            let job = Job::Broken(origin, AttemptEnd::Failed, Failure::Lost);
            self.queue.send(self.now, after, job);
        }
    }

    /// An order to load weights arrives; the answer goes back to the rollout.
    pub(super) fn order(&mut self, index: usize, version: Version) {
        let up = self.engines[index].up;
        if up {
            self.engines[index].batch.load(self.now, version);
            self.run_engine(index);
        }
        self.answer_rollout(index, Some(super::weights::FENCE));
    }

    /// Tells the rollout what the engine shows.
    pub(super) fn answer_rollout(&mut self, index: usize, fence: Option<u64>) {
        let engine = &self.engines[index];
        let status = engine.up.then(|| engine.status());
        let after = self.between(engine.zone, self.entries[super::weights::HOLDER].zone);
        self.queue
            .send(self.now, after, Job::Status(index, fence, status));
    }
}
