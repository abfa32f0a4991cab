//! Orders for endpoints, as a whole path of real processes.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    http::call,
    site::{HOST, Site, Size},
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

const SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 1,
};
/// Items that one engine cannot begin within the time that most texts take.
const CROWD: usize = 120;

async fn submit(site: &Site, lot: &str, items: usize) {
    let item = |number: usize| {
        json!({
            "id": format!("{lot}-{number}"), "path": "/lots/x", "body": "eA==", "tokens": 3,
            "group": "g", "headers": {"X-Model": "model-a"},
        })
    };
    let items: Vec<_> = (0..items).map(item).collect();
    let body =
        json!({"step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1, "items": items});
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", lot.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
    ];
    let (address, wait) = (site.instances[0].callers.address, Duration::from_secs(3));
    let body = Bytes::from(body.to_string());
    let answer = call(address, Method::POST, "/lots/1", &headers, body, wait).await;
    assert_eq!(answer.map(|a| a.status), Ok(StatusCode::ACCEPTED));
}

/// Load pattern: a trainer's items come at once, and most wait for a slot. Endpoints of the cheap kind are asked for, within the
/// operator's bounds, and none while items find slots in time.
#[actix_rt::test]
async fn items_that_wait_for_slots_bring_endpoints() {
    let site = Site::start(SIZE, 200).await.expect("it starts");
    // A new holder of the orders waits for the engines' gap.
    sleep(Duration::from_secs(3)).await;
    submit(&site, "small", 3).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(site.platform.asked(), BTreeMap::new());
    submit(&site, "large", CROWD).await;
    sleep(Duration::from_secs(5)).await;
    let asked = site.platform.asked();
    let lines = site
        .instances
        .iter()
        .flat_map(|i| i.lines())
        .collect::<Vec<_>>();
    assert_eq!(
        asked.get("here"),
        Some(&3),
        "{asked:?}\n{}",
        lines.join("\n")
    );
    assert_eq!(asked.get("there"), Some(&4), "{asked:?}");
    assert_eq!(site.book.faults(), Vec::<String>::new());
}
