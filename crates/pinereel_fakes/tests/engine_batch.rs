//! Simulated engine: order, text, swaps, prefix reuse, and agreement of stamps and records.

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

fn faults_with(set: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    set(&mut faults);
    faults
}

fn engine_with(set: impl FnOnce(&mut Options)) -> Engine {
    let mut options = Options::default();
    set(&mut options);
    Engine::new(options)
}

/// Processes all events; returns the chunks in order.
fn run_until_idle(engine: &mut Engine) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    for _ in 0..100_000 {
        let Some(at) = engine.next_event() else { break };
        chunks.extend(engine.advance(at));
    }
    assert_eq!(engine.next_event(), None, "the engine still has events");
    chunks
}

fn text_of(chunks: &[Chunk], id: &str) -> String {
    let own_chunks = chunks.iter().filter(|chunk| chunk.id == id);
    own_chunks.map(|chunk| chunk.text.as_str()).collect()
}

/// Ids of the finished attempts, in the order in which they finished.
fn finished_ids(chunks: &[Chunk]) -> Vec<&str> {
    let last_chunks = chunks.iter().filter(|chunk| chunk.finish.is_some());
    last_chunks.map(|chunk| chunk.id.as_str()).collect()
}

/// Seed number `index` for which the completion has `max_tokens` = 40 tokens, for equal lengths.
fn long_seed(index: usize) -> u64 {
    let mut seeds = (0..).filter(|seed| text::unlimited_length(PROMPT, *seed) > 40);
    seeds.nth(index).unwrap()
}

#[test]
fn higher_priorities_run_first_and_live_preempts_bulk() {
    let mut engine = engine_with(|o| o.slots = 1);
    for (id, priority) in [("bulk", 0), ("straggler", 1), ("live", 2)] {
        let request = request(id, long_seed(0), priority);
        engine.submit(Time::ZERO, request).unwrap();
    }
    let chunks = run_until_idle(&mut engine);
    assert_eq!(finished_ids(&chunks), ["live", "straggler", "bulk"]);
    // The bulk sample is complete although it was preempted.
    assert_eq!(chunks[0].id, "live");
    assert_eq!(
        text_of(&chunks, "bulk"),
        text::completion(PROMPT, long_seed(0), 40)
    );
}

#[test]
fn swap_during_a_sample_yields_two_spans_and_keeps_the_text() {
    let mut engine = Engine::new(Options::default());
    let seed = long_seed(0);
    engine.submit(Time::ZERO, request("a", seed, 0)).unwrap();
    let mut chunks = engine.advance(Time::from_millis(150));
    engine.load(Time::from_millis(150), Version(2));
    assert_eq!(engine.loading_version(), Some(Version(2)));
    chunks.extend(run_until_idle(&mut engine));
    assert_eq!(text_of(&chunks, "a"), text::completion(PROMPT, seed, 40));
    let stamps: Vec<_> = chunks
        .iter()
        .map(|c| (c.version.unwrap().0, c.tokens))
        .collect();
    let first: u32 = stamps.iter().filter(|s| s.0 == 1).map(|s| s.1).sum();
    let spans = &engine.records()["a"].output_spans;
    assert_eq!(*spans, [span(1, first), span(2, 40 - first),]);
    assert!(
        0 < first && first < 40,
        "the swap was not during the sample: {first}"
    );
}

#[test]
fn reused_prefix_keeps_the_version_that_computed_it() {
    let mut engine = Engine::new(Options::default());
    engine.submit(Time::ZERO, request("old", 1, 0)).unwrap();
    let old_chunks = run_until_idle(&mut engine);
    assert_eq!(old_chunks[0].reused, []);
    engine.load(Time::from_millis(60_000), Version(2));
    run_until_idle(&mut engine);
    engine
        .submit(Time::from_millis(70_000), request("new", 2, 0))
        .unwrap();
    let chunks = run_until_idle(&mut engine);
    // The prompt has nine words: two full blocks from the cache, and one word that was computed.
    assert_eq!(chunks[0].reused, [span(1, 8)]);
    assert_eq!(chunks[0].version, Some(Version(2)));
    assert!(chunks.iter().skip(1).all(|chunk| chunk.reused.is_empty()));
    let blocks = engine.export_blocks(PROMPT);
    let mut other = engine_with(|o| o.initial_version = Some(Version(5)));
    other.import_blocks(Time::ZERO, &blocks);
    other.submit(Time::ZERO, request("moved", 3, 0)).unwrap();
    assert_eq!(run_until_idle(&mut other)[0].reused, [span(1, 8)]);
}

#[test]
fn first_chunk_reports_the_prompt_version_after_a_swap_before_the_first_token() {
    let mut engine = Engine::new(Options::default());
    engine.submit(Time::ZERO, request("a", 1, 0)).unwrap();
    engine.load(Time::ZERO, Version(2));
    let chunks = run_until_idle(&mut engine);
    assert_eq!(chunks[0].version, Some(Version(2)));
    assert_eq!(chunks[0].reused, [span(1, 9)]);
}

#[test]
fn resumed_sample_has_the_text_of_an_uninterrupted_one() {
    let seed = long_seed(0);
    let mut engine = Engine::new(Options::default());
    let resume: String = (0..7)
        .map(|index| text::token(PROMPT, seed, index))
        .collect();
    let resumed = Request {
        resume: resume.clone(),
        resume_tokens: 7,
        ..request("a", seed, 0)
    };
    engine.submit(Time::ZERO, resumed).unwrap();
    let chunks = run_until_idle(&mut engine);
    assert_eq!(chunks[0].offset, 7);
    let text = resume + &text_of(&chunks, "a");
    assert_eq!(text::check(PROMPT, 40, &text), Ok(()));
    assert_eq!(
        text::check(PROMPT, 40, &text[..text.len() - 7]),
        Err(text::Error::Mismatch)
    );
    assert_eq!(
        text::check("another", 40, &text),
        Err(text::Error::OtherPrompt)
    );
}

#[test]
fn omitted_and_regressed_stamps_differ_from_the_record_but_unordered_ones_match() {
    let stamps_and_record = |faults: Faults| {
        let mut engine = engine_with(|o| o.initial_version = Some(Version(7)));
        engine.set_faults(Time::ZERO, faults);
        engine
            .submit(Time::ZERO, request("a", long_seed(0), 0))
            .unwrap();
        let chunks = run_until_idle(&mut engine);
        let stamps: Vec<_> = chunks.iter().map(|c| c.version.map(|v| v.0)).collect();
        (
            stamps[..3].to_vec(),
            engine.records()["a"].output_spans[0].version.0,
        )
    };
    let omit = faults_with(|f| f.omit_stamps = true);
    assert_eq!(stamps_and_record(omit), (vec![None; 3], 7));
    let regress = faults_with(|f| f.regress_stamps = true);
    assert_eq!(
        stamps_and_record(regress),
        (vec![Some(7), Some(6), Some(6)], 7)
    );
    let unordered = faults_with(|f| f.stamp_unordered = Some(Version(9)));
    assert_eq!(stamps_and_record(unordered), (vec![Some(9); 3], 9));
}

#[test]
fn failed_swap_keeps_the_old_version_and_partial_swap_unloads_the_weights() {
    let mut engine = Engine::new(Options::default());
    let faults = faults_with(|f| f.fail_next_swaps = 1);
    engine.set_faults(Time::ZERO, faults);
    engine.load(Time::ZERO, Version(2));
    run_until_idle(&mut engine);
    assert_eq!(
        (engine.version(), engine.swap_failure()),
        (Some(Version(1)), Some("failed"))
    );
    let faults = faults_with(|f| f.swap_partway = true);
    engine.set_faults(Time::from_millis(1_000), faults);
    engine
        .submit(Time::from_millis(1_000), request("a", 1, 0))
        .unwrap();
    engine.load(Time::from_millis(1_000), Version(2));
    let chunks = run_until_idle(&mut engine);
    assert_eq!(chunks[0].finish, Some(FinishReason::Cancelled));
    assert_eq!(
        (engine.version(), engine.swap_failure()),
        (None, Some("failed partway"))
    );
    let refused = engine.submit(Time::from_millis(9_000), request("b", 1, 0));
    assert_eq!(refused, Err(Refusal::NotLoaded));
}

#[test]
fn larger_batch_slows_sequences_less_than_proportionally() {
    let total_time = |sequences: u64| {
        let mut engine = Engine::new(Options::default());
        for n in 0..sequences {
            let request = request(&format_compact!("{n}"), long_seed(n as usize), 0);
            engine.submit(Time::ZERO, request).unwrap();
        }
        let mut last = Time::ZERO;
        while let Some(due) = engine.next_event() {
            last = due;
            engine.advance(due);
        }
        last.since(Time::ZERO)
    };
    let (one, sixteen) = (total_time(1), total_time(16));
    assert!(
        sixteen > one + Duration::from_millis(100),
        "{one:?} {sixteen:?}"
    );
    assert!(
        sixteen < one * 16,
        "batching saves no time: {one:?} {sixteen:?}"
    );
}

#[test]
fn steps_take_twice_as_long_during_warm_up_after_a_swap() {
    let time_after_swap = |warm_up| {
        let mut engine = engine_with(|o| o.warm_up_time = Duration::from_millis(warm_up));
        engine.load(Time::ZERO, Version(2));
        engine.advance(Time::from_millis(500));
        let start = Time::from_millis(500);
        engine.submit(start, request("a", long_seed(0), 0)).unwrap();
        let mut last = start;
        while let Some(due) = engine.next_event() {
            last = due;
            engine.advance(due);
        }
        last.since(start)
    };
    // During warm-up, 10 of the 40 tokens take 20 ms instead of 10 ms each.
    let extra = time_after_swap(200) - time_after_swap(0);
    assert!(extra >= Duration::from_millis(95), "{extra:?}");
    assert!(extra <= Duration::from_millis(110), "{extra:?}");
}

#[test]
fn cache_is_bounded_and_publishes_its_changes_after_the_lag() {
    let mut engine = engine_with(|o| o.cache_blocks = 2);
    engine.submit(Time::ZERO, request("a", 1, 0)).unwrap();
    let other = Request {
        prompt: "w x y z".into(),
        ..request("b", 1, 0)
    };
    run_until_idle(&mut engine);
    let later = Time::from_millis(60_000);
    engine.submit(later, other).unwrap();
    run_until_idle(&mut engine);
    let lag = Duration::from_millis(100);
    let numbers = |now, after| -> Vec<u64> {
        let changes = engine.cache_changes(now, after, lag);
        changes.iter().map(|(number, _)| *number).collect()
    };
    assert_eq!(numbers(Time::from_millis(99), 0), [0; 0]);
    assert_eq!(numbers(later, 0), [1, 2]);
    assert_eq!(numbers(later + lag, 2), [3, 4]);
    let changes = engine.cache_changes(later + lag, 2, lag);
    assert!(matches!(changes[0].1, Change::Stored(_)));
    assert!(matches!(changes[1].1, Change::Evicted(_)));
    assert!(engine.export_blocks(PROMPT).blocks.len() < 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Under any swaps and priorities, each sample is complete and its stamps match its record.
    #[test]
    fn samples_are_complete_and_stamps_match_the_records(
        requests in proptest::collection::vec((0_u64..50, 0_u8..3, 0_u64..2_000), 1..20),
        swaps in proptest::collection::vec((0_u64..3_000, 2_u64..9), 0..4),
    ) {
        let mut engine = engine_with(|o| o.slots = 3);
        let mut events: Vec<(u64, Option<u64>, usize)> = Vec::new();
        events.extend(requests.iter().enumerate().map(|(n, r)| (r.2, None, n)));
        events.extend(swaps.iter().map(|(at, version)| (*at, Some(*version), 0)));
        events.sort_unstable();
        let mut chunks = Vec::new();
        for (at, version, n) in events {
            let now = Time::from_millis(at);
            chunks.extend(engine.advance(now));
            match version {
                Some(version) => engine.load(now, Version(version)),
                None => {
                    let request = request(&format_compact!("{n}"), requests[n].0, requests[n].1);
                    engine.submit(now, request).unwrap();
                }
            }
        }
        chunks.extend(run_until_idle(&mut engine));
        for (n, (seed, ..)) in requests.iter().enumerate() {
            let id = n.to_string();
            prop_assert_eq!(text_of(&chunks, &id), text::completion(PROMPT, *seed, 40));
            let mut stamped_spans: Vec<Span> = Vec::new();
            for chunk in chunks.iter().filter(|chunk| chunk.id == id) {
                let version = chunk.version.unwrap();
                match stamped_spans.last_mut() {
                    Some(last) if last.version == version => last.tokens += chunk.tokens,
                    _ => stamped_spans.push(Span { version, tokens: chunk.tokens }),
                }
            }
            prop_assert_eq!(&stamped_spans, &engine.records()[id.as_str()].output_spans);
        }
    }
}
