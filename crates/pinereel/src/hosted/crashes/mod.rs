//! Tracks requests that crash endpoints, and shares them among instances.
//!
//! [`pinereel_core::crash`] decides whether and where such a request may run. An instance sends
//! reports of the crashes that it observes over its links to other instances, and every instance
//! forwards reports that are new to it. The instance that reads the store for all others also saves
//! the reports there, so that they survive a restart of all instances. Without crashes, nothing is
//! sent or stored.

mod stored;

pub use stored::{StoredReports, take_reports_object};

use super::{metrics::Metrics, pending};
use crate::{restart::spawn_restarted, state::Clock};
use pinereel_core::{
    Time,
    crash::{
        Change, ChangeKind, EndpointStart, Identity, Placement, Register, Report, RequestStatus,
    },
};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Maximum number of reports in one message; a report takes about 200 bytes.
const MAX_REPORTS_PER_MESSAGE: usize = 128;
/// Delay between two messages, so that reports are batched: 1,000 crashes in a second take 50
/// messages per link.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Interval at which expired records are removed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Origin of crash reports, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Observed by this instance.
    Local,
    /// Another instance.
    Peer,
    /// The object store.
    Store,
    /// An operator.
    Operator,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Local => "own",
            Self::Peer => "link",
            Self::Store => "store",
            Self::Operator => "operator",
        }
    }
}

/// Crash records of one instance.
pub struct CrashTracker {
    register: RefCell<Register>,
    clock: Clock,
    metrics: Metrics,
    /// Number of changes of the register so far.
    change_count: watch::Sender<u64>,
    /// Endpoints at which suspected requests of this instance are running.
    occupied: RefCell<BTreeSet<EndpointStart>>,
}

/// Marks an endpoint as occupied by a suspected request: until it is dropped, no other suspected
/// request of this instance is placed there.
pub struct Occupancy {
    crashes: Rc<CrashTracker>,
    start: EndpointStart,
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        self.crashes.occupied.borrow_mut().remove(&self.start);
    }
}

impl CrashTracker {
    /// Returns a tracker without records, and starts a task that removes expired ones.
    pub fn new(clock: Clock, metrics: &Metrics) -> Rc<Self> {
        let crashes = Rc::new(Self {
            register: RefCell::default(),
            clock,
            metrics: metrics.clone(),
            change_count: watch::channel(0).0,
            occupied: RefCell::default(),
        });
        let tracker = Rc::clone(&crashes);
        spawn_restarted("crash records", async move || tracker.expire_old().await);
        crashes
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether no request has a crash record.
    pub fn is_empty(&self) -> bool {
        self.register.borrow().is_empty()
    }

    /// Notifies of each change of the records.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Whether the request may run, and under which restriction. `identity` is computed only if
    /// there are records.
    pub fn status(&self, identity: impl FnOnce() -> Identity) -> RequestStatus {
        let register = self.register.borrow();
        if register.is_empty() {
            return RequestStatus::Unrestricted;
        }
        register.status(self.now(), &identity())
    }

    /// Where a suspected request may run; `open` are the endpoints that accept requests.
    pub fn place(&self, identity: &Identity, open: &[EndpointStart]) -> Placement {
        let occupied = self.occupied.borrow();
        let register = self.register.borrow();
        register.place(self.now(), identity, open, &occupied)
    }

    /// Marks the endpoint as occupied by a suspected request that starts there.
    pub fn occupy(self: &Rc<Self>, start: &EndpointStart) -> Occupancy {
        self.occupied.borrow_mut().insert(start.clone());
        Occupancy {
            crashes: Rc::clone(self),
            start: start.clone(),
        }
    }

    /// The endpoints at which only isolated requests may start now, out of those that accept requests
    /// (`open`).
    pub fn reserved(&self, open: impl FnOnce() -> Vec<EndpointStart>) -> BTreeSet<EndpointStart> {
        let register = self.register.borrow();
        if !register.has_isolated() {
            return BTreeSet::new();
        }
        register.reserved(self.now(), &open())
    }

    /// Records that an endpoint crashed while the request ran there; `isolated` if the request ran
    /// in isolation.
    pub fn record_crash(&self, identity: Identity, start: EndpointStart, isolated: bool) {
        log::warn!(identity:% = identity, endpoint = start.endpoint.as_str(), incarnation = start.incarnation, alone = isolated; "endpoint crashed under a request");
        self.count_event("crash");
        self.apply(Source::Local, |register, now| match isolated {
            true => register.crashed_isolated(now, identity, start),
            false => register.crashed(now, identity, start),
        });
    }

    /// Records that an endpoint answered a request that was sent `duration` ago: a run of the
    /// request completed, and the endpoint is alive.
    pub fn record_answer(
        &self,
        identity: impl FnOnce() -> Identity,
        start: EndpointStart,
        duration: Duration,
    ) {
        if self.is_empty() {
            return;
        }
        let identity = identity();
        self.apply(Source::Local, |register, now| {
            register.completed(now, identity)
        });
        self.record_alive(&start, duration);
    }

    /// Records that an endpoint answered an item that was sent `duration` ago, so that it is alive.
    pub fn record_alive(&self, start: &EndpointStart, duration: Duration) {
        if !self.is_empty() {
            self.apply(Source::Local, |register, now| {
                register.endpoint_answered(now, start, now.earlier_by(duration))
            });
        }
    }

    /// Merges reports of another instance or from the store.
    pub fn merge(&self, source: Source, reports: Vec<Report>) {
        self.apply(source, |register, now| register.merge(now, reports));
    }

    /// An operator allows the request to run again. Returns whether that changed its status.
    pub fn clear(&self, identity: Identity) -> bool {
        self.apply(Source::Operator, |register, now| {
            register.clear(now, identity)
        })
    }

    /// Reports of all records.
    pub fn reports(&self) -> Vec<Report> {
        self.register.borrow().reports(self.now())
    }

    /// Waits until there are reports to send to other instances, and takes them.
    pub async fn next_pending(&self) -> Vec<Report> {
        let take = || {
            self.register
                .borrow_mut()
                .take_pending(self.now(), MAX_REPORTS_PER_MESSAGE)
        };
        pending::next_batch(self.changes(), take).await
    }

    /// Waits for the delay between two messages, while further reports accumulate.
    pub async fn delay_next_message() {
        sleep(MESSAGE_DELAY).await;
    }

    /// Applies `step` to the register, logs the changes and notifies of them. Returns whether a
    /// request's status changed.
    fn apply(&self, source: Source, step: impl FnOnce(&mut Register, Time) -> Vec<Change>) -> bool {
        let changes = step(&mut self.register.borrow_mut(), self.now());
        for change in &changes {
            self.log_change(source, change);
        }
        let has_pending = self.register.borrow().has_pending();
        if has_pending || !changes.is_empty() {
            self.notify_changed();
        }
        !changes.is_empty()
    }

    fn notify_changed(&self) {
        let (known, refused) = self.register.borrow().counts();
        self.metrics.set_crash_suspects(known, refused);
        self.change_count.send_modify(|changes| *changes += 1);
    }

    fn log_change(&self, source: Source, change: &Change) {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.kind,
            endpoints = change.crashes,
            age_ms = change.age.as_millis() as u64,
            source = source.as_str();
            "request that crashes endpoints"
        );
        self.count_event(match change.kind {
            ChangeKind::Suspected => "doubt",
            ChangeKind::Blocked => "verdict",
            ChangeKind::Unblocked => "acquitted",
            ChangeKind::Cleared => "cleared",
        });
    }

    /// Counts an event in the metrics; `event` is the label.
    pub fn count_event(&self, event: &str) {
        self.metrics.count(&self.metrics.crash_events, &[event]);
    }

    /// Removes expired records at an interval; idle while there are none.
    async fn expire_old(&self) {
        let mut changes = self.changes();
        loop {
            if self.is_empty() {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            sleep(EXPIRY_CHECK_INTERVAL).await;
            let expired = self.register.borrow_mut().expire(self.now());
            if expired {
                self.notify_changed();
            }
        }
    }
}
