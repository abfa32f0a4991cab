//! Entries of other writers in the list of endpoints that are no endpoint's: large ones, many odd ones, and those
//! with the address of an endpoint.

use actix_http::StatusCode;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        caller::post,
        site::{PLAIN_SERVICE, Site, Size},
    },
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 0,
    services: 2,
};
/// Time in which instances that are ready link to each other.
const LINK_TIME: Duration = Duration::from_secs(2);
/// Time for which the instances receive requests.
const REQUEST_TIME: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Memory of a small instance.
const MAX_INSTANCE_BYTES: u64 = 64_000_000;
/// Highest number of log lines of an instance about refused entries.
const MAX_REFUSAL_LINES: usize = 100;

/// Requests sent to all instances.
#[derive(Debug, Default, PartialEq, Eq)]
struct Counts {
    sent: usize,
    served: usize,
}

async fn send_requests(site: &Site) -> Counts {
    let mut counts = Counts::default();
    for round in 0..REQUEST_TIME.div_duration_f64(REQUEST_INTERVAL) as usize {
        for instance in &site.instances {
            for path in ["/live/x", "/once/x"] {
                let (deadline, time_limit) = (Duration::from_millis(900), Duration::from_secs(1));
                let id = format!("r-{}-{round}{}", instance.name, path.replace('/', "-"));
                let address = instance.caller_proxy.address;
                let answer = post(address, path, id, deadline, "", time_limit).await;
                counts.sent += 1;
                counts.served += usize::from(answer.is_ok_and(|a| a.status == StatusCode::OK));
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
    counts
}

/// Adds `count` entries to the list of endpoints and restarts all instances. All requests are served, the memory
/// and the log stay bounded, and no link of the broadcast tree ends.
async fn check_restart_beside(count: usize, spec: impl Fn(usize) -> Value, seed: u64) {
    let mut site = Site::start(SITE_SIZE, seed).await.expect("the site starts");
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    for number in 0..count {
        let name = format!("!other-{number:04}");
        site.store.put("servers", &name, spec(number));
    }
    for instance in &mut site.instances {
        instance.start().expect("the instance starts");
    }
    for instance in &site.instances {
        instance
            .wait_ready()
            .await
            .expect("the instance gets ready");
    }
    sleep(LINK_TIME).await;
    let calls = site.store.call_count();
    let counts = send_requests(&site).await;
    let calls = site.store.call_count() - calls;
    let peaks: Vec<_> = site.instances.iter().map(|i| i.peak_memory()).collect();
    let lines = |text| {
        site.instances
            .iter()
            .map(|i| i.count_lines(text))
            .collect::<Vec<_>>()
    };
    let (refused, lost) = (lines("list entry refused"), lines("link lost"));
    println!(
        "{counts:?}, {calls} calls, peaks {peaks:?}, refusals logged {refused:?}, links lost {lost:?}"
    );
    for instance in &site.instances {
        let levels = ["ERROR", "WARN"];
        let lines = instance.lines().into_iter();
        let lines = lines.filter(|line| levels.iter().any(|level| line.contains(level)));
        lines.take(6).for_each(|line| println!("{line:.300}"));
    }
    assert_eq!(counts.served, counts.sent);
    let is_bounded = |peak: &Option<u64>| peak.is_some_and(|bytes| bytes < MAX_INSTANCE_BYTES);
    assert!(peaks.iter().all(is_bounded), "{peaks:?}");
    assert!(
        refused.iter().all(|lines| *lines <= MAX_REFUSAL_LINES),
        "{refused:?}"
    );
    // The reason must be visible.
    assert!(refused.iter().any(|lines| *lines > 0));
}

/// Each process kept and forwarded the whole entries.
#[actix_rt::test]
async fn restarted_instances_serve_beside_large_entries() {
    let text = "x".repeat(300_000);
    check_restart_beside(60, move |_| json!({"owner": "other", "text": text}), 681).await;
}

/// The same with an entry that would be valid but for its size.
#[actix_rt::test]
async fn restarted_instances_serve_beside_an_endpoint_with_a_large_entry() {
    let spec = |number| {
        json!({"service": "x".repeat(900_000), "addr": "127.0.0.1:1", "zone": "here", "slots": number,
               "state": "ready"})
    };
    check_restart_beside(20, spec, 682).await;
}

/// Values that take a hundred times the memory of their text exceeded the memory below any limit on the text.
#[actix_rt::test]
async fn restarted_instances_serve_beside_entries_that_grow_when_they_are_decoded() {
    let values = vec![json!({"": 0}); 2_500];
    check_restart_beside(24, move |_| json!({"owner": "other", "more": values}), 686).await;
}

#[actix_rt::test]
async fn restarted_instances_serve_beside_many_odd_entries() {
    let spec = |number: usize| match number % 6 {
        0 => Value::Null,
        1 => json!([]),
        2 => json!("text"),
        3 => json!({"service": 7, "addr": "127.0.0.1:1"}),
        4 => {
            json!({"service": "plain", "addr": "nowhere", "zone": "here", "slots": 1, "state": "ready"})
        }
        _ => {
            json!({"service": "plain", "addr": "127.0.0.1:1", "zone": "here", "slots": -1, "state": "ready"})
        }
    };
    check_restart_beside(5_000, spec, 683).await;
}

/// Names that make no header value, or an ambiguous one.
const NAMES: [&str; 6] = ["!é", "!a b", "!a,b", "!语", "!\u{1}", "!\n"];

/// Adds an entry with each of [`NAMES`] and this address to the list of endpoints. All requests are served.
async fn assert_served_beside_entries_at(site: &Site, address: SocketAddr) {
    for name in NAMES {
        let entry = json!({"service": PLAIN_SERVICE, "addr": address.to_string(), "zone": "here", "slots": 6,
                           "state": "ready"});
        site.store.put("servers", name, entry);
    }
    sleep(Duration::from_secs(2)).await;
    let counts = send_requests(site).await;
    assert_eq!(counts.served, counts.sent, "{counts:?}");
}

/// An endpoint took the requests that were meant for an entry with its address and another name.
#[actix_rt::test]
async fn requests_are_served_beside_entries_with_the_address_of_an_endpoint() {
    let site = Site::start(SITE_SIZE, 684).await.expect("the site starts");
    assert_served_beside_entries_at(&site, site.services[0].proxy.address).await;
}

/// An endpoint of another service ran the requests whose expectation could not be sent.
#[actix_rt::test]
async fn no_request_runs_at_an_endpoint_of_another_service() {
    let site = Site::start(SITE_SIZE, 685).await.expect("the site starts");
    let other = site
        .services
        .last()
        .expect("the endpoint of the other service");
    assert_served_beside_entries_at(&site, other.proxy.address).await;
    assert_eq!(other.endpoint.answer_count(), 0);
}
