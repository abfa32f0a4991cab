//! Live requests that wait for an endpoint, one queue a pool, and the budget of their retries.
//!
//! A [`Turn`] is a request's place in its pool's queue, from its arrival to its end. Dropping it,
//! at the end or because the caller is gone, frees the place exactly once.

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

/// Priorities of which requests may wait.
const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Straggler, Priority::Bulk];

/// The controller's state.
#[derive(Debug)]
pub struct Queues {
    pools: RefCell<BTreeMap<CompactString, Pool>>,
    next: Cell<u64>,
    seed: u64,
}

/// One pool's queue, those in it, and its budget.
#[derive(Debug)]
struct Pool {
    queue: Queue,
    slots: u32,
    places: BTreeMap<RequestKey, Place>,
    budget: Bucket,
}

/// Where a request stands.
#[derive(Debug)]
enum Place {
    /// It waits to be told.
    Waiting(oneshot::Sender<Result<(), Refused>>),
    /// It was started.
    Started,
}

/// Why a request was given up, and when it would be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// What the queue has to know of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its pool.
    pub pool: CompactString,
    /// Its id, for the log.
    pub id: CompactString,
    /// Its priority.
    pub priority: Priority,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// Most requests of its pool and priority that may wait.
    pub most: usize,
}

/// A request's place in its pool's queue until it is dropped.
pub struct Turn {
    shared: Rc<Shared>,
    arrival: Arrival,
    key: RequestKey,
    /// Whether it got its whole answer.
    whole: Cell<bool>,
}

impl Queues {
    /// No queues yet; the seed decides the jitter of Retry-After.
    pub fn new(seed: u64) -> Self {
        Self {
            pools: RefCell::default(),
            next: Cell::new(0),
            seed,
        }
    }

    /// Requests of a pool that wait.
    pub fn waiting(&self, pool: &str) -> usize {
        let pools = self.pools.borrow();
        pools.get(pool).map_or(0, Pool::waiting)
    }

    /// Whether a request that must be answered within `budget` would be admitted now.
    pub fn admits(&self, pool: &str, priority: Priority, budget: Duration) -> bool {
        let pools = self.pools.borrow();
        let pool = pools.get(pool);
        pool.is_none_or(|pool| pool.queue.admits(priority, budget))
    }

    /// Requests of a pool that were started and haven't ended.
    pub fn running(&self, pool: &str) -> usize {
        let pools = self.pools.borrow();
        pools.get(pool).map_or(0, |pool| pool.queue.running())
    }
}

impl Pool {
    fn new(now: Time, seed: u64) -> Self {
        Self {
            queue: Queue::new(Limits::default(), seed),
            slots: 0,
            places: BTreeMap::new(),
            budget: Bucket::new(budget::Settings::RETRY, now),
        }
    }

    fn waiting(&self) -> usize {
        PRIORITIES.iter().map(|p| self.queue.waiting(*p)).sum()
    }

    /// Takes in an event and tells those whom it concerns.
    fn step(&mut self, now: Time, event: Event) {
        for action in self.queue.step(now, event) {
            self.tell(action);
        }
    }

    fn tell(&mut self, action: Action) {
        // One that is gone by now frees its place when its turn is dropped.
        match action {
            Action::Start { key } => {
                let place = self.places.insert(key, Place::Started);
                if let Some(Place::Waiting(sender)) = place {
                    let _ = sender.send(Ok(()));
                }
            }
            Action::Refuse {
                key,
                reason,
                retry_after,
            } => {
                if let Some(Place::Waiting(sender)) = self.places.remove(&key) {
                    let _ = sender.send(Err(Refused {
                        reason,
                        retry_after,
                    }));
                }
            }
        }
    }
}

/// Waits for the request's turn.
///
/// # Errors
/// It is given up, at its arrival or at its deadline; it did not run.
pub async fn enter(shared: &Rc<Shared>, arrival: Arrival) -> Result<Turn, Refused> {
    let number = shared.queues.next.get();
    shared.queues.next.set(number + 1);
    let turn = Turn {
        shared: Rc::clone(shared),
        whole: Cell::new(false),
        key: RequestKey(number),
        arrival,
    };
    turn.queue(Event::Arrived {
        key: turn.key,
        priority: turn.arrival.priority,
        deadline: turn.arrival.deadline,
    })
    .await?;
    Ok(turn)
}

impl Turn {
    /// What the entry's parts share.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// The request got its whole answer: that earns a part of a retry.
    pub fn succeeded(&self) {
        self.whole.set(true);
        self.with(|pool, now| pool.budget.note_success(now));
    }

    /// What is told to a request whose deadline passed before it was sent.
    pub fn expired(&self) -> Refused {
        let mut retry_after = Duration::ZERO;
        self.with(|pool, _| {
            let estimate = pool.queue.estimate(self.arrival.priority);
            retry_after = estimate.wait.max(estimate.service);
        });
        Refused {
            reason: Reason::Expired,
            retry_after,
        }
    }

    /// Goes back to the front of the queue, since no endpoint had room, and waits again.
    ///
    /// # Errors
    /// The deadline passed.
    pub async fn again(&self) -> Result<(), Refused> {
        let key = self.key;
        self.queue(Event::Requeued { key }).await
    }

    /// Sends the event and waits for what comes of it, until the deadline at most.
    async fn queue(&self, event: Event) -> Result<(), Refused> {
        let (sender, verdict) = oneshot::channel();
        let place = Place::Waiting(sender);
        self.with(|pool, now| {
            pool.queue.set_limits(Limits {
                max_waiting: self.arrival.most,
                ..Limits::default()
            });
            pool.places.insert(self.key, place);
            pool.step(now, event);
        });
        let told = self.told(verdict).await;
        if let Err(refused) = told {
            let reason = format_compact!("{:?}", refused.reason);
            self.shared
                .decide(DecisionKind::Admit, &self.arrival.id, None, &reason);
        }
        told
    }

    async fn told(&self, verdict: oneshot::Receiver<Result<(), Refused>>) -> Result<(), Refused> {
        let mut verdict = pin!(verdict);
        loop {
            let left = self.arrival.deadline.since(self.shared.now());
            tokio::select! {
                biased;
                told = &mut verdict => {
                    return told.expect("whoever waits is told before its place is removed");
                }
                // The queue refuses whatever has waited until its deadline.
                () = sleep(left) => self.with(|pool, now| pool.step(now, Event::Tick)),
            }
        }
    }

    fn with(&self, change: impl FnOnce(&mut Pool, Time)) {
        with(&self.shared, &self.arrival.pool, change);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let key = self.key;
        let whole = self.whole.get();
        self.with(|pool, now| match pool.places.remove(&key) {
            Some(Place::Started) if whole => pool.step(now, Event::Finished { key }),
            Some(Place::Started) => pool.step(now, Event::Aborted { key }),
            Some(Place::Waiting(_)) => pool.step(now, Event::Cancelled { key }),
            None => {}
        });
    }
}

/// Takes a retry from the pool's budget and counts it; false if the budget is used up.
pub fn retry(shared: &Shared, pool: &CompactString) -> bool {
    let mut granted = false;
    with(shared, pool, |pool, now| granted = pool.budget.take(now));
    if granted {
        shared.metrics.retries.with_label_values(&[pool]).inc();
    }
    granted
}

/// Starts the controller: what waits is looked at again whenever there may be room.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            let mut room = pin!(shared.endpoints.room.notified());
            // Listening begins before looking, so that no room is missed between the two.
            room.as_mut().enable();
            look(&shared);
            room.await;
        }
    });
}

fn look(shared: &Shared) {
    let waiting: Vec<_> = {
        let pools = shared.queues.pools.borrow();
        let waiting = pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        waiting.map(|(name, _)| name.clone()).collect()
    };
    for name in waiting {
        with(shared, &name, |pool, now| pool.step(now, Event::Tick));
    }
}

/// Changes a pool's queue, whose capacity is brought up to date first.
fn with(shared: &Shared, name: &CompactString, change: impl FnOnce(&mut Pool, Time)) {
    let now = shared.now();
    let slots = capacity(shared, name);
    let mut pools = shared.queues.pools.borrow_mut();
    if !pools.contains_key(name) {
        pools.insert(name.clone(), Pool::new(now, shared.queues.seed));
    }
    let pool = pools.get_mut(name).expect("it was put there just now");
    if pool.slots != slots {
        pool.slots = slots;
        pool.step(now, Event::Capacity { slots });
    }
    change(pool, now);
    let labels = [name.as_str()];
    let metrics = &shared.metrics;
    let waiting = metrics.queue.with_label_values(&labels);
    waiting.set(pool.waiting() as i64);
    let running = metrics.in_flight.with_label_values(&labels);
    running.set(pool.queue.running() as i64);
}

/// Requests that the pool's endpoints take at once from this entry. Ejected ones count only if
/// there are no others, as in routing.
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
