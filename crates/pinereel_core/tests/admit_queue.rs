//! Admission: bounds hold, nothing is held, and Retry-After is honest.

use pinereel_core::{
    Time,
    admit::{Action, Event, Limits, Queue, Reason, Ticket},
    hash,
    route::Priority,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const LIMITS: Limits = Limits {
    waiting: 8,
    retry_after: Duration::from_secs(60),
};
const ORDER: [Priority; 3] = [Priority::Bulk, Priority::Straggler, Priority::Live];

/// What the oracle knows of the queue: who waits and who runs.
#[derive(Default)]
struct Oracle {
    waiting: BTreeMap<Ticket, (Priority, Time)>,
    running: Vec<Ticket>,
    priorities: BTreeMap<Ticket, (Priority, Time)>,
}

impl Oracle {
    fn take(&mut self, actions: &[Action], now: Time, slots: u32) {
        for action in actions {
            match *action {
                Action::Start { ticket } => {
                    let (priority, deadline) = self.waiting.remove(&ticket).expect("it waits");
                    assert!(deadline > now, "started after its deadline");
                    let first = self.waiting.values().all(|(p, _)| *p <= priority);
                    assert!(first, "a lower priority overtook");
                    self.running.push(ticket);
                    assert!(self.running.len() <= slots as usize, "beyond the slots");
                }
                Action::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => {
                    self.waiting.remove(&ticket).expect("it waits or just came");
                    assert!(retry_after <= LIMITS.retry_after);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn all_are_started_or_answered_by_their_deadline(
        ops in vec((0..12u8, 0..400u64, 0..3usize, 1..3_000u64), 1..200),
    ) {
        let (mut now, mut slots, mut oracle) = (Time::ZERO, 0, Oracle::default());
        let mut queue = Queue::new(LIMITS, 5);
        for (number, (op, wait, priority, budget)) in ops.into_iter().enumerate() {
            now = now + Duration::from_millis(wait);
            let mut blocked = false;
            let event = match op {
                0..6 => {
                    let ticket = Ticket(number as u64);
                    let (priority, deadline) = (ORDER[priority], now + Duration::from_millis(budget));
                    oracle.waiting.insert(ticket, (priority, deadline));
                    oracle.priorities.insert(ticket, (priority, deadline));
                    Event::Arrived { ticket, priority, deadline }
                }
                6..9 if !oracle.running.is_empty() => {
                    let ticket = oracle.running.remove(0);
                    Event::Finished { ticket }
                }
                9 if !oracle.running.is_empty() => {
                    let ticket = oracle.running.remove(0);
                    oracle.waiting.insert(ticket, oracle.priorities[&ticket]);
                    blocked = true;
                    Event::Returned { ticket }
                }
                10 => match oracle.waiting.keys().next().copied() {
                    Some(ticket) => {
                        oracle.waiting.remove(&ticket);
                        Event::Cancelled { ticket }
                    }
                    None => Event::Tick,
                },
                11 => {
                    slots = (budget % 5) as u32;
                    Event::Capacity { slots }
                }
                _ => Event::Tick,
            };
            let actions = queue.step(now, event);
            if blocked {
                // The returned one and those below it wait; only higher ones may start.
                for action in &actions {
                    if let Action::Start { ticket } = action {
                        oracle.running.push(*ticket);
                        oracle.waiting.remove(ticket);
                    }
                }
                let refused: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).copied().collect();
                oracle.take(&refused, now, slots);
            } else {
                oracle.take(&actions, now, slots.max(oracle.running.len() as u32));
            }
            prop_assert!(oracle.waiting.values().all(|(_, deadline)| *deadline > now), "held beyond");
            prop_assert_eq!(queue.running(), oracle.running.len());
            for priority in ORDER {
                let count = oracle.waiting.values().filter(|(p, _)| *p == priority).count();
                prop_assert_eq!(queue.waiting(priority), count);
                // One that was returned may stand one beyond the bound for each slot.
                prop_assert!(count <= LIMITS.waiting + 5);
            }
            let first = oracle.waiting.values().map(|(_, deadline)| *deadline).min();
            prop_assert_eq!(queue.wake(), first);
        }
    }
}

fn arrive(queue: &mut Queue, at: u64, ticket: u64, priority: Priority, budget: u64) -> Vec<Action> {
    let event = Event::Arrived {
        ticket: Ticket(ticket),
        priority,
        deadline: Time::from_millis(at + budget),
    };
    queue.step(Time::from_millis(at), event)
}

#[test]
fn live_before_straggler_before_bulk() {
    let mut queue = Queue::new(LIMITS, 1);
    for (ticket, priority) in ORDER.into_iter().enumerate() {
        queue.step(Time::ZERO, Event::Capacity { slots: 1 });
        arrive(&mut queue, 0, 10 + ticket as u64, priority, 90_000);
    }
    let mut order = vec![10];
    for at in 1..3 {
        let ticket = Ticket(order[order.len() - 1]);
        for action in queue.step(Time::from_millis(at), Event::Finished { ticket }) {
            if let Action::Start { ticket } = action {
                order.push(ticket.0);
            }
        }
    }
    assert_eq!(order, [10, 12, 11]);
}

#[test]
fn a_full_queue_refuses_at_once() {
    let mut queue = Queue::new(LIMITS, 1);
    queue.step(Time::ZERO, Event::Capacity { slots: 1 });
    for ticket in 0..9 {
        let actions = arrive(&mut queue, 0, ticket, Priority::Bulk, 60_000);
        assert_eq!(actions.is_empty(), ticket > 0);
    }
    let actions = arrive(&mut queue, 0, 9, Priority::Bulk, 60_000);
    let [Action::Refuse { reason, .. }] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(reason, Reason::QueueFull);
    // Another priority has its own bound.
    assert!(arrive(&mut queue, 0, 10, Priority::Live, 60_000).is_empty());
}

/// Four slots of 150 to 250 ms each (20 a second) and requests with a budget of 800 ms for a
/// minute, so many in each millisecond. A refused one comes back when it was
/// told to, up to five times. The error is against the first moment at which any would be admitted.
fn simulate(arrivals: impl Fn(u64) -> u64) -> String {
    let mut queue = Queue::new(Limits::default(), 3);
    queue.step(Time::ZERO, Event::Capacity { slots: 4 });
    let mut finish: BTreeSet<(u64, u64)> = BTreeSet::new();
    let mut back: BTreeSet<(u64, u64)> = BTreeSet::new();
    let mut asked: Vec<u64> = Vec::new();
    let (mut errors, mut returned, mut admitted, mut expired, mut served) =
        (Vec::new(), 0, 0, 0, 0);
    let budget = Duration::from_millis(800);
    for at in 0..60_000 {
        let mut actions = Vec::new();
        while let Some((when, ticket)) = finish.first().copied() {
            if when > at {
                break;
            }
            finish.remove(&(when, ticket));
            served += 1;
            let ticket = Ticket(ticket);
            actions.extend(queue.step(Time::from_millis(at), Event::Finished { ticket }));
        }
        for n in 0..arrivals(at) {
            let ticket = at * 1_000 + n * 10;
            actions.extend(arrive(&mut queue, at, ticket, Priority::Live, 800));
        }
        while let Some((when, ticket)) = back.first().copied() {
            if when > at {
                break;
            }
            back.remove(&(when, ticket));
            returned += 1;
            let answer = arrive(&mut queue, at, ticket + 1, Priority::Live, 800);
            let refused =
                |a: &Action| matches!(a, Action::Refuse { ticket: t, .. } if t.0 == ticket + 1);
            admitted += u32::from(!answer.iter().any(refused));
            actions.extend(answer);
        }
        actions.extend(queue.step(Time::from_millis(at), Event::Tick));
        // When would those who were told a time really have been admitted?
        if queue.admits(Priority::Live, budget) {
            errors.extend(asked.drain(..).map(|due| due as f64 - at as f64));
        }
        for action in actions {
            match action {
                Action::Start { ticket } => {
                    let jitter = hash::mix(ticket.0) % 100;
                    finish.insert((at + 150 + jitter, ticket.0));
                }
                Action::Refuse {
                    reason: Reason::Expired,
                    ..
                } => expired += 1,
                Action::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => {
                    let due = at + retry_after.as_millis() as u64;
                    asked.push(due);
                    if ticket.0 % 10 < 5 {
                        back.insert((due, ticket.0));
                    }
                }
            }
        }
    }
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    let wide = errors.iter().map(|e| e.abs()).sum::<f64>() / errors.len() as f64;
    let told = errors.len();
    format!(
        "served {served} expired {expired} returned {returned} admitted on return {admitted}, \
         told {told} error mean {mean:.0} ms, absolute {wide:.0} ms"
    )
}

#[test]
fn retry_after_is_honest_under_lasting_overload() {
    let summary = simulate(|at| u64::from(at % 100 < 3));
    insta::assert_snapshot!(summary, @"served 1191 expired 0 returned 5099 admitted on return 962, told 5672 error mean 814 ms, absolute 814 ms");
}

#[test]
fn retry_after_is_honest_after_bursts() {
    let summary = simulate(|at| if at % 5_000 == 0 { 30 } else { 0 });
    insta::assert_snapshot!(summary, @"served 350 expired 10 returned 200 admitted on return 163, told 200 error mean 330 ms, absolute 353 ms");
}
