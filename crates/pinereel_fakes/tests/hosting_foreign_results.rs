//! Objects of other writers among the lots, and among the results and checkpoints of a lot.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    site::{MODEL, Site, Size},
    trainer::{read_page, submit_once},
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 1,
};

/// A lot was submitted, and none of its results was ever read: the objects beside them ended each list.
#[actix_rt::test]
async fn results_are_read_beside_objects_of_other_writers() {
    let site = Site::start(SITE_SIZE, 692).await.expect("the site starts");
    let lot = "lot-692";
    for kind in ["pinereel-results-lot-692", "pinereel-drafts-lot-692"] {
        for name in [
            "!other",
            "0",
            "zz",
            "a b&c#%",
            "-1",
            "99999999999999999999999",
        ] {
            site.store.put(kind, name, json!({"owner": "other"}));
        }
    }
    for (name, spec) in [
        ("!null", Value::Null),
        ("!text", json!("text")),
        ("!model", json!({"model": 7})),
        (
            "!lot",
            json!({"model": "model-a", "lot": [], "host": "h", "path": "/"}),
        ),
        (
            "a b&c#%é",
            json!({"model": "model-a", "lot": {"model": "model-a", "items": 7}}),
        ),
    ] {
        site.store.put("pinereel-lots", name, spec);
    }
    let items = vec![json!({
        "id": "i-692", "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3,
        "headers": {"X-Model": MODEL}, "group": "g-692",
    })];
    let submitted = submit_once(&site, lot, (MODEL, 1), items).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    let end = Instant::now() + Duration::from_secs(10);
    let mut results = Vec::new();
    while results.is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(200)).await;
        results = read_page(&site.instances[1], lot, 0)
            .await
            .unwrap_or_default();
    }
    assert_eq!(results.len(), 1, "{:?}", site.store.dump_own_objects());
}
