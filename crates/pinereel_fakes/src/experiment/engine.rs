//! Engines of a run: the fake engine's batching model, and the messages that engines receive and
//! send.

use super::{
    event::{EntryId, Event, Origin},
    simulation::Simulation,
    weights::{FENCING_TOKEN, ROLLOUT_ENTRY},
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

/// Most past loads kept, from which delayed load reports are answered.
const MAX_LOAD_HISTORY: usize = 64;
/// Shortest time between two loads in the history.
const LOAD_HISTORY_INTERVAL: Duration = Duration::from_millis(50);

/// An engine.
pub(super) struct Engine {
    pub(super) name: CompactString,
    /// Index of its availability zone.
    pub(super) zone: usize,
    pub(super) batch: batch::Engine,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    /// Senders of the requests in flight, by request id.
    origins: BTreeMap<CompactString, Origin>,
    /// Time of the [`Event::EngineDue`] that was scheduled last.
    next_due: Option<Time>,
    /// Numbers of running and waiting sequences, with the time of each record.
    load_history: VecDeque<(Time, u32, u32)>,
    /// Output tokens computed by earlier incarnations.
    earlier_tokens: u64,
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
            next_due: None,
            load_history: VecDeque::new(),
            earlier_tokens: 0,
        }
    }

    /// Output tokens computed by all incarnations.
    pub(super) fn total_tokens(&self) -> u64 {
        self.earlier_tokens + self.batch.generated_tokens()
    }

    /// Status of its weights, as reported to the rollout.
    pub(super) fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            version: self.batch.version(),
            loading: self.batch.loading_version(),
            failed: self.batch.swap_failure().is_some(),
        }
    }

    /// Load report, with numbers of sequences that are at least `lag` old.
    pub(super) fn load_report(&self, now: Time, lag: Duration) -> LoadReport {
        let mut newest_first = self.load_history.iter().rev().copied();
        let load = newest_first.find(|(at, ..)| now.since(*at) >= lag);
        let (at, running, waiting) = load.unwrap_or((Time::ZERO, 0, 0));
        LoadReport {
            at,
            running,
            waiting,
            version: self.batch.version(),
            loading: self.batch.loading_version(),
            leaving: false,
        }
    }

    fn record_load(&mut self, now: Time) {
        let last = self.load_history.back().map(|(at, ..)| *at);
        if last.is_some_and(|at| now.since(at) < LOAD_HISTORY_INTERVAL) {
            return;
        }
        if self.load_history.len() == MAX_LOAD_HISTORY {
            self.load_history.pop_front();
        }
        let (running, waiting) = (
            self.batch.running_count() as u32,
            self.batch.waiting_count() as u32,
        );
        self.load_history.push_back((now, running, waiting));
    }
}

impl Simulation {
    /// Advances an engine to the present time, sends its new chunks, and schedules its next event.
    pub(super) fn advance_engine(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        if !engine.up {
            return;
        }
        let chunks = engine.batch.advance(now);
        engine.record_load(now);
        for chunk in chunks {
            self.send_chunk(index, chunk);
        }
        let engine = &mut self.engines[index];
        let next = engine.batch.next_event();
        if next != engine.next_due {
            engine.next_due = next;
            if let Some(at) = next {
                self.queue
                    .schedule(now, at.since(now), Event::EngineDue(index));
            }
        }
    }

    /// Handles [`Event::EngineDue`]; one that was rescheduled to another time is ignored.
    pub(super) fn engine_due(&mut self, index: usize) {
        if self.engines[index].next_due == Some(self.now) {
            self.engines[index].next_due = None;
            self.advance_engine(index);
        }
    }

    fn send_chunk(&mut self, index: usize, chunk: Chunk) {
        let engine = &mut self.engines[index];
        let origin = if chunk.finish.is_some() {
            engine.origins.remove(&chunk.id)
        } else {
            engine.origins.get(&chunk.id).copied()
        };
        let Some(origin) = origin else { return };
        let latency = self.latency_to_origin(index, origin);
        self.queue
            .schedule(self.now, latency, Event::Chunk(origin, chunk));
    }

    /// One-way latency between an engine and the entry that sends it a request.
    pub(super) fn latency_to_origin(&self, engine: usize, origin: Origin) -> Duration {
        let entry = match origin {
            Origin::Sample(entry_id, _) => entry_id.index,
            Origin::Live(number, _) => self.live_requests.entry(number),
        };
        self.latency(self.engines[engine].zone, self.entries[entry].zone)
    }

    /// Handles the arrival of a request at an engine.
    pub(super) fn receive_request(&mut self, index: usize, origin: Origin, request: Request) {
        let latency = self.latency_to_origin(index, origin);
        let engine = &mut self.engines[index];
        let request_id = request.request_id.clone();
        let refusal = if engine.up {
            let submitted = engine.batch.submit(self.now, request);
            submitted.is_err().then_some(AttemptEnd::Overloaded)
        } else {
            Some(AttemptEnd::ConnectionRefused)
        };
        if let Some(end) = refusal {
            let event = Event::AttemptFailed(origin, end, Failure::NotRun);
            self.queue.schedule(self.now, latency, event);
            return;
        }
        engine.origins.insert(request_id, origin);
        self.advance_engine(index);
    }

    /// Handles the cancellation of a request, or the loss of the connection that carries it.
    pub(super) fn receive_cancel(&mut self, index: usize, request_id: &str) {
        let engine = &mut self.engines[index];
        engine.origins.remove(request_id);
        if engine.up && engine.batch.cancel(request_id) {
            self.advance_engine(index);
        }
    }

    /// Cancels all requests of an entry that crashed, as its connections to the engines close.
    pub(super) fn close_connections(&mut self, entry_id: EntryId) {
        for index in 0..self.engines.len() {
            let origins = self.engines[index].origins.iter();
            let closed = origins.filter(|(_, origin)| match origin {
                Origin::Sample(id, _) => *id == entry_id,
                Origin::Live(number, _) => self.live_requests.entry(*number) == entry_id.index,
            });
            let closed: Vec<_> = closed.map(|(id, _)| id.clone()).collect();
            for request_id in closed {
                self.receive_cancel(index, &request_id);
            }
        }
    }

    /// Crashes an engine: its weights are lost and its connections break.
    pub(super) fn crash_engine(&mut self, index: usize) {
        self.advance_engine(index);
        let engine = &mut self.engines[index];
        engine.earlier_tokens += engine.batch.generated_tokens();
        engine.batch.restart();
        engine.up = false;
        engine.incarnation += 1;
        engine.next_due = None;
        for origin in std::mem::take(&mut engine.origins).into_values() {
            let latency = self.latency_to_origin(index, origin);
            let event = Event::AttemptFailed(origin, AttemptEnd::Failed, Failure::Lost);
            self.queue.schedule(self.now, latency, event);
        }
    }

    /// Handles the rollout's order to load a version.
    pub(super) fn receive_order(&mut self, index: usize, version: Version) {
        let up = self.engines[index].up;
        if up {
            self.engines[index].batch.load(self.now, version);
            self.advance_engine(index);
        }
        self.send_status(index, Some(FENCING_TOKEN));
    }

    /// Sends an engine's status to the rollout. `fence` is the fencing token of the order that it
    /// answers, or `None` if it answers a read.
    pub(super) fn send_status(&mut self, index: usize, fence: Option<u64>) {
        let engine = &self.engines[index];
        let status = engine.up.then(|| engine.status());
        let latency = self.latency(engine.zone, self.entries[ROLLOUT_ENTRY].zone);
        self.queue
            .schedule(self.now, latency, Event::Status(index, fence, status));
    }
}
