//! Crashes of endpoints on a site with the platform's object API: a service call that crashes every
//! endpoint that runs it, and the reports of crashes between entries.
//!
//! Without a record of its crashes, each call was sent to up to three endpoints, one after the
//! other, by every entry.

#![allow(clippy::unwrap_used)]

use pinereel::controllers::crashes;
use pinereel_api::object::{Instance, InstanceState};
use pinereel_core::{
    config::Document,
    crash::{Content, EndpointStart, Identity, Involvement, Report, RequestParts},
};
use pinereel_fakes::{
    hosting::crashing_endpoint::{CRASH_MARKER, Crashes, Endpoint, ListChange, Mode},
    site::{Options, Site},
};
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// The pool of plain services.
const POOL: &str = "orders-app";
const ENDPOINT_COUNT: usize = 5;
/// Maximum number of endpoints that one request may crash.
const MAX_CRASHES: usize = 3;
/// Time from the crash of an endpoint to its next start.
const RESTART_DELAY: Duration = Duration::from_secs(2);

fn document() -> Document {
    let pools = json!({ "pools": { POOL: { "kind": "service" } } });
    serde_json::from_value(pools).unwrap()
}

async fn start_site() -> Site {
    let options = Options {
        zones: vec!["toledo-hall".into()],
        entry_count: 2,
        engine_pools: Vec::new(),
        batch: Default::default(),
        service_pools: Vec::new(),
        document: document(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n".into(),
    };
    Site::start(options).await.unwrap()
}

/// Starts the endpoints, each in a process of its own, and lists them as instances of the pool.
fn start_endpoints(site: &Rc<Site>, crashes: &Crashes) -> Vec<Endpoint> {
    let start = |_| {
        let site = Rc::clone(site);
        let list = move |change| match change {
            ListChange::Added { id, address } => {
                let instance = Instance {
                    incarnation: 1,
                    address: address.to_string().into(),
                    zone: "toledo-hall".into(),
                    pool: POOL.into(),
                    state: InstanceState::Live,
                };
                site.object_api.put_instance(&id, instance);
            }
            ListChange::Removed { id } => site.object_api.remove_instance(&id),
        };
        Endpoint::start_with_list(Rc::new(list), Mode::Plain, RESTART_DELAY, crashes).unwrap()
    };
    (0..ENDPOINT_COUNT).map(start).collect()
}

/// Sends a service call; returns the status and the body of the response.
async fn call(entry: &str, body: &str) -> (u16, Vec<u8>) {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let url = format!("http://{entry}/services/{POOL}/x");
    let mut response = client.put(url).send_body(body.to_owned()).await.unwrap();
    let bytes = response.body().await.unwrap();
    (response.status().as_u16(), bytes.to_vec())
}

#[actix_rt::test]
async fn a_call_crashes_at_most_three_endpoints_while_other_calls_succeed() {
    let site = Rc::new(start_site().await);
    let crashes = Crashes::default();
    let _endpoints = start_endpoints(&site, &crashes);
    site.object_api.list_pending_instances();
    sleep(Duration::from_millis(1_500)).await;
    let crashing_body = format!("{CRASH_MARKER} g");
    let end = Instant::now() + Duration::from_secs(7);
    let (mut succeeded, mut failed) = (0, 0);
    while Instant::now() < end {
        for entry in site.caller_addresses() {
            call(&entry, &crashing_body).await;
            match call(&entry, "other").await {
                (200, _) => succeeded += 1,
                _ => failed += 1,
            }
        }
        sleep(Duration::from_millis(40)).await;
    }
    let bodies_at_crash: Vec<_> = crashes
        .borrow()
        .iter()
        .map(|crash| crash.under.clone())
        .collect();
    assert!(
        (1..=MAX_CRASHES).contains(&bodies_at_crash.len()),
        "{bodies_at_crash:?}"
    );
    for entry in site.caller_addresses() {
        let (status, body) = call(&entry, &crashing_body).await;
        let problem: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(status, 503, "{problem}");
        assert_eq!(problem["ran"], "not_run");
        assert!(
            problem["retry_after_ms"].as_u64() > Some(1_000),
            "{problem}"
        );
    }
    assert!(
        failed * 10 < succeeded,
        "{succeeded} calls succeeded, {failed} failed"
    );
}

/// A further crash under a request that the other entries already had a report about once reached
/// them only with the next full summary, 12 s later: a change of the reports was detected by their
/// number alone, which a further crash does not change.
#[actix_rt::test]
async fn each_further_crash_is_reported_to_other_entries_at_once() {
    let site = start_site().await;
    let (reporter, receiver) = (&site.entries[0].shared, &site.entries[1].shared);
    let identity = Identity::of(RequestParts {
        caller: &[],
        method: "PUT",
        host: POOL,
        target: "/x",
        content: Content::Body(b"news"),
    });
    for number in 1..=MAX_CRASHES {
        let start = EndpointStart {
            endpoint: format!("e-{number}").into(),
            incarnation: 1,
        };
        let involvement = Involvement {
            counts: true,
            before: 0,
        };
        let report = Report {
            identity,
            starts: vec![(start, involvement)],
            completions: 0,
            age: Duration::ZERO,
        };
        crashes::merge_reports(reporter, vec![report]);
        // Longer than the time for which summaries repeat the last change.
        sleep(Duration::from_secs(4)).await;
        let reports = crashes::known_reports(receiver);
        assert_eq!(reports[0].starts.len(), number);
    }
    assert!(crashes::is_blocked(receiver, || identity));
}
