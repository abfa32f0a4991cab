//! Lots of samples: the ones submitted here, and the groups that run here.
//!
//! - [`front`]: trainers' calls: submit, collect.
//! - [`runner`]: what other entries ask of this one's runner.
//! - `attempt`: one attempt of one sample at one engine.
//! - `score`: scoring of finished samples.
//! - `placement`, `handover`: which entry runs which groups, and what a stopping one passes on.

mod attempt;
pub mod front;
mod handover;
mod placement;
pub mod runner;
mod score;

use crate::{
    logging::DecisionKind,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use pinereel_core::{
    Version, cursor,
    lot::{Action, AttemptKey, Event, Runner, Sample, Stats},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::sleep,
};

/// Pause between ticks of the runner.
const TICK: Duration = Duration::from_millis(100);

/// What a runner answers to a collect.
type Answer = Result<(Vec<Sample>, Vec<u32>), cursor::Error>;

/// An attempt under way.
struct Running {
    /// Ends its task.
    abort: AbortHandle,
    /// `IP:PORT` of its engine.
    address: CompactString,
    /// Its id at the engine.
    id: CompactString,
}

/// The controller's state.
pub struct Lots {
    runner: RefCell<Runner>,
    running: RefCell<BTreeMap<AttemptKey, Running>>,
    fronts: RefCell<BTreeMap<CompactString, front::Front>>,
    versions: RefCell<BTreeMap<CompactString, Version>>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    next_call: Cell<u64>,
    handing: Cell<usize>,
    ready: Notify,
}

impl Lots {
    /// No lots.
    pub fn new(runner: Runner) -> Self {
        Self {
            runner: RefCell::new(runner),
            running: RefCell::default(),
            fronts: RefCell::default(),
            versions: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            handing: Cell::new(0),
            ready: Notify::new(),
        }
    }

    /// The newest published version by model.
    pub fn versions(&self) -> BTreeMap<CompactString, Version> {
        self.versions.borrow().clone()
    }

    /// What this entry's runner has done.
    pub fn stats(&self) -> Stats {
        self.runner.borrow().stats()
    }

    /// Attempts, scorings and handovers under way; a draining entry may leave at 0.
    pub fn in_flight(&self) -> usize {
        self.runner.borrow().in_flight() + self.handing.get()
    }
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            step(&shared, Event::Tick);
            sleep(TICK).await;
        }
    });
}

/// Notes a published version; an old one changes nothing.
pub fn published(shared: &Rc<Shared>, model: &CompactString, version: Version) {
    {
        let mut versions = shared.lots.versions.borrow_mut();
        let newest = versions.entry(model.clone()).or_default();
        if version <= *newest {
            return;
        }
        *newest = version;
    }
    let model = model.clone();
    step(shared, Event::Published { model, version });
}

/// Tells the runner an event and carries out what it wants.
pub fn step(shared: &Rc<Shared>, event: Event) {
    let actions = shared.lots.runner.borrow_mut().step(shared.now(), event);
    carry_out(shared, actions);
}

fn carry_out(shared: &Rc<Shared>, actions: Vec<Action>) {
    for action in actions {
        act(shared, action);
    }
}

fn act(shared: &Rc<Shared>, action: Action) {
    match action {
        Action::Start(start) => attempt::start(shared, start),
        Action::Cancel { attempt, .. } => attempt::cancel(shared, attempt),
        Action::Score {
            ticket,
            trainer,
            prompt,
            text,
        } => score::start(shared, ticket, trainer, prompt, text),
        Action::Answer {
            call,
            samples,
            missing,
        } => answer(shared, call, Ok((samples, missing))),
        Action::Rejected { call, error } => answer(shared, call, Err(error)),
        Action::Ready { .. } => shared.lots.ready.notify_waiters(),
        Action::Assigned { lot } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "assigned"])
                .inc();
            shared.decide(DecisionKind::Place, &lot, Some(shared.name()), "assigned");
        }
        Action::Refused { lot, reason } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "refused"])
                .inc();
            shared.decide(DecisionKind::Place, &lot, None, &reason.to_string());
        }
        Action::Dropped { lot, reason } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "dropped"])
                .inc();
            shared.decide(DecisionKind::Place, &lot, None, &reason.to_string());
        }
        Action::Handover { spec, samples } => handover::start(shared, spec, samples),
    }
}

fn answer(shared: &Shared, call: u64, answer: Answer) {
    if let Some(waiting) = shared.lots.calls.borrow_mut().remove(&call) {
        // The asker may have given up.
        let _ = waiting.send(answer);
    }
}
