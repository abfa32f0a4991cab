//! Live callers of a run, and how an entry routes and retries their requests.

use super::{
    job::{Job, Life, Origin},
    scenario::Scenario,
    world::World,
};
use pinereel_api::engine::{self, Request};
use pinereel_core::{
    Time,
    endpoint::{self, AttemptEnd, Key},
    fair::Class,
    hash,
    route::{self, Priority, Refusal},
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Most attempts of one request.
const ATTEMPTS: usize = 3;

/// An attempt at an engine.
struct Running {
    key: Key,
    started: Time,
    attempt: u32,
}

/// One request.
struct Call {
    at: Time,
    entry: usize,
    excluded: Vec<Key>,
    attempts: u32,
    running: Option<Running>,
    done: bool,
}

/// All requests of the live callers, in order of arrival.
pub(super) struct Live {
    calls: Vec<Call>,
}

impl Live {
    /// Arrivals over `length`, by the seed alone.
    pub(super) fn new(scenario: &Scenario, seed: u64, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x11fe);
        let mut calls = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / scenario.live.per_second;
            if at >= length.as_secs_f64() {
                return Self { calls };
            }
            calls.push(Call {
                at: Time::ZERO + Duration::from_secs_f64(at),
                entry: random.random_range(0..scenario.entries),
                excluded: Vec::new(),
                attempts: 0,
                running: None,
                done: false,
            });
        }
    }

    /// Arrivals with their numbers.
    pub(super) fn arrivals(&self) -> impl Iterator<Item = (u64, Time)> {
        let calls = self.calls.iter().enumerate();
        calls.map(|(number, call)| (number as u64, call.at))
    }

    /// The entry that a request came to.
    pub(super) fn entry(&self, number: u64) -> usize {
        self.calls[number as usize].entry
    }
}

impl World {
    /// A request arrives at its entry, or at the next that is up.
    pub(super) fn live_arrived(&mut self, number: u64) {
        let entries = self.entries.len();
        let call = &mut self.live.calls[number as usize];
        while !self.entries[call.entry].up {
            call.entry = (call.entry + 1) % entries;
        }
        self.try_live(number);
    }

    /// Routes a request; one that finds no room waits.
    fn try_live(&mut self, number: u64) {
        let call = &self.live.calls[number as usize];
        let index = call.entry;
        if self.now.since(call.at) >= self.scenario.live.deadline {
            self.refuse(number);
            return;
        }
        let entry = &self.entries[index];
        let mut excluded = call.excluded.clone();
        if self.policy.shun_slow {
            let slow = entry.runner.slow_endpoints(self.now);
            let keys = slow.iter().filter_map(|name| entry.set.find(name));
            excluded.extend(keys.map(|(key, _)| key));
        }
        let request = route::Request {
            pool: &self.scenario.model,
            prefix: Some(hash::stable(&(number % 8).to_le_bytes())),
            priority: Priority::Live,
            zone: &self.scenario.zones[entry.zone],
            versions: None,
            excluded: &excluded,
            repeatable: true,
            seed: hash::mix(number ^ self.seed),
        };
        match route::choose(&entry.set, &request, self.now, &self.policy.route) {
            Ok(choice) => self.start_live(number, choice.key),
            Err(Refusal::Full) => self.entries[index].waiting.push_back(number),
            Err(_) if call.excluded.is_empty() => self.refuse(number),
            Err(_) => {
                self.live.calls[number as usize].excluded.clear();
                self.entries[index].waiting.push_back(number);
            }
        }
    }

    fn start_live(&mut self, number: u64, key: Key) {
        let now = self.now;
        let tokens = self.scenario.live.max_tokens;
        let call = &mut self.live.calls[number as usize];
        let entry = &mut self.entries[call.entry];
        let name = entry.set.get(key).map(|e| e.name.clone());
        let name = name.unwrap_or_default();
        let id = entry.request_id();
        let event = endpoint::Event::Started { key, tokens };
        entry.set.step(now, event);
        let engine = self.engines.iter().position(|e| e.name == name);
        let engine = engine.expect("only engines are listed");
        call.attempts += 1;
        let attempt = call.attempts;
        call.running = Some(Running {
            key,
            started: now,
            attempt,
        });
        let request = Request {
            model: self.scenario.model.clone(),
            prompt: format!("caller {number} asks"),
            max_tokens: tokens,
            stream: true,
            seed: hash::mix(self.seed ^ number),
            priority: Class::Live.number(),
            request_id: id,
            chunk_tokens: 1,
            ..Request::default()
        };
        let origin = Origin::Live(number, attempt);
        let after = self.to_origin(engine, origin);
        self.queue
            .send(now, after, Job::Request(engine, origin, request));
    }

    /// Ends the attempt under way, if it is the one meant.
    fn end_live(&mut self, number: u64, attempt: u32, end: AttemptEnd) -> bool {
        let call = &mut self.live.calls[number as usize];
        if call.running.as_ref().is_none_or(|r| r.attempt != attempt) {
            return false;
        }
        let Some(running) = call.running.take() else {
            return false;
        };
        if end != AttemptEnd::Completed {
            call.excluded.push(running.key);
        }
        let entry = &mut self.entries[call.entry];
        let event = endpoint::Event::Finished {
            key: running.key,
            tokens: self.scenario.live.max_tokens,
            took: self.now.since(running.started),
            end,
        };
        entry.set.step(self.now, event);
        let job = Job::Room(entry.life);
        self.queue.send(self.now, Duration::ZERO, job);
        true
    }

    /// A chunk of a live request arrives at its entry.
    pub(super) fn live_chunk(&mut self, number: u64, attempt: u32, chunk: &engine::Chunk) {
        let Some(finish) = chunk.finish else { return };
        if finish == engine::FinishReason::Cancelled {
            self.live_broken(number, attempt, AttemptEnd::Failed);
            return;
        }
        if !self.end_live(number, attempt, AttemptEnd::Completed) {
            return;
        }
        let call = &mut self.live.calls[number as usize];
        if std::mem::replace(&mut call.done, true) {
            return;
        }
        let took = self.now.since(call.at);
        let late = took > self.scenario.live.deadline;
        self.tally.live_tokens += u64::from(chunk.offset + chunk.tokens);
        self.tally.refused += u64::from(late);
        self.tally.live.push(took + 2 * self.scenario.client);
    }

    /// An attempt broke off: the next one goes elsewhere.
    pub(super) fn live_broken(&mut self, number: u64, attempt: u32, end: AttemptEnd) {
        if !self.end_live(number, attempt, end) {
            return;
        }
        if self.live.calls[number as usize].excluded.len() >= ATTEMPTS {
            self.refuse(number);
        } else {
            self.try_live(number);
        }
    }

    /// Requests that wait look for room.
    pub(super) fn room(&mut self, life: Life) {
        if self.lives(life) {
            for number in std::mem::take(&mut self.entries[life.entry].waiting) {
                self.try_live(number);
            }
        }
    }

    fn refuse(&mut self, number: u64) {
        let call = &mut self.live.calls[number as usize];
        if !std::mem::replace(&mut call.done, true) {
            self.tally.refused += 1;
        }
    }

    /// The requests of an entry that dies get no answer.
    pub(super) fn lose_live(&mut self, index: usize) {
        let calls = self.live.calls.iter().enumerate();
        let open = calls.filter(|(_, c)| c.entry == index && !c.done && c.at <= self.now);
        for number in open.map(|(n, _)| n as u64).collect::<Vec<_>>() {
            self.live.calls[number as usize].running = None;
            self.refuse(number);
        }
    }
}
