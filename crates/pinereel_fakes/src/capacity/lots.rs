//! Decisions about samples: the runner, the cursor token and the merge of collected samples.

use super::{
    fit::Measurement,
    meter::{cpu_micros_per_call, measure_bytes, thread_cpu_time},
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

/// Number of samples that one runner has of a lot of 8,192 samples, which 16 runners share.
const SAMPLES_PER_RUNNER: u32 = 512;
/// Number of samples of a group.
const SAMPLES_PER_GROUP: u32 = 8;
/// Bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of tokens of a chunk, as the entry requests it from engines.
const CHUNK_TOKENS: u32 = 32;

/// Measures chunks, offers, samples and cursor tokens.
///
/// # Errors
/// Memory could not be measured, see [`measure_bytes`].
pub fn measure() -> io::Result<Vec<Measurement>> {
    let mut measurements = vec![measure_chunks(), measure_offers()];
    measurements.extend(measure_samples());
    measurements.push(measure_held_samples()?);
    measurements.extend(measure_cursor());
    Ok(measurements)
}

fn lot_spec(lot: usize, samples: u32) -> Spec {
    let group = |index| Group {
        index,
        first: index * SAMPLES_PER_GROUP,
        prompt: "a prompt of about a hundred bytes ".repeat(3),
        samples: SAMPLES_PER_GROUP,
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
        groups: (0..samples / SAMPLES_PER_GROUP).map(group).collect(),
    }
}

/// A runner with `lots` lots of `samples` samples, to which engines offer `slots` slots in total.
/// Returns it with the attempts that it started.
fn start_runner(lots: usize, samples: u32, slots: u32) -> (Runner, Vec<AttemptKey>) {
    let limits = Limits {
        max_lots: lots.max(64),
        ..Limits::default()
    };
    let mut runner = Runner::new(Policy::default(), limits);
    let now = Time::ZERO;
    for lot in 0..lots {
        runner.step(now, Event::Assign(lot_spec(lot, samples)));
    }
    let mut started = Vec::new();
    for engine in 0..slots.div_ceil(8) {
        let offer = Offer {
            endpoint: format_compact!("worker-{engine}"),
            model: "m".into(),
            version: Version(5),
            slots: 8,
        };
        started.extend(started_attempts(&runner.step(now, Event::Offer(offer))));
    }
    (runner, started)
}

fn started_attempts(actions: &[Action]) -> Vec<AttemptKey> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.attempt),
        _ => None,
    });
    starts.collect()
}

fn chunk_event(attempt: AttemptKey, offset: u32, tokens: u32, finish: Option<Finish>) -> Event {
    let stamp = Stamp {
        offset,
        tokens,
        version: Some(Version(5)),
        reused: Vec::new(),
    };
    Event::Chunk(Chunk {
        attempt,
        stamp,
        text: "x".repeat(tokens as usize * BYTES_PER_TOKEN),
        finish,
    })
}

/// CPU time of a chunk that does not finish its attempt, as a function of the running attempts.
fn measure_chunks() -> Measurement {
    let mut points = Vec::new();
    for slots in [8, 64, 512] {
        let (mut runner, started) = start_runner(1, slots, slots);
        let mut sent = 0;
        let micros = cpu_micros_per_call(|| {
            let attempt = started[sent as usize % started.len()];
            let offset = sent / started.len() as u32 * CHUNK_TOKENS;
            sent += 1;
            runner.step(Time::ZERO, chunk_event(attempt, offset, CHUNK_TOKENS, None))
        });
        points.push((f64::from(slots), micros));
    }
    Measurement::new("chunk", "µs a chunk", "attempt that runs", points)
}

/// CPU time of an offer while a single group runs and no sample waits. The runner then checks each
/// endpoint.
fn measure_offers() -> Measurement {
    let mut points = Vec::new();
    for count in [8, 64, 256] {
        let (mut runner, _) = start_runner(1, SAMPLES_PER_GROUP, count * 8);
        let attempts = runner.in_flight();
        let mut sent = 0;
        let micros = cpu_micros_per_call(|| {
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
        points.push((f64::from(count * count), micros));
    }
    Measurement::new("offer", "µs an offer", "pair of endpoints", points)
}

/// CPU time of running a sample and of collecting one, as a function of the samples that the runner
/// holds.
fn measure_samples() -> Vec<Measurement> {
    let (mut runs, mut collects) = (Vec::new(), Vec::new());
    for lots in [1, 4, 16, 38] {
        let (mut min_run, mut min_collect) = (f64::MAX, f64::MAX);
        for _ in 0..64 / lots {
            let (run, collect) = run_and_collect(lots);
            min_run = min_run.min(run);
            min_collect = min_collect.min(collect);
        }
        let held = (lots * SAMPLES_PER_RUNNER as usize) as f64;
        runs.push((held, min_run));
        collects.push((held, min_collect));
    }
    vec![
        Measurement::new("sample", "µs a sample run", "sample held", runs),
        Measurement::new("collect", "µs a sample collected", "sample held", collects),
    ]
}

/// CPU time of running a sample and of collecting one, in microseconds, with `lots` lots.
fn run_and_collect(lots: usize) -> (f64, f64) {
    let (mut runner, mut running) = start_runner(lots, SAMPLES_PER_RUNNER, 64);
    let held = lots as f64 * f64::from(SAMPLES_PER_RUNNER);
    let start = thread_cpu_time();
    let mut now = 0;
    while let Some(attempt) = running.pop() {
        now += 1;
        let event = chunk_event(attempt, 0, CHUNK_TOKENS, Some(Finish::Complete));
        running.extend(started_attempts(
            &runner.step(Time::from_millis(now), event),
        ));
    }
    let middle = thread_cpu_time();
    for lot in 0..lots {
        collect_lot(&mut runner, lot, SAMPLES_PER_RUNNER);
    }
    let end = thread_cpu_time();
    let per_sample = |time: Duration| time.as_secs_f64() * 1e6 / held;
    (per_sample(middle - start), per_sample(end - middle))
}

/// Collects all samples of a lot, 64 at a time.
fn collect_lot(runner: &mut Runner, lot: usize, samples: u32) {
    let id = format_compact!("lot-{lot}");
    let mut token = Token::empty(Digest::of(&lot.to_be_bytes()), 1, samples);
    for call in 0..u64::from(samples) {
        let request = CollectRequest {
            call,
            lot: id.clone(),
            groups: (0..samples / SAMPLES_PER_GROUP).collect(),
            token: token.clone(),
            version: Version(5),
            bound: 1,
            max_samples: 64,
        };
        let actions = runner.step(Time::from_millis(1_000_000), Event::Collect(request));
        let collected = actions.into_iter().find_map(|action| match action {
            Action::Answer { samples, .. } => Some(samples),
            _ => None,
        });
        let indexes = collected.into_iter().flatten().map(|sample| sample.index);
        match token.with_samples(indexes) {
            Some(next) if next.remaining() > 0 => token = next,
            _ => return,
        }
    }
}

/// Number of lots that memory is measured with.
const HELD_LOTS: usize = 8;
/// Number of samples of each of these lots.
const HELD_SAMPLES_PER_LOT: u32 = 512;

/// A runner that holds finished samples of about `tokens` tokens each.
pub(super) fn runner_with_finished_samples(tokens: usize) -> Runner {
    let (mut runner, mut running) = start_runner(HELD_LOTS, HELD_SAMPLES_PER_LOT, 64);
    let tokens = tokens as u32;
    while let Some(attempt) = running.pop() {
        let mut offset = 0;
        while offset < tokens {
            let last = offset + CHUNK_TOKENS >= tokens;
            let finish = last.then_some(Finish::Complete);
            let event = chunk_event(attempt, offset, CHUNK_TOKENS, finish);
            running.extend(started_attempts(&runner.step(Time::ZERO, event)));
            offset += CHUNK_TOKENS;
        }
    }
    runner
}

/// Memory of a finished sample as a function of its tokens.
fn measure_held_samples() -> io::Result<Measurement> {
    let mut points = Vec::new();
    for tokens in [512, 1_024, 2_048, 4_096] {
        let count = HELD_LOTS as f64 * f64::from(HELD_SAMPLES_PER_LOT);
        points.push((tokens as f64, measure_bytes("sample_held", tokens)? / count));
    }
    Ok(Measurement::new(
        "sample_held",
        "bytes a sample",
        "token",
        points,
    ))
}

fn measure_cursor() -> Vec<Measurement> {
    let (mut sizes, mut parses, mut merges) = (Vec::new(), Vec::new(), Vec::new());
    for samples in [512, 2_048, 8_192] {
        let token = Token::empty(Digest::of(b"lot"), 1, samples);
        let text = token.to_string();
        let x = f64::from(samples);
        sizes.push((x, text.len() as f64));
        let read = || Token::parse(&text).map(|token| token.to_string());
        parses.push((x, cpu_micros_per_call(read)));
        let finished: Vec<_> = (0..samples).map(finished_sample).collect();
        let merge = || {
            let merge = Merge {
                token: token.clone(),
                version: Version(5),
                bound: 1,
                max_samples: samples as usize,
            };
            merge.deliver(finished.clone())
        };
        merges.push((x, cpu_micros_per_call(merge)));
    }
    vec![
        Measurement::new("token", "bytes a token", "sample of the lot", sizes),
        Measurement::new(
            "token_read",
            "µs a token read and written",
            "sample of the lot",
            parses,
        ),
        Measurement::new(
            "merge",
            "µs a merge, the samples' copies included",
            "sample",
            merges,
        ),
    ]
}

fn finished_sample(index: u32) -> Sample {
    Sample {
        group: index / SAMPLES_PER_GROUP,
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
