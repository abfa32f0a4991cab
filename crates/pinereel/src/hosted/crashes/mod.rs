//! Requests under which endpoints crash, as this instance knows them.
//!
//! The decisions are `pinereel_core::crash`'s. What this instance sees it tells over the links of the
//! bulletin, up and down, and each instance passes on what is news to it. Whoever reads for all keeps it in
//! the store, so that it outlasts a restart of all. Nothing is said, kept or asked while nothing crashes.

mod stored;

pub use stored::{StoredReports, take_reports_object};

use super::{metrics::Metrics, news};
use crate::state::Clock;
use pinereel_core::{
    Time,
    crash::{
        Change, ChangeKind, EndpointStart, Identity, Placement, Register, Report, RequestStatus,
    },
};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Requests of one message: 200 bytes each.
const MAX_REPORTS_PER_MESSAGE: usize = 128;
/// Pause between two messages, so that what comes together goes together: a thousand crashes in a second
/// make 50 messages a link.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Pause between two looks for what is too old to count.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Where news of crashes come from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A request of this instance.
    Local,
    /// Another instance.
    Peer,
    /// The object store.
    Store,
    /// Whoever is on call.
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

/// Requests under which endpoints crash.
pub struct CrashTracker {
    register: RefCell<Register>,
    clock: Clock,
    metrics: Metrics,
    /// Grows with each change of what is known.
    change_count: watch::Sender<u64>,
    /// Endpoints where requests in doubt of this instance run now.
    occupied: RefCell<BTreeSet<EndpointStart>>,
}

/// A request in doubt runs at an endpoint; until this is dropped, no other one of this instance does.
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
    /// Nothing known yet.
    pub fn new(clock: Clock, metrics: &Metrics) -> Rc<Self> {
        let crashes = Rc::new(Self {
            register: RefCell::default(),
            clock,
            metrics: metrics.clone(),
            change_count: watch::channel(0).0,
            occupied: RefCell::default(),
        });
        let tracker = Rc::clone(&crashes);
        actix_rt::spawn(async move { tracker.expire_old().await });
        crashes
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.register.borrow().is_empty()
    }

    /// Tells each change of what is known.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// How a request stands. `identity` is made only if anything is known of any.
    pub fn status(&self, identity: impl FnOnce() -> Identity) -> RequestStatus {
        let register = self.register.borrow();
        if register.is_empty() {
            return RequestStatus::Unrestricted;
        }
        register.status(self.now(), &identity())
    }

    /// Where a request in doubt may run, of the endpoints that are `open`.
    pub fn place(&self, identity: &Identity, open: &[EndpointStart]) -> Placement {
        let occupied = self.occupied.borrow();
        let register = self.register.borrow();
        register.place(self.now(), identity, open, &occupied)
    }

    /// A request in doubt begins to run there.
    pub fn occupy(self: &Rc<Self>, start: &EndpointStart) -> Occupancy {
        self.occupied.borrow_mut().insert(start.clone());
        Occupancy {
            crashes: Rc::clone(self),
            start: start.clone(),
        }
    }

    /// The endpoints, of those that are `open`, where nothing may begin now but a request with a last chance.
    pub fn reserved(&self, open: impl FnOnce() -> Vec<EndpointStart>) -> BTreeSet<EndpointStart> {
        let register = self.register.borrow();
        if !register.has_isolated() {
            return BTreeSet::new();
        }
        register.reserved(self.now(), &open())
    }

    /// Waits while a request must not run; says whether it had to.
    pub async fn wait_while_blocked(&self, identity: impl Fn() -> Identity) -> bool {
        let mut changes = self.changes();
        let mut waited = false;
        while matches!(self.status(&identity), RequestStatus::Blocked { .. }) {
            waited = true;
            if changes.changed().await.is_err() {
                break;
            }
        }
        waited
    }

    /// An endpoint crashed while a request ran there; `alone` if it had its last chance.
    pub fn record_crash(&self, identity: Identity, start: EndpointStart, isolated: bool) {
        log::warn!(identity:% = identity, endpoint = start.endpoint.as_str(), incarnation = start.incarnation, alone = isolated; "endpoint crashed under a request");
        self.count_event("crash");
        self.apply(Source::Local, |register, now| match isolated {
            true => register.crashed_isolated(now, identity, start),
            false => register.crashed(now, identity, start),
        });
    }

    /// An endpoint answered a request, sent `took` ago, with an answer of its own: the request can come to
    /// its end, and the endpoint lives.
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
            let mut changes = register.completed(now, identity);
            changes.extend(register.endpoint_answered(now, &start, now.earlier_by(duration)));
            changes
        });
    }

    /// Another instance or the store tells of requests.
    pub fn merge(&self, source: Source, reports: Vec<Report>) {
        self.apply(source, |register, now| register.merge(now, reports));
    }

    /// An operator says that a request may run again.
    pub fn clear(&self, identity: Identity) -> bool {
        self.apply(Source::Operator, |register, now| {
            register.clear(now, identity)
        })
    }

    /// All that is known.
    pub fn reports(&self) -> Vec<Report> {
        self.register.borrow().reports(self.now())
    }

    /// Waits until others are to be told something, and gives it.
    pub async fn next_pending(&self) -> Vec<Report> {
        let take_pending = || {
            self.register
                .borrow_mut()
                .take_pending(self.now(), MAX_REPORTS_PER_MESSAGE)
        };
        news::next(self.changes(), take_pending).await
    }

    /// What is untold is gathered for a moment between two messages.
    pub async fn delay_next_message() {
        sleep(MESSAGE_DELAY).await;
    }

    /// Takes news in; says whether they changed anything.
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
        let (known, refused) = self.register.borrow().len();
        self.metrics.note_suspects(known, refused);
        self.change_count.send_modify(|changes| *changes += 1);
    }

    fn log_change(&self, source: Source, change: &Change) {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.kind,
            endpoints = change.endpoints,
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

    /// Counts one event.
    pub fn count_event(&self, event: &str) {
        self.metrics.count(&self.metrics.crashes, &[event]);
    }

    /// Forgets what is too old to count.
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
