//! The subset that keeps an entry's state from growing with the fleet, and the watch on the
//! platform's list.

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

/// How many entries work with each engine.
fn covered(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for entry in &site.entries {
        for (_, endpoint) in entry.shared.endpoints.set().iter() {
            *counts.entry(endpoint.name.to_string()).or_default() += 1;
        }
    }
    counts
}

#[actix_rt::test]
async fn entries_keep_a_subset_and_every_engine_is_covered() {
    // Eight entries for eight engines, four engines each: two of the own zone, two of the other.
    let mut site = Site::start(options(8, 8, 4)).await.unwrap();
    let even = |site: &Site| covered(site).len() == 8 && covered(site).values().all(|n| *n == 4);
    wait_until(|| even(&site)).await.unwrap();
    // A leaving entry's engines go to others.
    let leaving = site.entries.remove(0);
    leaving.shared.drain.request_stop();
    leaving.run_until_drained().await;
    wait_until(|| even(&site)).await.unwrap();
}

#[actix_rt::test]
async fn rollout_reaches_engines_beyond_the_holders_subset() {
    let site = Site::start(options(8, 8, 4)).await.unwrap();
    let url = format!(
        "http://{}/v1/trainers/rewind/versions",
        site.caller_addresses()[0]
    );
    let body = Publish {
        version: Version(2),
    };
    let sent = awc::Client::default().post(url).send_json(&body).await;
    assert_eq!(sent.unwrap().status(), 200);
    let served = || {
        let entries = site.entries.iter();
        let views = entries.flat_map(|entry| {
            let set = entry.shared.endpoints.set();
            let versions: Vec<_> = set.iter().map(|(_, e)| e.version).collect();
            versions
        });
        let versions: Vec<_> = views.collect();
        versions.len() == 32 && versions.iter().all(|v| *v == Some(Version(2)))
    };
    wait_until(served).await.unwrap();
}

#[actix_rt::test]
async fn an_engine_that_starts_late_is_found_by_the_watch() {
    let site = Site::start(options(1, 1, 64)).await.unwrap();
    let known = || site.entries[0].shared.endpoints.set().iter().count();
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
    wait_until(|| known() == 2).await.unwrap();
    site.object_api.remove_instance("winder-lm-late");
    wait_until(|| known() == 1).await.unwrap();
    // Also after the watch's history was lost.
    site.object_api.set_faults(Faults {
        end_watches: Some(true),
        ..Default::default()
    });
    site.object_api.remove_instance(&first.name);
    wait_until(|| known() == 0).await.unwrap();
}
