//! The batching model: order, text, swaps, prefix reuse, and stamps against the record.

#![allow(clippy::unwrap_used)]

use compact_str::format_compact;
use pinereel_api::engine::{Chunk, FinishReason, Request};
use pinereel_core::{Span, Time, Version};
use pinereel_fakes::engine::{
    batch::{Engine, Options, Refusal},
    cache::Change,
    fault::Faults,
    text,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

const PROMPT: &str = "one two three four five six seven eight nine";

fn request(id: &str, seed: u64, priority: u8) -> Request {
    Request {
        prompt: PROMPT.into(),
        max_tokens: 40,
        seed,
        priority,
        request_id: id.into(),
        chunk_tokens: 4,
        ..Request::default()
    }
}

fn span(version: u64, tokens: u32) -> Span {
    let version = Version(version);
    Span { version, tokens }
}

fn broken(set: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    set(&mut faults);
    faults
}

fn model(set: impl FnOnce(&mut Options)) -> Engine {
    let mut options = Options::default();
    set(&mut options);
    Engine::new(options)
}

/// Runs until nothing is due; returns what came out, in order.
fn drain(engine: &mut Engine) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    for _ in 0..100_000 {
        let Some(due) = engine.next() else { break };
        chunks.extend(engine.advance(due));
    }
    assert_eq!(engine.next(), None, "the engine never came to rest");
    chunks
}

fn text_of(chunks: &[Chunk], id: &str) -> String {
    let mine = chunks.iter().filter(|chunk| chunk.id == id);
    mine.map(|chunk| chunk.text.as_str()).collect()
}

fn ends(chunks: &[Chunk]) -> Vec<&str> {
    let ended = chunks.iter().filter(|chunk| chunk.finish.is_some());
    ended.map(|chunk| chunk.id.as_str()).collect()
}

/// A seed whose completion reaches `max_tokens` = 40, so that lengths are equal.
fn long_seed(skip: usize) -> u64 {
    let mut long = (0..).filter(|seed| text::natural_length(PROMPT, *seed) > 40);
    long.nth(skip).unwrap()
}

#[test]
fn higher_priorities_run_first_and_live_preempts_bulk() {
    let mut engine = model(|o| o.slots = 1);
    for (id, priority) in [("bulk", 0), ("straggler", 1), ("live", 2)] {
        let request = request(id, long_seed(0), priority);
        engine.submit(Time::ZERO, request).unwrap();
    }
    let chunks = drain(&mut engine);
    assert_eq!(ends(&chunks), ["live", "straggler", "bulk"]);
    // The bulk sample was pushed out in mid-run and is whole all the same.
    assert_eq!(chunks[0].id, "live");
    assert_eq!(
        text_of(&chunks, "bulk"),
        text::whole(PROMPT, long_seed(0), 40)
    );
}

#[test]
fn a_swap_in_mid_sample_makes_two_spans_and_keeps_the_text() {
    let mut engine = Engine::new(Options::default());
    let seed = long_seed(0);
    engine.submit(Time::ZERO, request("a", seed, 0)).unwrap();
    let mut chunks = engine.advance(Time::from_millis(150));
    engine.load(Time::from_millis(150), Version(2));
    assert_eq!(engine.loading(), Some(Version(2)));
    chunks.extend(drain(&mut engine));
    assert_eq!(text_of(&chunks, "a"), text::whole(PROMPT, seed, 40));
    let stamps: Vec<_> = chunks
        .iter()
        .map(|c| (c.version.unwrap().0, c.tokens))
        .collect();
    let first: u32 = stamps.iter().filter(|s| s.0 == 1).map(|s| s.1).sum();
    let spans = &engine.records()["a"].output_spans;
    assert_eq!(*spans, [span(1, first), span(2, 40 - first),]);
    assert!(
        0 < first && first < 40,
        "the swap was not in mid-sample: {first}"
    );
}

#[test]
fn a_reused_prefix_keeps_the_version_that_computed_it() {
    let mut engine = Engine::new(Options::default());
    engine.submit(Time::ZERO, request("old", 1, 0)).unwrap();
    let fresh = drain(&mut engine);
    assert_eq!(fresh[0].reused, []);
    engine.load(Time::from_millis(60_000), Version(2));
    drain(&mut engine);
    engine
        .submit(Time::from_millis(70_000), request("new", 2, 0))
        .unwrap();
    let chunks = drain(&mut engine);
    // Two full blocks of four words came from the cache; the ninth word was computed.
    assert_eq!(chunks[0].reused, [span(1, 8)]);
    assert_eq!(chunks[0].version, Some(Version(2)));
    assert!(chunks.iter().skip(1).all(|chunk| chunk.reused.is_empty()));
    let blob = engine.export(PROMPT);
    let mut other = model(|o| o.version = Some(Version(5)));
    other.import(Time::ZERO, &blob);
    other.submit(Time::ZERO, request("moved", 3, 0)).unwrap();
    assert_eq!(drain(&mut other)[0].reused, [span(1, 8)]);
}

#[test]
fn a_swap_between_prompt_and_first_token_shows_in_the_first_chunk() {
    let mut engine = Engine::new(Options::default());
    engine.submit(Time::ZERO, request("a", 1, 0)).unwrap();
    engine.load(Time::ZERO, Version(2));
    let chunks = drain(&mut engine);
    assert_eq!(chunks[0].version, Some(Version(2)));
    assert_eq!(chunks[0].reused, [span(1, 9)]);
}

#[test]
fn a_resumed_sample_has_the_text_of_an_unbroken_one() {
    let seed = long_seed(0);
    let mut engine = Engine::new(Options::default());
    let head: String = (0..7)
        .map(|index| text::word(PROMPT, seed, index))
        .collect();
    let resumed = Request {
        resume: head.clone(),
        resume_tokens: 7,
        ..request("a", seed, 0)
    };
    engine.submit(Time::ZERO, resumed).unwrap();
    let chunks = drain(&mut engine);
    assert_eq!(chunks[0].offset, 7);
    let whole = head + &text_of(&chunks, "a");
    assert_eq!(text::check(PROMPT, 40, &whole), Ok(()));
    assert_eq!(
        text::check(PROMPT, 40, &whole[..whole.len() - 7]),
        Err(text::Flaw::Differs)
    );
    assert_eq!(text::check("another", 40, &whole), Err(text::Flaw::Foreign));
}

#[test]
fn faulty_stamps_differ_from_the_record() {
    let stamps = |faults: Faults| {
        let mut engine = model(|o| o.version = Some(Version(7)));
        engine.set_faults(Time::ZERO, faults);
        engine
            .submit(Time::ZERO, request("a", long_seed(0), 0))
            .unwrap();
        let chunks = drain(&mut engine);
        let stamps: Vec<_> = chunks.iter().map(|c| c.version.map(|v| v.0)).collect();
        (
            stamps[..3].to_vec(),
            engine.records()["a"].output_spans[0].version.0,
        )
    };
    let omit = broken(|f| f.omit_stamps = true);
    assert_eq!(stamps(omit), (vec![None; 3], 7));
    let regress = broken(|f| f.regress_stamps = true);
    assert_eq!(stamps(regress), (vec![Some(7), Some(6), Some(6)], 7));
    let unordered = broken(|f| f.stamp_unordered = Some(Version(9)));
    assert_eq!(stamps(unordered), (vec![Some(9); 3], 9));
}

#[test]
fn failed_swaps_keep_the_old_version_or_lose_the_weights() {
    let mut engine = Engine::new(Options::default());
    let faults = broken(|f| f.fail_next_swaps = 1);
    engine.set_faults(Time::ZERO, faults);
    engine.load(Time::ZERO, Version(2));
    drain(&mut engine);
    assert_eq!(
        (engine.version(), engine.failed()),
        (Some(Version(1)), Some("failed"))
    );
    let faults = broken(|f| f.swap_partway = true);
    engine.set_faults(Time::from_millis(1_000), faults);
    engine
        .submit(Time::from_millis(1_000), request("a", 1, 0))
        .unwrap();
    engine.load(Time::from_millis(1_000), Version(2));
    let chunks = drain(&mut engine);
    assert_eq!(chunks[0].finish, Some(FinishReason::Cancelled));
    assert_eq!(
        (engine.version(), engine.failed()),
        (None, Some("failed partway"))
    );
    let refused = engine.submit(Time::from_millis(9_000), request("b", 1, 0));
    assert_eq!(refused, Err(Refusal::NotLoaded));
}

#[test]
fn a_sequence_slows_down_as_the_batch_grows() {
    let time = |sequences: u64| {
        let mut engine = Engine::new(Options::default());
        for n in 0..sequences {
            let request = request(&format_compact!("{n}"), long_seed(n as usize), 0);
            engine.submit(Time::ZERO, request).unwrap();
        }
        let mut last = Time::ZERO;
        while let Some(due) = engine.next() {
            last = due;
            engine.advance(due);
        }
        last.since(Time::ZERO)
    };
    let (one, sixteen) = (time(1), time(16));
    assert!(
        sixteen > one + Duration::from_millis(100),
        "{one:?} {sixteen:?}"
    );
    assert!(
        sixteen < one * 16,
        "batching gains nothing: {one:?} {sixteen:?}"
    );
}

#[test]
fn steps_are_slow_for_a_while_after_a_swap() {
    let time = |warm_up| {
        let mut engine = model(|o| o.warm_up = Duration::from_millis(warm_up));
        engine.load(Time::ZERO, Version(2));
        engine.advance(Time::from_millis(500));
        let begin = Time::from_millis(500);
        engine.submit(begin, request("a", long_seed(0), 0)).unwrap();
        let mut last = begin;
        while let Some(due) = engine.next() {
            last = due;
            engine.advance(due);
        }
        last.since(begin)
    };
    // Ten of forty tokens take twice as long.
    let more = time(200) - time(0);
    assert!(more >= Duration::from_millis(95), "{more:?}");
    assert!(more <= Duration::from_millis(110), "{more:?}");
}

#[test]
fn the_cache_is_bounded_and_tells_its_changes_late() {
    let mut engine = model(|o| o.cache_blocks = 2);
    engine.submit(Time::ZERO, request("a", 1, 0)).unwrap();
    let other = Request {
        prompt: "w x y z".into(),
        ..request("b", 1, 0)
    };
    drain(&mut engine);
    let later = Time::from_millis(60_000);
    engine.submit(later, other).unwrap();
    drain(&mut engine);
    let lag = Duration::from_millis(100);
    let numbers = |now, after| -> Vec<u64> {
        let changes = engine.changes(now, after, lag);
        changes.iter().map(|(number, _)| *number).collect()
    };
    assert_eq!(numbers(Time::from_millis(99), 0), [0; 0]);
    assert_eq!(numbers(later, 0), [1, 2]);
    assert_eq!(numbers(later + lag, 2), [3, 4]);
    let changes = engine.changes(later + lag, 2, lag);
    assert!(matches!(changes[0].1, Change::Stored(_)));
    assert!(matches!(changes[1].1, Change::Evicted(_)));
    assert!(engine.export(PROMPT).blocks.len() < 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Whatever swaps and priorities: each sample is whole, and its honest stamps are the record.
    #[test]
    fn samples_are_whole_and_stamps_true(
        work in proptest::collection::vec((0_u64..50, 0_u8..3, 0_u64..2_000), 1..20),
        swaps in proptest::collection::vec((0_u64..3_000, 2_u64..9), 0..4),
    ) {
        let mut engine = model(|o| o.slots = 3);
        let mut events: Vec<(u64, Option<u64>, usize)> = Vec::new();
        events.extend(work.iter().enumerate().map(|(n, w)| (w.2, None, n)));
        events.extend(swaps.iter().map(|(at, version)| (*at, Some(*version), 0)));
        events.sort_unstable();
        let mut chunks = Vec::new();
        for (at, version, n) in events {
            let now = Time::from_millis(at);
            chunks.extend(engine.advance(now));
            match version {
                Some(version) => engine.load(now, Version(version)),
                None => {
                    let request = request(&format_compact!("{n}"), work[n].0, work[n].1);
                    engine.submit(now, request).unwrap();
                }
            }
        }
        chunks.extend(drain(&mut engine));
        for (n, (seed, ..)) in work.iter().enumerate() {
            let id = n.to_string();
            prop_assert_eq!(text_of(&chunks, &id), text::whole(PROMPT, *seed, 40));
            let mut stamped: Vec<Span> = Vec::new();
            for chunk in chunks.iter().filter(|chunk| chunk.id == id) {
                let version = chunk.version.unwrap();
                match stamped.last_mut() {
                    Some(last) if last.version == version => last.tokens += chunk.tokens,
                    _ => stamped.push(Span { version, tokens: chunk.tokens }),
                }
            }
            prop_assert_eq!(&stamped, &engine.records()[id.as_str()].output_spans);
        }
    }
}
