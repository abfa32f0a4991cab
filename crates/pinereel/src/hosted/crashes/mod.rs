//! Requests under which endpoints crash, as this instance knows them.
//!
//! The decisions are `pinereel_core::crash`'s. What this instance sees it tells over the links of the
//! bulletin, up and down, and each instance passes on what is news to it. Whoever reads for all keeps it in
//! the store, so that it outlasts a restart of all. Nothing is said, kept or asked while nothing crashes.

mod kept;

pub use kept::{Kept, take_out};

use super::{metrics::Metrics, pending};
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
const BATCH: usize = 128;
/// Pause between two messages, so that what comes together goes together: a thousand crashes in a second
/// make 50 messages a link.
const GATHER: Duration = Duration::from_millis(20);
/// Pause between two looks for what is too old to count.
const SWEEP: Duration = Duration::from_secs(5);

/// Where news of crashes come from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A request of this instance.
    Own,
    /// Another instance.
    Link,
    /// The object store.
    Store,
    /// Whoever is on call.
    Operator,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Link => "link",
            Self::Store => "store",
            Self::Operator => "operator",
        }
    }
}

/// Requests under which endpoints crash.
pub struct Crashes {
    register: RefCell<Register>,
    clock: Clock,
    metrics: Metrics,
    /// Grows with each change of what is known.
    changed: watch::Sender<u64>,
    /// Endpoints where requests in doubt of this instance run now.
    occupied: RefCell<BTreeSet<EndpointStart>>,
}

/// A request in doubt runs at an endpoint; until this is dropped, no other one of this instance does.
pub struct Occupied {
    crashes: Rc<Crashes>,
    start: EndpointStart,
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.crashes.occupied.borrow_mut().remove(&self.start);
    }
}

impl Crashes {
    /// Nothing known yet.
    pub fn new(clock: Clock, metrics: &Metrics) -> Rc<Self> {
        let crashes = Rc::new(Self {
            register: RefCell::default(),
            clock,
            metrics: metrics.clone(),
            changed: watch::channel(0).0,
            occupied: RefCell::default(),
        });
        let swept = Rc::clone(&crashes);
        actix_rt::spawn(async move { swept.sweep().await });
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
        self.changed.subscribe()
    }

    /// How a request stands. `identity` is made only if anything is known of any.
    pub fn standing(&self, identity: impl FnOnce() -> Identity) -> RequestStatus {
        let register = self.register.borrow();
        if register.is_empty() {
            return RequestStatus::Unrestricted;
        }
        register.status(self.now(), &identity())
    }

    /// Where a request in doubt may run, of the endpoints that are `open`.
    pub fn seat(&self, identity: &Identity, open: &[EndpointStart]) -> Placement {
        let occupied = self.occupied.borrow();
        let register = self.register.borrow();
        register.place(self.now(), identity, open, &occupied)
    }

    /// A request in doubt begins to run there.
    pub fn occupy(self: &Rc<Self>, start: &EndpointStart) -> Occupied {
        self.occupied.borrow_mut().insert(start.clone());
        Occupied {
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
    pub async fn wait_until_free(&self, identity: impl Fn() -> Identity) -> bool {
        let mut changes = self.changes();
        let mut waited = false;
        while matches!(self.standing(&identity), RequestStatus::Blocked { .. }) {
            waited = true;
            if changes.changed().await.is_err() {
                break;
            }
        }
        waited
    }

    /// An endpoint crashed while a request ran there; `alone` if it had its last chance.
    pub fn crashed(&self, identity: Identity, start: EndpointStart, alone: bool) {
        log::warn!(identity:% = identity, endpoint = start.endpoint.as_str(), incarnation = start.incarnation, alone; "endpoint crashed under a request");
        self.count("crash");
        self.step(Source::Own, |register, now| match alone {
            true => register.crashed_isolated(now, identity, start),
            false => register.crashed(now, identity, start),
        });
    }

    /// An endpoint answered a request, sent `took` ago, with an answer of its own: the request can come to
    /// its end, and the endpoint lives.
    pub fn answered(
        &self,
        identity: impl FnOnce() -> Identity,
        start: EndpointStart,
        took: Duration,
    ) {
        if self.is_empty() {
            return;
        }
        let identity = identity();
        self.step(Source::Own, |register, now| {
            let mut changes = register.completed(now, identity);
            changes.extend(register.endpoint_answered(now, &start, now.earlier_by(took)));
            changes
        });
    }

    /// Another instance or the store tells of requests.
    pub fn heard(&self, source: Source, reports: Vec<Report>) {
        self.step(source, |register, now| register.merge(now, reports));
    }

    /// An operator says that a request may run again.
    pub fn clear(&self, identity: Identity) -> bool {
        self.step(Source::Operator, |register, now| {
            register.clear(now, identity)
        })
    }

    /// All that is known.
    pub fn all(&self) -> Vec<Report> {
        self.register.borrow().reports(self.now())
    }

    /// Waits until others are to be told something, and gives it.
    pub async fn untold(&self) -> Vec<Report> {
        let untold = || self.register.borrow_mut().take_pending(self.now(), BATCH);
        pending::next_batch(self.changes(), untold).await
    }

    /// What is untold is gathered for a moment between two messages.
    pub async fn gather() {
        sleep(GATHER).await;
    }

    /// Takes news in; says whether they changed anything.
    fn step(&self, source: Source, step: impl FnOnce(&mut Register, Time) -> Vec<Change>) -> bool {
        let changes = step(&mut self.register.borrow_mut(), self.now());
        for change in &changes {
            self.tell(source, change);
        }
        let is_news = self.register.borrow().has_pending();
        if is_news || !changes.is_empty() {
            self.note_change();
        }
        !changes.is_empty()
    }

    fn note_change(&self) {
        let (known, refused) = self.register.borrow().len();
        self.metrics.set_crash_suspects(known, refused);
        self.changed.send_modify(|changes| *changes += 1);
    }

    fn tell(&self, source: Source, change: &Change) {
        log::warn!(
            identity:% = change.identity,
            what:serde = change.kind,
            endpoints = change.endpoints,
            age_ms = change.age.as_millis() as u64,
            source = source.as_str();
            "request that crashes endpoints"
        );
        self.count(match change.kind {
            ChangeKind::Suspected => "doubt",
            ChangeKind::Blocked => "verdict",
            ChangeKind::Unblocked => "acquitted",
            ChangeKind::Cleared => "cleared",
        });
    }

    /// Counts one event.
    pub fn count(&self, event: &str) {
        self.metrics.count(&self.metrics.crash_events, &[event]);
    }

    /// Forgets what is too old to count.
    async fn sweep(&self) {
        let mut changes = self.changes();
        loop {
            if self.is_empty() {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            sleep(SWEEP).await;
            let forgot = self.register.borrow_mut().expire(self.now());
            if forgot {
                self.note_change();
            }
        }
    }
}
