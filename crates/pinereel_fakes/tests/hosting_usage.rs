//! Reports of usage, as a whole path of real processes.
//!
//! No window was ever reported, since nobody counted. Two reports of one window with other counts break a rule, so each case here ends with
//! a look at every report that the platform took.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::{
    hosting::{
        http::call,
        platform,
        site::{HOST, Instance, Site, Size},
        store,
    },
    launch::Signal,
};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

const SIZE: Size = Size {
    instances: 3,
    engines: 0,
    services: 2,
};
const KEY: &str = "key-of-a-7fe2b1";
/// Length of a window in the stand-in's settings.
const WINDOW: Duration = Duration::from_secs(2);
/// A holder that vanished has a successor, and its first call may be made, within so long.
const SUCCEEDED: Duration = Duration::from_secs(7);

async fn site(seed: u64) -> Site {
    let mut site = Site::start(SIZE, seed).await.expect("it starts");
    site.workspaces = Some(json!([{"name": "a", "apiKeys": [KEY]}, {"name": "b", "apiKeys": []}]));
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_secs(2)).await;
    site
}

/// Sends `count` requests to each instance that runs; gives how many were answered.
async fn send(site: &mut Site, count: usize, tag: &str) -> u64 {
    let mut answered = 0;
    for instance in &mut site.instances {
        if !instance.is_running() {
            continue;
        }
        for number in 0..count {
            let id = format!("{tag}-{}-{number}", instance.name);
            answered += u64::from(live(instance, &id).await);
        }
    }
    answered
}

async fn live(instance: &Instance, id: &str) -> bool {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
        ("authorization", format!("Bearer {KEY}")),
    ];
    let (address, wait) = (instance.callers.address, Duration::from_secs(3));
    let answer = call(
        address,
        Method::POST,
        "/live/x",
        &headers,
        Bytes::new(),
        wait,
    )
    .await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// All windows between the first and the last report are there.
fn assert_none_missing(site: &Site) {
    let reports = site.platform.reports();
    let (first, last) = (reports.first_key_value(), reports.last_key_value());
    let (first, last) = (first.expect("a report").0, last.expect("a report").0);
    let missing: Vec<_> = (*first..=*last)
        .filter(|w| !reports.contains_key(w))
        .collect();
    assert_eq!(missing, Vec::<u64>::new());
    assert_eq!(site.book.faults(), Vec::<String>::new());
}

#[actix_rt::test]
async fn each_window_is_reported_once_with_all_instances_counts() {
    let mut site = site(190).await;
    sleep(SUCCEEDED).await;
    let mut answered = 0;
    for round in 0..4 {
        answered += send(&mut site, 2, &format!("r{round}")).await;
        sleep(WINDOW / 2).await;
    }
    sleep(WINDOW + WINDOW).await;
    assert_eq!(answered, 24);
    assert_eq!(site.platform.total("a"), answered);
    assert_eq!(site.platform.total("b"), 0);
    assert_none_missing(&site);
}

#[actix_rt::test]
async fn a_holder_that_is_killed_has_a_successor_that_reports_the_same() {
    let mut site = site(191).await;
    sleep(SUCCEEDED).await;
    let mut answered = send(&mut site, 3, "before").await;
    // Counts are on their way for 0.2 s at each hop.
    sleep(Duration::from_millis(700)).await;
    // It may have fixed a window that the platform has not heard of.
    site.platform.set(platform::Fault::Lost);
    sleep(WINDOW).await;
    let holder = site.platform.holder();
    let killed = site
        .instances
        .iter_mut()
        .find(|instance| instance.name == holder);
    killed.expect("the holder").signal(Signal::KILL);
    site.platform.set(platform::Fault::None);
    answered += send(&mut site, 2, "after").await;
    sleep(SUCCEEDED + WINDOW).await;
    assert_ne!(site.platform.holder(), holder);
    assert_eq!(site.platform.total("a"), answered);
    assert_none_missing(&site);
}

#[actix_rt::test]
async fn windows_that_end_while_store_or_platform_are_away_are_reported_after() {
    let mut site = site(192).await;
    sleep(SUCCEEDED).await;
    site.platform.set(platform::Fault::Down);
    let mut answered = send(&mut site, 2, "down").await;
    sleep(WINDOW + WINDOW).await;
    site.platform.set(platform::Fault::None);
    site.store.set(store::Fault::DOWN);
    answered += send(&mut site, 2, "away").await;
    sleep(WINDOW + WINDOW).await;
    site.store.set(store::Fault::default());
    sleep(SUCCEEDED + WINDOW).await;
    assert_eq!(answered, 12);
    assert_eq!(site.platform.total("a"), answered);
    assert_none_missing(&site);
}
