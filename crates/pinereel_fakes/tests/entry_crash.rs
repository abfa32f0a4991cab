//! The older way of running: a call of a plain service that crashes each endpoint that begins to run it. Nothing kept
//! what it had done there either: each call was sent to up to three endpoints, one after the other, at every entry.

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

const POOL: &str = "orders-app";
const ENDPOINTS: usize = 5;
const MOST: usize = 3;
const DOWN: Duration = Duration::from_secs(2);

fn document() -> Document {
    let pools = json!({ "pools": { POOL: { "kind": "service" } } });
    serde_json::from_value(pools).unwrap()
}

async fn site() -> Site {
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

fn endpoints(site: &Rc<Site>, crashes: &Crashes) -> Vec<Endpoint> {
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
        Endpoint::start_with_list(Rc::new(list), Mode::Plain, DOWN, crashes).unwrap()
    };
    (0..ENDPOINTS).map(start).collect()
}

/// One call; the status and the body.
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
async fn a_call_that_crashes_endpoints_takes_three_and_others_are_served() {
    let site = Rc::new(site().await);
    let crashes = Crashes::default();
    let _endpoints = endpoints(&site, &crashes);
    site.object_api.list_pending_instances();
    sleep(Duration::from_millis(1_500)).await;
    let body = format!("{CRASH_MARKER} g");
    let end = Instant::now() + Duration::from_secs(7);
    let (mut good, mut bad) = (0, 0);
    while Instant::now() < end {
        for entry in site.caller_addresses() {
            call(&entry, &body).await;
            match call(&entry, "other").await {
                (200, _) => good += 1,
                _ => bad += 1,
            }
        }
        sleep(Duration::from_millis(40)).await;
    }
    let under: Vec<_> = crashes
        .borrow()
        .iter()
        .map(|crash| crash.under.clone())
        .collect();
    assert!((1..=MOST).contains(&under.len()), "{under:?}");
    for entry in site.caller_addresses() {
        let (status, answer) = call(&entry, &body).await;
        let problem: Value = serde_json::from_slice(&answer).unwrap();
        assert_eq!(status, 503, "{problem}");
        assert_eq!(problem["ran"], "not_run");
        assert!(
            problem["retry_after_ms"].as_u64() > Some(1_000),
            "{problem}"
        );
    }
    assert!(bad * 10 < good, "{good} good, {bad} not");
}

/// A later crash under a request that the other entries know already was told by the next full summary only, 12 s
/// later: the news were as many as before, and a summary was repeated for another number of them alone.
#[actix_rt::test]
async fn each_further_crash_is_told_at_once() {
    let site = site().await;
    let (here, there) = (&site.entries[0].shared, &site.entries[1].shared);
    let identity = Identity::of(RequestParts {
        caller: &[],
        method: "PUT",
        host: POOL,
        target: "/x",
        content: Content::Body(b"news"),
    });
    for number in 1..=MOST {
        let start = EndpointStart {
            endpoint: format!("e-{number}").into(),
            incarnation: 1,
        };
        let mark = Involvement {
            counts: true,
            before: 0,
        };
        let report = Report {
            identity,
            starts: vec![(start, mark)],
            completions: 0,
            age: Duration::ZERO,
        };
        crashes::merge_reports(here, vec![report]);
        // Longer than the summaries that repeat the last change.
        sleep(Duration::from_secs(4)).await;
        let known = crashes::known_reports(there);
        assert_eq!(known[0].starts.len(), number);
    }
    assert!(crashes::is_blocked(there, || identity));
}
