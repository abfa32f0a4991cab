//! Usage reports, end to end with real processes.
//!
//! Guards against windows that are never reported, because no instance counts, and against two
//! reports of one window with different counts. Each test ends with a check of all reports that the
//! platform accepted.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        http::call,
        platform,
        site::{HOST, Instance, Site, Size},
        store,
    },
};
use serde_json::json;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 0,
    services: 2,
};
/// API key of workspace `a`.
const KEY: &str = "key-of-a-7fe2b1";
/// Length of a window in the settings that the site renders.
const WINDOW_LENGTH: Duration = Duration::from_secs(2);
/// Maximum time until a failed lease holder is replaced and the next one may make its first call.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(7);

async fn start_site(seed: u64) -> Site {
    let mut site = Site::start(SITE_SIZE, seed).await.expect("the site starts");
    site.workspaces = Some(json!([{"name": "a", "apiKeys": [KEY]}, {"name": "b", "apiKeys": []}]));
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_secs(2)).await;
    site
}

/// Sends `count` requests to each running instance, and returns how many were answered.
async fn send_requests(site: &mut Site, count: usize, tag: &str) -> u64 {
    let mut answered = 0;
    for instance in &mut site.instances {
        if !instance.is_running() {
            continue;
        }
        for number in 0..count {
            let id = format!("{tag}-{}-{number}", instance.name);
            answered += u64::from(send_live_request(instance, &id).await);
        }
    }
    answered
}

async fn send_live_request(instance: &Instance, id: &str) -> bool {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
        ("authorization", format!("Bearer {KEY}")),
    ];
    let (address, timeout) = (instance.caller_proxy.address, Duration::from_secs(3));
    let answer = call(
        address,
        Method::POST,
        "/live/x",
        &headers,
        Bytes::new(),
        timeout,
    )
    .await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Asserts that all windows from the first to the last reported one have a report, and that the
/// fakes recorded no violation.
fn assert_no_missing_window(site: &Site) {
    let reports = site.platform.reports();
    let (first, last) = (reports.first_key_value(), reports.last_key_value());
    let (first, last) = (first.expect("a report").0, last.expect("a report").0);
    let missing: Vec<_> = (*first..=*last)
        .filter(|window| !reports.contains_key(window))
        .collect();
    assert_eq!(missing, Vec::<u64>::new());
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

#[actix_rt::test]
async fn each_window_is_reported_once_with_all_instances_counts() {
    let mut site = start_site(190).await;
    sleep(MAX_TAKEOVER_TIME).await;
    let mut answered = 0;
    for round in 0..4 {
        answered += send_requests(&mut site, 2, &format!("r{round}")).await;
        sleep(WINDOW_LENGTH / 2).await;
    }
    sleep(WINDOW_LENGTH + WINDOW_LENGTH).await;
    assert_eq!(answered, 24);
    assert_eq!(site.platform.request_count("a"), answered);
    assert_eq!(site.platform.request_count("b"), 0);
    assert_no_missing_window(&site);
}

#[actix_rt::test]
async fn the_successor_of_a_killed_lease_holder_reports_the_same_counts() {
    let mut site = start_site(191).await;
    sleep(MAX_TAKEOVER_TIME).await;
    let mut answered = send_requests(&mut site, 3, "before").await;
    // Reports wait for up to 0.2 s at each hop of the tree.
    sleep(Duration::from_millis(700)).await;
    // The holder may now have stored the sum of a window that the platform has no report of.
    site.platform.set_fault(platform::Fault::LoseAnswers);
    sleep(WINDOW_LENGTH).await;
    let holder = site.platform.last_reporter();
    let killed_instance = site
        .instances
        .iter_mut()
        .find(|instance| instance.name == holder);
    let reported_windows: Vec<_> = site.platform.reports().into_keys().collect();
    killed_instance
        .unwrap_or_else(|| panic!("last reporter {holder:?}, windows {reported_windows:?}"))
        .signal(Signal::KILL);
    site.platform.set_fault(platform::Fault::None);
    answered += send_requests(&mut site, 2, "after").await;
    sleep(MAX_TAKEOVER_TIME + WINDOW_LENGTH).await;
    assert_ne!(site.platform.last_reporter(), holder);
    assert_eq!(site.platform.request_count("a"), answered);
    assert_no_missing_window(&site);
}

#[actix_rt::test]
async fn windows_that_end_during_an_outage_of_store_or_platform_are_reported_later() {
    let mut site = start_site(192).await;
    sleep(MAX_TAKEOVER_TIME).await;
    site.platform.set_fault(platform::Fault::Down);
    let mut answered = send_requests(&mut site, 2, "down").await;
    sleep(WINDOW_LENGTH + WINDOW_LENGTH).await;
    site.platform.set_fault(platform::Fault::None);
    site.store.set_faults(store::Faults::DOWN);
    answered += send_requests(&mut site, 2, "away").await;
    sleep(WINDOW_LENGTH + WINDOW_LENGTH).await;
    site.store.set_faults(store::Faults::default());
    sleep(MAX_TAKEOVER_TIME + WINDOW_LENGTH).await;
    assert_eq!(answered, 12);
    assert_eq!(site.platform.request_count("a"), answered);
    assert_no_missing_window(&site);
}

/// Sums of another form were read again every 0.4 s, for as long as they stood in the store.
#[actix_rt::test]
async fn sums_that_cannot_be_read_are_read_again_at_growing_intervals() {
    const OBSERVED: Duration = Duration::from_secs(14);
    const MAX_READS: usize = 8;
    let mut site = start_site(193).await;
    sleep(MAX_TAKEOVER_TIME).await;
    let sums = (site.store).spec("pinereel-usage", "sums");
    let malformed = json!({"sums": {"one": 1}});
    site.store.put("pinereel-usage", "sums", malformed);
    let count_reads = |site: &Site| {
        let instances = site.instances.iter();
        let reads = instances.map(|instance| instance.count_lines("usage: malformed sums"));
        reads.sum::<usize>()
    };
    // The holder reads the sums again when it cannot store the next one.
    send_requests(&mut site, 2, "malformed").await;
    let first_read = async {
        while count_reads(&site) == 0 {
            sleep(Duration::from_millis(100)).await;
        }
    };
    let first_read = timeout(MAX_TAKEOVER_TIME, first_read).await;
    first_read.expect("the sums are read again");
    sleep(OBSERVED).await;
    let reads = count_reads(&site);
    assert!((2..=MAX_READS).contains(&reads), "{reads} reads");
    // Once the sums can be read, windows are reported again.
    site.store.put(
        "pinereel-usage",
        "sums",
        sums.unwrap_or_else(|| json!({"sums": {}})),
    );
    sleep(MAX_TAKEOVER_TIME).await;
    let reported = site.platform.request_count("a");
    let answered = send_requests(&mut site, 2, "readable").await;
    sleep(WINDOW_LENGTH + WINDOW_LENGTH).await;
    assert_eq!(site.platform.request_count("a"), reported + answered);
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}
