//! Endpoints that answer with bytes that are no answer, without an end, until the caller closes: what an
//! instance holds of them, for how long it reads, and what callers and trainers get, with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    caller::post,
    endless_endpoint::{Answer, EndlessEndpoint},
    site::{MODEL, Site, Size},
    store::Faults,
    trainer::{read_page, submit_once},
};
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Memory of an instance, in bytes.
const MAX_MEMORY_BYTES: u64 = 260 << 20;
/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time beyond its deadline within which a request is answered and its connections are closed.
const SLACK: Duration = Duration::from_millis(500);
/// Time within which an item must be complete, whichever engine it was placed on first.
const MAX_TIME_TO_RESULT: Duration = Duration::from_secs(5);

const ANSWERS: [Answer; 9] = [
    Answer::HeaderLine,
    Answer::Headers,
    Answer::Chunks,
    Answer::SmallChunks,
    Answer::ChunkSize,
    Answer::Unframed,
    Answer::TooLong,
    Answer::Rejection,
    Answer::ByteByByte,
];

async fn site(seed: u64, engines: usize, services: usize) -> Site {
    let size = Size {
        instances: 1,
        engines,
        services,
    };
    Site::start(size, seed).await.expect("the site starts")
}

/// Sends a request that may be repeated; returns its status, if there is an answer, and how long it took.
async fn send(site: &Site, number: usize) -> (Option<StatusCode>, Duration) {
    let began = Instant::now();
    let address = site.instances[0].caller_proxy.address;
    let id = format!("r-{number}");
    let answer = post(address, "/live/x", id, DEADLINE, "", DEADLINE * 4).await;
    (answer.ok().map(|answer| answer.status), began.elapsed())
}

/// Largest resident size of an instance so far, in bytes.
fn peak_memory(site: &Site) -> u64 {
    let peak = site.instances[0].peak_memory();
    peak.expect("the instance runs")
}

/// Many requests at endpoints whose answers have no end: each caller gets a failure in time, the instance stays
/// within its memory, and each connection is closed and was used once.
#[actix_rt::test]
async fn endless_answers_to_live_requests_are_cut_within_the_memory_of_an_instance() {
    for (seed, answer) in (231..).zip(ANSWERS) {
        let site = site(seed, 1, 0).await;
        let mut endpoints = Vec::new();
        for number in 0..2 {
            let id = format!("n-{number}");
            let endpoint = EndlessEndpoint::start(&id, "plain", json!([]), answer, &site.store);
            endpoints.push(endpoint.await.expect("started"));
        }
        sleep(Duration::from_millis(1_500)).await;
        let answers =
            futures_util::future::join_all((0..48).map(|number| send(&site, number))).await;
        sleep(SLACK).await;
        let peak = peak_memory(&site);
        let connections: Vec<_> = endpoints
            .iter()
            .flat_map(EndlessEndpoint::connections)
            .collect();
        let slowest = answers.iter().map(|(_, took)| *took).max();
        let longest = connections.iter().filter_map(|c| c.closed_after).max();
        println!(
            "{answer:?}: {:?}, slowest {slowest:?}, peak {} MB, {} connections, read for {longest:?}",
            answers[0].0,
            peak >> 20,
            connections.len(),
        );
        for (status, took) in &answers {
            let is_failure = status.is_some_and(|status| status.is_server_error());
            // The announced part of an answer that is too long is a whole answer.
            assert!(
                is_failure || answer == Answer::TooLong,
                "{answer:?}: {status:?}"
            );
            assert!(*took <= DEADLINE + SLACK, "{answer:?}: {took:?}");
        }
        assert!(peak <= MAX_MEMORY_BYTES, "{answer:?}: {} MB", peak >> 20);
        assert!(!connections.is_empty());
        for connection in connections {
            assert_eq!(connection.requests, 1, "{answer:?}: {connection:?}");
            let closed_after = connection.closed_after;
            let in_time = closed_after.is_some_and(|after| after <= DEADLINE + SLACK);
            assert!(in_time, "{answer:?}: {connection:?}");
        }
    }
}

/// A rejected request is sent to another endpoint at once, however long the rejection is.
#[actix_rt::test]
async fn a_rejection_without_an_end_does_not_delay_the_next_attempt() {
    let site = site(241, 1, 1).await;
    let mut endpoints = Vec::new();
    for number in 0..2 {
        let id = format!("n-{number}");
        let endpoint =
            EndlessEndpoint::start(&id, "plain", json!([]), Answer::Rejection, &site.store);
        endpoints.push(endpoint.await.expect("started"));
    }
    sleep(Duration::from_millis(1_500)).await;
    let mut slowest = Duration::ZERO;
    for number in 0..40 {
        let (status, took) = send(&site, number).await;
        assert_eq!(status, Some(StatusCode::OK), "after {took:?}");
        slowest = slowest.max(took);
    }
    let rejections = endpoints.iter().flat_map(EndlessEndpoint::connections);
    let rejections = rejections.count();
    println!("slowest {slowest:?}, {rejections} rejections");
    assert!(rejections > 0);
    assert!(slowest <= SLACK, "{slowest:?}");
}

/// An item at an engine whose answer has no end is owed, and completes at another engine.
#[actix_rt::test]
async fn an_item_completes_although_an_engine_answers_without_an_end() {
    for (seed, answer) in (251..).zip(ANSWERS) {
        let site = site(seed, 1, 2).await;
        let models = json!([{"name": MODEL, "version": 1, "adapters": []}]);
        let endpoint = EndlessEndpoint::start("n-0", "engines", models, answer, &site.store);
        let endpoint = endpoint.await.expect("started");
        sleep(Duration::from_millis(1_500)).await;
        let item = |number: usize| {
            json!({
                "id": format!("i-{seed}-{number}"), "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g",
            })
        };
        let lot = format!("lot-{seed}");
        let items = (0..6).map(item).collect();
        let submitted = submit_once(&site, &lot, (MODEL, 1), items).await;
        assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
        let (began, mut complete) = (Instant::now(), 0);
        while complete < 6 && began.elapsed() < MAX_TIME_TO_RESULT {
            complete += read_complete(&site, &lot, complete).await;
            sleep(Duration::from_millis(50)).await;
        }
        let peak = peak_memory(&site);
        println!(
            "{answer:?}: {complete} of 6 after {:?}, peak {} MB, {} runs at the endless engine",
            began.elapsed(),
            peak >> 20,
            endpoint.connections().len(),
        );
        assert_eq!(complete, 6, "{answer:?}");
        assert!(peak <= MAX_MEMORY_BYTES, "{answer:?}: {} MB", peak >> 20);
        sleep(DEADLINE + SLACK).await;
        for connection in endpoint.connections() {
            assert!(
                connection.closed_after.is_some(),
                "{answer:?}: {connection:?}"
            );
            assert_eq!(connection.requests, 1, "{answer:?}: {connection:?}");
        }
    }
}

/// Instances read up to 16 MB of each answer of the store, and make dozens of calls at once. They stay within
/// their memory and go on when the store does.
#[actix_rt::test]
async fn answers_of_the_store_without_an_end_stay_within_the_memory_of_an_instance() {
    let mut site = site(242, 1, 2).await;
    sleep(Duration::from_millis(1_500)).await;
    let endless_reads = true;
    site.store.set_faults(Faults {
        endless_reads,
        ..Faults::default()
    });
    // Each reads the lot of its own path.
    let reads = (0..48).map(|number| {
        let (site, lot) = (&site, format!("none-{number}"));
        async move { read_complete(site, &lot, 0).await }
    });
    futures_util::future::join_all(reads).await;
    sleep(Duration::from_secs(2)).await;
    let peak = peak_memory(&site);
    println!("peak {} MB", peak >> 20);
    assert!(peak <= MAX_MEMORY_BYTES, "{} MB", peak >> 20);
    site.store.set_faults(Faults::default());
    sleep(Duration::from_secs(2)).await;
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_secs(2)).await;
    assert!(site.serves_newest_routes(0).await);
}

/// Number of complete results from a position on.
async fn read_complete(site: &Site, lot: &str, after: usize) -> usize {
    let page = read_page(&site.instances[0], lot, after).await;
    let results = page.unwrap_or_default();
    let complete = results
        .iter()
        .filter(|result| result["state"] == "completed");
    complete.count()
}
