//! Endpoints that send a further copy of a response late, right before the response to the next request on the
//! same connection: which results items and scorings get, with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    duplicating_endpoint::{Behavior, Copies, DuplicatingEndpoint, Failure},
    engine,
    site::{HOST, MODEL, Site, Size},
    trainer::{read_page, submit_once},
};
use serde_json::{Value, json};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{Instant, sleep};

/// Number of items, one after the other, each in a lot of its own.
const ITEMS: usize = 6;
/// Time within which an item has a result.
const MAX_TIME_TO_RESULT: Duration = Duration::from_secs(15);

async fn site(seed: u64, engines: usize) -> Site {
    let size = Size {
        instances: 1,
        engines,
        services: 0,
    };
    Site::start(size, seed).await.expect("the site starts")
}

fn models() -> Value {
    json!([{"name": MODEL, "version": 1, "adapters": []}])
}

/// Submits an item, and reads its result.
async fn result_of(site: &Site, item: Value) -> Option<Value> {
    let lot = format!("lot-of-{}", item["id"].as_str().expect("an id"));
    let submitted = submit_once(site, &lot, (MODEL, 1), vec![item]).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    let deadline = Instant::now() + MAX_TIME_TO_RESULT;
    while Instant::now() < deadline {
        let page = read_page(&site.instances[0], &lot, 0).await;
        if let Some(result) = page.unwrap_or_default().pop() {
            return Some(result);
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Failure: a late copy of an answer of 500 to an item's run counts as the answer to its next run, which
/// used the same connection with the same id: the item is given up before its last attempt.
#[actix_rt::test]
async fn a_late_copy_of_a_failure_is_not_the_answer_to_the_next_run_of_an_item() {
    let cases = [
        (Failure::Empty, Copies::One),
        (Failure::Empty, Copies::Two),
        (Failure::NotRun, Copies::One),
    ];
    for (seed, (failure, copies)) in (271..).zip(cases) {
        let site = site(seed, 0).await;
        let behavior = Behavior {
            failure,
            failures: 2,
            copies,
            max_copies: ITEMS,
        };
        let engine =
            DuplicatingEndpoint::start("d-0", "engines", models(), behavior, &site.store).await;
        let engine = engine.expect("started");
        sleep(Duration::from_millis(1_500)).await;
        for number in 0..ITEMS {
            let id = format!("i-{seed}-{number}");
            let item = json!({
                "id": id, "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g",
            });
            let result = result_of(&site, item).await.expect("a result");
            let runs = engine.runs(&id);
            println!(
                "{failure:?}, {copies:?}: {} after {runs} runs",
                result["state"]
            );
            assert_eq!(
                result["output"],
                engine::text(&id),
                "{failure:?}, {copies:?}"
            );
        }
        assert_no_repeated_id(&engine);
    }
}

/// Failure: a late copy of an answer of 500 to a scoring counts as the answer to the next call, so that the
/// item is given up before the last call that it may have.
#[actix_rt::test]
async fn a_late_copy_of_a_failure_is_not_the_answer_to_the_next_scoring() {
    let cases = [
        (Failure::Empty, Copies::One),
        (Failure::WithBody, Copies::LateBody),
        (Failure::WithBody, Copies::Two),
    ];
    for (seed, (failure, copies)) in (281..).zip(cases) {
        let site = site(seed, 1).await;
        let behavior = Behavior {
            failure,
            failures: 3,
            copies,
            max_copies: ITEMS,
        };
        let endpoint =
            DuplicatingEndpoint::start("d-0", "plain", json!([]), behavior, &site.store).await;
        let endpoint = endpoint.expect("started");
        sleep(Duration::from_millis(1_500)).await;
        for number in 0..ITEMS {
            let scorer = format!("s-{seed}-{number}");
            let item = json!({
                "id": format!("i-{seed}-{number}"), "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3,
                "group": "g",
                "scorer": {"id": scorer, "host": HOST, "path": "/score/x", "body": "eA=="},
            });
            let result = result_of(&site, item).await.expect("a result");
            let runs = endpoint.runs(&scorer);
            println!(
                "{failure:?}, {copies:?}: {} after {runs} scorings",
                result["state"]
            );
            assert_eq!(result["state"], "completed", "{failure:?}, {copies:?}");
        }
        assert_no_repeated_id(&endpoint);
    }
}

/// Failure: a late copy of a status report or of an order's answer counts as the answer to the next call to
/// the engine, since all calls had the same id and no answer's id was checked.
#[actix_rt::test]
async fn calls_to_an_engine_have_ids_of_their_own() {
    let site = site(291, 0).await;
    let behavior = Behavior {
        failure: Failure::Empty,
        failures: 0,
        copies: Copies::Control,
        max_copies: 4,
    };
    let engine =
        DuplicatingEndpoint::start("d-0", "engines", models(), behavior, &site.store).await;
    let engine = engine.expect("started");
    for version in 2..5 {
        sleep(Duration::from_secs(2)).await;
        let announced = json!({"model": MODEL, "version": version});
        site.store.put("versions", MODEL, announced);
    }
    sleep(Duration::from_secs(2)).await;
    let requests = engine.requests();
    let control = requests.iter().filter(|r| r.target.contains("/v1/"));
    let ids: Vec<_> = control.map(|request| request.id.clone()).collect();
    println!("{} calls, {} copies", ids.len(), engine.copy_count());
    assert!(ids.len() >= 4, "{requests:?}");
    assert!(engine.copy_count() > 0);
    let distinct: BTreeSet<_> = ids.iter().collect();
    assert_eq!(distinct.len(), ids.len(), "{ids:?}");
    assert_no_repeated_id(&engine);
}

/// No connection carries an id twice.
fn assert_no_repeated_id(endpoint: &DuplicatingEndpoint) {
    let mut seen = BTreeSet::new();
    for request in endpoint.requests() {
        let repeated = !seen.insert((request.connection, request.id.clone()));
        assert!(!repeated, "{request:?}");
    }
}
