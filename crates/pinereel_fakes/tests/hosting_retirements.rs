//! Requests of the platform to retire an instance, beside requests whose answer fails.

use actix_http::StatusCode;
use pinereel_fakes::hosting::site::{Site, Size};
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 0,
    services: 1,
};
/// Longest time until a request is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time in which the repetitions of failing answers are counted.
const COUNTED_TIME: Duration = Duration::from_secs(3);

fn is_answered(site: &Site, instance: &str) -> bool {
    let status = site.store.status("retirements", instance);
    status.unwrap_or_default()["state"] == "completed"
}

async fn is_answered_in_time(site: &Site, instance: &str) -> bool {
    let end = Instant::now() + ANSWER_TIMEOUT;
    while !is_answered(site, instance) && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    is_answered(site, instance)
}

/// An answer that the store refused was repeated for ever, and no other request was answered.
#[actix_rt::test]
async fn a_refused_answer_delays_no_other_request() {
    let site = Site::start(SITE_SIZE, 671).await.expect("the site starts");
    for status in [400, 405, 409, 410, 413, 500] {
        let name = format!("!other {status}");
        let status = StatusCode::from_u16(status).expect("a status");
        site.store.refuse_status_writes(&name, status);
        let request = json!({"durationS": 10});
        site.store.put("retirements", &name, request);
    }
    site.store.put("retirements", "store-1", json!({}));
    assert!(is_answered_in_time(&site, "store-1").await);
    let before = site.store.refused_write_count();
    sleep(COUNTED_TIME).await;
    let repeated = site.store.refused_write_count() - before;
    // Only the answer that failed with status 500 may have another outcome; its delay doubles.
    assert!(repeated <= 5, "{repeated} refused answers");
}

#[actix_rt::test]
async fn a_failed_answer_is_repeated_until_it_is_written() {
    let site = Site::start(SITE_SIZE, 672).await.expect("the site starts");
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    site.store.refuse_status_writes("store-1", status);
    site.store.put("retirements", "store-1", json!({}));
    sleep(Duration::from_secs(2)).await;
    assert!(site.store.refused_write_count() > 0);
    site.store.accept_status_writes();
    assert!(is_answered_in_time(&site, "store-1").await);
}

/// The refused answer may be accepted for another request under the same name.
#[actix_rt::test]
async fn a_changed_request_is_answered_after_a_refused_one() {
    let site = Site::start(SITE_SIZE, 673).await.expect("the site starts");
    let status = StatusCode::BAD_REQUEST;
    site.store.refuse_status_writes("store-1", status);
    site.store.put("retirements", "store-1", json!({}));
    sleep(Duration::from_secs(2)).await;
    site.store.accept_status_writes();
    let request = json!({"durationS": 10});
    site.store.put("retirements", "store-1", request);
    assert!(is_answered_in_time(&site, "store-1").await);
}
