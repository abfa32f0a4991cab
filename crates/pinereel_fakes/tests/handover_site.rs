//! Handover of samples: a lot runner that drains hands its finished samples over, and after the
//! death of a runner only the samples of its groups are generated again.

#![allow(clippy::unwrap_used)]

use pinereel_api::trainer::{Group, Lot};
use pinereel_core::{Version, config::Document};
use pinereel_fakes::{
    engine::batch,
    site::{Options, Site, wait_until},
    trainer::{Client, PartialLot},
};
use serde_json::json;
use std::time::Duration;

const GROUP_COUNT: u32 = 12;
const SAMPLES_PER_GROUP: u32 = 4;
/// Time for which the trainer client retries a call.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_site() -> Site {
    let document: Document = serde_json::from_value(json!({
        "pools": { "draft-llm": { "kind": "engine", "model": "wording" } },
        "trainers": { "dispatch": { "pool": "draft-llm", "bound": 2 } },
    }))
    .unwrap();
    let options = Options {
        zones: vec![
            "toledo-hall".into(),
            "erie-hall".into(),
            "detroit-hall".into(),
        ],
        entry_count: 3,
        engine_pools: vec![("draft-llm".into(), 3)],
        batch: batch::Options {
            tokens_per_second: 2_000.0,
            ..batch::Options::default()
        },
        service_pools: Vec::new(),
        document,
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n"
            .into(),
    };
    Site::start(options).await.unwrap()
}

fn lot() -> Lot {
    let group = |index| Group {
        prompt: format!("wording of group {index}"),
        samples: SAMPLES_PER_GROUP,
        max_tokens: 30,
    };
    Lot {
        id: "lot-1".into(),
        trainer: "dispatch".into(),
        step: 1,
        version: Version(1),
        groups: (0..GROUP_COUNT).map(group).collect(),
        deadline_ms: 60_000,
    }
}

/// Submits the lot and waits until the engines have generated all of its samples.
async fn submit_and_wait_until_generated(site: &Site, client: &mut Client) -> PartialLot {
    let partial_lot = client.submit(lot()).await.unwrap();
    wait_until(|| finished_attempts(site) >= (GROUP_COUNT * SAMPLES_PER_GROUP) as usize)
        .await
        .unwrap();
    partial_lot
}

/// Number of attempts that the engines have finished.
fn finished_attempts(site: &Site) -> usize {
    let records = site.engines.iter().map(|engine| engine.handle.records());
    records
        .map(|record| record.values().filter(|r| r.finished.is_some()).count())
        .sum()
}

/// Collects the samples that are missing in the lot; returns their number.
async fn collect_all(client: &mut Client, partial_lot: &mut PartialLot) -> usize {
    let mut collected = 0;
    while partial_lot.missing() > 0 {
        let samples = client
            .collect(partial_lot, Version(1), 16, Duration::from_secs(2))
            .await;
        collected += samples.unwrap().len();
    }
    collected
}

/// A client that uses the last entry only.
fn client(site: &Site) -> Client {
    Client::new(vec![site.caller_addresses().pop().unwrap()], RETRY_TIMEOUT)
}

#[actix_rt::test]
async fn no_sample_is_generated_again_after_a_runner_drains() {
    let mut site = start_site().await;
    let mut client = client(&site);
    let mut partial_lot = submit_and_wait_until_generated(&site, &mut client).await;
    let leaving = site.entries.remove(0);
    leaving.shared.drain.request_stop();
    leaving.run_until_drained().await;
    let collected = collect_all(&mut client, &mut partial_lot).await;
    assert_eq!(collected, (GROUP_COUNT * SAMPLES_PER_GROUP) as usize);
    assert_eq!(
        finished_attempts(&site),
        collected,
        "a sample was generated twice"
    );
}

#[actix_rt::test]
async fn only_samples_of_a_dead_runner_are_generated_again() {
    let mut site = start_site().await;
    let mut client = client(&site);
    let mut partial_lot = submit_and_wait_until_generated(&site, &mut client).await;
    let dead = site.entries.remove(0);
    dead.callers.close();
    dead.shared.mesh.close();
    let collected = collect_all(&mut client, &mut partial_lot).await;
    let regenerated = finished_attempts(&site) - collected;
    assert_eq!(collected, (GROUP_COUNT * SAMPLES_PER_GROUP) as usize);
    assert!(
        regenerated > 0 && regenerated < collected,
        "{regenerated} of {collected} samples were generated again"
    );
}
