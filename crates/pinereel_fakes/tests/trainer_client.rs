//! The trainer client and the fake trainer: each sample is taken once, calls fail over between
//! entries, and the fake trainer's checks find wrong samples.

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

const MAX_BODY_BYTES: usize = 1 << 20;
/// Retry timeout of the client, and the fake entry's timeout for reading a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A fake entry. It hands out the samples of a lot in order, and the collection token is the number
/// of samples handed out.
#[derive(Default)]
struct FakeEntry {
    lots: BTreeMap<CompactString, Lot>,
    /// Paths of the requests received.
    calls: Vec<String>,
    /// Responses to the first requests, in this order.
    refusals: Vec<Problem>,
    /// Whether refusals have a `Retry-After` header of one second.
    retry_after_header: bool,
    /// Number of collect calls before which all lots are forgotten.
    forgetful_collects: u32,
    /// Number of versions by which the samples are behind the trainer.
    staleness: u64,
    /// Whether the last word of each sample's text is missing.
    truncate_texts: bool,
}

fn problem(code: Code, retry_after_ms: Option<u64>) -> Problem {
    Problem {
        code,
        message: "no".into(),
        ran: Ran::NotRun,
        retry_after_ms,
    }
}

async fn start(entry: Rc<RefCell<FakeEntry>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handler = move |request| respond(Rc::clone(&entry), request);
    Server::start(listener, http::Options::default(), handler)
        .await
        .unwrap()
}

async fn respond(entry: Rc<RefCell<FakeEntry>>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    let body = http::read_json(&mut request, MAX_BODY_BYTES, TIMEOUT).await;
    let body: serde_json::Value = body.unwrap();
    let mut entry = entry.borrow_mut();
    entry.calls.push(path.clone());
    if !entry.refusals.is_empty() {
        let mut refusal = http::problem(&entry.refusals.remove(0));
        if entry.retry_after_header {
            let one_second = HeaderValue::from_static("1");
            refusal.headers_mut().insert(RETRY_AFTER, one_second);
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
    if entry.forgetful_collects > 0 {
        entry.forgetful_collects -= 1;
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

/// The response to a collect call, with the next two samples.
fn collect(entry: &FakeEntry, lot: &Lot, request: Collect) -> Collected {
    let sample_count: u32 = lot.groups.iter().map(|group| group.samples).sum();
    let from: u32 = request.token.parse().unwrap();
    let to = (from + 2).min(sample_count);
    let samples = (from..to).map(|index| {
        let group_index = index / lot.groups[0].samples;
        let group = &lot.groups[group_index as usize];
        let mut text = text::completion(&group.prompt, u64::from(index), group.max_tokens);
        if entry.truncate_texts {
            text.truncate(text.rfind(' ').unwrap());
        }
        let tokens = text.split_whitespace().count() as u32;
        let version = Version(request.version.0 - entry.staleness);
        Sample {
            group: group_index,
            index,
            text,
            tokens,
            spans: vec![Span { version, tokens }],
            score: None,
        }
    });
    Collected {
        basis: request.token.clone(),
        token: to.to_string(),
        samples: samples.collect(),
        remaining: sample_count - to,
    }
}

/// A lot of one group with four samples.
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

/// An address at which nothing listens.
async fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Collects the missing samples and returns their indices.
async fn collect_all(client: &mut Client, partial_lot: &mut PartialLot) -> Vec<u32> {
    let mut indices = Vec::new();
    while partial_lot.missing() > 0 {
        let wait = Duration::from_millis(10);
        let samples = client
            .collect(partial_lot, Version(5), 8, wait)
            .await
            .unwrap();
        indices.extend(samples.iter().map(|sample| sample.index));
    }
    indices
}

#[actix_rt::test]
async fn the_client_skips_dead_entries_and_waits_for_the_retry_delay_of_a_refusal() {
    let entry = Rc::new(RefCell::new(FakeEntry::default()));
    let refusal = problem(Code::Unavailable, Some(120));
    entry.borrow_mut().refusals.push(refusal);
    let server = start(Rc::clone(&entry)).await;
    let entries = vec![unused_address().await, server.address.to_string()];
    let mut client = Client::new(entries, TIMEOUT);
    let start = Instant::now();
    let mut partial_lot = client.submit(lot()).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(120));
    assert_eq!(
        collect_all(&mut client, &mut partial_lot).await,
        [0, 1, 2, 3]
    );
    // Retries after the dead entry, after the refusal, and after the dead entry again.
    assert_eq!(client.retries, 3);
    server.close();
}

#[actix_rt::test]
async fn an_unknown_lot_is_submitted_again_and_the_token_is_kept() {
    let entry = Rc::new(RefCell::new(FakeEntry::default()));
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], TIMEOUT);
    let mut partial_lot = client.submit(lot()).await.unwrap();
    let wait = Duration::from_millis(10);
    let first = client
        .collect(&mut partial_lot, Version(5), 8, wait)
        .await
        .unwrap();
    entry.borrow_mut().forgetful_collects = 1;
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
async fn a_permanent_refusal_is_not_retried() {
    let entry = Rc::new(RefCell::new(FakeEntry::default()));
    entry
        .borrow_mut()
        .refusals
        .push(problem(Code::LotConflict, None));
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], TIMEOUT);
    let result = client.submit(lot()).await;
    assert!(matches!(result, Err(Error::Refused(p)) if p.code == Code::LotConflict));
    assert_eq!(entry.borrow().calls.len(), 1);
    server.close();
}

#[actix_rt::test]
async fn the_report_counts_stale_samples_and_truncated_texts() {
    let cases = [
        (0, false, true),
        (1, false, true),
        (2, false, false),
        (0, true, false),
    ];
    for (staleness, truncate_texts, is_valid) in cases {
        let entry = FakeEntry {
            staleness,
            truncate_texts,
            ..FakeEntry::default()
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
        assert_eq!(report.is_valid(), is_valid, "{report:?}");
        let (stale, truncated) = if is_valid { (0, 0) } else { (16, 16) };
        assert_eq!(report.stale, if staleness > 1 { stale } else { 0 });
        let expected = if truncate_texts { truncated } else { 0 };
        assert_eq!(report.invalid_texts, expected);
        let measured = (report.staleness.max, report.staleness.p99);
        assert_eq!(measured, (staleness, staleness));
        server.close();
    }
}

#[actix_rt::test]
async fn the_retry_after_header_is_honoured_if_the_body_gives_no_delay() {
    let entry = Rc::new(RefCell::new(FakeEntry::default()));
    let refusal = problem(Code::Overloaded, None);
    entry.borrow_mut().refusals.push(refusal);
    entry.borrow_mut().retry_after_header = true;
    let server = start(Rc::clone(&entry)).await;
    let mut client = Client::new(vec![server.address.to_string()], TIMEOUT);
    let start = Instant::now();
    client.submit(lot()).await.unwrap();
    assert!(start.elapsed() >= Duration::from_secs(1));
    server.close();
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// Responses are lost, delayed or replayed, or contain samples received before. Each index is
    /// taken once, and only from a response for the current token.
    #[test]
    fn each_sample_is_taken_once(
        responses in proptest::collection::vec((any::<bool>(), 0_u8..6, proptest::collection::vec(0_u32..6, 0..4)), 0..40)
    ) {
        let mut partial_lot = PartialLot::new(lot(), "start".into());
        let mut received = BTreeSet::new();
        for (number, (is_current, old, indices)) in responses.into_iter().enumerate() {
            let token = partial_lot.token.clone();
            let basis = if is_current { token.clone() } else { format!("old{old}") };
            let sample = |index: &u32| Sample {
                group: 0,
                index: *index,
                text: String::new(),
                tokens: 0,
                spans: Vec::new(),
                score: None,
            };
            let response = Collected {
                basis,
                token: format!("next{number}"),
                samples: indices.iter().map(sample).collect(),
                remaining: 0,
            };
            let new_samples = partial_lot.accept(response);
            for sample in &new_samples {
                prop_assert!(is_current && sample.index < 4 && received.insert(sample.index));
            }
            let expected = if is_current { format!("next{number}") } else { token };
            prop_assert_eq!(&partial_lot.token, &expected);
            if is_current {
                prop_assert!(indices.iter().all(|index| *index >= 4 || received.contains(index)));
            }
            prop_assert_eq!(partial_lot.missing() as usize, 4 - received.len());
        }
    }
}
