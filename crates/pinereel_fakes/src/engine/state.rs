//! The state of a running engine stand-in, and the task that runs its steps.

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

/// State shared by the handlers and the driver.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: Options,
    start: Instant,
    pub(super) state: RefCell<State>,
    /// Tells the driver that the engine's next moment may have changed.
    pub(super) wake: Notify,
}

/// The load of one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    at: Time,
    running: u32,
    waiting: u32,
}

/// What changes while it runs.
#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    /// Open streams. A stream holds at most its request's `max_tokens` chunks.
    pub(super) streams: BTreeMap<CompactString, Sender>,
    pub(super) incarnation: u64,
    pub(super) fence: u64,
    /// The load that is told.
    told: Load,
    /// The load that is told once it is old enough.
    taken: Load,
    /// Requests without an id of their own.
    pub(super) unnamed: u64,
}

impl Shared {
    pub(super) fn new(options: Options) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since_epoch.map_or(1, |time| time.as_micros() as u64);
        let state = State {
            engine: Engine::new(options.batch.clone()),
            streams: BTreeMap::new(),
            incarnation,
            fence: 0,
            told: Load::default(),
            taken: Load::default(),
            unnamed: 0,
        };
        Self {
            options,
            start: Instant::now(),
            state: RefCell::new(state),
            wake: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let mut state = self.state.borrow_mut();
        state.engine.set_faults(self.now(), faults);
        drop(state);
        self.wake.notify_one();
    }

    /// Cancels an attempt whose reader is gone.
    pub(super) fn forget(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.streams.remove(id);
        state.engine.cancel(id);
    }

    /// Runs what is due and passes the chunks on; tells when to come back.
    fn pump(&self) -> Option<Instant> {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.observe(now, self.options.lag);
        let chunks = state.engine.advance(now);
        for chunk in chunks {
            state.pass(chunk);
        }
        if state.engine.crashed() {
            state.crash();
        }
        let next = state.engine.next()?;
        Some(self.start + next.since(Time::ZERO))
    }

    pub(super) fn report(&self) -> engine::State {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.observe(now, self.options.lag);
        self.describe(&state, now, state.told)
    }

    fn describe(&self, state: &State, now: Time, load: Load) -> engine::State {
        engine::State {
            incarnation: state.incarnation,
            version: state.engine.version(),
            loading: state.engine.loading(),
            failed: state.engine.failed().map(Into::into),
            running: load.running,
            waiting: load.waiting,
            lag_ms: now.since(load.at).as_millis() as u64,
            slots: self.options.batch.slots as u32,
            leaving: state.engine.faults().leaving,
            fence: state.fence,
        }
    }
}

impl State {
    /// Keeps the told load late by `lag` at least.
    fn observe(&mut self, now: Time, lag: Duration) {
        if now.since(self.taken.at) < lag {
            return;
        }
        self.told = self.taken;
        self.taken = Load {
            at: now,
            running: self.engine.running() as u32,
            waiting: self.engine.waiting() as u32,
        };
    }

    fn pass(&mut self, chunk: Chunk) {
        let faults = self.engine.faults();
        let copies = if faults.duplicate_chunks { 2 } else { 1 };
        let cut = faults.cut_streams;
        let Some(stream) = self.streams.get(&chunk.id) else {
            return;
        };
        for _ in 0..copies {
            // A reader that is gone cancels by dropping its end.
            let _ = stream.send(Event::Chunk(chunk.clone()));
        }
        if cut {
            let _ = stream.send(Event::Cut);
        }
        if cut || chunk.finish.is_some() {
            self.streams.remove(&chunk.id);
        }
    }

    fn crash(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.send(Event::Cut);
        }
        self.engine.restart();
        self.incarnation += 1;
    }
}

/// Runs the engine's steps when they are due, for as long as the stand-in runs.
pub(super) async fn drive(shared: Rc<Shared>) {
    loop {
        let due = shared.pump();
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
