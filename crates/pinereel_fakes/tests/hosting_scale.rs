//! Autoscaling of endpoints, end to end with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    site::{MODEL, Site, Size},
    trainer::submit_once,
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 1,
};
/// Number of items of which one engine cannot start all within the time that most texts take.
const ITEMS_BEYOND_SLOTS: usize = 120;

async fn submit(site: &Site, lot: &str, items: usize) {
    let item = |number: usize| {
        json!({
            "id": format!("{lot}-{number}"), "path": "/lots/x", "body": "eA==", "tokens": 3,
            "group": "g", "headers": {"X-Model": "model-a"},
        })
    };
    let items: Vec<_> = (0..items).map(item).collect();
    let submitted = submit_once(site, lot, (MODEL, 1), items).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
}

/// A trainer submits many items at once, and most wait for a slot. Spot endpoints are requested,
/// within the operator's limits, and none are requested while all items get a slot in time.
#[actix_rt::test]
async fn waiting_items_cause_requests_for_spot_endpoints() {
    let site = Site::start(SITE_SIZE, 200).await.expect("the site starts");
    // A new lease holder waits for the minimum gap between the orders of two holders.
    sleep(Duration::from_secs(3)).await;
    submit(&site, "small", 3).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(site.platform.desired_spot_counts(), BTreeMap::new());
    submit(&site, "large", ITEMS_BEYOND_SLOTS).await;
    sleep(Duration::from_secs(5)).await;
    let desired_counts = site.platform.desired_spot_counts();
    let log_lines = site
        .instances
        .iter()
        .flat_map(|i| i.lines())
        .collect::<Vec<_>>();
    assert_eq!(
        desired_counts.get("here"),
        Some(&3),
        "{desired_counts:?}\n{}",
        log_lines.join("\n")
    );
    assert_eq!(desired_counts.get("there"), Some(&4), "{desired_counts:?}");
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}
