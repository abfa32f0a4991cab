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
const MAX_BATCH_LEN: usize = 64;
/// Pause between two messages, so that what comes together goes together.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two looks at the time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A window is closed so long after its end: a request that began just before it has been counted, or found not to run.
const CLOSE_DELAY: Duration = Duration::from_millis(250);
/// Windows that are kept beside the one that is open: those that may still be reported.
const KEPT_WINDOWS: u64 = 6;

/// Counts of this instance and of those that tell it.
pub struct Meter {
    /// Length of a window; none if nothing is reported.
    window_length: Option<Duration>,
    ledger: RefCell<Ledger>,
    wall_clock: RefCell<WallClock>,
    clock: fn() -> Time,
    change_count: watch::Sender<u64>,
    /// Instances in all, as far as this one knows.
    instance_count: RefCell<InstanceCount>,
}

/// A request that counts as begun.
#[derive(Debug)]
pub struct CountedRequest {
    window: Window,
    workspace: compact_str::CompactString,
}

impl Meter {
    /// Counts from now on, as the instance start `id`.
    pub fn start(settings: Option<&settings::Usage>, id: &str, clock: fn() -> Time) -> Rc<Self> {
        let usage = Rc::new(Self {
            window_length: settings.map(|settings| settings.window),
            ledger: RefCell::new(Ledger::new(id)),
            wall_clock: RefCell::new(WallClock::new(clock(), system_time_millis())),
            clock,
            change_count: watch::channel(0).0,
            instance_count: RefCell::default(),
        });
        if let Some(window_length) = usage.window_length {
            let state = Rc::clone(&usage);
            actix_rt::spawn(async move { state.close_windows(window_length).await });
        }
        usage
    }

    /// True time.
    pub fn wall_time(&self) -> WallTime {
        self.wall_clock.borrow().wall_time((self.clock)())
    }

    /// A request begins to run.
    pub fn count(&self, caller: &Caller) -> Option<CountedRequest> {
        let workspace = caller.workspace()?;
        let window = self.wall_time().window(self.window_length?);
        self.ledger.borrow_mut().add(window, workspace, 1);
        self.note_change();
        Some(CountedRequest {
            window,
            workspace: workspace.into(),
        })
    }

    /// It did not run after all.
    pub fn retract(&self, request: CountedRequest) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.add(request.window, &request.workspace, -1);
        drop(ledger);
        self.note_change();
    }

    /// A neighbour tells of counts.
    pub fn merge(&self, reports: Vec<Report>) {
        if self.window_length.is_none() {
            return;
        }
        self.ledger.borrow_mut().merge(reports);
        self.note_change();
    }

    /// All that is known, for a new parent.
    pub fn all_reports(&self) -> Vec<Report> {
        self.ledger.borrow().all_reports()
    }

    /// Waits until others are to be told something, and gives it.
    pub async fn next_unsent(&self) -> Vec<Report> {
        let take_unsent = || self.ledger.borrow_mut().take_unsent(MAX_BATCH_LEN);
        pending::next_batch(self.change_count.subscribe(), take_unsent).await
    }

    /// What is untold is gathered for a moment between two messages.
    pub async fn wait_between_sends() {
        sleep(SEND_INTERVAL).await;
    }

    /// So many instances are in the tree now.
    pub fn observe_instance_count(&self, count: usize) {
        let now = (self.clock)();
        self.instance_count.borrow_mut().observe(now, count);
    }

    /// Instances whose counts are waited for.
    fn expected_instances(&self) -> usize {
        self.instance_count.borrow().expected()
    }

    fn note_change(&self) {
        if self.ledger.borrow().has_unsent() {
            self.change_count.send_modify(|changes| *changes += 1);
        }
    }

    /// Closes windows, and forgets old ones.
    async fn close_windows(&self, window_length: Duration) {
        let mut last_closed = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = (self.clock)();
            self.wall_clock
                .borrow_mut()
                .observe(now, system_time_millis());
            let window = self.wall_time().window(window_length);
            let ended = Window(window.0.saturating_sub(1));
            if last_closed >= Some(ended)
                || self.wall_time() < ended.end(window_length).after(CLOSE_DELAY)
            {
                continue;
            }
            last_closed = Some(ended);
            let mut ledger = self.ledger.borrow_mut();
            ledger.close(ended);
            ledger.forget_before(Window(window.0.saturating_sub(KEPT_WINDOWS)));
            let counts = ledger.own_counts(ended);
            drop(ledger);
            if !counts.is_empty() {
                log::info!(window = ended.0, counts:serde = counts; "usage: window closed here");
            }
            self.note_change();
        }
    }
}

/// What the machine's time of day tells, in milliseconds since the start of 1970.
fn system_time_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
