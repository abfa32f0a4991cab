//! Writers of one shard under lost answers, outages, late effects, pauses, restarts and trims,
//! against an oracle that only counts executions.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use pinereel_core::{
    Time,
    claim::{Action, Event, Limits, Log, Record, Segment, Verdict},
    hash::Digest,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

const WRITERS: usize = 3;
const KEYS: u8 = 3;
const WINDOW_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    Lost,
    Late,
    Refused,
    /// As refused, and the writer knows that a create had no effect.
    Denied,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Ask {
        at: usize,
        key: u8,
        digest: u8,
        left_ms: u64,
    },
    /// The entry that asked gives up and says so to a writer.
    GiveUp {
        request: usize,
        to: usize,
    },
    /// The entry that asked reads its verdict.
    Hear {
        request: usize,
        to: usize,
    },
    /// The execution ends and is settled.
    Finish {
        request: usize,
        to: usize,
    },
    Call {
        at: usize,
        fate: Fate,
    },
    Run {
        at: usize,
    },
    /// Calls and runs of one writer until nothing is open.
    Flush {
        at: usize,
    },
    Land {
        index: usize,
    },
    /// The open call takes effect late, after its writer found nothing and went on.
    Overtake {
        at: usize,
    },
    Delete,
    Restart {
        at: usize,
    },
    Advance {
        ms: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct Request {
    key: u8,
    digest: u8,
    asked: u64,
    deadline: u64,
    at: usize,
    verdict: Option<Verdict>,
    heard: bool,
    given_up: bool,
    executed: Option<u64>,
    finished: bool,
    /// What was settled, and whether a writer stored it.
    settled: Option<Option<Record>>,
    stored: bool,
}

/// A call, and the segments that a read has found so far.
type Call = (Action, Option<Vec<(u64, Segment)>>);

struct Writer {
    log: Log,
    /// The open call.
    call: Option<Call>,
    inbox: VecDeque<Event>,
    starts: u64,
}

#[derive(Default)]
struct Counts {
    steps: u64,
    verdicts: BTreeMap<&'static str, u64>,
    executed: u64,
    trims: u64,
    orphans: u64,
    late: u64,
    /// Keys checked to be free again.
    freed: u64,
}

struct World {
    now: u64,
    segments: BTreeMap<u64, Segment>,
    base: u64,
    late: Vec<Action>,
    writers: Vec<Writer>,
    requests: Vec<Request>,
    counts: Counts,
}

fn limits() -> Limits {
    Limits {
        batch: 3,
        waiting: 6,
        keys: 200,
        window: Duration::from_millis(WINDOW_MS),
        retry: Duration::from_millis(50),
        linger: Duration::from_millis(100),
        refresh: Duration::from_millis(2_000),
        ..Limits::default()
    }
}

fn record(request: usize) -> Record {
    Record {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(format!("ran {request}")),
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 1_000,
            segments: BTreeMap::new(),
            base: 0,
            late: Vec::new(),
            writers: Vec::new(),
            requests: Vec::new(),
            counts: Counts::default(),
        };
        for at in 0..WRITERS {
            let writer = world.start(at, 0);
            world.writers.push(writer);
        }
        world
    }

    fn start(&self, at: usize, starts: u64) -> Writer {
        let (log, actions) = Log::new(self.clock(at), format!("w{at}-{starts}"), limits());
        let call = actions.into_iter().next().map(|read| (read, None));
        Writer {
            log,
            call,
            inbox: VecDeque::new(),
            starts,
        }
    }

    /// Each writer's clock has a start of its own.
    fn clock(&self, at: usize) -> Time {
        Time::from_millis(self.now + 777 * at as u64)
    }

    fn step(&mut self, at: usize, event: Event) {
        self.counts.steps += 1;
        let now = self.clock(at);
        for action in self.writers[at].log.step(now, event) {
            match action {
                Action::Reply { request, verdict } => self.reply(request.parse().unwrap(), verdict),
                Action::Settled { request, stored } => {
                    self.requests[request.parse::<usize>().unwrap()].stored |= stored;
                }
                call => {
                    assert!(self.writers[at].call.is_none(), "two calls open at once");
                    self.writers[at].call = Some((call, None));
                }
            }
        }
    }

    fn reply(&mut self, index: usize, verdict: Verdict) {
        let name = match &verdict {
            Verdict::Granted => "granted",
            Verdict::Repeat(_) => "repeat",
            Verdict::InProgress => "in_progress",
            Verdict::ClaimUnknown => "claim_unknown",
            Verdict::KeyConflict => "key_conflict",
            Verdict::NotClaimed => "not_claimed",
        };
        *self.counts.verdicts.entry(name).or_default() += 1;
        let asked = self.requests[index].clone();
        let others = || {
            self.requests
                .iter()
                .enumerate()
                .filter(|(_, r)| r.key == asked.key)
        };
        match &verdict {
            Verdict::Repeat(given) => assert!(
                others()
                    .any(|(i, r)| r.finished && *given == record(i) && r.digest == asked.digest),
                "a repeat of something that did not run: {given:?}"
            ),
            Verdict::KeyConflict => assert!(others().any(|(_, r)| r.digest != asked.digest)),
            Verdict::InProgress | Verdict::ClaimUnknown => {
                assert!(
                    others().any(|(i, _)| i != index),
                    "request {index} waits for itself"
                );
            }
            _ => {}
        }
        let earlier = self.requests[index].verdict.replace(verdict);
        assert_eq!(earlier, None, "a second verdict for request {index}");
    }

    fn hear(&mut self, index: usize, to: usize) {
        let now = self.now;
        let request = &mut self.requests[index];
        if request.heard || request.verdict != Some(Verdict::Granted) {
            return;
        }
        request.heard = true;
        if request.given_up || now >= request.deadline {
            return self.settle(index, to, None);
        }
        request.executed = Some(now);
        self.counts.executed += 1;
        let request = self.requests[index].clone();
        for (i, other) in self
            .requests
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != index)
        {
            if other.key == request.key && other.executed.is_some() {
                let age = now - other.asked;
                assert!(
                    age >= WINDOW_MS,
                    "{index} ran {age} ms after {i} asked: twice in a window"
                );
            }
        }
    }

    fn settle(&mut self, index: usize, to: usize, outcome: Option<Record>) {
        self.requests[index].settled = Some(outcome.clone());
        let key = format!("k{}", self.requests[index].key).into();
        let digest = Digest([self.requests[index].digest; 16]);
        let request = index.to_string().into();
        self.step(
            to,
            Event::Settle {
                request,
                key,
                digest,
                outcome,
            },
        );
    }

    fn give_up(&mut self, index: usize, to: usize) {
        let request = &mut self.requests[index];
        if !request.given_up && request.executed.is_none() {
            request.given_up = true;
            self.settle(index, to, None);
        }
    }

    /// The object API takes the effect of a call.
    fn effect(&mut self, action: &Action) -> Event {
        match action {
            Action::Create { n, segment } => {
                if self.segments.contains_key(n) {
                    return Event::Conflict;
                }
                self.counts.orphans += u64::from(*n < self.base);
                self.segments.insert(*n, segment.clone());
                Event::Created
            }
            Action::Trim { from, to } => {
                if self.base == *from {
                    self.base = *to;
                    self.counts.trims += 1;
                }
                Event::Base(self.base)
            }
            _ => Event::Base(self.base),
        }
    }

    fn call(&mut self, at: usize, fate: Fate) {
        let Some((action, part)) = self.writers[at].call.take() else {
            return;
        };
        if let (Action::Read { from }, None, Fate::Done) = (&action, &part, fate) {
            // The segments now, the base at a later call.
            let found = (*from..).map_while(|n| Some((n, self.segments.get(&n)?.clone())));
            let part = Some(found.collect());
            self.writers[at].call = Some((action, part));
            return;
        }
        let lost = if matches!(action, Action::Create { .. }) {
            Event::Unknown
        } else {
            Event::Failed
        };
        let event = match (fate, part) {
            (Fate::Done, Some(segments)) => Event::Read {
                segments,
                base: self.base,
            },
            (Fate::Done, None) => self.effect(&action),
            (Fate::Lost, _) => {
                self.effect(&action);
                lost
            }
            (Fate::Late, _) => {
                self.late.push(action);
                lost
            }
            (Fate::Refused, _) => lost,
            (Fate::Denied, _) if matches!(action, Action::Create { .. }) => Event::NotCreated,
            (Fate::Denied, _) => Event::Failed,
        };
        self.writers[at].inbox.push_back(event);
    }

    fn run(&mut self, at: usize) {
        while let Some(event) = self.writers[at].inbox.pop_front() {
            self.step(at, event);
        }
        self.step(at, Event::Tick);
    }

    fn flush(&mut self, at: usize) {
        for _ in 0..40 {
            self.run(at);
            if self.writers[at].call.is_none() {
                return;
            }
            self.call(at, Fate::Done);
        }
    }

    fn restart(&mut self, at: usize) {
        let starts = self.writers[at].starts + 1;
        if let Some((action, _)) = self.writers[at].call.take() {
            self.late.push(action);
        }
        self.writers[at] = self.start(at, starts);
        for index in 0..self.requests.len() {
            if self.requests[index].at == at && self.requests[index].verdict.is_none() {
                self.give_up(index, (at + 1) % WRITERS);
            }
        }
    }

    /// One of the requests that `which` accepts.
    fn pick(&self, choice: usize, which: impl Fn(&Request) -> bool) -> Option<usize> {
        let found: Vec<_> = (0..self.requests.len())
            .filter(|i| which(&self.requests[*i]))
            .collect();
        found.get(choice % found.len().max(1)).copied()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Ask {
                at,
                key,
                digest,
                left_ms,
            } => {
                let (asked, deadline) = (self.now, self.now + left_ms);
                let request = Request {
                    key,
                    digest,
                    asked,
                    deadline,
                    at,
                    ..Request::default()
                };
                self.requests.push(request);
                let event = Event::Claim {
                    request: (self.requests.len() - 1).to_string().into(),
                    key: format!("k{key}").into(),
                    digest: Digest([digest; 16]),
                    left: Duration::from_millis(left_ms),
                };
                self.step(at, event);
            }
            Op::GiveUp { request, to } => {
                if let Some(index) = self.pick(request, |r| !r.given_up && r.executed.is_none()) {
                    self.give_up(index, to);
                }
            }
            Op::Hear { request, to } => {
                let unheard = |r: &Request| !r.heard && r.verdict == Some(Verdict::Granted);
                if let Some(index) = self.pick(request, unheard) {
                    self.hear(index, to);
                }
            }
            Op::Finish { request, to } => {
                if let Some(index) = self.pick(request, |r| r.executed.is_some() && !r.finished) {
                    self.requests[index].finished = true;
                    self.settle(index, to, Some(record(index)));
                }
            }
            Op::Call { at, fate } => self.call(at, fate),
            Op::Run { at } => self.run(at),
            Op::Flush { at } => self.flush(at),
            Op::Land { index } => {
                if !self.late.is_empty() {
                    let action = self.late.remove(index.min(self.late.len() - 1));
                    self.counts.late += 1;
                    self.effect(&action);
                }
            }
            Op::Overtake { at } => {
                self.call(at, Fate::Late);
                self.run(at);
                self.call(at, Fate::Done);
                self.call(at, Fate::Done);
                self.run(at);
                self.now += 60;
                self.run(at);
                self.apply(Op::Land { index: usize::MAX });
                self.flush(at);
            }
            Op::Delete => {
                self.segments = self.segments.split_off(&self.base);
            }
            Op::Restart { at } => self.restart(at),
            Op::Advance { ms } => self.now += ms,
        }
    }

    /// Entries read their late verdicts and repeat settlements that were not stored. Then a key
    /// under which nothing ran must be free, unless a writer died with claims that nobody knows of.
    fn free_again(&mut self) {
        for _ in 0..4 {
            for index in 0..self.requests.len() {
                self.hear(index, 0);
                let request = &self.requests[index];
                if let (Some(outcome), false) = (request.settled.clone(), request.stored) {
                    self.settle(index, 0, outcome);
                }
            }
            (0..WRITERS).for_each(|at| self.flush(at));
        }
        if self.writers.iter().any(|writer| writer.starts > 0) {
            return;
        }
        for key in 0..KEYS {
            if self
                .requests
                .iter()
                .any(|r| r.key == key && r.executed.is_some())
            {
                continue;
            }
            self.counts.freed += 1;
            self.apply(Op::Ask {
                at: 0,
                key,
                digest: 0,
                left_ms: 3_000,
            });
            self.flush(0);
            let last = self.requests.last().unwrap();
            assert_eq!(
                last.verdict,
                Some(Verdict::Granted),
                "key {key} did not run and is not free"
            );
        }
    }

    /// Everything heals: each request must have its verdict, and new keys be granted.
    fn heal(&mut self) {
        for _ in 0..20 {
            self.now += 400;
            (0..WRITERS).for_each(|at| self.flush(at));
        }
        for (index, request) in self.requests.iter().enumerate() {
            let cut = request.given_up;
            assert!(
                request.verdict.is_some() || cut,
                "request {index} got no verdict"
            );
        }
        self.free_again();
        for at in 0..WRITERS {
            let key = 200 + u8::try_from(at).unwrap();
            self.apply(Op::Ask {
                at,
                key,
                digest: 0,
                left_ms: 3_000,
            });
            self.flush(at);
            let last = self.requests.last().unwrap();
            assert_eq!(
                last.verdict,
                Some(Verdict::Granted),
                "no grant after healing"
            );
        }
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let at = 0..WRITERS;
    let request = 0..1_000_usize;
    let fate = prop_oneof![
        6 => Just(Fate::Done), 1 => Just(Fate::Lost), 1 => Just(Fate::Late), 1 => Just(Fate::Refused),
        1 => Just(Fate::Denied)
    ];
    let op = prop_oneof![
        6 => (at.clone(), 0..KEYS, prop_oneof![9 => Just(0_u8), 1 => Just(1)], 200..3_000_u64)
            .prop_map(|(at, key, digest, left_ms)| Op::Ask { at, key, digest, left_ms }),
        1 => (request.clone(), at.clone()).prop_map(|(request, to)| Op::GiveUp { request, to }),
        8 => (request.clone(), at.clone()).prop_map(|(request, to)| Op::Hear { request, to }),
        3 => (request, at.clone()).prop_map(|(request, to)| Op::Finish { request, to }),
        8 => (at.clone(), fate).prop_map(|(at, fate)| Op::Call { at, fate }),
        5 => at.clone().prop_map(|at| Op::Run { at }),
        8 => at.clone().prop_map(|at| Op::Flush { at }),
        2 => (0..9_usize).prop_map(|index| Op::Land { index }),
        2 => at.clone().prop_map(|at| Op::Overtake { at }),
        2 => Just(Op::Delete),
        1 => at.prop_map(|at| Op::Restart { at }),
        3 => (1..400_u64).prop_map(|ms| Op::Advance { ms }),
        2 => (WINDOW_MS..2 * WINDOW_MS).prop_map(|ms| Op::Advance { ms }),
    ];
    prop::collection::vec(op, 20..160)
}

#[test]
fn a_key_runs_at_most_once_in_its_window() {
    let config = ProptestConfig {
        cases: std::env::var("CLAIM_CASES").map_or(1_000, |c| c.parse().unwrap()),
        rng_seed: RngSeed::Fixed(std::env::var("CLAIM_SEED").map_or(71, |s| s.parse().unwrap())),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let total = RefCell::new(Counts::default());
    let cases = RefCell::new(0);
    let result = TestRunner::new(config).run(&ops(), |ops| {
        let mut world = World::new();
        ops.into_iter().for_each(|op| world.apply(op));
        world.heal();
        let mut total = total.borrow_mut();
        *cases.borrow_mut() += 1;
        total.steps += world.counts.steps;
        total.executed += world.counts.executed;
        total.trims += world.counts.trims;
        total.orphans += world.counts.orphans;
        total.late += world.counts.late;
        total.freed += world.counts.freed;
        for (name, count) in world.counts.verdicts {
            *total.verdicts.entry(name).or_default() += count;
        }
        Ok(())
    });
    let total = total.into_inner();
    println!(
        "cases {}, steps {}, executed {}, trims {}, orphans {}, late effects {}, freed {}, verdicts {:?}",
        cases.into_inner(),
        total.steps,
        total.executed,
        total.trims,
        total.orphans,
        total.late,
        total.freed,
        total.verdicts
    );
    if let Err(failure) = result {
        panic!("{failure}");
    }
    assert!(
        total.orphans > 0 && total.trims > 0,
        "the faults were not reached"
    );
    assert_eq!(total.verdicts.len(), 6, "a verdict was never given");
}
