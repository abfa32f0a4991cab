//! Randomized test of several writers of one shard in simulated time, with lost responses, outages,
//! delayed writes, restarts and trims. An oracle checks executions per key and each verdict.

#![allow(clippy::unwrap_used, reason = "a test may panic on unexpected results")]

use pinereel_core::{
    Time,
    claim::{Action, Event, Limits, Log, Segment, StoredResponse, Verdict},
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

const WRITER_COUNT: usize = 3;
const KEY_COUNT: u8 = 3;
const RETENTION_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
enum CallResult {
    Done,
    /// The call takes effect, but the writer gets no response.
    ResponseLost,
    /// The writer gets no response, and the call may take effect later.
    Delayed,
    /// The call has no effect, and the writer gets no response.
    NoEffect,
    /// The call has no effect, and the writer of a create learns that.
    KnownNoEffect,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Claim {
        writer: usize,
        key: u8,
        digest: u8,
        left_ms: u64,
    },
    /// The sender of the request cancels it at writer `to`.
    Cancel {
        request: usize,
        to: usize,
    },
    /// The sender reads its verdict and, if granted in time, runs the request.
    ReadVerdict {
        request: usize,
        to: usize,
    },
    /// The execution ends and is settled at writer `to`.
    Finish {
        request: usize,
        to: usize,
    },
    /// Completes the call in flight of the writer.
    CompleteCall {
        writer: usize,
        result: CallResult,
    },
    /// Delivers the received results to the writer, then a tick.
    Deliver {
        writer: usize,
    },
    /// Completes calls and delivers results at one writer until no call is in flight.
    RunUntilIdle {
        writer: usize,
    },
    /// A delayed call takes effect.
    ApplyLate {
        index: usize,
    },
    /// The call in flight takes effect only after its writer found nothing stored and retried.
    ApplyLateAfterRetry {
        writer: usize,
    },
    /// Deletes the segments below the base.
    DeleteTrimmed,
    /// Restarts the writer; its call in flight may take effect later.
    Restart {
        writer: usize,
    },
    Advance {
        ms: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct Request {
    key: u8,
    digest: u8,
    claimed_at: u64,
    deadline: u64,
    writer: usize,
    verdict: Option<Verdict>,
    verdict_read: bool,
    cancelled: bool,
    executed: Option<u64>,
    finished: bool,
    /// The last settlement sent; `stored` is whether a writer stored it.
    settled: Option<Option<StoredResponse>>,
    stored: bool,
}

/// A call, and the segments that a read has returned so far.
type Call = (Action, Option<Vec<(u64, Segment)>>);

struct Writer {
    log: Log,
    /// The call in flight.
    call: Option<Call>,
    inbox: VecDeque<Event>,
    /// Number of restarts, part of the writer id.
    starts: u64,
}

#[derive(Default)]
struct Counts {
    steps: u64,
    verdicts: BTreeMap<&'static str, u64>,
    executed: u64,
    trims: u64,
    /// Creates of segments below the base.
    orphans: u64,
    /// Delayed calls that took effect.
    late: u64,
    /// Number of keys checked to be free at the end.
    freed: u64,
}

struct Simulation {
    now: u64,
    segments: BTreeMap<u64, Segment>,
    base: u64,
    delayed_calls: Vec<Action>,
    writers: Vec<Writer>,
    requests: Vec<Request>,
    counts: Counts,
}

fn limits() -> Limits {
    Limits {
        max_batch: 3,
        max_waiting: 6,
        max_keys: 200,
        retention: Duration::from_millis(RETENTION_MS),
        retry_delay: Duration::from_millis(50),
        linger: Duration::from_millis(100),
        refresh_interval: Duration::from_millis(2_000),
        ..Limits::default()
    }
}

fn record(request: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(format!("ran {request}")),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Self {
            now: 1_000,
            segments: BTreeMap::new(),
            base: 0,
            delayed_calls: Vec::new(),
            writers: Vec::new(),
            requests: Vec::new(),
            counts: Counts::default(),
        };
        for writer in 0..WRITER_COUNT {
            let writer = sim.start(writer, 0);
            sim.writers.push(writer);
        }
        sim
    }

    fn start(&self, writer: usize, starts: u64) -> Writer {
        let (log, actions) = Log::new(self.clock(writer), format!("w{writer}-{starts}"), limits());
        let call = actions.into_iter().next().map(|read| (read, None));
        Writer {
            log,
            call,
            inbox: VecDeque::new(),
            starts,
        }
    }

    /// Clock of a writer; each has its own offset.
    fn clock(&self, writer: usize) -> Time {
        Time::from_millis(self.now + 777 * writer as u64)
    }

    fn step(&mut self, writer: usize, event: Event) {
        self.counts.steps += 1;
        let now = self.clock(writer);
        for action in self.writers[writer].log.step(now, event) {
            match action {
                Action::Reply { request, verdict } => self.reply(request.parse().unwrap(), verdict),
                Action::Settled { request, stored } => {
                    self.requests[request.parse::<usize>().unwrap()].stored |= stored;
                }
                call => {
                    assert!(
                        self.writers[writer].call.is_none(),
                        "two calls in flight at the same time"
                    );
                    self.writers[writer].call = Some((call, None));
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
        let own = self.requests[index].clone();
        let others = || {
            self.requests
                .iter()
                .enumerate()
                .filter(|(_, r)| r.key == own.key)
        };
        match &verdict {
            Verdict::Repeat(replayed) => assert!(
                others()
                    .any(|(i, r)| r.finished && *replayed == record(i) && r.digest == own.digest),
                "replayed a response of a request that did not run: {replayed:?}"
            ),
            Verdict::KeyConflict => assert!(others().any(|(_, r)| r.digest != own.digest)),
            Verdict::InProgress | Verdict::ClaimUnknown => {
                assert!(
                    others().any(|(i, _)| i != index),
                    "request {index} conflicts with itself"
                );
            }
            _ => {}
        }
        let earlier = self.requests[index].verdict.replace(verdict);
        assert_eq!(earlier, None, "second verdict for request {index}");
    }

    fn read_verdict(&mut self, index: usize, to: usize) {
        let now = self.now;
        let request = &mut self.requests[index];
        if request.verdict_read || request.verdict != Some(Verdict::Granted) {
            return;
        }
        request.verdict_read = true;
        if request.cancelled || now >= request.deadline {
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
                let age = now - other.claimed_at;
                assert!(
                    age >= RETENTION_MS,
                    "{index} ran {age} ms after {i} claimed: twice within the retention time"
                );
            }
        }
    }

    fn settle(&mut self, index: usize, to: usize, outcome: Option<StoredResponse>) {
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

    fn cancel(&mut self, index: usize, to: usize) {
        let request = &mut self.requests[index];
        if !request.cancelled && request.executed.is_none() {
            request.cancelled = true;
            self.settle(index, to, None);
        }
    }

    /// Applies a call to the object API and returns its result.
    fn apply_call(&mut self, action: &Action) -> Event {
        match action {
            Action::Create { number, segment } => {
                if self.segments.contains_key(number) {
                    return Event::Conflict;
                }
                self.counts.orphans += u64::from(*number < self.base);
                self.segments.insert(*number, segment.clone());
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

    fn complete_call(&mut self, writer: usize, result: CallResult) {
        let Some((action, part)) = self.writers[writer].call.take() else {
            return;
        };
        if let (Action::Read { from }, None, CallResult::Done) = (&action, &part, result) {
            // A read is not atomic: the segments are read now, the base in a later step.
            let found =
                (*from..).map_while(|number| Some((number, self.segments.get(&number)?.clone())));
            let part = Some(found.collect());
            self.writers[writer].call = Some((action, part));
            return;
        }
        let lost = if matches!(action, Action::Create { .. }) {
            Event::CreateUnknown
        } else {
            Event::CallFailed
        };
        let event = match (result, part) {
            (CallResult::Done, Some(segments)) => Event::Read {
                segments,
                base: self.base,
            },
            (CallResult::Done, None) => self.apply_call(&action),
            (CallResult::ResponseLost, _) => {
                self.apply_call(&action);
                lost
            }
            (CallResult::Delayed, _) => {
                self.delayed_calls.push(action);
                lost
            }
            (CallResult::NoEffect, _) => lost,
            (CallResult::KnownNoEffect, _) if matches!(action, Action::Create { .. }) => {
                Event::NotCreated
            }
            (CallResult::KnownNoEffect, _) => Event::CallFailed,
        };
        self.writers[writer].inbox.push_back(event);
    }

    fn deliver(&mut self, writer: usize) {
        while let Some(event) = self.writers[writer].inbox.pop_front() {
            self.step(writer, event);
        }
        self.step(writer, Event::Tick);
    }

    fn run_until_idle(&mut self, writer: usize) {
        for _ in 0..40 {
            self.deliver(writer);
            if self.writers[writer].call.is_none() {
                return;
            }
            self.complete_call(writer, CallResult::Done);
        }
    }

    fn restart(&mut self, writer: usize) {
        let starts = self.writers[writer].starts + 1;
        if let Some((action, _)) = self.writers[writer].call.take() {
            self.delayed_calls.push(action);
        }
        self.writers[writer] = self.start(writer, starts);
        for index in 0..self.requests.len() {
            if self.requests[index].writer == writer && self.requests[index].verdict.is_none() {
                self.cancel(index, (writer + 1) % WRITER_COUNT);
            }
        }
    }

    /// Picks one of the requests that `which` accepts.
    fn pick(&self, choice: usize, which: impl Fn(&Request) -> bool) -> Option<usize> {
        let found: Vec<_> = (0..self.requests.len())
            .filter(|i| which(&self.requests[*i]))
            .collect();
        found.get(choice % found.len().max(1)).copied()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Claim {
                writer,
                key,
                digest,
                left_ms,
            } => {
                let (claimed_at, deadline) = (self.now, self.now + left_ms);
                let request = Request {
                    key,
                    digest,
                    claimed_at,
                    deadline,
                    writer,
                    ..Request::default()
                };
                self.requests.push(request);
                let event = Event::Claim {
                    request: (self.requests.len() - 1).to_string().into(),
                    key: format!("k{key}").into(),
                    digest: Digest([digest; 16]),
                    time_left: Duration::from_millis(left_ms),
                };
                self.step(writer, event);
            }
            Op::Cancel { request, to } => {
                if let Some(index) = self.pick(request, |r| !r.cancelled && r.executed.is_none()) {
                    self.cancel(index, to);
                }
            }
            Op::ReadVerdict { request, to } => {
                let unread = |r: &Request| !r.verdict_read && r.verdict == Some(Verdict::Granted);
                if let Some(index) = self.pick(request, unread) {
                    self.read_verdict(index, to);
                }
            }
            Op::Finish { request, to } => {
                if let Some(index) = self.pick(request, |r| r.executed.is_some() && !r.finished) {
                    self.requests[index].finished = true;
                    self.settle(index, to, Some(record(index)));
                }
            }
            Op::CompleteCall { writer, result } => self.complete_call(writer, result),
            Op::Deliver { writer } => self.deliver(writer),
            Op::RunUntilIdle { writer } => self.run_until_idle(writer),
            Op::ApplyLate { index } => {
                if !self.delayed_calls.is_empty() {
                    let action = self
                        .delayed_calls
                        .remove(index.min(self.delayed_calls.len() - 1));
                    self.counts.late += 1;
                    self.apply_call(&action);
                }
            }
            Op::ApplyLateAfterRetry { writer } => {
                self.complete_call(writer, CallResult::Delayed);
                self.deliver(writer);
                self.complete_call(writer, CallResult::Done);
                self.complete_call(writer, CallResult::Done);
                self.deliver(writer);
                self.now += 60;
                self.deliver(writer);
                self.apply(Op::ApplyLate { index: usize::MAX });
                self.run_until_idle(writer);
            }
            Op::DeleteTrimmed => {
                self.segments = self.segments.split_off(&self.base);
            }
            Op::Restart { writer } => self.restart(writer),
            Op::Advance { ms } => self.now += ms,
        }
    }

    /// Senders read outstanding verdicts and resend settlements that were not stored. After that, a
    /// key under which nothing ran must be free. This is not checked if a writer was restarted,
    /// because its unanswered claims may hold keys.
    fn assert_keys_free(&mut self) {
        for _ in 0..4 {
            for index in 0..self.requests.len() {
                self.read_verdict(index, 0);
                let request = &self.requests[index];
                if let (Some(outcome), false) = (request.settled.clone(), request.stored) {
                    self.settle(index, 0, outcome);
                }
            }
            (0..WRITER_COUNT).for_each(|writer| self.run_until_idle(writer));
        }
        if self.writers.iter().any(|writer| writer.starts > 0) {
            return;
        }
        for key in 0..KEY_COUNT {
            if self
                .requests
                .iter()
                .any(|r| r.key == key && r.executed.is_some())
            {
                continue;
            }
            self.counts.freed += 1;
            self.apply(Op::Claim {
                writer: 0,
                key,
                digest: 0,
                left_ms: 3_000,
            });
            self.run_until_idle(0);
            let last = self.requests.last().unwrap();
            assert_eq!(
                last.verdict,
                Some(Verdict::Granted),
                "key {key} did not run and is not free"
            );
        }
    }

    /// Ends all faults. Each request must then have its verdict, and new keys must be granted.
    fn recover(&mut self) {
        for _ in 0..20 {
            self.now += 400;
            (0..WRITER_COUNT).for_each(|writer| self.run_until_idle(writer));
        }
        for (index, request) in self.requests.iter().enumerate() {
            let cancelled = request.cancelled;
            assert!(
                request.verdict.is_some() || cancelled,
                "request {index} got no verdict"
            );
        }
        self.assert_keys_free();
        for writer in 0..WRITER_COUNT {
            let key = 200 + u8::try_from(writer).unwrap();
            self.apply(Op::Claim {
                writer,
                key,
                digest: 0,
                left_ms: 3_000,
            });
            self.run_until_idle(writer);
            let last = self.requests.last().unwrap();
            assert_eq!(
                last.verdict,
                Some(Verdict::Granted),
                "no grant after all faults ended"
            );
        }
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let writer = 0..WRITER_COUNT;
    let request = 0..1_000_usize;
    let result = prop_oneof![
        6 => Just(CallResult::Done), 1 => Just(CallResult::ResponseLost), 1 => Just(CallResult::Delayed), 1 => Just(CallResult::NoEffect),
        1 => Just(CallResult::KnownNoEffect)
    ];
    let op = prop_oneof![
        6 => (writer.clone(), 0..KEY_COUNT, prop_oneof![9 => Just(0_u8), 1 => Just(1)], 200..3_000_u64)
            .prop_map(|(writer, key, digest, left_ms)| Op::Claim { writer, key, digest, left_ms }),
        1 => (request.clone(), writer.clone()).prop_map(|(request, to)| Op::Cancel { request, to }),
        8 => (request.clone(), writer.clone()).prop_map(|(request, to)| Op::ReadVerdict { request, to }),
        3 => (request, writer.clone()).prop_map(|(request, to)| Op::Finish { request, to }),
        8 => (writer.clone(), result).prop_map(|(writer, result)| Op::CompleteCall { writer, result }),
        5 => writer.clone().prop_map(|writer| Op::Deliver { writer }),
        8 => writer.clone().prop_map(|writer| Op::RunUntilIdle { writer }),
        2 => (0..9_usize).prop_map(|index| Op::ApplyLate { index }),
        2 => writer.clone().prop_map(|writer| Op::ApplyLateAfterRetry { writer }),
        2 => Just(Op::DeleteTrimmed),
        1 => writer.prop_map(|writer| Op::Restart { writer }),
        3 => (1..400_u64).prop_map(|ms| Op::Advance { ms }),
        2 => (RETENTION_MS..2 * RETENTION_MS).prop_map(|ms| Op::Advance { ms }),
    ];
    prop::collection::vec(op, 20..160)
}

#[test]
fn a_key_runs_at_most_once_within_its_retention_period() {
    let config = ProptestConfig {
        cases: std::env::var("CLAIM_CASES").map_or(1_000, |c| c.parse().unwrap()),
        rng_seed: RngSeed::Fixed(std::env::var("CLAIM_SEED").map_or(71, |s| s.parse().unwrap())),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let total = RefCell::new(Counts::default());
    let cases = RefCell::new(0);
    let outcome = TestRunner::new(config).run(&ops(), |ops| {
        let mut sim = Simulation::new();
        ops.into_iter().for_each(|op| sim.apply(op));
        sim.recover();
        let mut total = total.borrow_mut();
        *cases.borrow_mut() += 1;
        total.steps += sim.counts.steps;
        total.executed += sim.counts.executed;
        total.trims += sim.counts.trims;
        total.orphans += sim.counts.orphans;
        total.late += sim.counts.late;
        total.freed += sim.counts.freed;
        for (name, count) in sim.counts.verdicts {
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
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
    assert!(
        total.orphans > 0 && total.trims > 0,
        "no create below the base or no trim was generated"
    );
    assert_eq!(total.verdicts.len(), 6, "some verdict never occurred");
}
