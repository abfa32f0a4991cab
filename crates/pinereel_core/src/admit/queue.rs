//! Bounded queue of the requests of one pool, by priority and deadline.

use super::{Action, Estimate, Event, Limits, Reason, RequestKey, rate::Rate};
use crate::{Time, hash, route::Priority};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// All priorities, highest first.
const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Straggler, Priority::Bulk];
/// Retry-After while no service time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum random extension of Retry-After, as a fraction of it.
const MAX_JITTER_SHARE: f64 = 0.1;

/// Queue of the requests of one pool that wait for an endpoint.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    slots: u32,
    waiting: BTreeMap<Priority, VecDeque<Request>>,
    deadlines: BTreeSet<(Time, RequestKey)>,
    running: BTreeMap<RequestKey, Running>,
    /// Highest priority of the requests that found no endpoint although slots are free. No request
    /// of this or a lower priority starts until a request ends, the capacity changes or a tick
    /// comes.
    blocked_up_to: Option<Priority>,
    rate: Rate,
    /// Time to which the last Retry-After of each priority pointed; the next one points to a time
    /// at least one completion later.
    last_retry_at: BTreeMap<Priority, Time>,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    key: RequestKey,
    deadline: Time,
    /// Time from arrival to deadline.
    time_budget: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    priority: Priority,
    started_at: Time,
}

impl Queue {
    /// Creates an empty queue without slots. `seed` determines the jitter of Retry-After.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            slots: 0,
            waiting: PRIORITIES
                .into_iter()
                .map(|p| (p, VecDeque::new()))
                .collect(),
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            blocked_up_to: None,
            rate: Rate::default(),
            last_retry_at: BTreeMap::new(),
            seed,
        }
    }

    /// Changes the limits; requests that wait already stay in the queue.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Handles one event and returns the actions that follow, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let busy = self.is_busy();
        self.rate.advance(now, busy);
        let mut actions = Vec::new();
        match event {
            Event::Arrived {
                key,
                priority,
                deadline,
            } => {
                let time_budget = deadline.since(now);
                let request = Request {
                    key,
                    deadline,
                    time_budget,
                };
                actions.extend(self.admit(now, priority, request));
            }
            Event::Finished { key } => self.on_finished(now, key, busy),
            Event::Aborted { key } => self.on_aborted(key, busy),
            Event::Requeued { key } => self.requeue(key),
            Event::Cancelled { key } => self.remove(key),
            Event::Capacity { slots } => {
                self.slots = slots;
                self.blocked_up_to = None;
            }
            Event::Tick => self.blocked_up_to = None,
        }
        self.expire(now, &mut actions);
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Time at which the next [`Event::Tick`] is needed: the earliest deadline of a waiting
    /// request.
    pub fn next_tick_at(&self) -> Option<Time> {
        self.deadlines.first().map(|(time, _)| *time)
    }

    /// Number of waiting requests of `priority`.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.waiting[&priority].len()
    }

    /// Number of requests that were started and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Predicts wait and service time of a request of `priority` that arrives now.
    pub fn estimate(&self, priority: Priority) -> Estimate {
        let service = Duration::from_secs_f64(self.rate.service_bound());
        Estimate {
            wait: self.drain_time(self.completions_before_start(priority)),
            service,
        }
    }

    /// Whether a request that must be answered within `time_budget` would be admitted now.
    pub fn admits(&self, priority: Priority, time_budget: Duration) -> bool {
        self.refusal_reason(priority, time_budget).is_none()
    }

    fn refusal_reason(&self, priority: Priority, time_budget: Duration) -> Option<Reason> {
        let estimate = self.estimate(priority);
        if self.slots == 0 {
            Some(Reason::NoCapacity)
        } else if self.waiting(priority) >= self.limits.max_waiting {
            Some(Reason::QueueFull)
        } else if !estimate.wait.is_zero() && estimate.wait + estimate.service > time_budget {
            Some(Reason::TooLate)
        } else {
            None
        }
    }

    fn admit(&mut self, now: Time, priority: Priority, request: Request) -> Option<Action> {
        if let Some(reason) = self.refusal_reason(priority, request.time_budget) {
            let retry_after = self.retry_after(now, priority, request);
            return Some(Action::Refuse {
                key: request.key,
                reason,
                retry_after,
            });
        }
        self.deadlines.insert((request.deadline, request.key));
        self.queue_mut(priority).push_back(request);
        None
    }

    fn on_finished(&mut self, now: Time, key: RequestKey, busy: bool) {
        if let Some(running) = self.running.remove(&key) {
            self.rate.finished(now.since(running.started_at), busy);
            self.blocked_up_to = None;
        }
    }

    fn on_aborted(&mut self, key: RequestKey, busy: bool) {
        if self.running.remove(&key).is_some() {
            self.rate.aborted(busy);
            self.blocked_up_to = None;
        }
    }

    fn requeue(&mut self, key: RequestKey) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let Running {
            request, priority, ..
        } = running;
        self.deadlines.insert((request.deadline, key));
        self.queue_mut(priority).push_front(request);
        self.blocked_up_to = self.blocked_up_to.max(Some(priority));
    }

    /// Refuses the waiting requests whose deadline has passed.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let (priority, request) = self.find_waiting(key);
            self.remove(key);
            actions.push(self.refuse_expired(now, priority, request));
        }
    }

    fn refuse_expired(&mut self, now: Time, priority: Priority, request: Request) -> Action {
        Action::Refuse {
            key: request.key,
            reason: Reason::Expired,
            retry_after: self.retry_after(now, priority, request),
        }
    }

    /// Whether a request has waited so long that it cannot finish in time, by the estimate of
    /// service times. A request that starts on arrival is never refused here; otherwise an estimate
    /// that is too high would never be corrected.
    fn misses_deadline(&self, now: Time, request: &Request) -> bool {
        let remaining = request.deadline.since(now);
        let service = Duration::from_secs_f64(self.rate.service_bound());
        remaining < request.time_budget && remaining < service
    }

    /// Starts as many requests as there are free slots, live before straggler before bulk. Requests
    /// that can no longer finish in time are refused instead, as they would take the slots of
    /// requests that still can.
    fn start_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.running.len() < self.slots as usize {
            let Some((priority, next)) = self.pop() else {
                return;
            };
            self.deadlines.remove(&(next.deadline, next.key));
            if self.misses_deadline(now, &next) {
                actions.push(self.refuse_expired(now, priority, next));
                continue;
            }
            let running = Running {
                request: next,
                priority,
                started_at: now,
            };
            self.running.insert(next.key, running);
            let key = next.key;
            actions.push(Action::Start { key });
        }
    }

    fn pop(&mut self) -> Option<(Priority, Request)> {
        let blocked_up_to = self.blocked_up_to;
        PRIORITIES
            .into_iter()
            .filter(|p| Some(*p) > blocked_up_to)
            .find_map(|p| Some((p, self.queue_mut(p).pop_front()?)))
    }

    fn queue_mut(&mut self, priority: Priority) -> &mut VecDeque<Request> {
        self.waiting.entry(priority).or_default()
    }

    fn find_waiting(&self, key: RequestKey) -> (Priority, Request) {
        self.waiting
            .iter()
            .flat_map(|(priority, queue)| queue.iter().map(|w| (*priority, *w)))
            .find(|(_, waiting)| waiting.key == key)
            .expect("every stored deadline belongs to a waiting request")
    }

    fn remove(&mut self, key: RequestKey) {
        for queue in self.waiting.values_mut() {
            queue.retain(|w| w.key != key);
        }
        self.deadlines.retain(|(_, other)| *other != key);
    }

    fn is_busy(&self) -> bool {
        let full = self.running.len() >= self.slots as usize;
        self.slots > 0 && (full || self.blocked_up_to.is_some())
    }

    /// Number of completions needed before a new request of `priority` starts.
    fn completions_before_start(&self, priority: Priority) -> f64 {
        let ahead: usize = self.waiting.range(priority..).map(|(_, q)| q.len()).sum();
        let free = i64::from(self.slots) - self.running.len() as i64;
        (ahead as i64 + 1 - free).max(0) as f64
    }

    fn drain_time(&self, completions: f64) -> Duration {
        let rate = self.rate.per_second(self.slots).filter(|r| *r > 0.0);
        let seconds = rate.map_or(0.0, |rate| completions / rate);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Estimated time until the same request would be admitted, when the queue has drained so far
    /// that the wait fits the request's time budget.
    ///
    /// Requests that are refused together get times one completion apart, so that they do not all
    /// return for the same slot. These times end one time budget after the drain: under lasting
    /// overload new arrivals take the slots, so a later time would not be kept either.
    fn retry_after(&mut self, now: Time, priority: Priority, request: Request) -> Duration {
        let Request {
            key, time_budget, ..
        } = request;
        let Some(rate) = self.rate.per_second(self.slots).filter(|r| *r > 0.0) else {
            return self.jitter(DEFAULT_RETRY_AFTER, key);
        };
        let estimate = self.estimate(priority);
        let over_limit = (self.waiting(priority) + 1).saturating_sub(self.limits.max_waiting);
        let max_wait = time_budget.saturating_sub(estimate.service);
        let drain = estimate
            .wait
            .saturating_sub(max_wait)
            .max(Duration::from_secs_f64(over_limit as f64 / rate));
        // At least one completion; before that the request would be refused again.
        let one_completion = Duration::from_secs_f64(1.0 / rate);
        let previous = self
            .last_retry_at
            .get(&priority)
            .copied()
            .unwrap_or_default();
        let next_slot = (previous + one_completion)
            .since(now)
            .min(drain + time_budget);
        let due = drain.max(one_completion).max(next_slot);
        self.last_retry_at.insert(priority, now + due);
        let jittered = self.jitter(due, key);
        jittered.min(self.limits.max_retry_after)
    }

    fn jitter(&self, base: Duration, key: RequestKey) -> Duration {
        let random = hash::mix(self.seed ^ hash::mix(key.0)) >> 11;
        let share = random as f64 / (1u64 << 53) as f64;
        base.mul_f64(1.0 + MAX_JITTER_SHARE * share)
    }
}
