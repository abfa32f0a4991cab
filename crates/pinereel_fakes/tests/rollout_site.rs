//! Weight rollouts: published versions reach every engine, and one entry at a time holds the lease.

#![allow(clippy::unwrap_used)]

use pinereel_api::trainer::Publish;
use pinereel_core::{Version, config::Document};
use pinereel_fakes::{
    engine::batch,
    site::{Options, Site, wait_until},
    trainer,
};
use serde_json::json;
use std::time::Duration;

fn options(entries: usize, engines: usize) -> Options {
    let document: Document = serde_json::from_value(json!({
        "pools": { "winder-lm": { "kind": "engine", "model": "winding", "checks_fencing": true } },
        "trainers": { "rewind": { "pool": "winder-lm", "bound": 1 } },
    }))
    .unwrap();
    Options {
        zones: vec![
            "regina-hall".into(),
            "saskatoon-hall".into(),
            "moosejaw-hall".into(),
        ],
        entry_count: entries,
        engine_pools: vec![("winder-lm".into(), engines)],
        batch: batch::Options {
            tokens_per_second: 2_000.0,
            swap_time: Duration::from_millis(100),
            ..batch::Options::default()
        },
        service_pools: Vec::new(),
        document,
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n"
            .into(),
    }
}

/// Publishes a weight version through the first entry.
async fn publish_version(site: &Site, version: u64) {
    let url = format!(
        "http://{}/v1/trainers/rewind/versions",
        site.caller_addresses()[0]
    );
    let body = Publish {
        version: Version(version),
    };
    let response = awc::Client::default()
        .post(url)
        .send_json(&body)
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
}

/// Waits until every engine serves `version`, as seen by the first entry.
async fn wait_until_served(site: &Site, version: u64) {
    let shared = &site.entries[0].shared;
    let engines = site.engines.len();
    wait_until(|| {
        let set = shared.endpoints.set();
        let serving = set
            .iter()
            .filter(|(_, e)| e.version == Some(Version(version)));
        serving.count() == engines
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn published_versions_reach_every_engine() {
    let site = Site::start(options(3, 4)).await.unwrap();
    publish_version(&site, 2).await;
    wait_until_served(&site, 2).await;
    publish_version(&site, 5).await;
    wait_until_served(&site, 5).await;
    let leases = site.object_api.objects("leases").items;
    assert_eq!(leases.len(), 1);
}

#[actix_rt::test]
async fn another_entry_takes_over_the_lease_when_its_holder_drains() {
    let mut site = Site::start(options(3, 2)).await.unwrap();
    publish_version(&site, 2).await;
    wait_until_served(&site, 2).await;
    let holder_index = |site: &Site| {
        site.entries
            .iter()
            .position(|e| !e.shared.leases.held_tokens(e.shared.now()).is_empty())
    };
    let holder = holder_index(&site).unwrap();
    let leaving = site.entries.remove(holder);
    leaving.shared.drain.request_stop();
    leaving.run_until_drained().await;
    let lease = &site.object_api.objects("leases").items[0];
    let drained_entry = leaving.shared.name().as_str();
    let new_holder = lease.value["holder"].as_str().unwrap();
    assert!(
        !new_holder.starts_with(drained_entry),
        "a drained entry still holds the lease"
    );
    publish_version(&site, 3).await;
    wait_until_served(&site, 3).await;
    let fence = |site: &Site| site.object_api.objects("leases").items[0].value["fence"].as_u64();
    assert_eq!(
        fence(&site),
        Some(2),
        "the fencing token must grow by one with each change of holder"
    );
}

#[actix_rt::test]
async fn a_trainer_stays_within_a_staleness_bound_of_one() {
    let site = Site::start(options(3, 4)).await.unwrap();
    let report = trainer::Trainer::new(trainer::Options {
        name: "rewind".into(),
        entries: site.caller_addresses(),
        steps: 6,
        groups_per_step: 6,
        samples_per_group: 4,
        max_tokens: 60,
        train_time: Duration::from_millis(50),
        staleness_bound: 1,
        check_texts: true,
        ..trainer::Options::default()
    })
    .run()
    .await
    .unwrap();
    assert!(report.is_valid(), "{report:?}");
    assert!(report.staleness.max <= 1, "{report:?}");
    assert_eq!(report.samples, 144);
}
