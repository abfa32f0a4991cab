//! Live requests of a run: their arrival, and how an entry routes and retries them.

use super::{
    event::{EntryId, Event, Origin},
    scenario::Scenario,
    simulation::Simulation,
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

/// A live request that has failed at this many endpoints is refused instead of retried.
const MAX_EXCLUDED_ENDPOINTS: usize = 3;

/// An attempt of a live request that is running on an engine.
struct LiveAttempt {
    /// Key of the engine in the entry's endpoint set.
    key: Key,
    started_at: Time,
    /// Number of the attempt, counted from 1 for each request.
    number: u32,
}

/// A live request.
struct LiveRequest {
    arrival: Time,
    /// Index of the entry that handles it.
    entry: usize,
    /// Endpoints at which it failed.
    excluded: Vec<Key>,
    /// Number of attempts started.
    attempts: u32,
    running: Option<LiveAttempt>,
    /// Whether it was answered or refused.
    done: bool,
}

/// All live requests of a run, in order of arrival; a request's number is its index.
pub(super) struct LiveRequests {
    requests: Vec<LiveRequest>,
}

impl LiveRequests {
    /// Generates the requests that arrive within `duration`. Arrival times and entries depend on
    /// the scenario and the seed alone.
    pub(super) fn new(scenario: &Scenario, seed: u64, duration: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x11fe);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / scenario.live_load.requests_per_second;
            if at >= duration.as_secs_f64() {
                return Self { requests };
            }
            requests.push(LiveRequest {
                arrival: Time::ZERO + Duration::from_secs_f64(at),
                entry: random.random_range(0..scenario.entry_count),
                excluded: Vec::new(),
                attempts: 0,
                running: None,
                done: false,
            });
        }
    }

    /// Numbers and arrival times of the requests.
    pub(super) fn arrivals(&self) -> impl Iterator<Item = (u64, Time)> {
        let requests = self.requests.iter().enumerate();
        requests.map(|(number, request)| (number as u64, request.arrival))
    }

    /// Index of the entry that handles a request.
    pub(super) fn entry(&self, number: u64) -> usize {
        self.requests[number as usize].entry
    }
}

impl Simulation {
    /// Handles the arrival of a live request at its entry, or at the next one that is running.
    pub(super) fn receive_live_request(&mut self, number: u64) {
        let entries = self.entries.len();
        let request = &mut self.live_requests.requests[number as usize];
        while !self.entries[request.entry].up {
            request.entry = (request.entry + 1) % entries;
        }
        self.route_live_request(number);
    }

    /// Routes a live request to an engine. Without a free slot the request waits; it is refused
    /// after its deadline, or if no endpoint can run it.
    fn route_live_request(&mut self, number: u64) {
        let request = &self.live_requests.requests[number as usize];
        let index = request.entry;
        if self.now.since(request.arrival) >= self.scenario.live_load.deadline {
            self.refuse_live_request(number);
            return;
        }
        let entry = &self.entries[index];
        let mut excluded = request.excluded.clone();
        if self.policy.live_avoids_slow {
            let slow = entry.runner.slow_endpoints(self.now);
            let keys = slow.iter().filter_map(|name| entry.endpoints.find(name));
            excluded.extend(keys.map(|(key, _)| key));
        }
        let route_request = route::Request {
            pool: &self.scenario.model,
            prefix: Some(hash::stable(&(number % 8).to_le_bytes())),
            priority: Priority::Live,
            zone: &self.scenario.zones[entry.zone],
            versions: None,
            excluded: &excluded,
            repeatable: true,
            seed: hash::mix(number ^ self.seed),
        };
        match route::choose(
            &entry.endpoints,
            &route_request,
            self.now,
            &self.policy.route,
        ) {
            Ok(choice) => self.start_live_attempt(number, choice.key),
            Err(Refusal::Full) => self.entries[index].waiting_requests.push_back(number),
            Err(_) if request.excluded.is_empty() => self.refuse_live_request(number),
            Err(_) => {
                // The endpoints at which it failed may be tried again.
                self.live_requests.requests[number as usize]
                    .excluded
                    .clear();
                self.entries[index].waiting_requests.push_back(number);
            }
        }
    }

    fn start_live_attempt(&mut self, number: u64, key: Key) {
        let now = self.now;
        let tokens = self.scenario.live_load.max_tokens;
        let request = &mut self.live_requests.requests[number as usize];
        let entry = &mut self.entries[request.entry];
        let name = entry.endpoints.get(key).map(|e| e.name.clone());
        let name = name.unwrap_or_default();
        let request_id = entry.next_request_id();
        let event = endpoint::Event::Started { key, tokens };
        entry.endpoints.step(now, event);
        let engine = self.engines.iter().position(|e| e.name == name);
        let engine = engine.expect("every listed endpoint should be an engine");
        request.attempts += 1;
        let attempt = request.attempts;
        request.running = Some(LiveAttempt {
            key,
            started_at: now,
            number: attempt,
        });
        let engine_request = Request {
            model: self.scenario.model.clone(),
            prompt: format!("caller {number} asks"),
            max_tokens: tokens,
            stream: true,
            seed: hash::mix(self.seed ^ number),
            priority: Class::Live.number(),
            request_id,
            chunk_tokens: 1,
            ..Request::default()
        };
        let origin = Origin::Live(number, attempt);
        let latency = self.latency_to_origin(engine, origin);
        self.queue
            .schedule(now, latency, Event::Request(engine, origin, engine_request));
    }

    /// Ends the running attempt of a live request and reports its end to the endpoint set. Returns
    /// `false` if this attempt is not the running one.
    fn finish_live_attempt(&mut self, number: u64, attempt: u32, end: AttemptEnd) -> bool {
        let request = &mut self.live_requests.requests[number as usize];
        if request.running.as_ref().is_none_or(|r| r.number != attempt) {
            return false;
        }
        let Some(running) = request.running.take() else {
            return false;
        };
        if end != AttemptEnd::Completed {
            request.excluded.push(running.key);
        }
        let entry = &mut self.entries[request.entry];
        let event = endpoint::Event::Finished {
            key: running.key,
            tokens: self.scenario.live_load.max_tokens,
            took: self.now.since(running.started_at),
            end,
        };
        entry.endpoints.step(self.now, event);
        let event = Event::RouteWaiting(entry.id);
        self.queue.schedule(self.now, Duration::ZERO, event);
        true
    }

    /// Handles the arrival of a live request's chunk at its entry.
    pub(super) fn receive_live_chunk(&mut self, number: u64, attempt: u32, chunk: &engine::Chunk) {
        let Some(finish) = chunk.finish else { return };
        if finish == engine::FinishReason::Cancelled {
            self.live_attempt_failed(number, attempt, AttemptEnd::Failed);
            return;
        }
        if !self.finish_live_attempt(number, attempt, AttemptEnd::Completed) {
            return;
        }
        let request = &mut self.live_requests.requests[number as usize];
        if std::mem::replace(&mut request.done, true) {
            return;
        }
        let took = self.now.since(request.arrival);
        let late = took > self.scenario.live_load.deadline;
        self.recorder.live_tokens += u64::from(chunk.offset + chunk.tokens);
        self.recorder.live_refused += u64::from(late);
        self.recorder
            .live_times
            .push(took + 2 * self.scenario.client_latency);
    }

    /// Handles the failure of a live request's attempt: retries the request elsewhere, or refuses
    /// it after too many failures.
    pub(super) fn live_attempt_failed(&mut self, number: u64, attempt: u32, end: AttemptEnd) {
        if !self.finish_live_attempt(number, attempt, end) {
            return;
        }
        if self.live_requests.requests[number as usize].excluded.len() >= MAX_EXCLUDED_ENDPOINTS {
            self.refuse_live_request(number);
        } else {
            self.route_live_request(number);
        }
    }

    /// Routes the waiting live requests of an entry again.
    pub(super) fn route_waiting(&mut self, entry_id: EntryId) {
        if self.is_running(entry_id) {
            for number in std::mem::take(&mut self.entries[entry_id.index].waiting_requests) {
                self.route_live_request(number);
            }
        }
    }

    fn refuse_live_request(&mut self, number: u64) {
        let request = &mut self.live_requests.requests[number as usize];
        if !std::mem::replace(&mut request.done, true) {
            self.recorder.live_refused += 1;
        }
    }

    /// Counts the unanswered live requests of an entry that crashed as refused.
    pub(super) fn drop_live_requests(&mut self, index: usize) {
        let requests = self.live_requests.requests.iter().enumerate();
        let lost = requests.filter(|(_, r)| r.entry == index && !r.done && r.arrival <= self.now);
        let lost: Vec<_> = lost.map(|(number, _)| number as u64).collect();
        for number in lost {
            self.live_requests.requests[number as usize].running = None;
            self.refuse_live_request(number);
        }
    }
}
