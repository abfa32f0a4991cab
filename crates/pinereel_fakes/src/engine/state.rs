//! State of a running fake engine, and the task that runs its steps.

use super::{batch::Engine, fault::Faults, server::Options, stream::Event};
use compact_str::CompactString;
use pinereel_api::engine::{self, Chunk};
use pinereel_core::Time;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

type Sender = mpsc::UnboundedSender<Event>;

/// State shared by the request handlers and the step task.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: Options,
    start: Instant,
    pub(super) state: RefCell<State>,
    /// Wakes the step task when the time of the engine's next event may have changed.
    pub(super) wake: Notify,
}

/// Load of the engine at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    at: Time,
    running: u32,
    waiting: u32,
}

/// Mutable part of the state.
#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    /// Open streams, by attempt id. A stream buffers at most `max_tokens` chunks of its request.
    pub(super) streams: BTreeMap<CompactString, Sender>,
    pub(super) incarnation: u64,
    /// Highest fencing token of all orders received.
    pub(super) highest_fence: u64,
    /// Load that is reported.
    reported_load: Load,
    /// Newest sample of the load, reported once it is at least `lag` old.
    sampled_load: Load,
    /// Number of requests that came without an id.
    pub(super) unnamed_requests: u64,
}

impl Shared {
    pub(super) fn new(options: Options) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since_epoch.map_or(1, |time| time.as_micros() as u64);
        let state = State {
            engine: Engine::new(options.batch.clone()),
            streams: BTreeMap::new(),
            incarnation,
            highest_fence: 0,
            reported_load: Load::default(),
            sampled_load: Load::default(),
            unnamed_requests: 0,
        };
        Self {
            options,
            start: Instant::now(),
            state: RefCell::new(state),
            wake: Notify::new(),
        }
    }

    /// Time since the start, which is the engine's clock.
    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let mut state = self.state.borrow_mut();
        state.engine.set_faults(self.now(), faults);
        drop(state);
        self.wake.notify_one();
    }

    /// Cancels an attempt whose stream was dropped.
    pub(super) fn cancel_closed(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.streams.remove(id);
        state.engine.cancel(id);
    }

    /// Runs the engine up to now and forwards its chunks. Returns the time of its next event.
    fn advance_engine(&self) -> Option<Instant> {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.sample_load(now, self.options.lag);
        let chunks = state.engine.advance(now);
        for chunk in chunks {
            state.forward(chunk);
        }
        if state.engine.has_crashed() {
            state.restart_after_crash();
        }
        let next = state.engine.next_event()?;
        Some(self.start + next.since(Time::ZERO))
    }

    /// State that `GET /v1/state` returns. The load in it is at least `lag` old.
    pub(super) fn reported_state(&self) -> engine::State {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.sample_load(now, self.options.lag);
        self.state_with_load(&state, now, state.reported_load)
    }

    fn state_with_load(&self, state: &State, now: Time, load: Load) -> engine::State {
        engine::State {
            incarnation: state.incarnation,
            version: state.engine.version(),
            loading: state.engine.loading_version(),
            failed: state.engine.swap_failure().map(Into::into),
            running: load.running,
            waiting: load.waiting,
            lag_ms: now.since(load.at).as_millis() as u64,
            slots: self.options.batch.slots as u32,
            leaving: state.engine.faults().leaving,
            fence: state.highest_fence,
        }
    }
}

impl State {
    /// Once the newest sample is at least `lag` old, reports it from now on and takes another one.
    fn sample_load(&mut self, now: Time, lag: Duration) {
        if now.since(self.sampled_load.at) < lag {
            return;
        }
        self.reported_load = self.sampled_load;
        self.sampled_load = Load {
            at: now,
            running: self.engine.running_count() as u32,
            waiting: self.engine.waiting_count() as u32,
        };
    }

    /// Sends a chunk to its stream, with the injected faults of streams.
    fn forward(&mut self, chunk: Chunk) {
        let faults = self.engine.faults();
        let copies = if faults.duplicate_chunks { 2 } else { 1 };
        let cut = faults.cut_streams;
        let Some(stream) = self.streams.get(&chunk.id) else {
            return;
        };
        for _ in 0..copies {
            // Fails if the stream was dropped, which cancels the attempt by `cancel_closed`.
            let _ = stream.send(Event::Chunk(chunk.clone()));
        }
        if cut {
            let _ = stream.send(Event::Cut);
        }
        if cut || chunk.finish.is_some() {
            self.streams.remove(&chunk.id);
        }
    }

    /// Cuts all streams and restarts the engine with the next incarnation.
    fn restart_after_crash(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.send(Event::Cut);
        }
        self.engine.restart();
        self.incarnation += 1;
    }
}

/// Runs the engine's steps when they are due, until the task is aborted.
pub(super) async fn run_steps(shared: Rc<Shared>) {
    loop {
        let due = shared.advance_engine();
        let wake = shared.wake.notified();
        match due {
            None => wake.await,
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = wake => {}
            },
        }
    }
}
