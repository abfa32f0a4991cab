//! What callers and endpoints saw, and the promises that it is checked against.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// One order that an engine received.
#[derive(Clone, Debug)]
pub struct Order {
    /// Engine's id.
    pub engine: String,
    /// Who gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// When it came.
    pub at: Instant,
    /// Whether the engine accepted it.
    pub accepted: bool,
}

/// What an endpoint was told of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Its workspace.
    pub workspace: Option<String>,
    /// Its credential.
    pub credential: Option<String>,
}

/// All that was seen, by everyone.
#[derive(Default)]
pub struct Recorder {
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Runs of plain requests by id, with the service that ran them.
    runs: BTreeMap<String, Vec<String>>,
    /// Versions under which each item's events were made.
    made: BTreeMap<String, BTreeSet<u64>>,
    /// Events that engines made in all.
    events: u64,
    /// What endpoints were told of the callers, by request.
    told: BTreeMap<String, Vec<CallerIdentity>>,
    /// Items at engines: id and when they came.
    arrivals: Vec<(String, Instant)>,
    orders: Vec<Order>,
    /// Work that came to endpoints that were leaving: id, and for how long they had been.
    late: Vec<(String, Duration)>,
    violations: Vec<String>,
}

impl Recorder {
    /// An empty recorder.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// A broken promise.
    pub fn record_violation(&self, what: impl Into<String>) {
        let what = what.into();
        // Seen at once by who runs the soak by hand.
        eprintln!("BROKEN: {what}");
        self.inner.borrow_mut().violations.push(what);
    }

    /// All broken promises.
    pub fn violations(&self) -> Vec<String> {
        self.inner.borrow().violations.clone()
    }

    /// An endpoint was told of a request's caller.
    pub fn record_caller(&self, id: &str, told: CallerIdentity) {
        let mut inner = self.inner.borrow_mut();
        inner.told.entry(id.into()).or_default().push(told);
    }

    /// What endpoints were told of a request's caller.
    pub fn callers(&self, id: &str) -> Vec<CallerIdentity> {
        let inner = self.inner.borrow();
        inner.told.get(id).cloned().unwrap_or_default()
    }

    /// A service ran a request.
    pub fn record_run(&self, id: &str, service: &str) {
        let mut inner = self.inner.borrow_mut();
        let runs = inner.runs.entry(id.into()).or_default();
        runs.push(service.into());
    }

    /// How often a request ran.
    pub fn run_count(&self, id: &str) -> usize {
        self.inner.borrow().runs.get(id).map_or(0, Vec::len)
    }

    /// An engine made an event of an item.
    pub fn record_event(&self, item: &str, version: u64) {
        let mut inner = self.inner.borrow_mut();
        inner.made.entry(item.into()).or_default().insert(version);
        inner.events += 1;
    }

    /// Events that engines made in all.
    pub fn event_count(&self) -> u64 {
        self.inner.borrow().events
    }

    /// The versions under which an item's events were made.
    pub fn versions(&self, item: &str) -> BTreeSet<u64> {
        let inner = self.inner.borrow();
        inner.made.get(item).cloned().unwrap_or_default()
    }

    /// An item came to an engine.
    pub fn record_arrival(&self, item: &str) {
        let mut inner = self.inner.borrow_mut();
        inner.arrivals.push((item.into(), Instant::now()));
    }

    /// Whether one of `items` came to an engine after `moment`.
    pub fn any_arrived_after(&self, items: &BTreeSet<String>, moment: Instant) -> bool {
        let inner = self.inner.borrow();
        let mut arrivals = inner.arrivals.iter();
        arrivals.any(|(item, at)| items.contains(item) && *at > moment)
    }

    /// Work came to an endpoint that had been leaving for `since`.
    pub fn record_late_request(&self, id: &str, since: Duration) {
        self.inner.borrow_mut().late.push((id.into(), since));
    }

    /// The longest time that an endpoint had been leaving when work came.
    pub fn max_lateness(&self) -> Duration {
        let inner = self.inner.borrow();
        let times = inner.late.iter().map(|(_, since)| *since);
        times.max().unwrap_or_default()
    }

    /// An engine received an order.
    pub fn record_order(&self, order: Order) {
        self.inner.borrow_mut().orders.push(order);
    }

    /// Checks the orders: one holder a fencing token, and none that goes back at an engine that
    /// accepted a higher one.
    pub fn check_orders(&self) {
        let orders = self.inner.borrow().orders.clone();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
        for order in &orders {
            let holder = holders.entry(order.fence).or_insert(&order.holder);
            if *holder != order.holder {
                let (fence, other) = (order.fence, &order.holder);
                self.record_violation(format!(
                    "{holder} and {other} both ordered under fence {fence}"
                ));
            }
            let seen = newest.entry(&order.engine).or_default();
            if order.accepted && order.fence < *seen {
                let (engine, fence) = (&order.engine, order.fence);
                self.record_violation(format!("{engine} accepted fence {fence} after {seen}"));
            }
            *seen = order.fence.max(*seen);
        }
    }

    /// Checks what endpoints were told of callers: no key, and no workspace but theirs.
    pub fn check_callers(&self, workspace: &str) {
        let told = self.inner.borrow().told.clone();
        for (id, told) in told {
            for told in told {
                let is_true = told
                    .workspace
                    .as_deref()
                    .is_none_or(|told| told == workspace);
                if !is_true || told.credential.is_some() {
                    self.record_violation(format!("{id} came to an endpoint as {told:?}"));
                }
            }
        }
    }

    /// Orders that were accepted.
    pub fn accepted_order_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.orders.iter().filter(|order| order.accepted).count()
    }
}
