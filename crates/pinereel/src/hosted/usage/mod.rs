//! How many requests of each workspace began to run here, and how all instances' counts are reported.
//!
//! The decisions are `pinereel_core::usage`'s. Counts go up the links of the bulletin, at once when they change; whoever reads
//! the store for all adds them up, keeps the sum in the store and reports it to the platform (`report`). Without a report in the
//! settings nothing is counted or told.

mod report;

pub use report::{Parts, report};

use super::pending;
use crate::settings;
use pinereel_core::{
    Time,
    usage::{InstanceCount, Ledger, Report, WallClock, WallTime, Window},
};
use pinereel_port::headers::Caller;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::watch, time::sleep};

/// Reports of one message: about 100 bytes each.
const BATCH: usize = 64;
/// Pause between two messages, so that what comes together goes together.
const GATHER: Duration = Duration::from_millis(200);
/// Pause between two looks at the time.
const LOOK: Duration = Duration::from_millis(100);
/// A window is closed so long after its end: a request that began just before it has been counted, or found not to run.
const CLOSE: Duration = Duration::from_millis(250);
/// Windows that are kept beside the one that is open: those that may still be reported.
const KEPT: u64 = 6;

/// Counts of this instance and of those that tell it.
pub struct Usage {
    /// Length of a window; none if nothing is reported.
    length: Option<Duration>,
    ledger: RefCell<Ledger>,
    wall: RefCell<WallClock>,
    clock: fn() -> Time,
    changed: watch::Sender<u64>,
    /// Instances in all, as far as this one knows.
    instance_count: RefCell<InstanceCount>,
}

/// A request that counts as begun.
#[derive(Debug)]
pub struct Begun {
    window: Window,
    workspace: compact_str::CompactString,
}

impl Usage {
    /// Counts from now on, as the instance start `id`.
    pub fn start(settings: Option<&settings::Usage>, id: &str, clock: fn() -> Time) -> Rc<Self> {
        let usage = Rc::new(Self {
            length: settings.map(|settings| settings.window),
            ledger: RefCell::new(Ledger::new(id)),
            wall: RefCell::new(WallClock::new(clock(), time_of_day())),
            clock,
            changed: watch::channel(0).0,
            instance_count: RefCell::default(),
        });
        if let Some(length) = usage.length {
            let state = Rc::clone(&usage);
            actix_rt::spawn(async move { state.look(length).await });
        }
        usage
    }

    /// True time.
    pub fn now(&self) -> WallTime {
        self.wall.borrow().wall_time((self.clock)())
    }

    /// A request begins to run.
    pub fn begin(&self, caller: &Caller) -> Option<Begun> {
        let workspace = caller.workspace()?;
        let window = self.now().window(self.length?);
        self.ledger.borrow_mut().add(window, workspace, 1);
        self.note_change();
        Some(Begun {
            window,
            workspace: workspace.into(),
        })
    }

    /// It did not run after all.
    pub fn undo(&self, begun: Begun) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.add(begun.window, &begun.workspace, -1);
        drop(ledger);
        self.note_change();
    }

    /// A neighbour tells of counts.
    pub fn heard(&self, reports: Vec<Report>) {
        if self.length.is_none() {
            return;
        }
        self.ledger.borrow_mut().merge(reports);
        self.note_change();
    }

    /// All that is known, for a new parent.
    pub fn all(&self) -> Vec<Report> {
        self.ledger.borrow().all_reports()
    }

    /// Waits until others are to be told something, and gives it.
    pub async fn untold(&self) -> Vec<Report> {
        let untold = || self.ledger.borrow_mut().take_unsent(BATCH);
        pending::next_batch(self.changed.subscribe(), untold).await
    }

    /// What is untold is gathered for a moment between two messages.
    pub async fn gather() {
        sleep(GATHER).await;
    }

    /// So many instances are in the tree now.
    pub fn note_instances(&self, count: usize) {
        let now = (self.clock)();
        self.instance_count.borrow_mut().observe(now, count);
    }

    /// Instances whose counts are waited for.
    fn instances(&self) -> usize {
        self.instance_count.borrow().expected()
    }

    fn note_change(&self) {
        if self.ledger.borrow().has_unsent() {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Closes windows, and forgets old ones.
    async fn look(&self, length: Duration) {
        let mut closed = None;
        loop {
            sleep(LOOK).await;
            let now = (self.clock)();
            self.wall.borrow_mut().observe(now, time_of_day());
            let window = self.now().window(length);
            let over = Window(window.0.saturating_sub(1));
            if closed >= Some(over) || self.now() < over.end(length).after(CLOSE) {
                continue;
            }
            closed = Some(over);
            let mut ledger = self.ledger.borrow_mut();
            ledger.close(over);
            ledger.forget_before(Window(window.0.saturating_sub(KEPT)));
            let counts = ledger.own_counts(over);
            drop(ledger);
            if !counts.is_empty() {
                log::info!(window = over.0, counts:serde = counts; "usage: window closed here");
            }
            self.note_change();
        }
    }
}

/// What the machine's time of day tells, in milliseconds since the start of 1970.
fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
