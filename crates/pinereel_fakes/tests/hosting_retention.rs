//! How long lots and their results stay in the store, with real processes.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    engine,
    http::call,
    site::{HOST, MODEL, Site, Size},
    trainer::{read_page, submit_once},
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 2,
    services: 1,
};
const OTHER_MODEL: &str = "model-b";
/// Age at which an ended lot has been deleted: the retention of this site, 1 s, the margin of a minute, and the
/// interval between two passes with some slack.
const DELETED_AFTER: Duration = Duration::from_secs(76);

async fn submit(site: &Site, lot: &str, model: &str, count: usize) {
    let item = |number| {
        json!({
            "id": format!("{lot}-{number}"), "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g",
            "headers": {"X-Model": model},
        })
    };
    let items = (0..count).map(item).collect();
    let submitted = submit_once(site, lot, (model, 1), items).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED), "{lot}");
}

async fn end(site: &Site, lot: &str) {
    let headers = [("host", HOST.to_owned()), ("x-request-id", lot.to_owned())];
    let target = format!("/v1/lots/{lot}");
    let address = site.instances[0].caller_proxy.address;
    let timeout = Duration::from_secs(3);
    let answer = call(
        address,
        Method::DELETE,
        &target,
        &headers,
        Bytes::new(),
        timeout,
    );
    assert_eq!(answer.await.map(|answer| answer.status), Ok(StatusCode::OK));
}

/// Failure: a lot that its trainer has not ended is deleted by age: by the runner of another model while it runs,
/// or by its own runner once all of its items have results.
#[actix_rt::test]
async fn a_lot_is_kept_until_it_is_ended() {
    let adapt = |_, settings: String| settings.replace("kept = 120s", "kept = 1s");
    let site = Site::start_with(SITE_SIZE, 331, &[OTHER_MODEL], adapt).await;
    let site = site.expect("the site starts");
    sleep(Duration::from_secs(2)).await;
    let submitted_at = Instant::now();
    submit(&site, "complete", MODEL, 4).await;
    submit(&site, "ended", MODEL, 4).await;
    sleep(Duration::from_secs(3)).await;
    end(&site, "ended").await;
    for proxied in &site.engines {
        proxied.endpoint.set_faults(engine::Faults {
            slow_factor: 150,
            ..engine::Faults::default()
        });
    }
    let lots = [
        ("complete", MODEL),
        ("open-a", MODEL),
        ("open-b", OTHER_MODEL),
    ];
    for (lot, model) in &lots[1..] {
        submit(&site, lot, model, 24).await;
    }
    let mut read = vec![Vec::<Value>::new(); lots.len()];
    while submitted_at.elapsed() < DELETED_AFTER {
        for ((lot, _), known) in lots.iter().zip(&mut read) {
            for instance in &site.instances {
                let page = read_page(instance, lot, 0).await.expect("an answer");
                assert!(
                    page.starts_with(known),
                    "{lot}: {} of {}",
                    page.len(),
                    known.len()
                );
                *known = page;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
    println!(
        "results: {:?}",
        read.iter().map(Vec::len).collect::<Vec<_>>()
    );
    for (lot, _) in lots {
        assert!(site.store.spec("pinereel-lots", lot).is_some(), "{lot}");
    }
    assert!(site.store.spec("pinereel-lots", "ended").is_none());
}
