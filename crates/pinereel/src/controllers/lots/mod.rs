//! Batch scheduling of lots: the I/O side of [`pinereel_core::lot`].
//!
//! Every entry both accepts lots from trainers and runs the groups that other entries assign to
//! it. [`step`] feeds an event to this entry's [`Runner`] and carries out its actions.
//!
//! - [`trainer_api`]: handles the trainers' calls: submit, collect and publish.
//! - [`runner`]: handles the calls of other entries to this entry's runner.
//! - `attempt`: runs one attempt of one sample on one engine.
//! - `score`: has a trainer's scoring service score finished samples.
//! - `placement`: maps groups to entries by rendezvous hashing.
//! - `handover`: transfers finished samples from a draining entry to others.

mod attempt;
mod handover;
mod placement;
pub mod runner;
mod score;
pub mod trainer_api;

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

/// Interval between two [`Event::Tick`]s of the runner.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A runner's result for one collect: finished samples, and the groups that it does not have.
type CollectResult = Result<(Vec<Sample>, Vec<u32>), cursor::Error>;

/// An attempt that is running on an engine.
struct RunningAttempt {
    /// Aborts the task that reads the attempt's stream.
    abort: AbortHandle,
    /// `IP:PORT` of the engine.
    address: CompactString,
    /// Request id, by which the engine can cancel the attempt.
    id: CompactString,
}

/// State of the lots controller.
pub struct Lots {
    runner: RefCell<Runner>,
    running_attempts: RefCell<BTreeMap<AttemptKey, RunningAttempt>>,
    /// Lots that trainers submitted to this entry, by id.
    submitted: RefCell<BTreeMap<CompactString, trainer_api::SubmittedLot>>,
    /// Newest published version by model.
    versions: RefCell<BTreeMap<CompactString, Version>>,
    /// Collects that wait for the runner, by call number.
    pending_collects: RefCell<BTreeMap<u64, oneshot::Sender<CollectResult>>>,
    /// Call number of the next collect.
    next_collect: Cell<u64>,
    handovers_in_flight: Cell<usize>,
    samples_ready: Notify,
}

impl Lots {
    /// Starts without any lot; `runner` schedules the groups that will be assigned to this entry.
    pub fn new(runner: Runner) -> Self {
        Self {
            runner: RefCell::new(runner),
            running_attempts: RefCell::default(),
            submitted: RefCell::default(),
            versions: RefCell::default(),
            pending_collects: RefCell::default(),
            next_collect: Cell::new(0),
            handovers_in_flight: Cell::new(0),
            samples_ready: Notify::new(),
        }
    }

    /// The newest published version by model.
    pub fn versions(&self) -> BTreeMap<CompactString, Version> {
        self.versions.borrow().clone()
    }

    /// Counters of this entry's runner.
    pub fn stats(&self) -> Stats {
        self.runner.borrow().stats()
    }

    /// Number of running attempts, scorings and handovers; a draining entry may exit at 0.
    pub fn in_flight(&self) -> usize {
        self.runner.borrow().in_flight() + self.handovers_in_flight.get()
    }
}

/// Starts the task that ticks the runner.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            step(&shared, Event::Tick);
            sleep(TICK_INTERVAL).await;
        }
    });
}

/// Records a published version of a model and tells the runner; older versions are ignored.
pub fn record_published(shared: &Rc<Shared>, model: &CompactString, version: Version) {
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

/// Feeds an event to the runner and carries out the resulting actions.
pub fn step(shared: &Rc<Shared>, event: Event) {
    let actions = shared.lots.runner.borrow_mut().step(shared.now(), event);
    execute_all(shared, actions);
}

fn execute_all(shared: &Rc<Shared>, actions: Vec<Action>) {
    for action in actions {
        execute(shared, action);
    }
}

fn execute(shared: &Rc<Shared>, action: Action) {
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
        } => reply_to_collect(shared, call, Ok((samples, missing))),
        Action::Rejected { call, error } => reply_to_collect(shared, call, Err(error)),
        Action::Ready { .. } => shared.lots.samples_ready.notify_waiters(),
        Action::Assigned { lot } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "assigned"])
                .inc();
            shared.log_decision(DecisionKind::Place, &lot, Some(shared.name()), "assigned");
        }
        Action::Refused { lot, reason } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "refused"])
                .inc();
            shared.log_decision(DecisionKind::Place, &lot, None, &reason.to_string());
        }
        Action::Dropped { lot, reason } => {
            shared
                .metrics
                .lots
                .with_label_values(&["", "dropped"])
                .inc();
            shared.log_decision(DecisionKind::Place, &lot, None, &reason.to_string());
        }
        Action::Handover { spec, samples } => handover::start(shared, spec, samples),
    }
}

fn reply_to_collect(shared: &Shared, call: u64, result: CollectResult) {
    if let Some(sender) = shared.lots.pending_collects.borrow_mut().remove(&call) {
        // The caller may have timed out.
        let _ = sender.send(result);
    }
}
