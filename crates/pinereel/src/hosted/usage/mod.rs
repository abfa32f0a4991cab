//! Usage metering: counts the requests of each workspace that began to run, and reports the sum of all
//! instances to the platform.
//!
//! [`Meter`] keeps the counts of this instance and the reports received from others, with the types
//! of [`pinereel_core::usage`]. Changed reports go up the broadcast tree. The instance at its root
//! sums them up, stores the sum of each time window, and sends it to the platform ([`report()`]).
//! Nothing is counted or sent if the settings ask for no usage reports.

mod report;

pub use report::{Dependencies, report};

use super::pending;
use crate::{restart::spawn_restarted, settings};
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

/// Maximum number of reports in one message to another instance. A report takes about 100 bytes.
const MAX_BATCH_LEN: usize = 64;
/// Interval between messages to another instance, so that changes are sent in batches.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks whether a window has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the end of a window until it is closed. By then, a request that began just before the
/// end has been counted, or retracted because it did not run.
const CLOSE_DELAY: Duration = Duration::from_millis(250);
/// Number of windows that are kept besides the open one: those that may still be reported.
const KEPT_WINDOWS: u64 = 6;

/// Counts of this instance and reports received from others.
pub struct Meter {
    /// Length of a window; `None` if usage is not reported.
    window_length: Option<Duration>,
    ledger: RefCell<Ledger>,
    wall_clock: RefCell<WallClock>,
    clock: fn() -> Time,
    change_count: watch::Sender<u64>,
    /// Number of instances in the tree, as far as this one knows.
    instance_count: RefCell<InstanceCount>,
}

/// A request that was counted; passed to [`Meter::retract`] if it did not run.
#[derive(Debug)]
pub struct CountedRequest {
    window: Window,
    workspace: compact_str::CompactString,
}

impl Meter {
    /// Starts to count and to close windows; `id` identifies this run of the instance in its reports.
    pub fn start(settings: Option<&settings::Usage>, id: &str, clock: fn() -> Time) -> Rc<Self> {
        let meter = Rc::new(Self {
            window_length: settings.map(|settings| settings.window),
            ledger: RefCell::new(Ledger::new(id)),
            wall_clock: RefCell::new(WallClock::new(clock(), system_time_millis())),
            clock,
            change_count: watch::channel(0).0,
            instance_count: RefCell::default(),
        });
        if let Some(window_length) = meter.window_length {
            let state = Rc::clone(&meter);
            spawn_restarted("usage windows", async move || {
                state.close_windows(window_length).await;
            });
        }
        meter
    }

    /// The wall-clock time, without jumps of the system clock.
    pub fn wall_time(&self) -> WallTime {
        self.wall_clock.borrow().wall_time((self.clock)())
    }

    /// Counts a request that begins to run. Returns `None` if the caller has no workspace, or usage is
    /// not reported.
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

    /// Takes back the count of a request that turned out not to have run.
    pub fn retract(&self, request: CountedRequest) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.add(request.window, &request.workspace, -1);
        drop(ledger);
        self.note_change();
    }

    /// Merges reports received from the parent or a child in the tree.
    pub fn merge(&self, reports: Vec<Report>) {
        if self.window_length.is_none() {
            return;
        }
        self.ledger.borrow_mut().merge(reports);
        self.note_change();
    }

    /// All known reports, for a new parent.
    pub fn all_reports(&self) -> Vec<Report> {
        self.ledger.borrow().all_reports()
    }

    /// Waits for changed reports, and takes up to [`MAX_BATCH_LEN`] of them to send.
    pub async fn next_unsent(&self) -> Vec<Report> {
        let take_unsent = || self.ledger.borrow_mut().take_unsent(MAX_BATCH_LEN);
        pending::next_batch(self.change_count.subscribe(), take_unsent).await
    }

    /// Waits between two messages, so that further changes go into the next batch.
    pub async fn wait_between_sends() {
        sleep(SEND_INTERVAL).await;
    }

    /// Records the number of instances that are in the tree now.
    pub fn observe_instance_count(&self, count: usize) {
        let now = (self.clock)();
        self.instance_count.borrow_mut().observe(now, count);
    }

    /// Number of instances whose reports to wait for.
    fn expected_instances(&self) -> usize {
        self.instance_count.borrow().expected()
    }

    fn note_change(&self) {
        if self.ledger.borrow().has_unsent() {
            self.change_count.send_modify(|changes| *changes += 1);
        }
    }

    /// Closes each window after its end, and drops old ones.
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

/// The system clock, in milliseconds since the Unix epoch.
fn system_time_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
