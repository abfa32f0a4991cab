//! A runner that stops passes its finished samples on; one that dies costs only its own groups.

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

const GROUPS: u32 = 12;
const SAMPLES: u32 = 4;
const WAIT: Duration = Duration::from_secs(20);

async fn site() -> Site {
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
        samples: SAMPLES,
        max_tokens: 30,
    };
    Lot {
        id: "lot-1".into(),
        trainer: "dispatch".into(),
        step: 1,
        version: Version(1),
        groups: (0..GROUPS).map(group).collect(),
        deadline_ms: 60_000,
    }
}

/// Submits the lot through the last entry and waits until every sample is made somewhere.
async fn submit(site: &Site, client: &mut Client) -> PartialLot {
    let partial_lot = client.submit(lot()).await.unwrap();
    wait_until(|| finished(site) >= (GROUPS * SAMPLES) as usize)
        .await
        .unwrap();
    partial_lot
}

/// Attempts that the engines ran to their end.
fn finished(site: &Site) -> usize {
    let records = site.engines.iter().map(|engine| engine.handle.records());
    records
        .map(|record| record.values().filter(|r| r.finished.is_some()).count())
        .sum()
}

async fn collect(client: &mut Client, partial_lot: &mut PartialLot) -> usize {
    let mut taken = 0;
    while partial_lot.missing() > 0 {
        let samples = client
            .collect(partial_lot, Version(1), 16, Duration::from_secs(2))
            .await;
        taken += samples.unwrap().len();
    }
    taken
}

fn client(site: &Site) -> Client {
    Client::new(vec![site.caller_addresses().pop().unwrap()], WAIT)
}

#[actix_rt::test]
async fn nothing_is_made_again_when_a_runner_drains() {
    let mut site = site().await;
    let mut client = client(&site);
    let mut partial_lot = submit(&site, &mut client).await;
    let leaving = site.entries.remove(0);
    leaving.shared.drain.request_stop();
    leaving.run_until_drained().await;
    let taken = collect(&mut client, &mut partial_lot).await;
    assert_eq!(taken, (GROUPS * SAMPLES) as usize);
    assert_eq!(finished(&site), taken, "no sample was made twice");
}

#[actix_rt::test]
async fn a_dead_runner_costs_only_its_own_groups() {
    let mut site = site().await;
    let mut client = client(&site);
    let mut partial_lot = submit(&site, &mut client).await;
    let dead = site.entries.remove(0);
    dead.callers.close();
    dead.shared.mesh.close();
    let taken = collect(&mut client, &mut partial_lot).await;
    let made_again = finished(&site) - taken;
    assert_eq!(taken, (GROUPS * SAMPLES) as usize);
    assert!(
        made_again > 0 && made_again < taken,
        "{made_again} of {taken}"
    );
}
