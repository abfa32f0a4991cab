//! The whole path on the platform's stand-in: the real binary with the deployment's template.

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

const SMALL: Size = Size {
    instances: 3,
    engines: 3,
    services: 2,
};
const SHAPE: Shape = Shape {
    groups: 4,
    group_size: 4,
    wanted_groups: 3,
};
const WAIT: Duration = Duration::from_secs(3);

/// Headers of a request or lot of this id.
fn headers(id: &str) -> [(&'static str, String); 3] {
    [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
    ]
}

#[actix_rt::test]
async fn a_calm_site_serves_callers_and_steps() {
    let site = Site::start(SMALL, 101).await.unwrap();
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let tally = Rc::new(Tally::default());
    for kind in [Kind::Repeatable, Kind::Once] {
        let (load_balancer, recorder, tally) = (Rc::clone(&load_balancer), Rc::clone(&recorder), Rc::clone(&tally));
        let end = Instant::now() + Duration::from_secs(4);
        let name = format!("{kind:?}");
        actix_rt::spawn(async move { caller::run(load_balancer, kind, &name, end, recorder, tally).await });
    }
    let mut trainer = Trainer::new("calm", &load_balancer, &site.store, &recorder, SHAPE, 1);
    for step in 0..4 {
        trainer.step(step).await;
    }
    sleep(Duration::from_millis(500)).await;
    assert_eq!((trainer.done, trainer.given_up, trainer.refused), (4, 0, 0));
    assert!(tally.good.get() > 50, "{tally:?}");
    assert_eq!((tally.not_run.get(), tally.unknown.get()), (0, 0));
    assert!(recorder.accepted_order_count() > 0, "new versions are rolled out");
    recorder.check_orders();
    assert_eq!(recorder.violations(), Vec::<String>::new());
}

#[actix_rt::test]
async fn a_change_of_routes_is_in_force_at_every_instance() {
    let mut site = Site::start(SMALL, 102).await.unwrap();
    for _ in 0..3 {
        site.configure("other", Duration::from_secs(2));
        sleep(Duration::from_millis(300)).await;
        let only = format!("/only-{}/x", site.config_version);
        for instance in &site.instances {
            let headers = [
                ("host", HOST.to_owned()),
                ("x-request-id", format!("{}-{}", instance.name, site.config_version)),
            ];
            let address = instance.caller_proxy.address;
            let new = call(address, Method::POST, &only, &headers, Bytes::new(), WAIT).await;
            assert_eq!(new.map(|a| a.status), Ok(StatusCode::OK), "the new route");
            let old = format!("/only-{}/x", site.config_version - 2);
            let old = call(address, Method::POST, &old, &headers, Bytes::new(), WAIT).await;
            assert_eq!(
                old.map(|a| a.status),
                Ok(StatusCode::NOT_FOUND),
                "the old one"
            );
        }
    }
}

#[actix_rt::test]
async fn a_lot_is_accepted_once_and_readable_at_every_instance() {
    let site = Site::start(SMALL, 103).await.unwrap();
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
            WAIT,
        )
        .await;
        assert_eq!(answer.map(|a| a.status), Ok(StatusCode::ACCEPTED));
    }
    sleep(Duration::from_secs(1)).await;
    let mut readings = Vec::new();
    for instance in &site.instances {
        let address = instance.caller_proxy.address;
        let path = "/v1/lots/lot-1?after=0";
        let answer = call(address, Method::GET, path, &headers, Bytes::new(), WAIT).await;
        readings.push(answer.unwrap().body);
        let path = "/v1/items/lot-1?id=only";
        let answer = call(address, Method::GET, path, &headers, Bytes::new(), WAIT).await;
        assert_eq!(answer.unwrap().body, "prompt");
        let path = "/v1/lots/unknown?after=0";
        let answer = call(address, Method::GET, path, &headers, Bytes::new(), WAIT).await;
        assert_eq!(answer.unwrap().status, StatusCode::NOT_FOUND);
    }
    assert!(readings.iter().all(|reading| *reading == readings[0]));
    let reading: serde_json::Value = serde_json::from_slice(&readings[0]).unwrap();
    assert_eq!(reading["results"][0]["state"], "completed");
    assert_eq!(reading["nextToken"], 1);
}

/// Load pattern: a runner begins while dozens of ended lots are still kept; it lists them all before
/// it works on the open ones.
#[actix_rt::test]
async fn an_ended_lot_is_cut_down_and_stays_readable() {
    let site = Site::start(SMALL, 121).await.unwrap();
    let headers = headers("lot-2");
    let item = |id| serde_json::json!({"id": id, "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g"});
    let body = serde_json::json!({
        "step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1,
        "items": [item("first"), item("second")],
    });
    let ask = async |instance: usize, method, path| {
        let address = site.instances[instance].caller_proxy.address;
        let body = match method {
            Method::POST => Bytes::from(body.to_string()),
            _ => Bytes::new(),
        };
        call(address, method, path, &headers, body, WAIT)
            .await
            .expect("an answer")
    };
    let accepted = ask(0, Method::POST, "/lots/2").await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    sleep(Duration::from_secs(2)).await;
    let before = ask(1, Method::GET, "/v1/lots/lot-2?after=0").await.body;
    let ended = ask(2, Method::DELETE, "/v1/lots/lot-2").await;
    assert_eq!(ended.status, StatusCode::OK);
    let kept = || {
        site.store
            .spec("pinereel-lots", "lot-2")
            .expect("it is kept")
    };
    let end = Instant::now() + Duration::from_secs(24);
    while kept().get("lot").is_some() && Instant::now() < end {
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(kept(), serde_json::json!({"model": "model-a", "items": 2}));
    for instance in 0..site.instances.len() {
        let again = ask(instance, Method::GET, "/v1/lots/lot-2?after=0").await;
        assert_eq!(again.body, before);
        let rest = ask(instance, Method::GET, "/v1/lots/lot-2?after=2").await;
        let rest: serde_json::Value = serde_json::from_slice(&rest.body).expect("JSON");
        assert_eq!(rest["total"], 2);
        let body = ask(instance, Method::GET, "/v1/items/lot-2?id=first").await;
        assert_eq!(body.status, StatusCode::NOT_FOUND);
        let sent_again = ask(instance, Method::POST, "/lots/2").await;
        assert_eq!(sent_again.status, StatusCode::ACCEPTED);
        let ended_again = ask(instance, Method::DELETE, "/v1/lots/lot-2").await;
        assert_eq!(ended_again.status, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn without_a_configuration_nothing_is_refused_as_unknown() {
    let site = Site::start(SMALL, 104).await.unwrap();
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", "early".to_owned()),
    ];
    // The store has never answered this instance.
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
        WAIT,
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
        WAIT,
    );
    assert_eq!(ready.await.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Load pattern: all processes were killed, and callers come to each one in the moment of its start.
/// Refused, they came back late.
#[actix_rt::test]
async fn a_request_that_comes_before_the_first_news_waits_for_it() {
    let mut site = Site::start(SMALL, 120).await.unwrap();
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
    let end = Instant::now() + WAIT;
    let status = loop {
        let answer = call(
            address,
            Method::POST,
            "/live/x",
            &headers,
            Bytes::new(),
            WAIT,
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
async fn an_instance_that_is_to_be_emptied_may_go_at_once() {
    let site = Site::start(SMALL, 105).await.unwrap();
    let asked = serde_json::json!({"durationS": 10});
    site.store.put("retirements", "store-1", asked);
    let end = Instant::now() + Duration::from_secs(6);
    let answered = || {
        site.store
            .status("retirements", "store-1")
            .unwrap_or_default()
    };
    while answered().is_null() && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(answered()["state"], "completed");
}

/// Makes all engines so many times as slow.
fn slow_down(site: &Site, slow_factor: u32) {
    for proxied in &site.engines {
        proxied.endpoint.set_faults(engine::Faults {
            slow_factor,
            ..engine::Faults::default()
        });
    }
}

/// Index of the instance that runs the lots: the one that logged an opening last.
fn runner(site: &Site) -> Option<usize> {
    let opened = |lines: Vec<String>| lines.iter().any(|line| line.contains("lot opened"));
    site.instances.iter().position(|i| opened(i.lines()))
}

#[actix_rt::test]
async fn texts_go_on_at_the_next_runner_after_a_planned_stop() {
    let mut site = Site::start(SMALL, 106).await.unwrap();
    // A text of 24 events takes more than two seconds.
    slow_down(&site, 8);
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let mut trainer = Trainer::new("stop", &load_balancer, &site.store, &recorder, SHAPE, 1);
    let whole = Shape { wanted_groups: 4, ..SHAPE };
    let mut stopped = Trainer::new("stopped", &load_balancer, &site.store, &recorder, whole, 2);
    trainer.step(0).await;
    let before = recorder.event_count();
    let stop = async {
        sleep(Duration::from_millis(900)).await;
        let index = runner(&site).expect("a lot was opened");
        site.instances[index].signal(pinereel_fakes::launch::Signal::TERM);
    };
    tokio::join!(stopped.step(0), stop);
    assert_eq!(stopped.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let items = (0..4).flat_map(|g| (0..4).map(move |i| format!("stopped-0.{g}.{i}")));
    let needed: u64 = items.map(|item| engine::event_count(&item)).sum();
    let made = recorder.event_count() - before;
    // An engine makes a few events more before it notices that a connection is gone. Begun again, the
    // texts took 408 and 448 events.
    let in_flight = u64::from(engine::SLOTS) * site.engines.len() as u64;
    assert!(
        made <= needed + 6 * in_flight,
        "{made} events made for {needed}"
    );
}

/// Texts that a runner has at its death are begun again from what it wrote last, not from nothing.
#[actix_rt::test]
async fn texts_go_on_at_the_next_runner_after_a_kill() {
    let mut site = Site::start(SMALL, 107).await.unwrap();
    // A text of 24 events takes about 4.6 s.
    slow_down(&site, 16);
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let shape = Shape {
        groups: 8,
        wanted_groups: 8,
        ..SHAPE
    };
    let mut trainer = Trainer::new("killed", &load_balancer, &site.store, &recorder, shape, 2);
    let kill = async {
        // After the second write, which replaces the first.
        sleep(Duration::from_millis(4_400)).await;
        let index = runner(&site).expect("a lot was opened");
        site.instances[index].signal(pinereel_fakes::launch::Signal::KILL);
        index
    };
    let (_, killed) = tokio::join!(trainer.step(0), kill);
    assert_eq!(trainer.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    let lines = site.instances[killed].all_lines();
    assert!(
        !lines
            .iter()
            .any(|line| line.contains("checkpoint not written"))
    );
    let others = site
        .instances
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != killed);
    let opened = others.flat_map(|(_, instance)| instance.lines());
    let opened: Vec<_> = opened.filter(|line| line.contains("lot opened")).collect();
    assert_eq!(opened.len(), 1, "{opened:?}");
    let kept: Vec<_> = lines
        .iter()
        .filter(|line| line.contains("checkpoint written"))
        .collect();
    assert!(
        !opened[0].contains("\"texts_reused\":0"),
        "{opened:?} {kept:?}"
    );
    assert!(kept.len() >= 2, "{kept:?}");
}
