//! Requests and lots end to end: the real binary, with the deployment's settings template, on the
//! fakes of the platform.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    caller::{self, Kind, Tally},
    engine,
    http::call,
    site::{HOST, Site, Size},
    store,
    trainer::{Shape, Trainer},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 3,
    services: 2,
};
const LOT_SHAPE: Shape = Shape {
    groups: 4,
    group_size: 4,
    wanted_groups: 3,
};
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Headers of a request, or of a call for a lot, with this id.
fn headers(id: &str) -> [(&'static str, String); 3] {
    [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
    ]
}

#[actix_rt::test]
async fn a_calm_site_serves_callers_and_steps() {
    let site = Site::start(SITE_SIZE, 101).await.unwrap();
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let tally = Rc::new(Tally::default());
    for kind in [Kind::Repeatable, Kind::Once] {
        let (load_balancer, recorder, tally) = (
            Rc::clone(&load_balancer),
            Rc::clone(&recorder),
            Rc::clone(&tally),
        );
        let end = Instant::now() + Duration::from_secs(4);
        let name = format!("{kind:?}");
        actix_rt::spawn(async move {
            caller::run(load_balancer, kind, &name, end, recorder, tally).await;
        });
    }
    let mut trainer = Trainer::new("calm", &load_balancer, &site.store, &recorder, LOT_SHAPE, 1);
    for step in 0..4 {
        trainer.step(step).await;
    }
    sleep(Duration::from_millis(500)).await;
    assert_eq!((trainer.done, trainer.given_up, trainer.refused), (4, 0, 0));
    assert!(tally.good.get() > 50, "{tally:?}");
    assert_eq!((tally.not_run.get(), tally.unknown.get()), (0, 0));
    assert!(
        recorder.accepted_order_count() > 0,
        "no engine accepted an order for a new version"
    );
    recorder.check_orders();
    assert_eq!(recorder.violations(), Vec::<String>::new());
}

#[actix_rt::test]
async fn a_change_of_routes_takes_effect_at_every_instance() {
    let mut site = Site::start(SITE_SIZE, 102).await.unwrap();
    for _ in 0..3 {
        site.configure("other", Duration::from_secs(2));
        sleep(Duration::from_millis(300)).await;
        let new_path = format!("/only-{}/x", site.config_version);
        for instance in &site.instances {
            let headers = [
                ("host", HOST.to_owned()),
                (
                    "x-request-id",
                    format!("{}-{}", instance.name, site.config_version),
                ),
            ];
            let address = instance.caller_proxy.address;
            let new = call(
                address,
                Method::POST,
                &new_path,
                &headers,
                Bytes::new(),
                CALL_TIMEOUT,
            )
            .await;
            assert_eq!(
                new.map(|a| a.status),
                Ok(StatusCode::OK),
                "the new route exists"
            );
            let old_path = format!("/only-{}/x", site.config_version - 2);
            let old = call(
                address,
                Method::POST,
                &old_path,
                &headers,
                Bytes::new(),
                CALL_TIMEOUT,
            )
            .await;
            assert_eq!(
                old.map(|a| a.status),
                Ok(StatusCode::NOT_FOUND),
                "the old route is gone"
            );
        }
    }
}

#[actix_rt::test]
async fn a_lot_is_accepted_once_and_readable_at_every_instance() {
    let site = Site::start(SITE_SIZE, 103).await.unwrap();
    let headers = headers("lot-1");
    let body = serde_json::json!({
        "step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1,
        "items": [{"id": "only", "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g"}],
    });
    let body = Bytes::from(body.to_string());
    for instance in &site.instances {
        let address = instance.caller_proxy.address;
        let answer = call(
            address,
            Method::POST,
            "/lots/1",
            &headers,
            body.clone(),
            CALL_TIMEOUT,
        )
        .await;
        assert_eq!(answer.map(|a| a.status), Ok(StatusCode::ACCEPTED));
    }
    sleep(Duration::from_secs(1)).await;
    let mut pages = Vec::new();
    for instance in &site.instances {
        let address = instance.caller_proxy.address;
        let path = "/v1/lots/lot-1?after=0";
        let answer = call(
            address,
            Method::GET,
            path,
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await;
        pages.push(answer.unwrap().body);
        let path = "/v1/items/lot-1?id=only";
        let answer = call(
            address,
            Method::GET,
            path,
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await;
        assert_eq!(answer.unwrap().body, "prompt");
        let path = "/v1/lots/unknown?after=0";
        let answer = call(
            address,
            Method::GET,
            path,
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await;
        assert_eq!(answer.unwrap().status, StatusCode::NOT_FOUND);
    }
    assert!(pages.iter().all(|page| *page == pages[0]));
    let page: serde_json::Value = serde_json::from_slice(&pages[0]).unwrap();
    assert_eq!(page["results"][0]["state"], "completed");
    assert_eq!(page["nextToken"], 1);
}

/// A runner that starts lists all stored lots before it works on the open ones, and dozens of them
/// may have ended. The store must therefore not keep the items of ended lots.
#[actix_rt::test]
async fn an_ended_lot_loses_its_items_and_keeps_its_results() {
    let site = Site::start(SITE_SIZE, 121).await.unwrap();
    let headers = headers("lot-2");
    let item = |id| serde_json::json!({"id": id, "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g"});
    let body = serde_json::json!({
        "step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1,
        "items": [item("first"), item("second")],
    });
    let send = async |instance: usize, method, path| {
        let address = site.instances[instance].caller_proxy.address;
        let body = match method {
            Method::POST => Bytes::from(body.to_string()),
            _ => Bytes::new(),
        };
        call(address, method, path, &headers, body, CALL_TIMEOUT)
            .await
            .expect("an answer")
    };
    let accepted = send(0, Method::POST, "/lots/2").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    sleep(Duration::from_secs(2)).await;
    let before = send(1, Method::GET, "/v1/lots/lot-2?after=0").await.body;
    let ended = send(2, Method::DELETE, "/v1/lots/lot-2").await;
    assert_eq!(ended.status, StatusCode::OK);
    let stored_lot = || {
        site.store
            .spec("pinereel-lots", "lot-2")
            .expect("the lot is stored")
    };
    let end = Instant::now() + Duration::from_secs(24);
    while stored_lot().get("lot").is_some() && Instant::now() < end {
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(
        stored_lot(),
        serde_json::json!({"model": "model-a", "items": 2})
    );
    for instance in 0..site.instances.len() {
        let again = send(instance, Method::GET, "/v1/lots/lot-2?after=0").await;
        assert_eq!(again.body, before);
        let rest = send(instance, Method::GET, "/v1/lots/lot-2?after=2").await;
        let rest: serde_json::Value = serde_json::from_slice(&rest.body).expect("JSON");
        assert_eq!(rest["total"], 2);
        let body = send(instance, Method::GET, "/v1/items/lot-2?id=first").await;
        assert_eq!(body.status, StatusCode::NOT_FOUND);
        let sent_again = send(instance, Method::POST, "/lots/2").await;
        assert_eq!(sent_again.status, StatusCode::ACCEPTED);
        let ended_again = send(instance, Method::DELETE, "/v1/lots/lot-2").await;
        assert_eq!(ended_again.status, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn requests_get_status_503_without_a_configuration() {
    // By seeds, the instance would get the configuration from others.
    let without_seeds = |_: usize, settings: String| {
        let lines = settings.lines().filter(|line| !line.starts_with("seeds"));
        lines.collect::<Vec<_>>().join("\n")
    };
    let site = Site::start_with_settings(SITE_SIZE, 104, without_seeds)
        .await
        .unwrap();
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", "early".to_owned()),
    ];
    // The store never answers the new instance.
    let mut site = site;
    site.add_instance_without_store().await.unwrap();
    let instance = site.instances.last().unwrap();
    sleep(Duration::from_millis(500)).await;
    let address = instance.caller_proxy.address;
    let answer = call(
        address,
        Method::POST,
        "/live/x",
        &headers,
        Bytes::new(),
        CALL_TIMEOUT,
    )
    .await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.header("retry-after").is_some());
    let ready = call(
        instance.readiness_address,
        Method::GET,
        "/v1/readiness",
        &headers,
        Bytes::new(),
        CALL_TIMEOUT,
    );
    assert_eq!(ready.await.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

/// After all processes were killed, callers connect to each new process at the moment of its start.
/// If it refuses them, they retry late.
#[actix_rt::test]
async fn a_request_before_the_first_configuration_waits_for_it() {
    let mut site = Site::start(SITE_SIZE, 120).await.unwrap();
    site.store.set_faults(store::Faults {
        delay: Duration::from_millis(60),
        ..store::Faults::default()
    });
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", "first".to_owned()),
    ];
    site.add_instance().await.unwrap();
    let address = site.instances.last().unwrap().caller_proxy.address;
    let end = Instant::now() + CALL_TIMEOUT;
    let status = loop {
        let answer = call(
            address,
            Method::POST,
            "/live/x",
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        );
        match answer.await {
            Ok(answer) => break answer.status,
            Err(error) => assert!(Instant::now() < end, "{error:?}"),
        }
        sleep(Duration::from_millis(2)).await;
    };
    assert_eq!(status, StatusCode::OK);
}

#[actix_rt::test]
async fn a_retirement_request_is_completed_at_once() {
    let site = Site::start(SITE_SIZE, 105).await.unwrap();
    let request = serde_json::json!({"durationS": 10});
    site.store.put("retirements", "store-1", request);
    let end = Instant::now() + Duration::from_secs(6);
    let retirement_status = || {
        site.store
            .status("retirements", "store-1")
            .unwrap_or_default()
    };
    while retirement_status().is_null() && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(retirement_status()["state"], "completed");
}

/// Multiplies the time of each event by `slow_factor` at all engines.
fn slow_down(site: &Site, slow_factor: u32) {
    for proxied in &site.engines {
        proxied.endpoint.set_faults(engine::Faults {
            slow_factor,
            ..engine::Faults::default()
        });
    }
}

/// Returns the index of the first instance that logged that it opened a lot: the runner of the
/// lots.
fn find_runner(site: &Site) -> Option<usize> {
    let opened = |lines: Vec<String>| lines.iter().any(|line| line.contains("lot opened"));
    site.instances.iter().position(|i| opened(i.lines()))
}

#[actix_rt::test]
async fn texts_resume_at_the_next_runner_after_a_graceful_shutdown() {
    let mut site = Site::start(SITE_SIZE, 106).await.unwrap();
    // The longest text of 24 events takes more than two seconds.
    slow_down(&site, 8);
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let mut trainer = Trainer::new("stop", &load_balancer, &site.store, &recorder, LOT_SHAPE, 1);
    let all_groups = Shape {
        wanted_groups: 4,
        ..LOT_SHAPE
    };
    let mut stopped = Trainer::new(
        "stopped",
        &load_balancer,
        &site.store,
        &recorder,
        all_groups,
        2,
    );
    trainer.step(0).await;
    let before = recorder.event_count();
    let stop = async {
        sleep(Duration::from_millis(900)).await;
        let index = find_runner(&site).expect("a lot was opened");
        site.instances[index].signal(pinereel_fakes::child_process::Signal::TERM);
    };
    tokio::join!(stopped.step(0), stop);
    assert_eq!(stopped.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let items = (0..4).flat_map(|g| (0..4).map(move |i| format!("stopped-0.{g}.{i}")));
    let needed: u64 = items.map(|item| engine::event_count(&item)).sum();
    let produced = recorder.event_count() - before;
    // An engine produces a few more events before it detects that a connection is closed. When the
    // texts started again from the beginning, they took 408 and 448 events.
    let in_flight = u64::from(engine::SLOTS) * site.engines.len() as u64;
    assert!(
        produced <= needed + 6 * in_flight,
        "{produced} events produced for {needed} needed"
    );
}

/// Runs a step of 32 items, whose runner is killed after `kill_after`. Asserts that the step is done and that
/// one other instance opened the lot. Returns the index of the killed instance, and the log line of the other.
async fn step_with_killed_runner(
    site: &mut Site,
    name: &str,
    kill_after: Duration,
) -> (usize, String) {
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let shape = Shape {
        groups: 8,
        wanted_groups: 8,
        ..LOT_SHAPE
    };
    let mut trainer = Trainer::new(name, &load_balancer, &site.store, &recorder, shape, 2);
    let kill = async {
        sleep(kill_after).await;
        let index = find_runner(site).expect("a lot was opened");
        site.instances[index].signal(pinereel_fakes::child_process::Signal::KILL);
        index
    };
    let (_, killed) = tokio::join!(trainer.step(0), kill);
    assert_eq!(trainer.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let others = (0..site.instances.len()).filter(|index| *index != killed);
    let lines = others.flat_map(|index| site.instances[index].lines());
    let mut opened: Vec<_> = lines.filter(|line| line.contains("lot opened")).collect();
    assert_eq!(opened.len(), 1, "{opened:?}");
    (killed, opened.remove(0))
}

/// The next runner must resume the texts of a killed runner from its last checkpoint, and not start
/// them again.
#[actix_rt::test]
async fn texts_resume_at_the_next_runner_after_a_kill() {
    let mut site = Site::start(SITE_SIZE, 107).await.unwrap();
    // A text of 24 events takes about 4.6 s.
    slow_down(&site, 16);
    // By then the second checkpoint has replaced the first.
    let kill_after = Duration::from_millis(4_400);
    let (killed, opened) = step_with_killed_runner(&mut site, "killed", kill_after).await;
    let lines = site.instances[killed].all_lines();
    assert!(
        !lines
            .iter()
            .any(|line| line.contains("checkpoint not written"))
    );
    let written: Vec<_> = lines
        .iter()
        .filter(|line| line.contains("checkpoint written"))
        .collect();
    assert!(
        !opened.contains("\"texts_reused\":0"),
        "{opened:?} {written:?}"
    );
    assert!(written.len() >= 2, "{written:?}");
}

/// A checkpoint that was due when no output was long enough came a whole interval later: the texts of a
/// runner that was killed meanwhile started again.
#[actix_rt::test]
async fn texts_resume_after_a_kill_although_the_first_events_were_late() {
    let mut site = Site::start(SITE_SIZE, 108).await.unwrap();
    // An output is long enough for a checkpoint after 2.2 s, when one has been due since 2 s.
    slow_down(&site, 18);
    let kill_after = Duration::from_millis(3_500);
    let (_, opened) = step_with_killed_runner(&mut site, "late", kill_after).await;
    assert!(!opened.contains("\"texts_reused\":0"), "{opened:?}");
}
