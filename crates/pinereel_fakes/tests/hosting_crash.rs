//! Requests that crash endpoints crash at most three each, and other callers are served.
//!
//! The request is retried under new ids at every instance. Without a record of its crashes, each
//! attempt may use every endpoint again: all four endpoints crashed within 0.3 s, restarted after
//! 3.5 s and crashed again, 12 and 21 times in one run, while all other callers were
//! refused.
//!
//! A crash must also count as an attempt that ran. When an idle connection is lost under the
//! request, it is sent again over a fresh one, which the crashed endpoint refuses. If this counts
//! as "not opened" and "not run", although the endpoint ran the request for 88 ms, no limit on
//! attempts applies: one request crashed three endpoints within 169 ms. A refused connection alone
//! takes 1 ms.

use actix_http::{Method, StatusCode};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        caller::{self, Kind, Tally, post},
        crashing_endpoint::{CRASH_MARKER, Crashes, Endpoint, Mode, SLOW_MARKER},
        http::{Answer, Failure, call},
        site::{HOST, Instance, METRICS_PORT, MODEL, Site, Size},
        store,
        trainer::{read_page, submit_once},
    },
};
use std::{cell::Cell, ops::Range, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 1,
    services: 0,
};
const ENDPOINTS: usize = 5;
/// Maximum number of endpoints that one request may crash.
const MAX_CRASHES: usize = 3;
/// Time until a crashed endpoint is back.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time within which every instance knows of the last crash.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

thread_local! {
    static NEXT_ID: Cell<u64> = const { Cell::new(0) };
}

/// Sends the request under a new id.
async fn send(instance: &Instance, body: &str) -> Result<Answer, Failure> {
    let number = NEXT_ID.with(|next| next.replace(next.get() + 1));
    let (address, id) = (instance.caller_proxy.address, format!("again-{number}"));
    let (deadline, time_limit) = (Duration::from_secs(2), Duration::from_millis(2_500));
    post(
        address,
        "/live/x",
        id,
        deadline,
        body.to_owned(),
        time_limit,
    )
    .await
}

fn start_endpoints(site: &Site, count: usize) -> (Vec<Endpoint>, Crashes) {
    let crashes = Crashes::default();
    let plain = ("plain", Mode::Plain);
    let start = |_| Endpoint::start(&site.store, plain, RESTART_DELAY, &crashes).expect("started");
    ((0..count).map(start).collect(), crashes)
}

/// Starts `count` callers that send other requests for `duration`.
fn start_callers(site: &Site, count: usize, duration: Duration) -> Rc<Tally> {
    let (load_balancer, end) = (site.load_balancer(), Instant::now() + duration);
    let tally = Rc::new(Tally::default());
    for number in 0..count {
        let (load_balancer, recorder) = (Rc::clone(&load_balancer), Rc::clone(&site.recorder));
        let tally = Rc::clone(&tally);
        actix_rt::spawn(async move {
            let name = format!("c{number}");
            caller::run(load_balancer, Kind::Repeatable, &name, end, recorder, tally).await;
        });
    }
    tally
}

/// Sends the request at each instance in turn for `duration`.
async fn send_repeatedly(site: &Site, body: &str, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        for instance in &site.instances {
            // The test checks the crashes and later answers.
            let _ = send(instance, body).await;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn is_refused(answer: &Result<Answer, Failure>) -> bool {
    answer.as_ref().is_ok_and(|answer| {
        answer.status == StatusCode::SERVICE_UNAVAILABLE && answer.header("retry-after").is_some()
    })
}

fn crashed_under(crashes: &Crashes, body: &str) -> Vec<String> {
    let crashes = crashes.borrow();
    let own = crashes.iter().filter(|crash| crash.under == body);
    own.map(|crash| crash.endpoint.clone()).collect()
}

/// Checks that every instance refuses the request within 300 ms.
async fn assert_refused_everywhere(site: &Site, body: &str) {
    for instance in &site.instances {
        let began = Instant::now();
        let answer = send(instance, body).await;
        let lines = instance.lines().join("\n");
        assert!(
            is_refused(&answer),
            "{answer:?} at {}\n{lines}",
            instance.name
        );
        assert!(began.elapsed() < Duration::from_millis(300));
    }
}

#[actix_rt::test]
async fn a_request_crashes_at_most_three_endpoints_and_others_are_served() {
    let site = Site::start(SITE_SIZE, 160).await.unwrap();
    let (_endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let (tally, recorder) = (
        start_callers(&site, 3, Duration::from_secs(9)),
        Rc::clone(&site.recorder),
    );
    let body = format!("{CRASH_MARKER} a");
    send_repeatedly(&site, &body, Duration::from_secs(8)).await;
    let crashed = crashed_under(&crashes, &body);
    assert!(crashed.len() <= MAX_CRASHES, "{crashed:?}");
    assert!(!crashed.is_empty(), "no endpoint crashed");
    sleep(PROPAGATION_TIME).await;
    assert_refused_everywhere(&site, &body).await;
    assert_eq!(crashed_under(&crashes, &body).len(), crashed.len());
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let (good, failed) = (tally.good.get(), tally.not_run.get() + tally.unknown.get());
    assert!(failed * 20 < good, "{good} good, {failed} failed");
}

/// Sends the request for 5 s, until it is refused everywhere, and checks that it crashes at least
/// one endpoint and at most three.
async fn send_until_refused(site: &Site, crashes: &Crashes, body: &str) {
    send_repeatedly(site, body, Duration::from_secs(5)).await;
    let crashed = crashed_under(crashes, body);
    assert!((1..=MAX_CRASHES).contains(&crashed.len()), "{crashed:?}");
    sleep(PROPAGATION_TIME).await;
    assert_refused_everywhere(site, body).await;
}

#[actix_rt::test]
async fn crash_records_survive_a_restart_of_all_instances() {
    let mut site = Site::start(SITE_SIZE, 161).await.unwrap();
    let (_endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let body = format!("{CRASH_MARKER} b");
    send_until_refused(&site, &crashes, &body).await;
    let before = crashed_under(&crashes, &body).len();
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    sleep(Duration::from_millis(200)).await;
    for instance in &mut site.instances {
        instance.start().unwrap();
    }
    for instance in &site.instances {
        instance.wait_ready().await.unwrap();
    }
    send_repeatedly(&site, &body, Duration::from_secs(2)).await;
    assert_refused_everywhere(&site, &body).await;
    assert_eq!(crashed_under(&crashes, &body).len(), before);
}

/// Number of lists of the leases that instances have begun.
fn begun_lists(site: &Site) -> u64 {
    let lists = site.store.lists();
    lists.get("pinereel-duties").map_or(0, |list| list.begun)
}

/// Number of crashes in the store.
fn stored_crashes(site: &Site) -> usize {
    let spec = site.store.spec("pinereel-duties", "requests-that-crash");
    let reports = spec.and_then(|spec| spec["reports"].as_array().cloned());
    let starts = reports
        .iter()
        .flatten()
        .map(|report| report["starts"].as_array().map_or(0, Vec::len));
    starts.sum()
}

/// Waits until `condition` holds.
async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = timeout(Duration::from_secs(5), wait).await;
    waited.expect("the condition holds in time");
}

/// Sends a request until it has crashed three endpoints; returns whether the store had all three crashes before a
/// list of the leases began that may have stored them.
async fn are_crashes_stored_between_lists(site: &Site, crashes: &Crashes, body: &str) -> bool {
    let (before, stored_before) = (begun_lists(site), stored_crashes(site));
    wait_until(|| begun_lists(site) > before).await;
    let lists = begun_lists(site);
    let senders = async {
        loop {
            let _ = send(&site.instances[0], body).await;
            sleep(Duration::from_millis(20)).await;
        }
    };
    let crashed = wait_until(|| crashed_under(crashes, body).len() >= MAX_CRASHES);
    tokio::select! {
        () = senders => {}
        () = crashed => {}
    }
    wait_until(|| stored_crashes(site) >= stored_before + MAX_CRASHES).await;
    begun_lists(site) == lists
}

/// Only the first of several crashes in quick succession was stored before the next list of the leases: if all
/// instances were killed soon after the third, the request crashed further endpoints.
#[actix_rt::test]
async fn crashes_shortly_before_a_restart_of_all_instances_are_remembered() {
    const ATTEMPTS: usize = 3;
    let mut site = Site::start(SITE_SIZE, 170).await.unwrap();
    let (_endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let mut body = String::new();
    let mut is_stored = false;
    for attempt in 0..ATTEMPTS {
        body = format!("{CRASH_MARKER} h{attempt}");
        is_stored = are_crashes_stored_between_lists(&site, &crashes, &body).await;
        if is_stored {
            break;
        }
        // The crashed endpoints come back.
        sleep(RESTART_DELAY + PROPAGATION_TIME).await;
    }
    assert!(is_stored, "crashes are stored with the next list only");
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    for instance in &mut site.instances {
        instance.start().unwrap();
    }
    for instance in &site.instances {
        instance.wait_ready().await.unwrap();
    }
    send_repeatedly(&site, &body, Duration::from_secs(4)).await;
    assert_eq!(crashed_under(&crashes, &body).len(), MAX_CRASHES);
}

#[actix_rt::test]
async fn a_new_instance_knows_the_crashes_and_an_operator_can_clear_them() {
    let mut site = Site::start(SITE_SIZE, 162).await.unwrap();
    let (_endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let body = format!("{CRASH_MARKER} c");
    send_until_refused(&site, &crashes, &body).await;
    let before = crashed_under(&crashes, &body).len();
    site.add_instance().await.unwrap();
    site.instances[3].wait_ready().await.unwrap();
    assert_refused_everywhere(&site, &body).await;
    assert_eq!(crashed_under(&crashes, &body).len(), before);

    let metrics_address = |site: &Site, index: usize| {
        let ip = site.instances[index].readiness_address.ip();
        std::net::SocketAddr::new(ip, METRICS_PORT)
    };
    let timeout = Duration::from_secs(1);
    let headers = [("host", "here".to_owned())];
    let address = metrics_address(&site, 0);
    let listed = call(
        address,
        Method::GET,
        "/crashes",
        &headers,
        Bytes::new(),
        timeout,
    )
    .await;
    let listed: serde_json::Value = serde_json::from_slice(&listed.unwrap().body).unwrap();
    let path = format!("/crashes/{}", listed[0]["identity"].as_str().unwrap());
    let cleared = call(
        address,
        Method::DELETE,
        &path,
        &headers,
        Bytes::new(),
        timeout,
    )
    .await;
    assert_eq!(cleared.unwrap().status, StatusCode::OK);
    sleep(PROPAGATION_TIME).await;
    let answer = send(&site.instances[3], &body).await;
    assert!(!is_refused(&answer), "{answer:?}");
    assert!(crashed_under(&crashes, &body).len() > before);
}

#[actix_rt::test]
async fn crashes_are_known_everywhere_during_an_outage_of_the_store() {
    let site = Site::start(SITE_SIZE, 163).await.unwrap();
    let (_endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_faults(store::Faults::DOWN);
    sleep(Duration::from_millis(500)).await;
    let body = format!("{CRASH_MARKER} d");
    send_repeatedly(&site, &body, Duration::from_secs(3)).await;
    let crashed = crashed_under(&crashes, &body);
    assert!((1..=MAX_CRASHES).contains(&crashed.len()), "{crashed:?}");
    assert_refused_everywhere(&site, &body).await;
    site.store.set_faults(store::Faults::default());
    send_repeatedly(&site, &body, Duration::from_secs(3)).await;
    assert_eq!(crashed_under(&crashes, &body), crashed);
}

async fn submit_items(site: &Site, lot: &str, items: Vec<serde_json::Value>) {
    let submitted = submit_once(site, lot, (MODEL, 1), items).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
}

fn item(id: &str) -> serde_json::Value {
    let text = |text: String| BASE64.encode(text);
    serde_json::json!({
        "id": id, "path": "/lots/x", "body": text(format!("prompt {id}")), "tokens": 3, "group": "g",
        "scorer": {"id": format!("s-{id}"), "host": HOST, "path": "/score/x", "body": text(format!("of {id}"))},
    })
}

/// Starts a site with endpoints and engines that crash under some requests. Returns it with them
/// and the record of their crashes.
async fn crashing_site(seed: u64) -> (Site, Vec<Endpoint>, Crashes) {
    let size = Size {
        engines: 0,
        ..SITE_SIZE
    };
    let site = Site::start(size, seed).await.expect("the site starts");
    let (mut endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    let engine = |_| {
        let service = ("engines", Mode::Engine);
        Endpoint::start(&site.store, service, RESTART_DELAY, &crashes).expect("started")
    };
    endpoints.extend((0..ENDPOINTS).map(engine));
    sleep(Duration::from_millis(1_500)).await;
    (site, endpoints, crashes)
}

/// Crashes of engines under one item: more than block a live request.
const CRASHES_UNDER_ONE_ITEM: usize = 5;
/// Crashes of endpoints under one scoring: one after a verdict.
const CRASHES_UNDER_ONE_SCORING: usize = 4;
/// Time from the last crash within which an item must have been placed again and be complete: the users allow
/// it to be at no engine for 5 s.
const MAX_TIME_TO_RESULT: Duration = Duration::from_secs(5);

/// Time within which a scoring must be sent again and its item be complete: a step is due after it. The pauses
/// after a verdict fit in.
const MAX_STEP_TIME: Duration = Duration::from_secs(12);

/// Waits until an endpoint runs the request `id` once more than it has as of `known`, and crashes it.
async fn crash_under(endpoints: &[Endpoint], id: &str, known: &mut [usize], patience: Duration) {
    let began = Instant::now();
    loop {
        for (endpoint, known) in endpoints.iter().zip(known.iter_mut()) {
            let runs = endpoint.run_request_ids();
            let runs = runs.iter().filter(|run| *run == id).count();
            if runs > *known {
                *known = runs;
                endpoint.crash();
                return;
            }
        }
        assert!(began.elapsed() < patience, "{id} is not placed again");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Number of complete results of a lot, read page by page until there are `count` or the time is over.
async fn wait_for_results(site: &Site, lot: &str, count: usize, patience: Duration) -> usize {
    let began = Instant::now();
    let mut results = Vec::new();
    while results.len() < count && began.elapsed() <= patience {
        let page = read_page(&site.instances[1], lot, results.len()).await;
        let page = page.expect("a page");
        if page.is_empty() {
            sleep(Duration::from_millis(100)).await;
        }
        results.extend(page);
    }
    let complete = results
        .iter()
        .filter(|result| result["state"] == "completed");
    complete.count()
}

/// Runs a lot of four items, and crashes each endpoint that runs the request `id` of the first item, several
/// times in a row. All items complete soon after the last crash.
async fn crash_under_first_item(
    seed: u64,
    (lot, id): (&str, &str),
    (count, patience): (usize, Duration),
    change: impl FnOnce(&mut serde_json::Value),
) -> Site {
    let (site, endpoints, crashes) = crashing_site(seed).await;
    let mut items: Vec<_> = (0..4)
        .map(|number| item(&format!("{lot}-{number}")))
        .collect();
    change(&mut items[0]);
    submit_items(&site, lot, items).await;
    let mut known = vec![0; endpoints.len()];
    for _ in 0..count {
        crash_under(&endpoints, id, &mut known, patience).await;
    }
    assert_eq!(wait_for_results(&site, lot, 4, patience).await, 4);
    assert_eq!(crashes.borrow().len(), count);
    site
}

fn assert_nothing_blocked(site: &Site) {
    let lines = site.instances.iter().flat_map(Instance::lines);
    let verdicts: Vec<_> = lines.filter(|line| line.contains("\"verdict\"")).collect();
    assert_eq!(verdicts, Vec::<String>::new());
}

/// After three engines had crashed under an item, it was not placed again for ten minutes, beside idle engines.
#[actix_rt::test]
async fn an_item_is_owed_however_many_engines_crash_under_it() {
    let limits = (CRASHES_UNDER_ONE_ITEM, MAX_TIME_TO_RESULT);
    let site = crash_under_first_item(164, ("lot-e", "lot-e-0"), limits, |item| {
        item["body"] = BASE64.encode(format!("{SLOW_MARKER} e")).into();
    })
    .await;
    assert_nothing_blocked(&site);
}

/// The same for the scoring of an item, without which its result is not listed.
#[actix_rt::test]
async fn a_scoring_is_owed_however_many_endpoints_crash_under_it() {
    let limits = (CRASHES_UNDER_ONE_SCORING, MAX_STEP_TIME);
    crash_under_first_item(165, ("lot-f", "s-slow"), limits, |item| {
        item["scorer"] = serde_json::json!({
            "id": "s-slow", "host": HOST, "path": "/score/x", "body": BASE64.encode(format!("{SLOW_MARKER} f")),
        });
    })
    .await;
}

/// Number of items of a large lot.
const ITEMS: usize = 40;

/// Runs two steps with the same items while the endpoints in `crashing` crash in turn, often several at once.
/// Each step completes soon after the last crash.
async fn run_steps_in_a_burst(
    seed: u64,
    crashing: Range<usize>,
    patience: Duration,
    slow: fn(&mut serde_json::Value, String),
) -> Site {
    let (site, endpoints, crashes) = crashing_site(seed).await;
    let items = || {
        let items = (0..ITEMS).map(|number| {
            let mut item = item(&format!("lot-{seed}-{number}"));
            slow(&mut item, BASE64.encode(format!("{SLOW_MARKER} {number}")));
            item
        });
        items.collect::<Vec<_>>()
    };
    let lots = [format!("lot-{seed}-a"), format!("lot-{seed}-b")];
    submit_items(&site, &lots[0], items()).await;
    for round in 0..16 {
        endpoints[crashing.start + round % crashing.len()].crash();
        sleep(Duration::from_millis(270)).await;
    }
    assert!(crashes.borrow().len() >= 8, "{}", crashes.borrow().len());
    assert_eq!(
        wait_for_results(&site, &lots[0], ITEMS, patience).await,
        ITEMS
    );
    // The items come again in a later step.
    submit_items(&site, &lots[1], items()).await;
    assert_eq!(
        wait_for_results(&site, &lots[1], ITEMS, patience).await,
        ITEMS
    );
    site
}

#[actix_rt::test]
async fn steps_complete_after_a_burst_of_crashes_of_engines() {
    let slow = |item: &mut serde_json::Value, body: String| item["body"] = body.into();
    let site = run_steps_in_a_burst(167, ENDPOINTS..2 * ENDPOINTS, MAX_TIME_TO_RESULT, slow).await;
    assert_nothing_blocked(&site);
}

#[actix_rt::test]
async fn steps_complete_after_a_burst_of_crashes_of_scoring_endpoints() {
    let slow = |item: &mut serde_json::Value, body: String| item["scorer"]["body"] = body.into();
    run_steps_in_a_burst(168, 0..ENDPOINTS, MAX_STEP_TIME, slow).await;
}

/// Number of scorings that crash each endpoint that runs them.
const CRASHING_SCORINGS: usize = 3;
/// Crashes under one scoring that its retries may add within 10 s, as its item is owed.
const MAX_FURTHER_CRASHES: usize = 3;

/// Scorings that do crash endpoints are retried with long pauses, and all other items complete. Without
/// pauses, each crashed an endpoint every 60 ms.
#[actix_rt::test]
async fn scorings_that_crash_endpoints_are_retried_with_long_pauses() {
    let (site, _endpoints, crashes) = crashing_site(169).await;
    let mut items: Vec<_> = (0..ITEMS)
        .map(|number| item(&format!("lot-g-{number}")))
        .collect();
    let crashing: Vec<_> = (0..CRASHING_SCORINGS)
        .map(|number| format!("{CRASH_MARKER} g {number}"))
        .collect();
    for (item, text) in items.iter_mut().step_by(7).zip(&crashing) {
        item["scorer"]["body"] = BASE64.encode(text).into();
    }
    submit_items(&site, "lot-g", items).await;
    sleep(Duration::from_secs(10)).await;
    for text in &crashing {
        let crashed = crashed_under(&crashes, text);
        let allowed = 1..=MAX_CRASHES + MAX_FURTHER_CRASHES;
        assert!(allowed.contains(&crashed.len()), "{text}: {crashed:?}");
    }
    let others = ITEMS - CRASHING_SCORINGS;
    assert_eq!(
        wait_for_results(&site, "lot-g", others, MAX_TIME_TO_RESULT).await,
        others
    );
}

/// Endpoints that crash without a request as the cause: no request is blocked for it.
#[actix_rt::test]
async fn endpoints_that_crash_without_a_request_block_no_request() {
    let site = Site::start(SITE_SIZE, 166).await.unwrap();
    let (endpoints, crashes) = start_endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let (tally, recorder) = (
        start_callers(&site, 6, Duration::from_secs(8)),
        Rc::clone(&site.recorder),
    );
    for round in 0..12 {
        endpoints[round % ENDPOINTS].crash();
        sleep(Duration::from_millis(600)).await;
    }
    assert!(crashes.borrow().len() >= 10, "{}", crashes.borrow().len());
    let lines: Vec<_> = site.instances.iter().flat_map(Instance::lines).collect();
    let blocked_requests: Vec<_> = lines
        .iter()
        .filter(|line| line.contains("\"verdict\""))
        .collect();
    assert_eq!(blocked_requests, Vec::<&String>::new());
    assert!(tally.good.get() > 200, "{tally:?}");
    assert_eq!(recorder.violations(), Vec::<String>::new());
}
