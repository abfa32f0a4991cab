//! Entries of a run: each has a runner and a view of the endpoints, both driven as in the daemon.

use super::{
    event::{EntryId, Event, Origin},
    policy::{Lookahead, Policy},
    recorder::SampleId,
    scenario::Scenario,
    simulation::Simulation,
};
use compact_str::{CompactString, format_compact};
use pinereel::engines;
use pinereel_api::engine::{self, Request};
use pinereel_core::{
    Time, Version, cursor,
    endpoint::{self, AttemptEnd, Key, LoadReport, Set, State},
    lot::{self, Action, AttemptKey, Failure, Limits, Offer, Runner, Start},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Interval between an entry's polls of the load report of one engine.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same for an engine with outdated weights, under [`Policy::eager_propagation`].
const OUTDATED_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between ticks of a runner.
const RUNNER_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between an entry's lists of the weights and the instances at the object API.
pub(super) const OBJECT_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Tokens per chunk that are requested for samples.
const TOKENS_PER_CHUNK: u32 = 32;

/// An attempt of a sample that is running on an engine.
pub(super) struct SampleAttempt {
    /// Index of the engine.
    engine: usize,
    /// Key of the engine in the entry's endpoint set.
    key: Key,
    request_id: CompactString,
    max_tokens: u32,
    started_at: Time,
    sample: SampleId,
}

/// A collect's query of a runner that waits for samples.
pub(super) struct WaitingQuery {
    /// Number of the collect.
    pub(super) collect: u64,
    pub(super) request: lot::CollectRequest,
}

/// An incarnation of an entry.
pub(super) struct Entry {
    pub(super) name: CompactString,
    /// Index of its availability zone.
    pub(super) zone: usize,
    pub(super) id: EntryId,
    pub(super) up: bool,
    pub(super) runner: Runner,
    pub(super) endpoints: Set,
    /// Newest published version that it has learned.
    pub(super) known_version: Version,
    /// Queries of its runner that wait for samples, by number.
    pub(super) waiting_queries: BTreeMap<u64, WaitingQuery>,
    /// Trainer and step of each lot that was submitted to this entry, by the lot's id.
    pub(super) submitted_lots: BTreeMap<CompactString, (usize, u64)>,
    /// Live requests that wait for a free slot, by number.
    pub(super) waiting_requests: VecDeque<u64>,
    sample_attempts: BTreeMap<AttemptKey, SampleAttempt>,
    /// Number of request ids handed out.
    request_ids: u64,
}

impl Entry {
    pub(super) fn new(index: usize, incarnation: u32, zones: usize, policy: &Policy) -> Self {
        Self {
            name: format_compact!("entry-{index}"),
            zone: index % zones,
            id: EntryId { index, incarnation },
            up: true,
            runner: Runner::new(policy.lot, runner_limits(policy)),
            endpoints: Set::default(),
            known_version: Version(0),
            waiting_queries: BTreeMap::new(),
            submitted_lots: BTreeMap::new(),
            waiting_requests: VecDeque::new(),
            sample_attempts: BTreeMap::new(),
            request_ids: 0,
        }
    }

    /// Returns a request id that is unique within the run.
    pub(super) fn next_request_id(&mut self) -> CompactString {
        self.request_ids += 1;
        let EntryId { index, incarnation } = self.id;
        format_compact!("{index}.{incarnation}.{}", self.request_ids)
    }
}

impl Simulation {
    /// Whether this incarnation of the entry is running.
    pub(super) fn is_running(&self, entry_id: EntryId) -> bool {
        let entry = &self.entries[entry_id.index];
        entry.up && entry.id == entry_id
    }

    /// Lists the engines as endpoints of an entry and schedules the entry's periodic events.
    pub(super) fn start_entry(&mut self, index: usize) {
        let entry_id = self.entries[index].id;
        for engine in 0..self.engines.len() {
            let event = endpoint::Event::Listed(self.listing(engine));
            self.entries[index].endpoints.step(self.now, event);
            // Staggered, so that the entries do not poll an engine all at the same time.
            let delay = POLL_INTERVAL * ((index * 7 + engine * 3) % 64) as u32 / 64;
            self.queue
                .schedule(self.now, delay, Event::PollEngine(entry_id, engine));
        }
        let delay = RUNNER_TICK_INTERVAL * index as u32 / self.entries.len() as u32;
        self.queue
            .schedule(self.now, delay, Event::RunnerTick(entry_id));
        let delay = OBJECT_LIST_INTERVAL * index as u32 / self.entries.len() as u32;
        self.queue
            .schedule(self.now, delay, Event::ListObjects(entry_id));
    }

    fn listing(&self, engine: usize) -> endpoint::Listing {
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

    /// Periodic tick of an entry's runner; also routes the entry's waiting live requests again.
    pub(super) fn runner_tick(&mut self, entry_id: EntryId) {
        if self.is_running(entry_id) {
            self.step_runner(entry_id, lot::Event::Tick);
            self.queue
                .schedule(self.now, RUNNER_TICK_INTERVAL, Event::RunnerTick(entry_id));
            self.queue
                .schedule(self.now, Duration::ZERO, Event::RouteWaiting(entry_id));
        }
    }

    /// Requests an engine's load report for an entry, and schedules the next poll.
    pub(super) fn poll_engine(&mut self, entry_id: EntryId, index: usize) {
        if !self.is_running(entry_id) {
            return;
        }
        let engine = &self.engines[index];
        let round_trip = 2 * self.latency(self.entries[entry_id.index].zone, engine.zone);
        if engine.up {
            let report = engine.load_report(self.now, self.report_lag);
            let event = Event::Report(entry_id, index, engine.incarnation, report);
            self.queue.schedule(self.now, round_trip, event);
        } else {
            self.offer_engine(entry_id, index);
        }
        let delay = self.poll_interval(entry_id, index) + round_trip;
        self.queue
            .schedule(self.now, delay, Event::PollEngine(entry_id, index));
    }

    /// An engine with outdated weights is polled more often, since it will soon load new ones.
    fn poll_interval(&self, entry_id: EntryId, index: usize) -> Duration {
        let entry = &self.entries[entry_id.index];
        let found = entry.endpoints.find(&self.engines[index].name);
        let outdated =
            found.is_some_and(|(_, e)| e.version.is_some_and(|v| v < entry.known_version));
        if self.policy.eager_propagation && outdated {
            OUTDATED_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        }
    }

    /// Handles the arrival of an engine's load report at an entry.
    pub(super) fn receive_report(
        &mut self,
        entry_id: EntryId,
        index: usize,
        incarnation: u64,
        report: LoadReport,
    ) {
        if !self.is_running(entry_id) {
            return;
        }
        let name = self.engines[index].name.clone();
        let endpoints = &mut self.entries[entry_id.index].endpoints;
        if let Some((key, _)) = endpoints.find(&name) {
            let event = endpoint::Event::Reported {
                incarnation,
                key,
                report,
            };
            endpoints.step(self.now, event);
        }
        self.offer_engine(entry_id, index);
    }

    /// Offers an engine's version and slots to the entry's runner.
    fn offer_engine(&mut self, entry_id: EntryId, index: usize) {
        let endpoints = &self.entries[entry_id.index].endpoints;
        let Some((_, endpoint)) = endpoints.find(&self.engines[index].name) else {
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
        self.step_runner(entry_id, lot::Event::Offer(offer));
    }

    /// Feeds an event to an entry's runner and carries out the resulting actions.
    pub(super) fn step_runner(&mut self, entry_id: EntryId, event: lot::Event) {
        let actions = self.entries[entry_id.index].runner.step(self.now, event);
        for action in actions {
            self.execute(entry_id, action);
        }
    }

    fn execute(&mut self, entry_id: EntryId, action: Action) {
        match action {
            Action::Start(start) => self.start_sample_attempt(entry_id, start),
            Action::Cancel { attempt, .. } => self.cancel_sample_attempt(entry_id, attempt),
            Action::Answer {
                call,
                samples,
                missing,
            } => self.answer_query(entry_id, call, samples, missing),
            Action::Rejected { error, .. } => {
                // Every token comes from a trainer's own cursor.
                debug_assert!(error != cursor::Error::Malformed);
            }
            Action::Ready { lot } => self.repeat_queries(entry_id, &lot),
            Action::Refused { .. }
            | Action::Assigned { .. }
            | Action::Dropped { .. }
            | Action::Score { .. }
            | Action::Handover { .. } => {}
        }
    }

    fn start_sample_attempt(&mut self, entry_id: EntryId, start: Start) {
        let now = self.now;
        let entry = &mut self.entries[entry_id.index];
        let origin = Origin::Sample(entry_id, start.attempt);
        let Some((key, endpoint)) = entry.endpoints.find(&start.endpoint) else {
            let event = Event::AttemptFailed(origin, AttemptEnd::Cancelled, Failure::NotRun);
            self.queue.schedule(now, Duration::ZERO, event);
            return;
        };
        let version = endpoint.version.unwrap_or_default();
        let request_id = entry.next_request_id();
        let max_tokens = start.max_tokens;
        let event = endpoint::Event::Started {
            key,
            tokens: max_tokens,
        };
        entry.endpoints.step(now, event);
        let engines = &self.engines;
        let engine = engines.iter().position(|e| e.name == start.endpoint);
        let engine = engine.expect("every offered endpoint should be an engine");
        let attempt = SampleAttempt {
            engine,
            key,
            request_id: request_id.clone(),
            max_tokens,
            started_at: now,
            sample: (start.lot, start.index),
        };
        entry.sample_attempts.insert(start.attempt, attempt);
        let request = Request {
            model: self.scenario.model.clone(),
            prompt: start.prompt,
            max_tokens: start.max_tokens,
            stream: true,
            seed: start.seed,
            priority: start.class.number(),
            request_id,
            chunk_tokens: TOKENS_PER_CHUNK,
            cache_salt: format_compact!("{version}"),
            resume: start.resume,
            resume_tokens: start.resume_tokens,
        };
        let latency = self.latency_to_origin(engine, origin);
        self.queue
            .schedule(now, latency, Event::Request(engine, origin, request));
    }

    fn cancel_sample_attempt(&mut self, entry_id: EntryId, key: AttemptKey) {
        let Some(attempt) = self.finish_sample_attempt(entry_id, key, AttemptEnd::Cancelled) else {
            return;
        };
        let latency = self.latency_to_origin(attempt.engine, Origin::Sample(entry_id, key));
        let event = Event::Cancel(attempt.engine, attempt.request_id);
        self.queue.schedule(self.now, latency, event);
    }

    /// Removes a running attempt and reports its end to the endpoint set.
    fn finish_sample_attempt(
        &mut self,
        entry_id: EntryId,
        key: AttemptKey,
        end: AttemptEnd,
    ) -> Option<SampleAttempt> {
        let entry = &mut self.entries[entry_id.index];
        let attempt = entry.sample_attempts.remove(&key)?;
        let event = endpoint::Event::Finished {
            key: attempt.key,
            tokens: attempt.max_tokens,
            took: self.now.since(attempt.started_at),
            end,
        };
        entry.endpoints.step(self.now, event);
        if !entry.waiting_requests.is_empty() {
            self.queue
                .schedule(self.now, Duration::ZERO, Event::RouteWaiting(entry_id));
        }
        Some(attempt)
    }

    /// Handles the arrival of a chunk of a sample's attempt.
    pub(super) fn receive_sample_chunk(
        &mut self,
        entry_id: EntryId,
        key: AttemptKey,
        chunk: engine::Chunk,
    ) {
        if !self.is_running(entry_id) {
            return;
        }
        let attempts = &self.entries[entry_id.index].sample_attempts;
        if let Some(attempt) = attempts.get(&key) {
            let tokens = chunk.offset + chunk.tokens;
            self.recorder
                .record_progress(attempt.sample.clone(), tokens);
        }
        if chunk.finish.is_some() {
            self.finish_sample_attempt(entry_id, key, AttemptEnd::Completed);
        }
        let chunk = engines::lot_chunk(key, chunk);
        self.step_runner(entry_id, lot::Event::Chunk(chunk));
    }

    /// Handles the failure of a sample's attempt.
    pub(super) fn sample_attempt_failed(
        &mut self,
        entry_id: EntryId,
        key: AttemptKey,
        end: AttemptEnd,
        failure: Failure,
    ) {
        if self.is_running(entry_id) {
            self.finish_sample_attempt(entry_id, key, end);
            let event = lot::Event::Failed {
                attempt: key,
                failure,
            };
            self.step_runner(entry_id, event);
        }
    }

    /// Handles a published version that an entry learns of; one that is not newer is ignored.
    pub(super) fn learn_version(&mut self, entry_id: EntryId, version: Version) {
        if !self.is_running(entry_id) || version <= self.entries[entry_id.index].known_version {
            return;
        }
        self.entries[entry_id.index].known_version = version;
        let model = self.scenario.model.clone();
        self.step_runner(entry_id, lot::Event::Published { model, version });
        self.set_rollout_target(entry_id, version);
    }
}

fn runner_limits(policy: &Policy) -> Limits {
    let max_steps_ahead = match policy.lookahead {
        Lookahead::Collect(steps) => steps,
        Lookahead::None | Lookahead::Train => 1,
    };
    Limits {
        max_steps_ahead,
        ..Limits::default()
    }
}
