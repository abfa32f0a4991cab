//! Permits for concurrent scorings: grants them within the limit, to the most urgent scoring first.

use super::{runner::Runner, state::State};
use crate::state::Clock;
use compact_str::CompactString;
use pinereel_core::{
    Time,
    scoring::{self, Limit, Rank},
};
use pinereel_port::headers::Load;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep},
};

/// Upper bound of the time until waiting scorings are checked again: the number of slots may have grown.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two log lines with the limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Permits for the concurrent scorings of one instance.
pub(super) struct Permits {
    clock: Clock,
    /// Time from which the ages of lots are counted.
    epoch: Instant,
    limit: RefCell<Limit>,
    waiting: RefCell<VecDeque<Waiting>>,
    /// Notified when a permit may have become free.
    changed: Notify,
    /// Slots of the service of the last scoring.
    slots: Cell<u32>,
    invalid_report_logged: Cell<bool>,
    logged_at: Cell<Option<Instant>>,
}

/// A scoring that waits for a permit.
struct Waiting {
    lot: CompactString,
    /// Index of its item in the lot.
    index: usize,
    /// Slots of its service.
    slots: u32,
    granted: oneshot::Sender<Permit>,
}

/// Permit for one scoring, returned when dropped.
pub(super) struct Permit(Rc<Permits>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.limit.borrow_mut().record_end();
        self.0.changed.notify_one();
    }
}

impl Permits {
    /// No permits in use, and no load reports yet.
    pub(super) fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            epoch: Instant::now(),
            limit: RefCell::default(),
            waiting: RefCell::default(),
            changed: Notify::new(),
            slots: Cell::new(0),
            invalid_report_logged: Cell::new(false),
            logged_at: Cell::new(None),
        })
    }

    /// Waits for a permit for the scoring of an item. Dropping the future gives up the place.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        lot: &CompactString,
        index: usize,
        slots: u32,
    ) -> Permit {
        loop {
            if self.waiting.borrow().is_empty() && self.has_room(slots) {
                return self.take(slots);
            }
            let (granted, permit) = oneshot::channel();
            self.waiting.borrow_mut().push_back(Waiting {
                lot: lot.clone(),
                index,
                slots,
                granted,
            });
            self.changed.notify_one();
            if let Ok(permit) = permit.await {
                return permit;
            }
        }
    }

    /// Follows the load that an endpoint reported with a response to a scoring.
    pub(super) fn record_report(&self, load: Load) {
        let now = self.clock.now();
        let is_valid = self.limit.borrow_mut().record_report(now, load);
        if !is_valid && !self.invalid_report_logged.replace(true) {
            log::warn!(load:? = load; "invalid load report of a scoring endpoint ignored");
        }
    }

    /// Whether recent reports show free slots beyond the reserve for live requests.
    pub(super) fn has_spare_slots(&self) -> bool {
        self.limit.borrow().has_spare_slots(self.clock.now())
    }

    /// Grants permits to waiting scorings, until dropped.
    pub(super) async fn serve(self: Rc<Self>, runner: Rc<Runner>) {
        loop {
            self.changed.notified().await;
            self.grant(&runner);
            while !self.waiting.borrow().is_empty() {
                tokio::select! {
                    () = self.changed.notified() => {}
                    () = sleep(CHECK_INTERVAL) => {}
                }
                self.grant(&runner);
            }
        }
    }

    fn grant(self: &Rc<Self>, runner: &Runner) {
        self.waiting
            .borrow_mut()
            .retain(|waiting| !waiting.granted.is_closed());
        while let Some(waiting) = self.next_to_grant(runner) {
            // If the scoring was cancelled meanwhile, this drops the permit, which returns it.
            let _ = waiting.granted.send(self.take(waiting.slots));
        }
        self.publish(runner);
    }

    fn next_to_grant(&self, runner: &Runner) -> Option<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        // Checked first, so that waiting scorings are ranked once for each permit. The limit is that of
        // the first one, as if it were granted in turn.
        if !self.has_room(waiting.front()?.slots) {
            return None;
        }
        let items = waiting.iter().map(|w| (&w.lot, w.index));
        let state = runner.state.borrow();
        let ranks = scoring_ranks(&state, items, self.epoch);
        let position = scoring::next(ranks, self.limit.borrow().has_reports())?;
        waiting.remove(position)
    }

    fn has_room(&self, slots: u32) -> bool {
        self.limit.borrow().has_room(slots)
    }

    fn take(self: &Rc<Self>, slots: u32) -> Permit {
        self.slots.set(slots);
        self.limit.borrow_mut().record_start();
        Permit(Rc::clone(self))
    }

    /// Updates the metrics, and logs the limit while endpoints report their load and scorings wait.
    fn publish(&self, runner: &Runner) {
        let limit = self.limit.borrow();
        let Some(report_age) = limit.report_age(self.clock.now()) else {
            return;
        };
        let current = Limit::current(self.slots.get());
        let waiting = self.waiting.borrow().len();
        let metrics = &runner.deps.metrics;
        metrics.set_scorings(current, limit.in_flight(), waiting);
        let is_due = self
            .logged_at
            .get()
            .is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if waiting == 0 || !is_due {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        log::info!(
            limit = current,
            in_flight = limit.in_flight(),
            waiting,
            slots = self.slots.get(),
            load_percent = (limit.utilization().unwrap_or_default() * 100.0) as u64,
            report_age_ms = report_age.as_millis() as u64;
            "limit of scorings"
        );
    }
}

/// Ranks of the scorings of these items. The items of closed lots come last.
fn scoring_ranks<'a>(
    state: &State,
    items: impl Iterator<Item = (&'a CompactString, usize)>,
    epoch: Instant,
) -> impl Iterator<Item = Rank> {
    let mut satisfied = BTreeMap::new();
    items.map(move |(lot, index)| match state.open_lots.get(lot) {
        Some(open) => Rank {
            step_satisfied: *satisfied
                .entry(lot)
                .or_insert_with(|| open.lot.will_satisfy_trainer()),
            opened_at: Time::ZERO + open.opened_at.saturating_duration_since(epoch),
            unfinished_in_group: open.lot.unfinished_in_group(index),
        },
        None => Rank {
            step_satisfied: true,
            opened_at: Time(u64::MAX),
            unfinished_in_group: usize::MAX,
        },
    })
}
