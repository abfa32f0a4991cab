//! Runners, fronts, a trainer and engines under faults, against an oracle that knows only texts.
//!
//! Each token of the fake engine carries the version that computed it (`#`) and, on the first
//! token of an attempt, what was reused (`@`). So a delivered text tells the truth by itself.

use pinereel_core::{
    Span, Time, Version,
    cursor::{Ledger, Merge, Token},
    hash,
    lot::{
        Action, Ask, AttemptKey, Chunk, Event, Failure, Finish, Group, Limits, Offer, Policy,
        Runner, Sample, Spec, Start, Stats,
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
const MATES: u32 = 3;
const SAMPLES: u32 = GROUPS * MATES;
const MAX_TOKENS: u32 = 12;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Drop,
    Twice,
    Hold,
    NoStamp,
    Cancelled,
}

#[derive(Clone, Debug)]
enum Op {
    Offer,
    Work(usize, u32, Fault),
    Release(usize),
    Crash(usize),
    Swap(usize, u64),
    Publish(usize),
    Bound(u64, usize),
    Assign(usize),
    Collect {
        view: usize,
        cut: usize,
        old: usize,
        loose: u64,
    },
    Deliver(usize, bool),
    Lose(usize),
    Replace(usize),
    Drain(usize),
    Score(usize, bool),
    Rewind(usize),
    Tick,
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::Drop),
        1 => Just(Fault::Twice),
        1 => Just(Fault::Hold),
        1 => Just(Fault::NoStamp),
        1 => Just(Fault::Cancelled),
    ];
    prop_oneof![
        4 => Just(Op::Offer),
        24 => (0..64_usize, 1..8_u32, fault).prop_map(|(a, n, f)| Op::Work(a, n, f)),
        2 => (0..8_usize).prop_map(Op::Release),
        1 => (0..ENGINES).prop_map(Op::Crash),
        3 => (0..ENGINES, 0..3_u64).prop_map(|(e, b)| Op::Swap(e, b)),
        2 => (0..8_usize).prop_map(Op::Publish),
        1 => (0..3_u64, 0..8_usize).prop_map(|(b, m)| Op::Bound(b, m)),
        2 => (0..RUNNERS).prop_map(Op::Assign),
        6 => (0..RUNNERS, 0..8_usize, 0..6_usize, 0..3_u64)
            .prop_map(|(view, cut, old, loose)| Op::Collect { view, cut, old, loose }),
        6 => (0..8_usize, any::<bool>()).prop_map(|(a, again)| Op::Deliver(a, again)),
        1 => (0..64_usize).prop_map(Op::Lose),
        1 => (0..RUNNERS).prop_map(Op::Replace),
        1 => (0..RUNNERS).prop_map(Op::Drain),
        6 => (0..8_usize, any::<bool>()).prop_map(|(at, fail)| Op::Score(at, fail)),
        1 => (0..8_usize).prop_map(Op::Rewind),
        4 => Just(Op::Tick),
    ]
}

/// An attempt as its engine sees it.
struct Run {
    start: Start,
    engine: usize,
    next: u32,
    first: bool,
}

struct Engine {
    version: Version,
    /// Prompts cached, with the version that computed them.
    cache: BTreeMap<String, Version>,
}

struct Answer {
    basis: Token,
    next: Token,
    samples: Vec<Sample>,
    version: Version,
    bound: u64,
}

type Id = (u64, AttemptKey);

struct World {
    now: Time,
    policy: Policy,
    scored: bool,
    runners: Vec<(u64, Runner)>,
    incarnations: u64,
    engines: Vec<Engine>,
    runs: BTreeMap<Id, Run>,
    held: Vec<(u64, Chunk)>,
    mail: Vec<Answer>,
    tokens: Vec<Token>,
    ledger: Ledger,
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

/// The scoring service: any change of the text changes it.
fn score(text: &str) -> f64 {
    (hash::stable(text.as_bytes()) % 1_000_003) as f64
}

fn word(prompt: &str, seed: u64, at: u32) -> String {
    format!(" {}", hash::rendezvous(seed ^ u64::from(at), prompt) % 97)
}

impl World {
    fn new(policy: Policy, scored: bool) -> Self {
        let token = Token::first(digest(), 7, SAMPLES);
        let engine = || Engine {
            version: Version(3),
            cache: BTreeMap::new(),
        };
        let mut world = Self {
            now: Time::ZERO,
            policy,
            scored,
            runners: Vec::new(),
            incarnations: 0,
            engines: (0..ENGINES).map(|_| engine()).collect(),
            runs: BTreeMap::new(),
            held: Vec::new(),
            mail: Vec::new(),
            tokens: vec![token.clone()],
            ledger: Ledger::new(token),
            accepted: BTreeMap::new(),
            version: Version(3),
            bound: 2,
            scorings: Vec::new(),
            draining: BTreeSet::new(),
            stats: Stats::default(),
        };
        for _ in 0..RUNNERS {
            let runner = world.fresh();
            world.runners.push(runner);
        }
        world
    }

    fn fresh(&mut self) -> (u64, Runner) {
        self.incarnations += 1;
        (
            self.incarnations,
            Runner::new(self.policy, Limits::default()),
        )
    }

    fn spec(&self, groups: impl IntoIterator<Item = u32>) -> Spec {
        let group = |index| Group {
            index,
            first: index * MATES,
            prompt: prompt(index),
            samples: MATES,
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
                    let run = Run {
                        next: start.resume_tokens,
                        start,
                        engine,
                        first: true,
                    };
                    self.runs.insert((id, run.start.attempt), run);
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
                // A cancelled run may still send chunks: they have to be dropped.
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

    fn work(&mut self, id: Id, tokens: u32, fault: Fault) {
        let run = self.runs.get_mut(&id).expect("a run");
        let engine = &mut self.engines[run.engine];
        let (prompt, seed) = (run.start.prompt.clone(), run.start.seed);
        let version = engine.version;
        let cached = *engine.cache.entry(prompt.clone()).or_insert(version);
        let mut reused = Vec::new();
        let end = length(&prompt, seed).min(run.next + tokens);
        // An attempt that goes on from a whole text computes nothing, so it stamps nothing.
        let idle = end == run.next;
        if run.first && !idle {
            reused.push(Span {
                version: cached,
                tokens: 4,
            });
        }
        let mut text = String::new();
        for at in run.next..end {
            text += &format!("{}#{}", word(&prompt, seed, at), version.0);
            if run.first {
                text += &format!("@{}", cached.0);
                run.first = false;
            }
        }
        let whole = end == length(&prompt, seed);
        let finish = match fault {
            Fault::Cancelled => Some(Finish::Cancelled),
            _ => whole.then_some(Finish::Whole),
        };
        let stamp = Stamp {
            offset: run.next,
            tokens: end - run.next,
            version: (fault != Fault::NoStamp && !idle).then_some(version),
            reused,
        };
        run.next = end;
        let chunk = Chunk {
            attempt: id.1,
            stamp,
            text,
            finish,
        };
        if finish.is_some() {
            self.runs.remove(&id);
        }
        match fault {
            Fault::Drop if whole => self.lost(id),
            Fault::Drop => {}
            Fault::Hold => self.held.push((id.0, chunk)),
            Fault::Twice => {
                self.chunk(id.0, chunk.clone());
                self.chunk(id.0, chunk);
            }
            _ => self.chunk(id.0, chunk),
        }
    }

    fn find(&self, incarnation: u64) -> Option<usize> {
        self.runners.iter().position(|(id, _)| *id == incarnation)
    }

    fn chunk(&mut self, incarnation: u64, chunk: Chunk) {
        if let Some(at) = self.find(incarnation) {
            self.send(at, Event::Chunk(chunk));
        }
    }

    fn lost(&mut self, id: Id) {
        self.runs.remove(&id);
        if let Some(at) = self.find(id.0) {
            let (attempt, failure) = (id.1, Failure::Lost);
            self.send(at, Event::Failed { attempt, failure });
        }
    }

    /// A collect through some front: `view` places the groups, `cut` hides runners from it,
    /// and the bound is tightened by `loose` before it answers.
    fn collect(&mut self, view: usize, cut: usize, loose: u64, token: Token) -> Answer {
        let mut found = Vec::new();
        for at in (0..RUNNERS).filter(|at| cut & (1 << at) == 0) {
            let mine = |group: &u32| (*group as usize + view) % RUNNERS == at;
            let ask = Ask {
                call: 1,
                lot: "lot".into(),
                groups: (0..GROUPS).filter(mine).collect(),
                token: token.clone(),
                version: self.version,
                bound: self.bound + loose,
                max: 5,
            };
            found.extend(self.send(at, Event::Collect(ask)));
        }
        let (version, bound) = (self.version, self.bound);
        let merge = Merge {
            token: token.clone(),
            version,
            bound,
            max: 8,
        };
        let done = merge.run(found);
        Answer {
            basis: token,
            next: done.token,
            samples: done.samples,
            version,
            bound,
        }
    }

    /// The trainer gets an answer; everything that it takes is judged here.
    fn take(&mut self, answer: &Answer) {
        let indexes = answer.samples.iter().map(|s| s.index);
        if self
            .ledger
            .take(&answer.basis, &answer.next, indexes)
            .is_err()
        {
            return;
        }
        self.tokens.push(answer.next.clone());
        for sample in &answer.samples {
            judge(sample, answer.version, answer.bound);
            let wanted = self.scored.then(|| score(&sample.text));
            assert_eq!(sample.score, wanted, "score of another text");
            let twice = self.accepted.insert(sample.index, sample.clone());
            assert!(twice.is_none(), "sample {} accepted twice", sample.index);
        }
    }

    fn replace(&mut self, at: usize) {
        self.draining.remove(&at);
        let fresh = self.fresh();
        let (old, runner) = std::mem::replace(&mut self.runners[at], fresh);
        self.runs.retain(|(id, _), _| *id != old);
        let stats = runner.stats();
        self.stats.void += stats.void;
        self.stats.resumed += stats.resumed;
        self.stats.duplicated += stats.duplicated;
        self.stats.aborted += stats.aborted;
        self.stats.late += stats.late;
    }

    fn apply(&mut self, op: Op) {
        self.now = self.now + std::time::Duration::from_millis(50);
        let runs: Vec<Id> = self.runs.keys().copied().collect();
        let pick = |at: usize| (!runs.is_empty()).then(|| runs[at % runs.len()]);
        match op {
            Op::Offer => self.offer(),
            Op::Work(at, n, fault) => {
                pick(at).into_iter().for_each(|id| self.work(id, n, fault));
            }
            Op::Release(at) if !self.held.is_empty() => {
                let (id, chunk) = self.held.remove(at % self.held.len());
                self.chunk(id, chunk);
            }
            Op::Release(_) => {}
            Op::Crash(engine) => {
                self.runs.retain(|_, run| run.engine != engine);
                self.engines[engine].cache.clear();
                for at in 0..RUNNERS {
                    let endpoint = format!("e{engine}").into();
                    self.send(at, Event::Gone { endpoint });
                }
            }
            Op::Swap(engine, back) => {
                let version = Version(self.version.0.saturating_sub(back));
                self.engines[engine].version = version;
            }
            Op::Publish(told) => {
                self.version.0 += 1;
                let version = self.version;
                for at in (0..RUNNERS).filter(|at| told & (1 << at) != 0) {
                    let model = "model".into();
                    self.send(at, Event::Published { model, version });
                }
            }
            Op::Bound(bound, told) => {
                self.bound = bound;
                for at in (0..RUNNERS).filter(|at| told & (1 << at) != 0) {
                    let trainer = "trainer".into();
                    self.send(at, Event::Bound { trainer, bound });
                }
            }
            Op::Assign(at) => {
                let spec = self.spec(0..GROUPS);
                self.send(at, Event::Assign(spec));
            }
            Op::Collect {
                view,
                cut,
                old,
                loose,
            } => {
                let last = self.tokens.len() - 1;
                let token = self.tokens[last.saturating_sub(old / 4)].clone();
                let answer = self.collect(view, cut, loose, token);
                self.mail.push(answer);
            }
            Op::Deliver(at, again) if !self.mail.is_empty() => {
                let answer = self.mail.remove(at % self.mail.len());
                self.take(&answer);
                if again {
                    self.mail.push(answer);
                }
            }
            Op::Deliver(..) => {}
            Op::Lose(at) => pick(at).into_iter().for_each(|id| self.lost(id)),
            Op::Replace(at) => self.replace(at),
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
                if let Some(at) = self.find(id) {
                    self.send(at, event);
                }
            }
            Op::Score(..) => {}
            Op::Rewind(back) => {
                // The trainer restarts from a checkpoint: it has forgotten what came after.
                let at = self.tokens.len().saturating_sub(back + 1);
                self.tokens.truncate(at + 1);
                let token = self.tokens[at].clone();
                self.accepted.retain(|index, _| token.contains(*index));
                self.ledger = Ledger::new(token);
            }
            Op::Tick => {
                for at in 0..RUNNERS {
                    self.send(at, Event::Tick);
                }
            }
        }
    }

    /// Faults stop: draining runners leave, engines load the newest version, late chunks arrive.
    fn settle(&mut self) {
        for at in std::mem::take(&mut self.draining) {
            self.replace(at);
        }
        for (id, chunk) in std::mem::take(&mut self.held) {
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
            let runs: Vec<Id> = self.runs.keys().copied().collect();
            for id in runs {
                if self.runs.contains_key(&id) {
                    self.work(id, 4, Fault::None);
                }
            }
            let token = self.ledger.token().clone();
            let answer = self.collect(round / 20, 0, 0, token);
            self.take(&answer);
            if self.ledger.token().remaining() == 0 {
                return;
            }
        }
        panic!("not complete after 200 rounds: {:?}", self.ledger.token());
    }
}

/// The oracle: whole text, true spans, fresh enough.
fn judge(sample: &Sample, version: Version, bound: u64) {
    let prompt = prompt(sample.index / MATES);
    let seed = hash::rendezvous(u64::from(sample.index), &digest().to_string());
    let (mut reused, mut output, mut plain) = (Vec::new(), Vec::new(), String::new());
    let mut tokens = 0;
    for token in sample.text.split_terminator(' ').skip(1) {
        let (word, marks) = token.split_once('#').expect("a mark");
        let mut marks = marks
            .split('@')
            .map(|mark| Version(mark.parse().expect("a number")));
        add(&mut output, marks.next().expect("a mark"), 1);
        marks.for_each(|version| add(&mut reused, version, 4));
        plain += &format!(" {word}");
        tokens += 1;
    }
    let words = (0..length(&prompt, seed)).map(|at| word(&prompt, seed, at));
    assert_eq!(plain, words.collect::<String>(), "text not whole");
    assert_eq!(tokens, sample.tokens);
    let oldest = reused.iter().chain(&output).map(|s: &Span| s.version).min();
    assert!(output.is_sorted_by_key(|s| s.version), "version went back");
    assert_eq!(sample.spans, [reused, output].concat(), "spans not true");
    let oldest = oldest.expect("a version");
    assert!(staleness::fits(oldest, version, bound), "too old");
}

fn add(spans: &mut Vec<Span>, version: Version, tokens: u32) {
    match spans.last_mut().filter(|last| last.version == version) {
        Some(last) => last.tokens += tokens,
        None => spans.push(Span { version, tokens }),
    }
}

fn policy(bits: u8) -> Policy {
    Policy {
        long_first: bits & 1 != 0,
        duplicates: bits & 2 != 0,
        resume: bits & 4 != 0,
        early_abort: bits & 8 != 0,
        staleness_aware_start: bits & 16 != 0,
        fair: bits & 32 != 0,
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
static MET: [AtomicU64; 5] = [const { AtomicU64::new(0) }; 5];

fn check(ops: Vec<Op>, bits: u8, scored: bool) {
    TRANSITIONS.fetch_add(ops.len() as u64, Ordering::Relaxed);
    let mut world = World::new(policy(bits), scored);
    for op in ops {
        world.apply(op);
    }
    world.settle();
    (0..RUNNERS).for_each(|at| world.replace(at));
    let indexes: BTreeSet<u32> = world.accepted.keys().copied().collect();
    assert_eq!(indexes, (0..SAMPLES).collect());
    let Stats {
        void,
        resumed,
        duplicated,
        aborted,
        late,
        ..
    } = world.stats;
    for (met, count) in MET.iter().zip([void, resumed, duplicated, aborted, late]) {
        met.fetch_add(count, Ordering::Relaxed);
    }
}

#[test]
fn every_sample_arrives_once_whole_true_and_fresh() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(rng_seed()),
        failure_persistence: None,
        cases: cases(),
        max_shrink_iters: 2_000,
        ..Default::default()
    };
    let ops = prop::collection::vec(op(), 20..250);
    proptest!(config, |(ops in ops, bits in 0..64_u8, scored: bool)| check(ops, bits, scored));
    let met: Vec<u64> = MET.iter().map(|m| m.load(Ordering::Relaxed)).collect();
    println!("transitions {}", TRANSITIONS.load(Ordering::Relaxed));
    println!("void, resumed, duplicated, aborted, late: {met:?}");
    assert!(
        met.iter().all(|count| *count > 0),
        "a kind of fault was never met: {met:?}"
    );
}
