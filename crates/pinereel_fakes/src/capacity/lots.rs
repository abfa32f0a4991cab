//! Decisions of the samples' path: the runner, the cursor token, the merge.

use super::{
    fit::Slope,
    meter::{bytes, cpu, micros},
};
use compact_str::format_compact;
use pinereel_core::{
    Span, Time, Version,
    cursor::{Merge, Token},
    hash::Digest,
    lot::{
        Action, AttemptKey, Chunk, CollectRequest, Event, Finish, Group, Limits, Offer, Policy,
        Runner, Sample, Spec,
    },
    provenance::Stamp,
};
use std::{io, time::Duration};

/// A runner's part of a lot of 8,192 samples, spread over 16.
const PART: u32 = 512;
/// Samples of a group.
const GROUP: u32 = 8;
/// Bytes of text a token.
const TOKEN_BYTES: usize = 4;
/// Tokens of one chunk, as the daemon asks for.
const CHUNK_TOKENS: u32 = 32;

/// Measures all of it.
///
/// # Errors
/// The kernel doesn't tell processor time or memory.
pub fn measure() -> io::Result<Vec<Slope>> {
    let mut slopes = vec![chunk(), offers()];
    slopes.extend(samples());
    slopes.push(held()?);
    slopes.extend(cursor());
    Ok(slopes)
}

fn spec(lot: usize, samples: u32) -> Spec {
    let group = |index| Group {
        index,
        first: index * GROUP,
        prompt: "a prompt of about a hundred bytes ".repeat(3),
        samples: GROUP,
        max_tokens: 10_000_000,
    };
    Spec {
        lot: format_compact!("lot-{lot}"),
        digest: Digest::of(&lot.to_be_bytes()),
        trainer: format_compact!("trainer-{lot}"),
        weight: 1,
        model: "m".into(),
        step: 1,
        version: Version(5),
        bound: 1,
        deadline: Time::from_millis(1_920_000),
        scored: false,
        groups: (0..samples / GROUP).map(group).collect(),
    }
}

/// A runner with lots and engines; gives the attempts that it started.
fn runner(lots: usize, samples: u32, slots: u32) -> (Runner, Vec<AttemptKey>) {
    let limits = Limits {
        max_lots: lots.max(64),
        ..Limits::default()
    };
    let mut runner = Runner::new(Policy::default(), limits);
    let now = Time::ZERO;
    for lot in 0..lots {
        runner.step(now, Event::Assign(spec(lot, samples)));
    }
    let mut started = Vec::new();
    for engine in 0..slots.div_ceil(8) {
        let offer = Offer {
            endpoint: format_compact!("worker-{engine}"),
            model: "m".into(),
            version: Version(5),
            slots: 8,
        };
        started.extend(starts(&runner.step(now, Event::Offer(offer))));
    }
    (runner, started)
}

fn starts(actions: &[Action]) -> Vec<AttemptKey> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.attempt),
        _ => None,
    });
    starts.collect()
}

fn chunk_of(attempt: AttemptKey, offset: u32, tokens: u32, finish: Option<Finish>) -> Event {
    let stamp = Stamp {
        offset,
        tokens,
        version: Some(Version(5)),
        reused: Vec::new(),
    };
    Event::Chunk(Chunk {
        attempt,
        stamp,
        text: "x".repeat(tokens as usize * TOKEN_BYTES),
        finish,
    })
}

/// A chunk that ends nothing, against the attempts that run.
fn chunk() -> Slope {
    let mut points = Vec::new();
    for slots in [8, 64, 512] {
        let (mut runner, started) = runner(1, slots, slots);
        let mut sent = 0;
        let took = micros(|| {
            let attempt = started[sent as usize % started.len()];
            let offset = sent / started.len() as u32 * CHUNK_TOKENS;
            sent += 1;
            runner.step(Time::ZERO, chunk_of(attempt, offset, CHUNK_TOKENS, None))
        });
        points.push((f64::from(slots), took));
    }
    Slope::of("chunk", "µs a chunk", "attempt that runs", points)
}

/// One offer, with a single attempt that runs and nothing that waits: each endpoint is looked at.
fn offers() -> Slope {
    let mut points = Vec::new();
    for count in [8, 64, 256] {
        let (mut runner, _) = runner(1, GROUP, count * 8);
        let attempts = runner.in_flight();
        let mut sent = 0;
        let took = micros(|| {
            sent += 1;
            let offer = Offer {
                endpoint: format_compact!("worker-{}", sent % count),
                model: "m".into(),
                version: Version(5),
                slots: 8,
            };
            runner.step(Time::ZERO, Event::Offer(offer))
        });
        debug_assert_eq!(runner.in_flight(), attempts, "nothing starts");
        points.push((f64::from(count * count), took));
    }
    Slope::of("offer", "µs an offer", "pair of endpoints", points)
}

/// A sample from its start to its collect, against the samples held by the runner.
fn samples() -> Vec<Slope> {
    let (mut runs, mut collects) = (Vec::new(), Vec::new());
    for lots in [1, 4, 16, 38] {
        let (mut ran, mut collected) = (f64::MAX, f64::MAX);
        for _ in 0..64 / lots {
            let (run, collect) = pass(lots);
            ran = ran.min(run);
            collected = collected.min(collect);
        }
        let held = (lots * PART as usize) as f64;
        runs.push((held, ran));
        collects.push((held, collected));
    }
    vec![
        Slope::of("sample", "µs a sample run", "sample held", runs),
        Slope::of("collect", "µs a sample collected", "sample held", collects),
    ]
}

/// Microseconds a sample run, and a sample collected, with so many lots held.
fn pass(lots: usize) -> (f64, f64) {
    let (mut runner, mut running) = runner(lots, PART, 64);
    let held = lots as f64 * f64::from(PART);
    let start = cpu();
    let mut now = 0;
    while let Some(attempt) = running.pop() {
        now += 1;
        let event = chunk_of(attempt, 0, CHUNK_TOKENS, Some(Finish::Complete));
        running.extend(starts(&runner.step(Time::from_millis(now), event)));
    }
    let middle = cpu();
    for lot in 0..lots {
        collect(&mut runner, lot, PART);
    }
    let end = cpu();
    let each = |time: Duration| time.as_secs_f64() * 1e6 / held;
    (each(middle - start), each(end - middle))
}

/// Collects 64 samples at a time.
fn collect(runner: &mut Runner, lot: usize, samples: u32) {
    let id = format_compact!("lot-{lot}");
    let mut token = Token::empty(Digest::of(&lot.to_be_bytes()), 1, samples);
    for call in 0..u64::from(samples) {
        let ask = CollectRequest {
            call,
            lot: id.clone(),
            groups: (0..samples / GROUP).collect(),
            token: token.clone(),
            version: Version(5),
            bound: 1,
            max_samples: 64,
        };
        let actions = runner.step(Time::from_millis(1_000_000), Event::Collect(ask));
        let found = actions.into_iter().find_map(|action| match action {
            Action::Answer { samples, .. } => Some(samples),
            _ => None,
        });
        let indexes = found.into_iter().flatten().map(|sample| sample.index);
        match token.with_samples(indexes) {
            Some(next) if next.remaining() > 0 => token = next,
            _ => return,
        }
    }
}

/// Samples that memory is measured with.
const HELD: (usize, u32) = (8, 512);

/// A runner that holds finished samples of `tokens` tokens each.
pub(super) fn finished(tokens: usize) -> Runner {
    let (mut runner, mut running) = runner(HELD.0, HELD.1, 64);
    let tokens = tokens as u32;
    while let Some(attempt) = running.pop() {
        let mut offset = 0;
        while offset < tokens {
            let last = offset + CHUNK_TOKENS >= tokens;
            let finish = last.then_some(Finish::Complete);
            let event = chunk_of(attempt, offset, CHUNK_TOKENS, finish);
            running.extend(starts(&runner.step(Time::ZERO, event)));
            offset += CHUNK_TOKENS;
        }
    }
    runner
}

/// Memory of a finished sample against its tokens.
fn held() -> io::Result<Slope> {
    let mut points = Vec::new();
    for tokens in [512, 1_024, 2_048, 4_096] {
        let count = HELD.0 as f64 * f64::from(HELD.1);
        points.push((tokens as f64, bytes("sample_held", tokens)? / count));
    }
    Ok(Slope::of("sample_held", "bytes a sample", "token", points))
}

fn cursor() -> Vec<Slope> {
    let (mut sizes, mut parses, mut merges) = (Vec::new(), Vec::new(), Vec::new());
    for samples in [512, 2_048, 8_192] {
        let token = Token::empty(Digest::of(b"lot"), 1, samples);
        let text = token.to_string();
        let x = f64::from(samples);
        sizes.push((x, text.len() as f64));
        let read = || Token::parse(&text).map(|token| token.to_string());
        parses.push((x, micros(read)));
        let found: Vec<_> = (0..samples).map(sample).collect();
        let merge = || {
            let merge = Merge {
                token: token.clone(),
                version: Version(5),
                bound: 1,
                max_samples: samples as usize,
            };
            merge.deliver(found.clone())
        };
        merges.push((x, micros(merge)));
    }
    vec![
        Slope::of("token", "bytes a token", "sample of the lot", sizes),
        Slope::of(
            "token_read",
            "µs a token read and written",
            "sample of the lot",
            parses,
        ),
        Slope::of(
            "merge",
            "µs a merge, the samples' copies included",
            "sample",
            merges,
        ),
    ]
}

fn sample(index: u32) -> Sample {
    Sample {
        group: index / GROUP,
        index,
        text: "x".repeat(512),
        tokens: 128,
        spans: vec![Span {
            version: Version(5),
            tokens: 128,
        }],
        score: None,
    }
}
