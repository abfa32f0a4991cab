//! Property test of lease candidates: at most one acts at a time, under lost answers, late writes,
//! outages, pauses and restarts.

#![allow(clippy::unwrap_used, reason = "a test may panic on unexpected results")]

use pinereel_core::{
    Time,
    lease::{Action, Candidate, Event, Lease, Timing},
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use std::{cell::RefCell, collections::VecDeque, time::Duration};

const NODE_COUNT: usize = 3;
const LEASE_DURATION_MS: u64 = 3_000;
const CLOCK_MARGIN_MS: u64 = 200;
const RETRY_INTERVAL_MS: u64 = 400;
/// Step of virtual time while the last candidate recovers.
const RECOVERY_STEP_MS: u64 = 50;

/// Effect and answer of a call to the store.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The call takes effect and is answered.
    Done,
    /// The call takes effect, and the answer is lost.
    Lost,
    /// The answer is lost, and the call may take effect later.
    Late,
    /// The call takes no effect, and the answer is lost.
    Refused,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Call {
        at: usize,
        outcome: Outcome,
    },
    Run {
        at: usize,
    },
    Flush {
        at: usize,
    },
    /// Reads the fencing token and sends an order to the engines immediately.
    Order {
        at: usize,
    },
    /// Reads the fencing token now; the order arrives later.
    SlowOrder {
        at: usize,
    },
    DeliverOrder {
        index: usize,
    },
    ApplyLateCall {
        index: usize,
    },
    Restart {
        at: usize,
    },
    Drain {
        at: usize,
    },
    Advance {
        ms: u64,
    },
}

/// A simulated engine and the fence of the last order it took. With `checks_fence` it rejects orders
/// with an older fence.
#[derive(Default)]
struct Engine {
    checks_fence: bool,
    highest_fence: u64,
    loaded_fence: u64,
}

impl Engine {
    fn order(&mut self, fence: u64) {
        if !self.checks_fence || fence >= self.highest_fence {
            self.highest_fence = self.highest_fence.max(fence);
            self.loaded_fence = fence;
        }
    }
}

struct Node {
    candidate: Candidate,
    call: Option<Action>,
    inbox: VecDeque<Event>,
    starts: u64,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    cases: u64,
    steps: u64,
    holder_changes: u64,
    late_effects: u64,
    corrected_orders: u64,
    takeover_ms: u64,
}

struct Simulation {
    now: u64,
    version: u64,
    lease: Option<(u64, Lease)>,
    late_calls: Vec<Action>,
    delayed_orders: Vec<u64>,
    nodes: Vec<Node>,
    fenced_engine: Engine,
    unfenced_engine: Engine,
    /// The last fence with which a candidate could act, and the id of that candidate.
    last_acting: (u64, String),
    counts: Counts,
}

fn timing() -> Timing {
    Timing {
        duration: Duration::from_millis(LEASE_DURATION_MS),
        clock_margin: Duration::from_millis(CLOCK_MARGIN_MS),
        retry_interval: Duration::from_millis(RETRY_INTERVAL_MS),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Self {
            now: 1_000,
            version: 0,
            lease: None,
            late_calls: Vec::new(),
            delayed_orders: Vec::new(),
            nodes: Vec::new(),
            fenced_engine: Engine {
                checks_fence: true,
                ..Engine::default()
            },
            unfenced_engine: Engine::default(),
            last_acting: (0, String::new()),
            counts: Counts::default(),
        };
        for at in 0..NODE_COUNT {
            let node = sim.start(at, 0);
            sim.nodes.push(node);
        }
        sim
    }

    fn start(&self, at: usize, starts: u64) -> Node {
        let candidate = Candidate::new(self.clock(at), format!("c{at}-{starts}"), timing());
        Node {
            candidate,
            call: None,
            inbox: VecDeque::new(),
            starts,
        }
    }

    fn clock(&self, at: usize) -> Time {
        Time::from_millis(self.now + 5_555 * at as u64)
    }

    fn fencing_token(&self, at: usize) -> Option<u64> {
        self.nodes[at].candidate.fencing_token(self.clock(at))
    }

    /// Checks that at most one candidate may act, and that the fence grows with each change of holder.
    fn check(&mut self) {
        let acting: Vec<_> = (0..NODE_COUNT)
            .filter_map(|at| Some((at, self.fencing_token(at)?)))
            .collect();
        assert!(
            acting.len() <= 1,
            "two candidates act at the same time: {acting:?}"
        );
        let Some((at, fence)) = acting.first() else {
            return;
        };
        let id = format!("c{at}-{}", self.nodes[*at].starts);
        // A candidate that lost the lease and took it again has a new fence. Only the fence of another
        // candidate, or an older one, is wrong.
        let same = (*fence, &id) == (self.last_acting.0, &self.last_acting.1);
        assert!(
            same || *fence > self.last_acting.0,
            "fence {fence} of {id} after {:?}",
            self.last_acting
        );
        self.counts.holder_changes += u64::from(!same);
        self.last_acting = (*fence, id);
    }

    fn step(&mut self, at: usize, event: Event) {
        self.counts.steps += 1;
        let now = self.clock(at);
        for action in self.nodes[at].candidate.step(now, event) {
            assert!(
                self.nodes[at].call.is_none(),
                "two calls open at the same time"
            );
            self.nodes[at].call = Some(action);
        }
        self.check();
    }

    fn effect(&mut self, action: &Action) -> Event {
        let Action::Write { expected, lease } = action else {
            return Event::Read(self.lease.clone());
        };
        if *expected != self.lease.as_ref().map(|(version, _)| *version) {
            return Event::Conflict;
        }
        self.version += 1;
        self.lease = Some((self.version, lease.clone()));
        Event::Written(self.version)
    }

    fn call(&mut self, at: usize, outcome: Outcome) {
        let Some(action) = self.nodes[at].call.take() else {
            return;
        };
        let reads = matches!(action, Action::Read);
        let lost = if reads { Event::Failed } else { Event::Unknown };
        let event = match outcome {
            Outcome::Done => self.effect(&action),
            Outcome::Lost => {
                self.effect(&action);
                lost
            }
            Outcome::Late => {
                self.late_calls.push(action);
                lost
            }
            Outcome::Refused => lost,
        };
        self.nodes[at].inbox.push_back(event);
    }

    fn run(&mut self, at: usize) {
        while let Some(event) = self.nodes[at].inbox.pop_front() {
            self.step(at, event);
        }
        self.step(at, Event::Tick);
    }

    fn flush(&mut self, at: usize) {
        for _ in 0..10 {
            self.run(at);
            self.call(at, Outcome::Done);
        }
    }

    fn order(&mut self, fence: u64) {
        self.fenced_engine.order(fence);
        self.unfenced_engine.order(fence);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Call { at, outcome } => self.call(at, outcome),
            Op::Run { at } => self.run(at),
            Op::Flush { at } => self.flush(at),
            Op::Order { at } => {
                if let Some(fence) = self.fencing_token(at) {
                    self.order(fence);
                }
            }
            Op::SlowOrder { at } => self.delayed_orders.extend(self.fencing_token(at)),
            Op::DeliverOrder { index } => {
                if !self.delayed_orders.is_empty() {
                    let fence = self
                        .delayed_orders
                        .remove(index % self.delayed_orders.len());
                    let highest = self.fenced_engine.highest_fence;
                    self.order(fence);
                    assert!(
                        self.fenced_engine.loaded_fence >= highest,
                        "an engine took an order with an older fence"
                    );
                }
            }
            Op::ApplyLateCall { index } => {
                if !self.late_calls.is_empty() {
                    let action = self.late_calls.remove(index % self.late_calls.len());
                    self.counts.late_effects += 1;
                    self.effect(&action);
                }
            }
            Op::Restart { at } => {
                let starts = self.nodes[at].starts + 1;
                self.late_calls.extend(self.nodes[at].call.take());
                self.nodes[at] = self.start(at, starts);
            }
            Op::Drain { at } => self.step(at, Event::Drain),
            Op::Advance { ms } => self.now += ms,
        }
        self.check();
    }

    /// Stops all candidates but the last one, which must hold the lease within the bound that follows
    /// from the timing.
    fn recover(&mut self) {
        let at = NODE_COUNT - 1;
        let starts = self.nodes[at].starts + 1;
        self.nodes[at] = self.start(at, starts);
        let started_at = self.now;
        while self.fencing_token(at).is_none() {
            self.now += RECOVERY_STEP_MS;
            self.flush(at);
            let bound =
                LEASE_DURATION_MS + CLOCK_MARGIN_MS + 2 * RETRY_INTERVAL_MS + 2 * RECOVERY_STEP_MS;
            assert!(
                self.now - started_at <= bound,
                "no holder after {} ms",
                self.now - started_at
            );
        }
        self.counts.takeover_ms = self.now - started_at;
        // Every delayed order arrives. The holder then repeats its order, because orders state the
        // desired version and are sent until it is reached.
        while !self.delayed_orders.is_empty() {
            self.apply(Op::DeliverOrder { index: 0 });
        }
        let fence = self.fencing_token(at).unwrap();
        self.counts.corrected_orders +=
            u64::from(self.unfenced_engine.loaded_fence < self.fenced_engine.loaded_fence);
        self.order(fence);
        assert_eq!(
            (
                self.fenced_engine.loaded_fence,
                self.unfenced_engine.loaded_fence
            ),
            (fence, fence)
        );
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let at = 0..NODE_COUNT;
    let outcome = prop_oneof![
        5 => Just(Outcome::Done), 1 => Just(Outcome::Lost), 1 => Just(Outcome::Late), 1 => Just(Outcome::Refused)
    ];
    let op = prop_oneof![
        8 => (at.clone(), outcome).prop_map(|(at, outcome)| Op::Call { at, outcome }),
        8 => at.clone().prop_map(|at| Op::Run { at }),
        6 => at.clone().prop_map(|at| Op::Flush { at }),
        3 => at.clone().prop_map(|at| Op::Order { at }),
        2 => at.clone().prop_map(|at| Op::SlowOrder { at }),
        2 => (0..9_usize).prop_map(|index| Op::DeliverOrder { index }),
        2 => (0..9_usize).prop_map(|index| Op::ApplyLateCall { index }),
        1 => at.clone().prop_map(|at| Op::Restart { at }),
        1 => at.prop_map(|at| Op::Drain { at }),
        6 => (1..700_u64).prop_map(|ms| Op::Advance { ms }),
        2 => (LEASE_DURATION_MS - 2 * CLOCK_MARGIN_MS..2 * LEASE_DURATION_MS).prop_map(|ms| Op::Advance { ms }),
    ];
    prop::collection::vec(op, 20..200)
}

#[test]
fn at_most_one_candidate_acts_at_a_time() {
    let config = ProptestConfig {
        cases: std::env::var("LEASE_CASES").map_or(1_000, |c| c.parse().unwrap()),
        rng_seed: RngSeed::Fixed(std::env::var("LEASE_SEED").map_or(72, |s| s.parse().unwrap())),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let total = RefCell::new(Counts::default());
    let result = TestRunner::new(config).run(&ops(), |ops| {
        let mut sim = Simulation::new();
        ops.into_iter().for_each(|op| sim.apply(op));
        sim.recover();
        let mut total = total.borrow_mut();
        total.cases += 1;
        total.steps += sim.counts.steps;
        total.holder_changes += sim.counts.holder_changes;
        total.late_effects += sim.counts.late_effects;
        total.corrected_orders += sim.counts.corrected_orders;
        total.takeover_ms = total.takeover_ms.max(sim.counts.takeover_ms);
        Ok(())
    });
    let Counts {
        cases,
        steps,
        holder_changes,
        late_effects,
        corrected_orders,
        takeover_ms,
    } = total.into_inner();
    println!(
        "cases {cases}, steps {steps}, holders {holder_changes}, late effects {late_effects}, \
         late orders corrected {corrected_orders}, longest takeover {takeover_ms} ms"
    );
    if let Err(failure) = result {
        panic!("{failure}");
    }
    assert!(
        holder_changes > 0 && late_effects > 0 && corrected_orders > 0,
        "the run did not exercise the faults"
    );
}

#[test]
fn an_outage_ends_the_lease_and_a_drain_frees_it_immediately() {
    let mut sim = Simulation::new();
    sim.flush(0);
    assert_eq!(sim.fencing_token(0), Some(1));
    sim.now += LEASE_DURATION_MS - CLOCK_MARGIN_MS;
    assert_eq!(
        sim.fencing_token(0),
        None,
        "a holder that cannot renew must not act"
    );
    sim.flush(0);
    assert_eq!(
        sim.fencing_token(0),
        Some(1),
        "no other candidate took it: same holder, same fence"
    );
    sim.apply(Op::Drain { at: 0 });
    assert_eq!(sim.fencing_token(0), None);
    sim.flush(0);
    assert!(sim.nodes[0].candidate.is_released());
    sim.flush(1);
    assert_eq!(
        sim.fencing_token(1),
        Some(2),
        "a released lease is taken without a wait"
    );
}

#[test]
fn a_follower_polls_rarely_while_leases_are_renewed() {
    use pinereel_core::lease::{PollSchedule, PolledLease};
    let wait = Duration::from_millis(2_200);
    let polled = |version| [("duty".into(), PolledLease { version, wait })];
    for (preferred, most) in [(true, 36), (false, 14)] {
        let mut schedule = PollSchedule::new(preferred, 7);
        let (mut now, mut count) = (Time::from_millis(1), 0);
        // The lease is renewed about every 0.7 s.
        while now < Time::from_millis(60_000) {
            now = schedule.record(now, polled(now.0 / 700_000));
            count += 1;
        }
        assert!(count <= most, "{count} polls in a minute");
        // The lease is no longer renewed: the second poll finds that, and the next one is due when the
        // lease may be taken.
        let first = now;
        let second = schedule.record(first, polled(1_000_000));
        let takeover_at = schedule.record(second, polled(1_000_000));
        let soon = second + Duration::from_millis(110);
        assert_eq!(takeover_at, soon.max(first + wait));
    }
}

#[test]
fn an_instance_takes_its_own_earlier_lease_immediately() {
    use pinereel_core::lease::{Action, Candidate, Event, Lease, Timing};
    let now = Time::from_millis(1);
    let mut candidate =
        Candidate::new(now, "front-1/b", Timing::default()).with_previous_id_prefix("front-1/");
    assert_eq!(candidate.step(now, Event::Tick), [Action::Read]);
    let lease = Lease {
        holder: "front-1/a".into(),
        fence: 4,
        duration_ms: 15_000,
        write_id: "w".into(),
        address: "".into(),
        acts_ms: None,
        remaining_cooldown: None,
    };
    let actions = candidate.step(now, Event::Read(Some((9, lease))));
    assert!(
        matches!(&actions[..], [Action::Write { expected: Some(9), lease }] if lease.fence == 5),
        "{actions:?}"
    );
}
