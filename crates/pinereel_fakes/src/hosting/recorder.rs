//! Records what callers and endpoints observed, and checks the guarantees of the system against it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// An order that an engine received.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id of the engine.
    pub engine: String,
    /// Holder of the lease that sent the order.
    pub holder: String,
    /// Fencing token of the lease.
    pub fence: u64,
    /// When the engine received the order.
    pub at: Instant,
    /// Whether the engine accepted the order.
    pub accepted: bool,
}

/// What the headers of a request told an endpoint about the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Credential of the caller, which endpoints must never get.
    pub credential: Option<String>,
}

/// The observations of all fakes of a site, and the violations of guarantees.
#[derive(Default)]
pub struct Recorder {
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    /// For each plain request, the service of each run.
    runs: BTreeMap<String, Vec<String>>,
    /// For each item, the versions of the weights that produced its events.
    versions: BTreeMap<String, BTreeSet<u64>>,
    /// Number of events that all engines produced.
    event_count: u64,
    /// For each request, the identity of the caller at each run.
    callers: BTreeMap<String, Vec<CallerIdentity>>,
    /// Items that engines received, with the time.
    arrivals: Vec<(String, Instant)>,
    orders: Vec<Order>,
    /// Requests that leaving endpoints received, with the time since the endpoint announced it.
    late_requests: Vec<(String, Duration)>,
    /// Number of answers of 500, by request.
    failures: BTreeMap<String, usize>,
    violations: Vec<String>,
}

impl Recorder {
    /// Returns a recorder without observations.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, violation: impl Into<String>) {
        let violation = violation.into();
        // Whoever runs the soak test by hand should see the violation at once.
        eprintln!("BROKEN: {violation}");
        self.inner.borrow_mut().violations.push(violation);
    }

    /// Returns all violations in the order in which they were found.
    pub fn violations(&self) -> Vec<String> {
        self.inner.borrow().violations.clone()
    }

    /// Records what an endpoint was told about the caller of a request.
    pub fn record_caller(&self, id: &str, caller: CallerIdentity) {
        let mut inner = self.inner.borrow_mut();
        inner.callers.entry(id.into()).or_default().push(caller);
    }

    /// Returns what endpoints were told about the caller of a request, once for each run.
    pub fn callers(&self, id: &str) -> Vec<CallerIdentity> {
        let inner = self.inner.borrow();
        inner.callers.get(id).cloned().unwrap_or_default()
    }

    /// Records that a service ran a request.
    pub fn record_run(&self, id: &str, service: &str) {
        let mut inner = self.inner.borrow_mut();
        let runs = inner.runs.entry(id.into()).or_default();
        runs.push(service.into());
    }

    /// Returns how many times services ran a request.
    pub fn run_count(&self, id: &str) -> usize {
        self.inner.borrow().runs.get(id).map_or(0, Vec::len)
    }

    /// Returns the service that last ran a request.
    pub fn last_service(&self, id: &str) -> Option<String> {
        self.inner.borrow().runs.get(id)?.last().cloned()
    }

    /// Records that an endpoint answered a request with status 500.
    pub fn record_failure(&self, id: &str) {
        let mut inner = self.inner.borrow_mut();
        *inner.failures.entry(id.into()).or_default() += 1;
    }

    /// Returns how many times endpoints answered a request with status 500.
    pub fn failure_count(&self, id: &str) -> usize {
        self.inner.borrow().failures.get(id).copied().unwrap_or(0)
    }

    /// Records that an engine produced an event of an item by `version` of the weights.
    pub fn record_event(&self, item: &str, version: u64) {
        let mut inner = self.inner.borrow_mut();
        inner
            .versions
            .entry(item.into())
            .or_default()
            .insert(version);
        inner.event_count += 1;
    }

    /// Returns the number of events that all engines produced.
    pub fn event_count(&self) -> u64 {
        self.inner.borrow().event_count
    }

    /// Returns the versions of the weights that produced the events of an item.
    pub fn versions(&self, item: &str) -> BTreeSet<u64> {
        let inner = self.inner.borrow();
        inner.versions.get(item).cloned().unwrap_or_default()
    }

    /// Records that an engine received an item.
    pub fn record_arrival(&self, item: &str) {
        let mut inner = self.inner.borrow_mut();
        inner.arrivals.push((item.into(), Instant::now()));
    }

    /// Returns whether an engine received one of `items` after `moment`.
    pub fn any_arrived_after(&self, items: &BTreeSet<String>, moment: Instant) -> bool {
        let inner = self.inner.borrow();
        let mut arrivals = inner.arrivals.iter();
        arrivals.any(|(item, at)| items.contains(item) && *at > moment)
    }

    /// Records that an endpoint received a request `delay` after it announced that it leaves.
    pub fn record_late_request(&self, id: &str, delay: Duration) {
        self.inner
            .borrow_mut()
            .late_requests
            .push((id.into(), delay));
    }

    /// Returns the longest time after which a leaving endpoint still received a request.
    pub fn max_lateness(&self) -> Duration {
        let inner = self.inner.borrow();
        let delays = inner.late_requests.iter().map(|(_, delay)| *delay);
        delays.max().unwrap_or_default()
    }

    /// Records an order that an engine received.
    pub fn record_order(&self, order: Order) {
        self.inner.borrow_mut().orders.push(order);
    }

    /// Checks that each fencing token has only one holder, and that no engine accepted an order
    /// with a lower token than one it had received before.
    pub fn check_orders(&self) {
        let orders = self.inner.borrow().orders.clone();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        let mut max_fences: BTreeMap<&str, u64> = BTreeMap::new();
        for order in &orders {
            let holder = holders.entry(order.fence).or_insert(&order.holder);
            if *holder != order.holder {
                let (fence, other) = (order.fence, &order.holder);
                self.record_violation(format!(
                    "{holder} and {other} both sent orders with fencing token {fence}"
                ));
            }
            let max_fence = max_fences.entry(&order.engine).or_default();
            if order.accepted && order.fence < *max_fence {
                let (engine, fence) = (&order.engine, order.fence);
                self.record_violation(format!(
                    "{engine} accepted fencing token {fence} after {max_fence}"
                ));
            }
            *max_fence = order.fence.max(*max_fence);
        }
    }

    /// Checks that no endpoint got a credential, or a workspace other than `workspace`.
    pub fn check_callers(&self, workspace: &str) {
        let callers = self.inner.borrow().callers.clone();
        for (id, callers) in callers {
            for caller in callers {
                let is_expected = caller
                    .workspace
                    .as_deref()
                    .is_none_or(|own| own == workspace);
                if !is_expected || caller.credential.is_some() {
                    self.record_violation(format!(
                        "{id} was sent to an endpoint as the request of {caller:?}"
                    ));
                }
            }
        }
    }

    /// Returns the number of orders that engines accepted.
    pub fn accepted_order_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.orders.iter().filter(|order| order.accepted).count()
    }
}
