//! The subset of engines that each entry works with, so that its state does not grow with the
//! fleet, and the watch on the platform's list of instances.

#![allow(clippy::unwrap_used)]

use pinereel_api::{
    object::{Faults, Instance, InstanceState},
    trainer::Publish,
};
use pinereel_core::{Version, config::Document};
use pinereel_fakes::{
    engine::batch,
    site::{Options, Site, wait_until},
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};

fn options(entries: usize, engines: usize, subset: usize) -> Options {
    let document: Document = serde_json::from_value(json!({
        "pools": { "winder-lm": { "kind": "engine", "model": "winding", "checks_fencing": true } },
        "trainers": { "rewind": { "pool": "winder-lm", "bound": 1 } },
    }))
    .unwrap();
    let settings = "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";
    Options {
        zones: vec!["regina-hall".into(), "saskatoon-hall".into()],
        entry_count: entries,
        engine_pools: vec![("winder-lm".into(), engines)],
        batch: batch::Options {
            tokens_per_second: 2_000.0,
            swap_time: Duration::from_millis(50),
            ..batch::Options::default()
        },
        service_pools: Vec::new(),
        document,
        instance_list_lag: Duration::from_millis(50),
        extra_settings: format!("{settings}[policy]\nsubset = {subset}\n"),
    }
}

/// Number of entries that work with each engine, by the engine's name.
fn entries_per_engine(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for entry in &site.entries {
        for (_, endpoint) in entry.shared.endpoints.set().iter() {
            *counts.entry(endpoint.name.to_string()).or_default() += 1;
        }
    }
    counts
}

#[actix_rt::test]
async fn every_engine_is_covered_by_four_of_eight_entries_also_after_a_drain() {
    // Each of the eight entries works with four of the eight engines: two in its own zone and two
    // in the other one.
    let mut site = Site::start(options(8, 8, 4)).await.unwrap();
    let is_even = |site: &Site| {
        entries_per_engine(site).len() == 8 && entries_per_engine(site).values().all(|n| *n == 4)
    };
    wait_until(|| is_even(&site)).await.unwrap();
    // Other entries take over the engines of a drained entry.
    let leaving = site.entries.remove(0);
    leaving.shared.drain.request_stop();
    leaving.run_until_drained().await;
    wait_until(|| is_even(&site)).await.unwrap();
}

#[actix_rt::test]
async fn a_rollout_reaches_engines_outside_the_holders_subset() {
    let site = Site::start(options(8, 8, 4)).await.unwrap();
    let url = format!(
        "http://{}/v1/trainers/rewind/versions",
        site.caller_addresses()[0]
    );
    let body = Publish {
        version: Version(2),
    };
    let response = awc::Client::default().post(url).send_json(&body).await;
    assert_eq!(response.unwrap().status(), 200);
    let all_serve_the_version = || {
        let entries = site.entries.iter();
        let known_versions = entries.flat_map(|entry| {
            let set = entry.shared.endpoints.set();
            let versions: Vec<_> = set.iter().map(|(_, e)| e.version).collect();
            versions
        });
        let versions: Vec<_> = known_versions.collect();
        versions.len() == 32 && versions.iter().all(|v| *v == Some(Version(2)))
    };
    wait_until(all_serve_the_version).await.unwrap();
}

#[actix_rt::test]
async fn the_watch_finds_added_and_removed_engines() {
    let site = Site::start(options(1, 1, 64)).await.unwrap();
    let known_count = || site.entries[0].shared.endpoints.set().iter().count();
    let first = &site.engines[0];
    site.object_api.put_instance(
        "winder-lm-late",
        Instance {
            incarnation: 1,
            address: first.handle.address.to_string().into(),
            zone: "regina-hall".into(),
            pool: "winder-lm".into(),
            state: InstanceState::Live,
        },
    );
    wait_until(|| known_count() == 2).await.unwrap();
    site.object_api.remove_instance("winder-lm-late");
    wait_until(|| known_count() == 1).await.unwrap();
    // A removal is found also after the object API has lost the history of the watch.
    site.object_api.set_faults(Faults {
        end_watches: Some(true),
        ..Default::default()
    });
    site.object_api.remove_instance(&first.name);
    wait_until(|| known_count() == 0).await.unwrap();
}
