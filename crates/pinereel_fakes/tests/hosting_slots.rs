//! Slots of engines that a runner counts as used: given back whenever a run ends, however its task ends.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        engine::{self, SLOTS},
        http::call,
        instance::{LotLoad, lot_load},
        site::{HOST, MODEL, Site, Size},
        trainer::submit_once,
    },
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 3,
    services: 1,
};
/// Number of freezes.
const FREEZES: usize = 12;
/// Time for which the runner is frozen, shorter than a pause that it detects.
const FREEZE: Duration = Duration::from_millis(450);
/// Time within which runs end after the last lot has been ended.
const MAX_TIME_TO_IDLE: Duration = Duration::from_secs(3);
/// Time within which items take all slots of engines that have no run.
const MAX_TIME_TO_FULL: Duration = Duration::from_secs(3);

fn items(lot: &str, count: usize) -> Vec<Value> {
    let item = |number| {
        json!({
            "id": format!("{lot}-{number}"), "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g",
        })
    };
    (0..count).map(item).collect()
}

async fn submit(site: &Site, lot: &str, count: usize) {
    let submitted = submit_once(site, lot, (MODEL, 1), items(lot, count)).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED), "{lot}");
}

/// Ends a lot at an instance other than the runner.
async fn end(site: &Site, runner: usize, lot: &str) {
    let address = site.instances[1 - runner].caller_proxy.address;
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", lot.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
    ];
    let target = format!("/v1/lots/{lot}");
    let timeout = Duration::from_secs(3);
    let answer = call(
        address,
        Method::DELETE,
        &target,
        &headers,
        Bytes::new(),
        timeout,
    );
    let status = answer.await.map(|answer| answer.status);
    assert_eq!(status, Ok(StatusCode::OK), "{lot}");
}

fn set_slow_factor(site: &Site, slow_factor: u32) {
    for proxied in &site.engines {
        proxied.endpoint.set_faults(engine::Faults {
            slow_factor,
            ..engine::Faults::default()
        });
    }
}

fn runs(site: &Site) -> Vec<u32> {
    let engines = site.engines.iter();
    engines.map(|proxied| proxied.endpoint.running()).collect()
}

/// Waits until a condition holds; returns whether it did in time.
async fn wait_until(within: Duration, condition: impl AsyncFn() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if condition().await {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Failure: the task of an item is aborted before it is first polled, as its lot is ended while the runner is
/// frozen. Its slot stays counted as used, until no item of any later lot gets to the engine.
#[actix_rt::test]
async fn a_lot_that_is_ended_beside_freezes_of_its_runner_keeps_no_slot() {
    let mut site = Site::start(SITE_SIZE, 301).await.expect("the site starts");
    set_slow_factor(&site, 3);
    submit(&site, "first", 12).await;
    sleep(Duration::from_secs(2)).await;
    let opened = |lines: Vec<String>| lines.iter().any(|line| line.contains("lot opened"));
    let runner = site.instances.iter().position(|i| opened(i.lines()));
    let runner = runner.expect("a runner");
    end(&site, runner, "first").await;
    for number in 0..FREEZES {
        let lot = format!("lot-{number}");
        submit(&site, &lot, 60).await;
        sleep(Duration::from_millis(900)).await;
        site.instances[runner].signal(Signal::STOP);
        sleep(FREEZE / 2).await;
        end(&site, runner, &lot).await;
        sleep(FREEZE / 2).await;
        site.instances[runner].signal(Signal::CONT);
        sleep(Duration::from_millis(300)).await;
    }
    let is_idle = wait_until(MAX_TIME_TO_IDLE, async || {
        runs(&site).iter().all(|runs| *runs == 0)
    });
    assert!(is_idle.await, "{:?}", runs(&site));
    let address = site.instances[runner].metrics_address();
    let idle = LotLoad {
        used_slots: 0,
        tasks: 0,
    };
    let is_free = wait_until(MAX_TIME_TO_IDLE, async || {
        lot_load(address).await == Some(idle)
    });
    let is_free = is_free.await;
    let load = lot_load(address).await;
    println!("without a run: {load:?}");
    // Long runs, so that each slot has one at the same time.
    set_slow_factor(&site, 200);
    submit(&site, "last", 40).await;
    let is_full = wait_until(MAX_TIME_TO_FULL, async || {
        runs(&site).iter().all(|runs| *runs >= SLOTS)
    });
    let is_full = is_full.await;
    println!("runs of the last lot: {:?}", runs(&site));
    assert!(is_full, "{:?}", runs(&site));
    assert!(is_free, "{load:?}");
}
