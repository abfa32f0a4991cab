//! The bounded queue of one pool.

use super::{Action, Estimate, Event, Limits, Reason, RequestKey, rate::Rate};
use crate::{Time, hash, route::Priority};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Priorities in the order of service.
const ORDER: [Priority; 3] = [Priority::Live, Priority::Straggler, Priority::Bulk];
/// Retry-After before any request has shown how long one takes.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);
/// Largest share by which Retry-After is made longer at random.
const JITTER: f64 = 0.1;

/// Requests of one pool that wait for an endpoint.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    slots: u32,
    waiting: BTreeMap<Priority, VecDeque<Waiting>>,
    deadlines: BTreeSet<(Time, RequestKey)>,
    running: BTreeMap<RequestKey, Running>,
    /// Highest priority that found no endpoint although slots are free: nothing up to it starts
    /// before something changes.
    blocked: Option<Priority>,
    rate: Rate,
    /// Place of the last Retry-After, for each priority: the next one comes after it.
    promised: BTreeMap<Priority, Time>,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: RequestKey,
    deadline: Time,
    /// Time from the arrival to the deadline.
    budget: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Waiting,
    priority: Priority,
    since: Time,
}

impl Queue {
    /// An empty queue without capacity; the seed decides the jitter.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            slots: 0,
            waiting: ORDER.into_iter().map(|p| (p, VecDeque::new())).collect(),
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            blocked: None,
            rate: Rate::default(),
            promised: BTreeMap::new(),
            seed,
        }
    }

    /// Changes the bounds; what waits already stays.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes in one event; returns what to do, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let busy = self.is_busy();
        self.rate.pass(now, busy);
        let mut actions = Vec::new();
        match event {
            Event::Arrived {
                key,
                priority,
                deadline,
            } => {
                let budget = deadline.since(now);
                let request = Waiting {
                    key,
                    deadline,
                    budget,
                };
                actions.extend(self.arrived(now, priority, request));
            }
            Event::Finished { key } => self.finished(now, key, busy),
            Event::Aborted { key } => self.aborted(key, busy),
            Event::Requeued { key } => self.returned(key),
            Event::Cancelled { key } => self.remove(key),
            Event::Capacity { slots } => {
                self.slots = slots;
                self.blocked = None;
            }
            Event::Tick => self.blocked = None,
        }
        self.expire(now, &mut actions);
        self.start(now, &mut actions);
        actions
    }

    /// When an [`Event::Tick`] is needed next: the earliest deadline of those that wait.
    pub fn next_tick_at(&self) -> Option<Time> {
        self.deadlines.first().map(|(time, _)| *time)
    }

    /// Requests of `priority` that wait.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.waiting[&priority].len()
    }

    /// Requests that were started and haven't ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What a request of `priority` has to expect if it arrives now.
    pub fn estimate(&self, priority: Priority) -> Estimate {
        let service = Duration::from_secs_f64(self.rate.service());
        Estimate {
            wait: self.time_of(self.places_before(priority)),
            service,
        }
    }

    /// Whether a request that must be answered within `budget` would be admitted now.
    pub fn admits(&self, priority: Priority, budget: Duration) -> bool {
        self.judge(priority, budget).is_none()
    }

    fn judge(&self, priority: Priority, budget: Duration) -> Option<Reason> {
        let estimate = self.estimate(priority);
        if self.slots == 0 {
            Some(Reason::NoCapacity)
        } else if self.waiting(priority) >= self.limits.max_waiting {
            Some(Reason::QueueFull)
        } else if !estimate.wait.is_zero() && estimate.wait + estimate.service > budget {
            Some(Reason::TooLate)
        } else {
            None
        }
    }

    fn arrived(&mut self, now: Time, priority: Priority, request: Waiting) -> Option<Action> {
        if let Some(reason) = self.judge(priority, request.budget) {
            let retry_after = self.retry_after(now, priority, request);
            return Some(Action::Refuse {
                key: request.key,
                reason,
                retry_after,
            });
        }
        self.deadlines.insert((request.deadline, request.key));
        self.queue(priority).push_back(request);
        None
    }

    fn finished(&mut self, now: Time, key: RequestKey, busy: bool) {
        if let Some(running) = self.running.remove(&key) {
            self.rate.finished(now.since(running.since), busy);
            self.blocked = None;
        }
    }

    fn aborted(&mut self, key: RequestKey, busy: bool) {
        if self.running.remove(&key).is_some() {
            self.rate.aborted(busy);
            self.blocked = None;
        }
    }

    fn returned(&mut self, key: RequestKey) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let Running {
            request, priority, ..
        } = running;
        self.deadlines.insert((request.deadline, key));
        self.queue(priority).push_front(request);
        self.blocked = self.blocked.max(Some(priority));
    }

    /// Refuses what has waited until its deadline.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let (priority, request) = self.find(key);
            self.remove(key);
            actions.push(self.refuse(now, priority, request));
        }
    }

    fn refuse(&mut self, now: Time, priority: Priority, request: Waiting) -> Action {
        Action::Refuse {
            key: request.key,
            reason: Reason::Expired,
            retry_after: self.retry_after(now, priority, request),
        }
    }

    /// Whether a request has waited until it can't be answered in time, by the mean service time.
    /// One that starts as it arrives gets its chance: else nothing would ever correct the mean.
    fn is_hopeless(&self, now: Time, request: &Waiting) -> bool {
        let left = request.deadline.since(now);
        let service = Duration::from_secs_f64(self.rate.service());
        left < request.budget && left < service
    }

    /// Starts what there is room for, live before straggler before bulk. What has waited too long
    /// to be answered in time is refused in its stead: started, it would take the place of one
    /// that still can be.
    fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.running.len() < self.slots as usize {
            let Some((priority, next)) = self.pop() else {
                return;
            };
            self.deadlines.remove(&(next.deadline, next.key));
            if self.is_hopeless(now, &next) {
                actions.push(self.refuse(now, priority, next));
                continue;
            }
            let running = Running {
                request: next,
                priority,
                since: now,
            };
            self.running.insert(next.key, running);
            let key = next.key;
            actions.push(Action::Start { key });
        }
    }

    fn pop(&mut self) -> Option<(Priority, Waiting)> {
        let blocked = self.blocked;
        ORDER
            .into_iter()
            .filter(|p| Some(*p) > blocked)
            .find_map(|p| Some((p, self.queue(p).pop_front()?)))
    }

    fn queue(&mut self, priority: Priority) -> &mut VecDeque<Waiting> {
        self.waiting.entry(priority).or_default()
    }

    fn find(&self, key: RequestKey) -> (Priority, Waiting) {
        self.waiting
            .iter()
            .flat_map(|(priority, queue)| queue.iter().map(|w| (*priority, *w)))
            .find(|(_, waiting)| waiting.key == key)
            .expect("whatever has a deadline waits")
    }

    fn remove(&mut self, key: RequestKey) {
        for queue in self.waiting.values_mut() {
            queue.retain(|w| w.key != key);
        }
        self.deadlines.retain(|(_, t)| *t != key);
    }

    fn is_busy(&self) -> bool {
        let full = self.running.len() >= self.slots as usize;
        self.slots > 0 && (full || self.blocked.is_some())
    }

    /// Completions needed before a new request of `priority` starts.
    fn places_before(&self, priority: Priority) -> f64 {
        let ahead: usize = self.waiting.range(priority..).map(|(_, q)| q.len()).sum();
        let free = i64::from(self.slots) - self.running.len() as i64;
        (ahead as i64 + 1 - free).max(0) as f64
    }

    fn time_of(&self, places: f64) -> Duration {
        let rate = self.rate.per_second(self.slots).filter(|r| *r > 0.0);
        let seconds = rate.map_or(0.0, |rate| places / rate);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Time until the same request would be admitted: the queue must have drained so far that the
    /// wait fits its budget.
    ///
    /// Requests refused together get places in a line, one completion apart, so that they don't
    /// all come back for the same place. The line reaches one budget beyond the drain: under
    /// lasting overload new arrivals take the places, and a longer line would be an idle promise.
    fn retry_after(&mut self, now: Time, priority: Priority, request: Waiting) -> Duration {
        let Waiting { key, budget, .. } = request;
        let Some(rate) = self.rate.per_second(self.slots).filter(|r| *r > 0.0) else {
            return self.jitter(UNKNOWN_RETRY, key);
        };
        let estimate = self.estimate(priority);
        let over_bound = (self.waiting(priority) + 1).saturating_sub(self.limits.max_waiting);
        let fits = budget.saturating_sub(estimate.service);
        let drain = estimate
            .wait
            .saturating_sub(fits)
            .max(Duration::from_secs_f64(over_bound as f64 / rate));
        // One completion at least, else the same refusal would come again.
        let place = Duration::from_secs_f64(1.0 / rate);
        let last = self.promised.get(&priority).copied().unwrap_or_default();
        let line = (last + place).since(now).min(drain + budget);
        let due = drain.max(place).max(line);
        self.promised.insert(priority, now + due);
        let told = self.jitter(due, key);
        told.min(self.limits.max_retry_after)
    }

    fn jitter(&self, base: Duration, key: RequestKey) -> Duration {
        let chance = hash::mix(self.seed ^ hash::mix(key.0)) >> 11;
        let share = chance as f64 / (1u64 << 53) as f64;
        base.mul_f64(1.0 + JITTER * share)
    }
}
