//! Scorings end to end: the real binary on the fakes of the platform.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    http::call,
    service::Faults,
    site::{HOST, Site, Size},
    trainer::{Shape, Trainer},
};
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 2,
    services: 6,
};
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum attempts of the route of scorings.
const MAX_ATTEMPTS: usize = 4;

async fn send(site: &Site, method: Method, path: &str, body: Bytes) -> (StatusCode, Bytes) {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", "lot-s".to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
        ("x-wait-ms", "200".to_owned()),
    ];
    let address = site.instances[0].caller_proxy.address;
    let answer = call(address, method, path, &headers, body, CALL_TIMEOUT).await;
    let answer = answer.expect("an answer");
    (answer.status, answer.body)
}

fn set_faults(site: &Site, faults: Faults) {
    for service in &site.services {
        service.endpoint.set_faults(faults);
    }
}

/// Submits a lot with one item and returns its result once it is listed.
async fn run_lot(site: &Site) -> Value {
    let item = json!({
        "id": "only", "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g",
        "scorer": {"id": "only.s", "host": HOST, "path": "/score/x", "body": "eA=="},
    });
    let body = json!({
        "step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1, "items": [item],
    });
    let (status, _) = send(site, Method::POST, "/lots/1", body.to_string().into()).await;
    assert_eq!(status, StatusCode::ACCEPTED);
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let (_, body) = send(site, Method::GET, "/v1/lots/lot-s?after=0", Bytes::new()).await;
        let page: Value = serde_json::from_slice(&body).expect("a page");
        if page["nextToken"] == 1 {
            return page["results"][0].clone();
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the item was not listed within 20 s");
}

/// A scoring that always fails ran on the square of `max_attempts` endpoints, when each of
/// `max_attempts` scorings was sent to as many endpoints.
async fn check_failing_scoring(seed: u64, services: usize, reported_load: Option<[u32; 3]>) {
    let size = Size {
        services,
        ..SITE_SIZE
    };
    let site = Site::start(size, seed).await.expect("a site");
    let faults = Faults {
        fail: true,
        reported_load,
        ..Faults::default()
    };
    set_faults(&site, faults);
    let result = run_lot(&site).await;
    assert_ne!(result["state"], "completed", "{result}");
    // Attempts that still run would be recorded by then.
    sleep(Duration::from_secs(1)).await;
    let runs = site.recorder.run_count("only.s");
    assert!((1..=MAX_ATTEMPTS).contains(&runs), "{runs} runs");
}

#[actix_rt::test]
async fn a_failing_scoring_runs_on_at_most_max_attempts_endpoints() {
    check_failing_scoring(171, 6, None).await;
}

#[actix_rt::test]
async fn a_failing_scoring_runs_on_at_most_max_attempts_endpoints_beside_free_slots() {
    check_failing_scoring(172, 6, Some([0, 0, 6])).await;
}

/// With fewer endpoints than attempts, a scoring ends before its last attempt and is sent again. If the
/// second one may use all attempts, it runs six times on three endpoints.
#[actix_rt::test]
async fn a_failing_scoring_that_is_sent_again_has_only_the_attempts_left() {
    check_failing_scoring(182, 3, None).await;
    check_failing_scoring(183, 3, Some([0, 0, 6])).await;
}

/// Time of a scoring that fails at every endpoint after 338 ms, as logged, and the time from the
/// submission of its lot until its item is listed.
async fn failing_scoring_times(seed: u64, reported_load: Option<[u32; 3]>) -> (Duration, Duration) {
    let mut site = Site::start(SITE_SIZE, seed).await.expect("a site");
    // No attempt is hedged, which would be at half of the objective.
    site.scoring_objective = Duration::from_millis(800);
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_millis(500)).await;
    let faults = Faults {
        delay: Duration::from_millis(330),
        fail: true,
        reported_load,
        ..Faults::default()
    };
    set_faults(&site, faults);
    let started = Instant::now();
    let result = run_lot(&site).await;
    let step = started.elapsed();
    assert_ne!(result["state"], "completed", "{result}");
    sleep(Duration::from_secs(1)).await;
    let runs = site.recorder.run_count("only.s");
    assert!((1..=MAX_ATTEMPTS).contains(&runs), "{runs} runs");
    let lines = site.instances.iter().flat_map(|instance| instance.lines());
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    let requests = lines.filter(|line| line["msg"] == "request" && line["id"] == "only.s");
    let millis = requests.filter_map(|line| line["ms"].as_u64()).sum();
    (Duration::from_millis(millis), step)
}

/// One after the other, the attempts of a scoring that fails at every endpoint delay its step by 1.35 s.
/// Beside queues, attempts that start together would add to the load. The times of steps are printed
/// only, since they depend on when the trainer reads; `scoring_order` checks them in virtual time.
#[actix_rt::test]
async fn beside_free_slots_the_attempts_of_a_failing_scoring_run_together() {
    let former = failing_scoring_times(179, None).await;
    let new = failing_scoring_times(180, Some([0, 0, 6])).await;
    let beside_queues = failing_scoring_times(181, Some([6, 9, 6])).await;
    println!(
        "scoring and step: {former:?}, beside free slots {new:?}, beside queues {beside_queues:?}"
    );
    let sequential = Duration::from_millis(1_300);
    assert!(former.0 >= sequential, "{former:?}");
    assert!(beside_queues.0 >= sequential, "{beside_queues:?}");
    assert!(new.0 * 3 < former.0 * 2, "{new:?} {former:?}");
}

/// Lines with the limit of scorings of a site whose endpoints report `load` during two steps.
async fn limit_lines(seed: u64, reported_load: Option<[u32; 3]>) -> Vec<Value> {
    let site = Site::start(SITE_SIZE, seed).await.expect("a site");
    let faults = Faults {
        delay: Duration::from_millis(50),
        reported_load,
        ..Faults::default()
    };
    set_faults(&site, faults);
    let shape = Shape {
        groups: 8,
        group_size: 8,
        wanted_groups: 7,
    };
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let mut trainer = Trainer::new("s", &load_balancer, &site.store, &recorder, shape, 1);
    for step in 0..2 {
        trainer.step(step).await;
    }
    assert_eq!((trainer.done, trainer.given_up, trainer.refused), (2, 0, 0));
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let lines = site.instances.iter().flat_map(|instance| instance.lines());
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    lines
        .filter(|line| {
            let message = line["msg"].as_str().unwrap_or_default();
            message == "limit of scorings" || message.starts_with("invalid load report")
        })
        .collect()
}

/// Guards against a limit that shrinks beside full endpoints: steps wait for their scores then.
#[actix_rt::test]
async fn steps_make_progress_while_all_endpoints_report_queues() {
    // The limit is logged only while scorings wait; half of the slots suffices for all of this step.
    let lines = limit_lines(173, Some([6, 12, 6])).await;
    for line in &lines {
        let (limit, slots) = (line["limit"].as_u64(), line["slots"].as_u64());
        assert_eq!(limit, slots.map(|slots| slots / 2), "{line}");
    }
}

#[actix_rt::test]
async fn without_load_reports_no_limit_is_logged() {
    assert_eq!(limit_lines(174, None).await, Vec::<Value>::new());
}

/// A report without slots must not stop the scorings.
#[actix_rt::test]
async fn invalid_load_reports_are_ignored_with_one_line() {
    let lines = limit_lines(175, Some([1, 1, 0])).await;
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(
        lines[0]["level"].as_str().map(str::to_lowercase).as_deref(),
        Some("warn")
    );
}

/// Registered slots of an endpoint, all running, and a queue of five requests per slot.
const FULL: Option<[u32; 3]> = Some([6, 30, 6]);

/// A site with one endpoint that answers after 308 ms and reports `reported_load`, and that has
/// answered a request of each kind.
async fn slow_site(seed: u64, workspaces: Option<Value>, load: Option<[u32; 3]>) -> Site {
    let size = Size {
        instances: 1,
        engines: 1,
        services: 1,
    };
    let mut site = Site::start(size, seed).await.expect("a site");
    let faults = Faults {
        delay: Duration::from_millis(300),
        reported_load: load,
        ..Faults::default()
    };
    set_faults(&site, faults);
    if workspaces.is_some() {
        site.workspaces = workspaces;
        site.configure("plain", Duration::from_secs(2));
        sleep(Duration::from_millis(500)).await;
    }
    site
}

/// Sends a live request; returns its status, its `Retry-After` in seconds, and the time to the answer.
async fn live(site: &Site, id: &str, key: &str, deadline_ms: u64) -> (StatusCode, f64, Duration) {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", deadline_ms.to_string()),
        ("authorization", format!("Bearer {key}")),
    ];
    let (address, started) = (site.instances[0].caller_proxy.address, Instant::now());
    let body = Bytes::from_static(b"x");
    let answer = call(
        address,
        Method::POST,
        "/live/x",
        &headers,
        body,
        CALL_TIMEOUT,
    )
    .await;
    let answer = answer.expect("an answer");
    let retry_after = answer.header("retry-after").unwrap_or_default().parse();
    (
        answer.status,
        retry_after.unwrap_or_default(),
        started.elapsed(),
    )
}

/// Waits until the first instance has logged a line with `text`. Lines arrive after the answers that
/// they are about.
async fn wait_for_line(site: &Site, text: &str) {
    let end = Instant::now() + Duration::from_secs(5);
    while !site.instances[0]
        .lines()
        .iter()
        .any(|line| line.contains(text))
    {
        assert!(Instant::now() < end, "no line with {text:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Such requests were sent, ran at the endpoint and were answered as timed out.
#[actix_rt::test]
async fn a_live_request_that_cannot_be_answered_in_time_is_rejected_unsent() {
    let site = slow_site(176, None, FULL).await;
    let (status, ..) = live(&site, "first", "", 2_000).await;
    assert_eq!(status, StatusCode::OK);
    let (status, retry_after, took) = live(&site, "hasty", "", 150).await;
    let lines = site.instances[0].lines().join("\n");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{lines}");
    // 31 requests are ahead on 6 slots; the answers took 308 ms including that wait.
    assert!((0.15..0.3).contains(&retry_after), "{retry_after}");
    assert!(took < Duration::from_millis(100), "{took:?}");
    assert_eq!(site.recorder.run_count("hasty"), 0);
    let (status, ..) = live(&site, "patient", "", 2_000).await;
    assert_eq!(status, StatusCode::OK);
    wait_for_line(&site, "refused: no slot is free in time").await;
}

#[actix_rt::test]
async fn without_load_reports_no_live_request_is_rejected() {
    let site = slow_site(177, None, None).await;
    let (status, ..) = live(&site, "first", "", 2_000).await;
    assert_eq!(status, StatusCode::OK);
    let (status, ..) = live(&site, "hasty", "", 150).await;
    // The timeouts of the request and of its attempt end at the same time; either may be first.
    let unknown = [StatusCode::GATEWAY_TIMEOUT, StatusCode::BAD_GATEWAY];
    assert!(unknown.contains(&status), "{status}");
    assert_eq!(site.recorder.run_count("hasty"), 1);
}

/// The priority of a workspace was decoded and not used.
#[actix_rt::test]
async fn the_less_urgent_workspace_is_rejected_first() {
    let workspaces = json!([
        {"name": "urgent", "apiKeys": ["key-u"], "priority": 0},
        {"name": "later", "apiKeys": ["key-l"], "priority": 3},
    ]);
    let site = slow_site(178, Some(workspaces), FULL).await;
    let (status, ..) = live(&site, "first", "key-u", 2_000).await;
    assert_eq!(status, StatusCode::OK);
    let (status, ..) = live(&site, "later", "key-l", 900).await;
    let lines = site.instances[0].lines().join("\n");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{lines}");
    let (status, ..) = live(&site, "urgent", "key-u", 900).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(site.recorder.run_count("later"), 0);
}
