//! Property test of exactly-once delivery: runners, collects, a trainer and engines under faults.
//!
//! Each output token of the fake engine carries the version that computed it (`#`) and, on the
//! first token of an attempt, the version of the reused prefix (`@`). So the oracle checks a
//! delivered sample by its text alone.

use pinereel_core::{
    Span, Time, Version,
    cursor::{Cursor, Merge, Token},
    hash,
    lot::{
        Action, AttemptKey, Chunk, CollectRequest, Event, Failure, Finish, Group, Limits, Offer,
        Policy, Runner, Sample, Spec, Start, Stats,
    },
    provenance::Stamp,
    staleness,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicU64, Ordering},
};

const RUNNERS: usize = 3;
const ENGINES: usize = 3;
const GROUPS: u32 = 4;
const SAMPLES_PER_GROUP: u32 = 3;
const SAMPLES: u32 = GROUPS * SAMPLES_PER_GROUP;
const MAX_TOKENS: u32 = 12;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    DropChunk,
    DuplicateChunk,
    DelayChunk,
    MissingStamp,
    Cancelled,
}

#[derive(Clone, Debug)]
enum Op {
    Offer,
    Generate(usize, u32, Fault),
    DeliverDelayed(usize),
    Crash(usize),
    LoadWeights(usize, u64),
    Publish(usize),
    ChangeBound(u64, usize),
    Assign(usize),
    Collect {
        placement: usize,
        unreachable: usize,
        token_age: usize,
        extra_bound: u64,
    },
    DeliverAnswer(usize, bool),
    LoseAttempt(usize),
    RestartRunner(usize),
    Drain(usize),
    Score(usize, bool),
    Rewind(usize),
    Tick,
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::DropChunk),
        1 => Just(Fault::DuplicateChunk),
        1 => Just(Fault::DelayChunk),
        1 => Just(Fault::MissingStamp),
        1 => Just(Fault::Cancelled),
    ];
    prop_oneof![
        4 => Just(Op::Offer),
        24 => (0..64_usize, 1..8_u32, fault).prop_map(|(a, n, f)| Op::Generate(a, n, f)),
        2 => (0..8_usize).prop_map(Op::DeliverDelayed),
        1 => (0..ENGINES).prop_map(Op::Crash),
        3 => (0..ENGINES, 0..3_u64).prop_map(|(e, b)| Op::LoadWeights(e, b)),
        2 => (0..8_usize).prop_map(Op::Publish),
        1 => (0..3_u64, 0..8_usize).prop_map(|(b, m)| Op::ChangeBound(b, m)),
        2 => (0..RUNNERS).prop_map(Op::Assign),
        6 => (0..RUNNERS, 0..8_usize, 0..6_usize, 0..3_u64)
            .prop_map(|(placement, unreachable, token_age, extra_bound)| Op::Collect {
                placement, unreachable, token_age, extra_bound
            }),
        6 => (0..8_usize, any::<bool>()).prop_map(|(a, again)| Op::DeliverAnswer(a, again)),
        1 => (0..64_usize).prop_map(Op::LoseAttempt),
        1 => (0..RUNNERS).prop_map(Op::RestartRunner),
        1 => (0..RUNNERS).prop_map(Op::Drain),
        6 => (0..8_usize, any::<bool>()).prop_map(|(at, fail)| Op::Score(at, fail)),
        1 => (0..8_usize).prop_map(Op::Rewind),
        4 => Just(Op::Tick),
    ]
}

/// An attempt on a fake engine.
struct Attempt {
    start: Start,
    engine: usize,
    next: u32,
    first: bool,
}

struct Engine {
    version: Version,
    /// Prefix cache: prompts, with the version that computed them.
    cache: BTreeMap<String, Version>,
}

struct Answer {
    basis: Token,
    next: Token,
    samples: Vec<Sample>,
    version: Version,
    bound: u64,
}

type AttemptId = (u64, AttemptKey);

struct Simulation {
    now: Time,
    policy: Policy,
    scored: bool,
    runners: Vec<(u64, Runner)>,
    incarnations: u64,
    engines: Vec<Engine>,
    attempts: BTreeMap<AttemptId, Attempt>,
    delayed_chunks: Vec<(u64, Chunk)>,
    pending_answers: Vec<Answer>,
    tokens: Vec<Token>,
    cursor: Cursor,
    accepted: BTreeMap<u32, Sample>,
    version: Version,
    bound: u64,
    scorings: Vec<(u64, u64, f64)>,
    draining: BTreeSet<usize>,
    stats: Stats,
}

fn digest() -> hash::Digest {
    hash::Digest::of(b"lot")
}

fn prompt(group: u32) -> String {
    format!("prompt {group}")
}

fn length(prompt: &str, seed: u64) -> u32 {
    1 + (hash::rendezvous(seed, prompt) % u64::from(MAX_TOKENS)) as u32
}

/// Fake scoring service: different texts get different scores.
fn score(text: &str) -> f64 {
    (hash::stable(text.as_bytes()) % 1_000_003) as f64
}

fn word(prompt: &str, seed: u64, at: u32) -> String {
    format!(" {}", hash::rendezvous(seed ^ u64::from(at), prompt) % 97)
}

impl Simulation {
    fn new(policy: Policy, scored: bool) -> Self {
        let token = Token::empty(digest(), 7, SAMPLES);
        let engine = || Engine {
            version: Version(3),
            cache: BTreeMap::new(),
        };
        let mut simulation = Self {
            now: Time::ZERO,
            policy,
            scored,
            runners: Vec::new(),
            incarnations: 0,
            engines: (0..ENGINES).map(|_| engine()).collect(),
            attempts: BTreeMap::new(),
            delayed_chunks: Vec::new(),
            pending_answers: Vec::new(),
            tokens: vec![token.clone()],
            cursor: Cursor::new(token),
            accepted: BTreeMap::new(),
            version: Version(3),
            bound: 2,
            scorings: Vec::new(),
            draining: BTreeSet::new(),
            stats: Stats::default(),
        };
        for _ in 0..RUNNERS {
            let runner = simulation.new_runner();
            simulation.runners.push(runner);
        }
        simulation
    }

    fn new_runner(&mut self) -> (u64, Runner) {
        self.incarnations += 1;
        (
            self.incarnations,
            Runner::new(self.policy, Limits::default()),
        )
    }

    fn spec(&self, groups: impl IntoIterator<Item = u32>) -> Spec {
        let group = |index| Group {
            index,
            first: index * SAMPLES_PER_GROUP,
            prompt: prompt(index),
            samples: SAMPLES_PER_GROUP,
            max_tokens: MAX_TOKENS,
        };
        Spec {
            lot: "lot".into(),
            digest: digest(),
            trainer: "trainer".into(),
            weight: 1,
            model: "model".into(),
            step: 7,
            version: self.version,
            bound: self.bound,
            deadline: Time::from_millis(2_000),
            scored: self.scored,
            groups: groups.into_iter().map(group).collect(),
        }
    }

    fn send(&mut self, at: usize, event: Event) -> Vec<Sample> {
        let (id, runner) = &mut self.runners[at];
        let (id, actions) = (*id, runner.step(self.now, event));
        let mut answer = Vec::new();
        for action in actions {
            match action {
                Action::Start(start) => {
                    let engine = start.endpoint[1..].parse().expect("a number");
                    let attempt = Attempt {
                        next: start.resume_tokens,
                        start,
                        engine,
                        first: true,
                    };
                    self.attempts.insert((id, attempt.start.attempt), attempt);
                }
                Action::Score { ticket, text, .. } => {
                    self.scorings.push((id, ticket, score(&text)));
                }
                Action::Answer {
                    samples, missing, ..
                } => {
                    answer.extend(samples);
                    let spec = self.spec(missing);
                    self.send(at, Event::Assign(spec));
                }
                Action::Handover { spec, samples } => {
                    let to = (at + 1) % RUNNERS;
                    self.send(to, Event::Handover { spec, samples });
                }
                // A cancelled attempt may still send chunks, which the runner must drop.
                _ => {}
            }
        }
        answer
    }

    fn offer(&mut self) {
        for at in 0..RUNNERS {
            for engine in 0..ENGINES {
                let offer = Offer {
                    endpoint: format!("e{engine}").into(),
                    model: "model".into(),
                    version: self.engines[engine].version,
                    slots: 2,
                };
                self.send(at, Event::Offer(offer));
            }
        }
    }

    fn generate(&mut self, id: AttemptId, tokens: u32, fault: Fault) {
        let attempt = self.attempts.get_mut(&id).expect("a running attempt");
        let engine = &mut self.engines[attempt.engine];
        let (prompt, seed) = (attempt.start.prompt.clone(), attempt.start.seed);
        let version = engine.version;
        let cached = *engine.cache.entry(prompt.clone()).or_insert(version);
        let mut reused = Vec::new();
        let end = length(&prompt, seed).min(attempt.next + tokens);
        // An attempt that resumes from a complete text computes nothing, so it has no stamp.
        let is_empty_chunk = end == attempt.next;
        if attempt.first && !is_empty_chunk {
            reused.push(Span {
                version: cached,
                tokens: 4,
            });
        }
        let mut text = String::new();
        for at in attempt.next..end {
            text += &format!("{}#{}", word(&prompt, seed, at), version.0);
            if attempt.first {
                text += &format!("@{}", cached.0);
                attempt.first = false;
            }
        }
        let is_complete = end == length(&prompt, seed);
        let finish = match fault {
            Fault::Cancelled => Some(Finish::Cancelled),
            _ => is_complete.then_some(Finish::Complete),
        };
        let stamp = Stamp {
            offset: attempt.next,
            tokens: end - attempt.next,
            version: (fault != Fault::MissingStamp && !is_empty_chunk).then_some(version),
            reused,
        };
        attempt.next = end;
        let chunk = Chunk {
            attempt: id.1,
            stamp,
            text,
            finish,
        };
        if finish.is_some() {
            self.attempts.remove(&id);
        }
        match fault {
            Fault::DropChunk if is_complete => self.lose_attempt(id),
            Fault::DropChunk => {}
            Fault::DelayChunk => self.delayed_chunks.push((id.0, chunk)),
            Fault::DuplicateChunk => {
                self.chunk(id.0, chunk.clone());
                self.chunk(id.0, chunk);
            }
            _ => self.chunk(id.0, chunk),
        }
    }

    fn runner_index(&self, incarnation: u64) -> Option<usize> {
        self.runners.iter().position(|(id, _)| *id == incarnation)
    }

    fn chunk(&mut self, incarnation: u64, chunk: Chunk) {
        if let Some(at) = self.runner_index(incarnation) {
            self.send(at, Event::Chunk(chunk));
        }
    }

    fn lose_attempt(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
        if let Some(at) = self.runner_index(id.0) {
            let (attempt, failure) = (id.1, Failure::Lost);
            self.send(at, Event::Failed { attempt, failure });
        }
    }

    /// A collect through one instance: `placement` assigns the groups to runners, `unreachable` is a
    /// bit set of runners that it cannot reach, and its bound shrinks by `extra_bound` between the
    /// queries and the answer.
    fn collect(
        &mut self,
        placement: usize,
        unreachable: usize,
        extra_bound: u64,
        token: Token,
    ) -> Answer {
        let mut found = Vec::new();
        for at in (0..RUNNERS).filter(|at| unreachable & (1 << at) == 0) {
            let is_placed = |group: &u32| (*group as usize + placement) % RUNNERS == at;
            let request = CollectRequest {
                call: 1,
                lot: "lot".into(),
                groups: (0..GROUPS).filter(is_placed).collect(),
                token: token.clone(),
                version: self.version,
                bound: self.bound + extra_bound,
                max_samples: 5,
            };
            found.extend(self.send(at, Event::Collect(request)));
        }
        let (version, bound) = (self.version, self.bound);
        let merge = Merge {
            token: token.clone(),
            version,
            bound,
            max_samples: 8,
        };
        let delivery = merge.deliver(found);
        Answer {
            basis: token,
            next: delivery.token,
            samples: delivery.samples,
            version,
            bound,
        }
    }

    /// The trainer receives an answer; each sample that it accepts is checked.
    fn accept(&mut self, answer: &Answer) {
        let indexes = answer.samples.iter().map(|s| s.index);
        if self
            .cursor
            .accept(&answer.basis, &answer.next, indexes)
            .is_err()
        {
            return;
        }
        self.tokens.push(answer.next.clone());
        for sample in &answer.samples {
            check_sample(sample, answer.version, answer.bound);
            let expected = self.scored.then(|| score(&sample.text));
            assert_eq!(sample.score, expected, "score belongs to another text");
            let previous = self.accepted.insert(sample.index, sample.clone());
            assert!(previous.is_none(), "sample {} accepted twice", sample.index);
        }
    }

    fn restart_runner(&mut self, at: usize) {
        self.draining.remove(&at);
        let new = self.new_runner();
        let (old, runner) = std::mem::replace(&mut self.runners[at], new);
        self.attempts.retain(|(id, _), _| *id != old);
        let stats = runner.stats();
        self.stats.invalid_stamps += stats.invalid_stamps;
        self.stats.resumed += stats.resumed;
        self.stats.speculative += stats.speculative;
        self.stats.aborted += stats.aborted;
        self.stats.late_events += stats.late_events;
    }

    fn apply(&mut self, op: Op) {
        self.now = self.now + std::time::Duration::from_millis(50);
        let attempts: Vec<AttemptId> = self.attempts.keys().copied().collect();
        let pick = |at: usize| (!attempts.is_empty()).then(|| attempts[at % attempts.len()]);
        match op {
            Op::Offer => self.offer(),
            Op::Generate(at, n, fault) => {
                pick(at)
                    .into_iter()
                    .for_each(|id| self.generate(id, n, fault));
            }
            Op::DeliverDelayed(at) if !self.delayed_chunks.is_empty() => {
                let (id, chunk) = self.delayed_chunks.remove(at % self.delayed_chunks.len());
                self.chunk(id, chunk);
            }
            Op::DeliverDelayed(_) => {}
            Op::Crash(engine) => {
                self.attempts.retain(|_, attempt| attempt.engine != engine);
                self.engines[engine].cache.clear();
                for at in 0..RUNNERS {
                    let endpoint = format!("e{engine}").into();
                    self.send(at, Event::EndpointLost { endpoint });
                }
            }
            Op::LoadWeights(engine, back) => {
                let version = Version(self.version.0.saturating_sub(back));
                self.engines[engine].version = version;
            }
            Op::Publish(notified) => {
                self.version.0 += 1;
                let version = self.version;
                for at in (0..RUNNERS).filter(|at| notified & (1 << at) != 0) {
                    let model = "model".into();
                    self.send(at, Event::Published { model, version });
                }
            }
            Op::ChangeBound(bound, notified) => {
                self.bound = bound;
                for at in (0..RUNNERS).filter(|at| notified & (1 << at) != 0) {
                    let trainer = "trainer".into();
                    self.send(at, Event::BoundChanged { trainer, bound });
                }
            }
            Op::Assign(at) => {
                let spec = self.spec(0..GROUPS);
                self.send(at, Event::Assign(spec));
            }
            Op::Collect {
                placement,
                unreachable,
                token_age,
                extra_bound,
            } => {
                let last = self.tokens.len() - 1;
                let token = self.tokens[last.saturating_sub(token_age / 4)].clone();
                let answer = self.collect(placement, unreachable, extra_bound, token);
                self.pending_answers.push(answer);
            }
            Op::DeliverAnswer(at, again) if !self.pending_answers.is_empty() => {
                let answer = self.pending_answers.remove(at % self.pending_answers.len());
                self.accept(&answer);
                if again {
                    self.pending_answers.push(answer);
                }
            }
            Op::DeliverAnswer(..) => {}
            Op::LoseAttempt(at) => pick(at).into_iter().for_each(|id| self.lose_attempt(id)),
            Op::RestartRunner(at) => self.restart_runner(at),
            Op::Drain(at) => {
                self.draining.insert(at);
                self.send(at, Event::Drain);
            }
            Op::Score(at, fail) if !self.scorings.is_empty() => {
                let (id, ticket, score) = self.scorings.remove(at % self.scorings.len());
                let event = match fail {
                    true => Event::ScoreFailed { ticket },
                    false => Event::Scored { ticket, score },
                };
                if let Some(at) = self.runner_index(id) {
                    self.send(at, event);
                }
            }
            Op::Score(..) => {}
            Op::Rewind(back) => {
                // The trainer restarts from a checkpoint and loses all later tokens and samples.
                let at = self.tokens.len().saturating_sub(back + 1);
                self.tokens.truncate(at + 1);
                let token = self.tokens[at].clone();
                self.accepted.retain(|index, _| token.contains(*index));
                self.cursor = Cursor::new(token);
            }
            Op::Tick => {
                for at in 0..RUNNERS {
                    self.send(at, Event::Tick);
                }
            }
        }
    }

    /// Ends all faults and requires completion: draining runners stop, delayed chunks arrive, and
    /// engines load the newest version.
    fn settle(&mut self) {
        for at in std::mem::take(&mut self.draining) {
            self.restart_runner(at);
        }
        for (id, chunk) in std::mem::take(&mut self.delayed_chunks) {
            self.chunk(id, chunk);
        }
        for engine in &mut self.engines {
            engine.version = self.version;
            engine.cache.clear();
        }
        for round in 0..200 {
            self.apply(Op::Tick);
            while !self.scorings.is_empty() {
                self.apply(Op::Score(0, false));
            }
            self.offer();
            let attempts: Vec<AttemptId> = self.attempts.keys().copied().collect();
            for id in attempts {
                if self.attempts.contains_key(&id) {
                    self.generate(id, 4, Fault::None);
                }
            }
            let token = self.cursor.token().clone();
            let answer = self.collect(round / 20, 0, 0, token);
            self.accept(&answer);
            if self.cursor.token().remaining() == 0 {
                return;
            }
        }
        panic!("not complete after 200 rounds: {:?}", self.cursor.token());
    }
}

/// Checks by the text of a sample that it is complete, has correct spans and meets the bound.
fn check_sample(sample: &Sample, version: Version, bound: u64) {
    let prompt = prompt(sample.index / SAMPLES_PER_GROUP);
    let seed = hash::rendezvous(u64::from(sample.index), &digest().to_string());
    let (mut reused, mut output, mut words_found) = (Vec::new(), Vec::new(), String::new());
    let mut tokens = 0;
    for token in sample.text.split_terminator(' ').skip(1) {
        let (word, versions) = token.split_once('#').expect("a mark");
        let mut versions = versions
            .split('@')
            .map(|mark| Version(mark.parse().expect("a number")));
        add(&mut output, versions.next().expect("a mark"), 1);
        versions.for_each(|version| add(&mut reused, version, 4));
        words_found += &format!(" {word}");
        tokens += 1;
    }
    let words = (0..length(&prompt, seed)).map(|at| word(&prompt, seed, at));
    assert_eq!(
        words_found,
        words.collect::<String>(),
        "text is not complete"
    );
    assert_eq!(tokens, sample.tokens);
    let oldest = reused.iter().chain(&output).map(|s: &Span| s.version).min();
    assert!(output.is_sorted_by_key(|s| s.version), "version went back");
    assert_eq!(
        sample.spans,
        [reused, output].concat(),
        "spans do not match the text"
    );
    let oldest = oldest.expect("a version");
    assert!(staleness::is_fresh(oldest, version, bound), "too old");
}

fn add(spans: &mut Vec<Span>, version: Version, tokens: u32) {
    match spans.last_mut().filter(|last| last.version == version) {
        Some(last) => last.tokens += tokens,
        None => spans.push(Span { version, tokens }),
    }
}

fn policy(bits: u8) -> Policy {
    Policy {
        longest_first: bits & 1 != 0,
        speculative_attempts: bits & 2 != 0,
        resume: bits & 4 != 0,
        early_abort: bits & 8 != 0,
        staleness_aware_start: bits & 16 != 0,
        fair_share: bits & 32 != 0,
        ..Policy::default()
    }
}

const SEED: u64 = 41;

fn cases() -> u32 {
    let cases = std::env::var("LOT_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(512)
}

fn rng_seed() -> u64 {
    let seed = std::env::var("LOT_SEED").ok();
    seed.and_then(|seed| seed.parse().ok()).unwrap_or(SEED)
}

static TRANSITIONS: AtomicU64 = AtomicU64::new(0);
static FAULT_COUNTS: [AtomicU64; 5] = [const { AtomicU64::new(0) }; 5];

fn check(ops: Vec<Op>, bits: u8, scored: bool) {
    TRANSITIONS.fetch_add(ops.len() as u64, Ordering::Relaxed);
    let mut simulation = Simulation::new(policy(bits), scored);
    for op in ops {
        simulation.apply(op);
    }
    simulation.settle();
    (0..RUNNERS).for_each(|at| simulation.restart_runner(at));
    let indexes: BTreeSet<u32> = simulation.accepted.keys().copied().collect();
    assert_eq!(indexes, (0..SAMPLES).collect());
    let Stats {
        invalid_stamps,
        resumed,
        speculative,
        aborted,
        late_events,
        ..
    } = simulation.stats;
    for (total, count) in
        FAULT_COUNTS
            .iter()
            .zip([invalid_stamps, resumed, speculative, aborted, late_events])
    {
        total.fetch_add(count, Ordering::Relaxed);
    }
}

#[test]
fn every_sample_is_delivered_once_complete_unaltered_and_fresh() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(rng_seed()),
        failure_persistence: None,
        cases: cases(),
        max_shrink_iters: 2_000,
        ..Default::default()
    };
    let ops = prop::collection::vec(op(), 20..250);
    proptest!(config, |(ops in ops, bits in 0..64_u8, scored: bool)| check(ops, bits, scored));
    let counts: Vec<u64> = FAULT_COUNTS
        .iter()
        .map(|m| m.load(Ordering::Relaxed))
        .collect();
    println!("transitions {}", TRANSITIONS.load(Ordering::Relaxed));
    println!("invalid stamps, resumed, speculative, aborted, late events: {counts:?}");
    assert!(
        counts.iter().all(|count| *count > 0),
        "a kind of fault never occurred: {counts:?}"
    );
}
