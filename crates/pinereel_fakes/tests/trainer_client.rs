//! The trainer's client and stand-in: exactly once at its edge, entries that fail, checks.

#![allow(clippy::unwrap_used)]

use actix_http::{
    StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use compact_str::CompactString;
use pinereel::http::{self, Request, Response, Server};
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
    trainer::{Collect, Collected, Group, Lot, Publish, Published, Sample, Submitted},
};
use pinereel_core::{Span, Version};
use pinereel_fakes::{
    engine::text,
    trainer::{Client, Options, PartialLot, Trainer, client::Error},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::net::TcpListener;

const BODY: usize = 1 << 20;
const PATIENCE: Duration = Duration::from_secs(10);

/// An entry of a few lines; a token is the number of samples handed out in order.
#[derive(Default)]
struct Entry {
    lots: BTreeMap<CompactString, Lot>,
    calls: Vec<String>,
    /// Answers given before anything else, first one first.
    refusals: Vec<Problem>,
    /// Refusals say when to come back, in whole seconds, in the head only.
    header_only: bool,
    /// Lots are forgotten before these many collects.
    forgets: u32,
    /// How the samples are wrong.
    stale: u64,
    cut_text: bool,
}

fn problem(code: Code, retry_after_ms: Option<u64>) -> Problem {
    Problem {
        code,
        message: "no".into(),
        ran: Ran::NotRun,
        retry_after_ms,
    }
}

async fn start(entry: Rc<RefCell<Entry>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handler = move |request| answer(Rc::clone(&entry), request);
    Server::start(listener, http::Options::default(), handler)
        .await
        .unwrap()
}

async fn answer(entry: Rc<RefCell<Entry>>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    let body: serde_json::Value = http::read_json(&mut request, BODY, PATIENCE).await.unwrap();
    let mut entry = entry.borrow_mut();
    entry.calls.push(path.clone());
    if !entry.refusals.is_empty() {
        let mut refusal = http::problem(&entry.refusals.remove(0));
        if entry.header_only {
            let second = HeaderValue::from_static("1");
            refusal.headers_mut().insert(RETRY_AFTER, second);
        }
        return refusal;
    }
    if path == "/v1/lots" {
        let lot: Lot = serde_json::from_value(body).unwrap();
        let samples = lot.groups.iter().map(|group| group.samples).sum();
        entry.lots.insert(lot.id.clone(), lot);
        return http::json(
            StatusCode::OK,
            &Submitted {
                samples,
                token: "0".into(),
            },
        );
    }
    if path.ends_with("/versions") {
        let Publish { version } = serde_json::from_value(body).unwrap();
        return http::json(StatusCode::OK, &Published { version });
    }
    if entry.forgets > 0 {
        entry.forgets -= 1;
        entry.lots.clear();
    }
    let id = path
        .strip_prefix("/v1/lots/")
        .unwrap()
        .strip_suffix("/collect")
        .unwrap();
    let Some(lot) = entry.lots.get(id) else {
        return http::problem(&problem(Code::LotUnknown, None));
    };
    http::json(
        StatusCode::OK,
        &collect(&entry, lot, serde_json::from_value(body).unwrap()),
    )
}

/// Two samples an answer.
fn collect(entry: &Entry, lot: &Lot, ask: Collect) -> Collected {
    let size: u32 = lot.groups.iter().map(|group| group.samples).sum();
    let from: u32 = ask.token.parse().unwrap();
    let to = (from + 2).min(size);
    let samples = (from..to).map(|index| {
        let group = index / lot.groups[0].samples;
        let asked = &lot.groups[group as usize];
        let mut text = text::whole(&asked.prompt, u64::from(index), asked.max_tokens);
        if entry.cut_text {
            text.truncate(text.rfind(' ').unwrap());
        }
        let tokens = text.split_whitespace().count() as u32;
        let version = Version(ask.version.0 - entry.stale);
        Sample {
            group,
            index,
            text,
            tokens,
            spans: vec![Span { version, tokens }],
            score: None,
        }
    });
    Collected {
        basis: ask.token.clone(),
        token: to.to_string(),
        samples: samples.collect(),
        remaining: size - to,
    }
}

fn lot() -> Lot {
    let group = Group {
        prompt: "p".into(),
        samples: 4,
        max_tokens: 9,
    };
    Lot {
        id: "lot".into(),
        trainer: "t".into(),
        step: 0,
        version: Version(5),
        groups: vec![group],
        deadline_ms: 1_000,
    }
}

/// An address where nothing listens.
async fn nobody() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

async fn collect_all(client: &mut Client, partial_lot: &mut PartialLot) -> Vec<u32> {
    let mut taken = Vec::new();
    while partial_lot.missing() > 0 {
        let wait = Duration::from_millis(10);
        let samples = client
            .collect(partial_lot, Version(5), 8, wait)
            .await
            .unwrap();
        taken.extend(samples.iter().map(|sample| sample.index));
    }
    taken
}

#[actix_rt::test]
async fn dead_entries_are_passed_over_and_retry_after_is_honoured() {
    let entry = Rc::new(RefCell::new(Entry::default()));
    let refusal = problem(Code::Unavailable, Some(120));
    entry.borrow_mut().refusals.push(refusal);
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![nobody().await, server.address.to_string()], PATIENCE);
    let begin = Instant::now();
    let mut partial_lot = client.submit(lot()).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(120));
    assert_eq!(
        collect_all(&mut client, &mut partial_lot).await,
        [0, 1, 2, 3]
    );
    // Dead, refused, dead again.
    assert_eq!(client.retries, 3);
    server.close();
}

#[actix_rt::test]
async fn a_lot_that_is_unknown_is_submitted_again_and_the_token_kept() {
    let entry = Rc::new(RefCell::new(Entry::default()));
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], PATIENCE);
    let mut partial_lot = client.submit(lot()).await.unwrap();
    let wait = Duration::from_millis(10);
    let first = client
        .collect(&mut partial_lot, Version(5), 8, wait)
        .await
        .unwrap();
    entry.borrow_mut().forgets = 1;
    let rest = collect_all(&mut client, &mut partial_lot).await;
    assert_eq!((first.len(), rest), (2, vec![2, 3]));
    assert_eq!((partial_lot.resubmits, partial_lot.duplicates), (1, 0));
    insta::assert_snapshot!(entry.borrow().calls.join("\n"), @r"
    /v1/lots
    /v1/lots/lot/collect
    /v1/lots/lot/collect
    /v1/lots
    /v1/lots/lot/collect
    ");
    server.close();
}

#[actix_rt::test]
async fn final_refusals_are_not_repeated() {
    let entry = Rc::new(RefCell::new(Entry::default()));
    entry
        .borrow_mut()
        .refusals
        .push(problem(Code::LotConflict, None));
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], PATIENCE);
    let refused = client.submit(lot()).await;
    assert!(matches!(refused, Err(Error::Refused(p)) if p.code == Code::LotConflict));
    assert_eq!(entry.borrow().calls.len(), 1);
    server.close();
}

#[actix_rt::test]
async fn the_stand_in_counts_what_must_never_come() {
    let cases = [
        (0, false, true),
        (1, false, true),
        (2, false, false),
        (0, true, false),
    ];
    for (stale, cut_text, clean) in cases {
        let entry = Entry {
            stale,
            cut_text,
            ..Entry::default()
        };
        let server = start(Rc::new(RefCell::new(entry))).await;
        let options = Options {
            entries: vec![server.address.to_string()],
            initial_version: Version(7),
            steps: 2,
            groups_per_step: 2,
            train_time: Duration::from_millis(5),
            ..Options::default()
        };
        let report = Trainer::new(options).run().await.unwrap();
        assert_eq!((report.steps, report.samples), (2, 16));
        assert_eq!(report.is_valid(), clean, "{report:?}");
        let (over, cut) = if clean { (0, 0) } else { (16, 16) };
        assert_eq!(report.stale, if stale > 1 { over } else { 0 });
        assert_eq!(report.invalid_texts, if cut_text { cut } else { 0 });
        assert_eq!((report.staleness.max, report.staleness.p99), (stale, stale));
        server.close();
    }
}

#[actix_rt::test]
async fn retry_after_in_the_head_alone_is_honoured() {
    let entry = Rc::new(RefCell::new(Entry::default()));
    let refusal = problem(Code::Overloaded, None);
    entry.borrow_mut().refusals.push(refusal);
    entry.borrow_mut().header_only = true;
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], PATIENCE);
    let begin = Instant::now();
    client.submit(lot()).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_secs(1));
    server.close();
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// Answers lost, late, replayed, or with samples held already: each index is taken once, and
    /// only from answers for the token held.
    #[test]
    fn each_sample_is_taken_once(
        answers in proptest::collection::vec((any::<bool>(), 0_u8..6, proptest::collection::vec(0_u32..6, 0..4)), 0..40)
    ) {
        let mut partial_lot = PartialLot::new(lot(), "start".into());
        let mut held = BTreeSet::new();
        for (number, (current, old, indices)) in answers.into_iter().enumerate() {
            let token = partial_lot.token.clone();
            let basis = if current { token.clone() } else { format!("old{old}") };
            let sample = |index: &u32| Sample {
                group: 0,
                index: *index,
                text: String::new(),
                tokens: 0,
                spans: Vec::new(),
                score: None,
            };
            let answer = Collected {
                basis,
                token: format!("next{number}"),
                samples: indices.iter().map(sample).collect(),
                remaining: 0,
            };
            let fresh = partial_lot.accept(answer);
            for sample in &fresh {
                prop_assert!(current && sample.index < 4 && held.insert(sample.index));
            }
            let expected = if current { format!("next{number}") } else { token };
            prop_assert_eq!(&partial_lot.token, &expected);
            if current {
                prop_assert!(indices.iter().all(|index| *index >= 4 || held.contains(index)));
            }
            prop_assert_eq!(partial_lot.missing() as usize, 4 - held.len());
        }
    }
}
