//! Admission queues: one per pool, for live requests that wait for an endpoint, and retry budgets.
//!
//! [`admit`] returns a [`Permit`] once a request may start. Dropping the permit, at the request's
//! end or because its caller disconnected, frees the request's slot exactly once.

use crate::{
    logging::DecisionKind,
    state::{Shared, spawn},
};
use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time,
    admit::{Action, Event, Limits, Queue, Reason, RequestKey},
    budget::{self, Bucket},
    endpoint::State,
    route::Priority,
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    pin::pin,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::oneshot, time::sleep};

/// All priorities; a pool's number of waiting requests is the sum over them.
const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Straggler, Priority::Bulk];

/// State of the queues controller.
#[derive(Debug)]
pub struct Queues {
    pools: RefCell<BTreeMap<CompactString, PoolQueue>>,
    next_key: Cell<u64>,
    seed: u64,
}

/// One pool's queue, the requests in it, and its retry budget.
#[derive(Debug)]
struct PoolQueue {
    queue: Queue,
    /// Capacity that was last passed to the queue.
    slots: u32,
    requests: BTreeMap<RequestKey, RequestState>,
    retry_budget: Bucket,
}

/// State of a request in its pool's queue.
#[derive(Debug)]
enum RequestState {
    /// The request waits; the channel receives the decision on it.
    Waiting(oneshot::Sender<Result<(), Refusal>>),
    /// The request was started and occupies a slot.
    Started,
}

/// Refusal of a request, which did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// Delay after which the request would be admitted.
    pub retry_after: Duration,
}

/// A request that arrives at its pool's queue.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Pool of endpoints that it is for.
    pub pool: CompactString,
    /// Id of the request, for the log.
    pub id: CompactString,
    /// Priority in the queue.
    pub priority: Priority,
    /// Time after which an answer is useless; a request that waits until then is refused.
    pub deadline: Time,
    /// Most requests that may wait in its pool's queue, for each priority.
    pub max_waiting: usize,
}

/// A request's place in its pool's queue, freed when dropped.
pub struct Permit {
    shared: Rc<Shared>,
    arrival: Arrival,
    key: RequestKey,
    /// Whether the request got its complete answer.
    is_successful: Cell<bool>,
}

impl Queues {
    /// Starts without queues; `seed` seeds the jitter of [`Refusal::retry_after`].
    pub fn new(seed: u64) -> Self {
        Self {
            pools: RefCell::default(),
            next_key: Cell::new(0),
            seed,
        }
    }

    /// Number of waiting requests of a pool.
    pub fn waiting(&self, pool: &str) -> usize {
        let pools = self.pools.borrow();
        pools.get(pool).map_or(0, PoolQueue::waiting)
    }

    /// Whether a request that must be answered within `time_budget` would be admitted now.
    pub fn admits(&self, pool: &str, priority: Priority, time_budget: Duration) -> bool {
        let pools = self.pools.borrow();
        let pool = pools.get(pool);
        pool.is_none_or(|pool| pool.queue.admits(priority, time_budget))
    }

    /// Number of requests of a pool that were started and have not ended.
    pub fn running(&self, pool: &str) -> usize {
        let pools = self.pools.borrow();
        pools.get(pool).map_or(0, |pool| pool.queue.running())
    }
}

impl PoolQueue {
    fn new(now: Time, seed: u64) -> Self {
        Self {
            queue: Queue::new(Limits::default(), seed),
            slots: 0,
            requests: BTreeMap::new(),
            retry_budget: Bucket::new(budget::Settings::RETRY, now),
        }
    }

    fn waiting(&self) -> usize {
        PRIORITIES.iter().map(|p| self.queue.waiting(*p)).sum()
    }

    /// Feeds an event to the queue and notifies the requests that it decides on.
    fn step(&mut self, now: Time, event: Event) {
        for action in self.queue.step(now, event) {
            self.notify(action);
        }
    }

    fn notify(&mut self, action: Action) {
        // A caller that has disconnected frees its place when its permit is dropped.
        match action {
            Action::Start { key } => {
                let state = self.requests.insert(key, RequestState::Started);
                if let Some(RequestState::Waiting(sender)) = state {
                    let _ = sender.send(Ok(()));
                }
            }
            Action::Refuse {
                key,
                reason,
                retry_after,
            } => {
                if let Some(RequestState::Waiting(sender)) = self.requests.remove(&key) {
                    let _ = sender.send(Err(Refusal {
                        reason,
                        retry_after,
                    }));
                }
            }
        }
    }
}

/// Waits until the request may start.
///
/// # Errors
/// The request is refused, on arrival or at its deadline, and did not run.
pub async fn admit(shared: &Rc<Shared>, arrival: Arrival) -> Result<Permit, Refusal> {
    let number = shared.queues.next_key.get();
    shared.queues.next_key.set(number + 1);
    let permit = Permit {
        shared: Rc::clone(shared),
        is_successful: Cell::new(false),
        key: RequestKey(number),
        arrival,
    };
    permit
        .wait_in_queue(Event::Arrived {
            key: permit.key,
            priority: permit.arrival.priority,
            deadline: permit.arrival.deadline,
        })
        .await?;
    Ok(permit)
}

impl Permit {
    /// State shared by the parts of the entry that the request is served at.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Records that the request got its complete answer, which adds to the pool's retry budget.
    pub fn record_success(&self) {
        self.is_successful.set(true);
        self.update_pool(|pool, now| pool.retry_budget.note_success(now));
    }

    /// Refusal of a request whose deadline passed after its start, but before it was sent.
    pub fn expired_refusal(&self) -> Refusal {
        let mut retry_after = Duration::ZERO;
        self.update_pool(|pool, _| {
            let estimate = pool.queue.estimate(self.arrival.priority);
            retry_after = estimate.wait.max(estimate.service);
        });
        Refusal {
            reason: Reason::Expired,
            retry_after,
        }
    }

    /// Puts the request back at the front of the queue, as no endpoint had a free slot, and waits
    /// again.
    ///
    /// # Errors
    /// The deadline passed.
    pub async fn requeue(&self) -> Result<(), Refusal> {
        let key = self.key;
        self.wait_in_queue(Event::Requeued { key }).await
    }

    /// Feeds the event to the queue and waits for its decision, at most until the deadline.
    async fn wait_in_queue(&self, event: Event) -> Result<(), Refusal> {
        let (sender, decision) = oneshot::channel();
        let state = RequestState::Waiting(sender);
        self.update_pool(|pool, now| {
            pool.queue.set_limits(Limits {
                max_waiting: self.arrival.max_waiting,
                ..Limits::default()
            });
            pool.requests.insert(self.key, state);
            pool.step(now, event);
        });
        let result = self.wait_for_decision(decision).await;
        if let Err(refused) = result {
            let reason = format_compact!("{:?}", refused.reason);
            self.shared
                .log_decision(DecisionKind::Admit, &self.arrival.id, None, &reason);
        }
        result
    }

    async fn wait_for_decision(
        &self,
        decision: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Result<(), Refusal> {
        let mut decision = pin!(decision);
        loop {
            let remaining = self.arrival.deadline.since(self.shared.now());
            tokio::select! {
                biased;
                result = &mut decision => {
                    return result.expect("a waiting request is notified before it is removed");
                }
                // The queue refuses whatever has waited until its deadline.
                () = sleep(remaining) => self.update_pool(|pool, now| pool.step(now, Event::Tick)),
            }
        }
    }

    fn update_pool(&self, update: impl FnOnce(&mut PoolQueue, Time)) {
        update_pool(&self.shared, &self.arrival.pool, update);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let key = self.key;
        let succeeded = self.is_successful.get();
        self.update_pool(|pool, now| match pool.requests.remove(&key) {
            Some(RequestState::Started) if succeeded => pool.step(now, Event::Finished { key }),
            Some(RequestState::Started) => pool.step(now, Event::Aborted { key }),
            Some(RequestState::Waiting(_)) => pool.step(now, Event::Cancelled { key }),
            None => {}
        });
    }
}

/// Takes a retry from the pool's budget and counts it; false if the budget is exhausted.
pub fn take_retry(shared: &Shared, pool: &CompactString) -> bool {
    let mut ok = false;
    update_pool(shared, pool, |pool, now| ok = pool.retry_budget.take(now));
    if ok {
        shared.metrics.retries.with_label_values(&[pool]).inc();
    }
    ok
}

/// Starts the task that ticks pools with waiting requests whenever a slot may have become free.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            let mut freed = pin!(shared.endpoints.capacity_freed.notified());
            // Register for the notification before ticking, so that no free slot is missed.
            freed.as_mut().enable();
            tick_waiting_pools(&shared);
            freed.await;
        }
    });
}

fn tick_waiting_pools(shared: &Shared) {
    let waiting: Vec<_> = {
        let pools = shared.queues.pools.borrow();
        let waiting = pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        waiting.map(|(name, _)| name.clone()).collect()
    };
    for name in waiting {
        update_pool(shared, &name, |pool, now| pool.step(now, Event::Tick));
    }
}

/// Applies `update` to a pool's queue after updating its capacity, then sets its metrics.
fn update_pool(shared: &Shared, name: &CompactString, update: impl FnOnce(&mut PoolQueue, Time)) {
    let now = shared.now();
    let slots = capacity(shared, name);
    let mut pools = shared.queues.pools.borrow_mut();
    if !pools.contains_key(name) {
        pools.insert(name.clone(), PoolQueue::new(now, shared.queues.seed));
    }
    let pool = pools
        .get_mut(name)
        .expect("inserted above if it was missing");
    if pool.slots != slots {
        pool.slots = slots;
        pool.step(now, Event::Capacity { slots });
    }
    update(pool, now);
    let labels = [name.as_str()];
    let metrics = &shared.metrics;
    let waiting = metrics.waiting.with_label_values(&labels);
    waiting.set(pool.waiting() as i64);
    let running = metrics.in_flight.with_label_values(&labels);
    running.set(pool.queue.running() as i64);
}

/// Number of requests that the pool's endpoints accept at a time from this entry. Ejected endpoints
/// count only if there are no others, as in routing.
fn capacity(shared: &Shared, pool: &str) -> u32 {
    let set = shared.endpoints.set();
    let (mut live, mut ejected) = (0, 0);
    for (_, endpoint) in set.pool(pool) {
        match endpoint.state {
            State::Live => live += endpoint.limit(),
            State::Ejected { .. } => ejected += endpoint.limit(),
            State::Leaving | State::Gone => {}
        }
    }
    if live > 0 { live } else { ejected }
}
