//! Real processes: the object API is down, slow, cut off from one entry, or loses answers.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_fakes::{
    cluster::{Cluster, taken_samples, wait_until},
    engine::text,
};
use process_support::{
    TRAINER, all_once, all_serve, complete, decisions, lease, measured, options, publish, taken,
    true_versions,
};
use serde_json::json;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Longest time of a live request in an outage; the same as without one.
const PROMPT: Duration = Duration::from_secs(2);

/// A live request at each entry, each whole and in time.
async fn live(cluster: &Cluster, word: &str) {
    for entry in &cluster.entries {
        let prompt = format!("{word} {}", entry.name);
        let start = Instant::now();
        let (answer, _) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(answer, text::whole(&prompt, 0, 40));
        assert!(start.elapsed() < PROMPT, "{word}: {:?}", start.elapsed());
    }
}

#[actix_rt::test]
async fn live_requests_and_a_lot_go_on_while_the_object_api_is_down_for_long() {
    let cluster = Cluster::start(options(2, 2, 1)).await.unwrap();
    wait_until(async || lease(&cluster).await.is_some())
        .await
        .unwrap();
    let flags = [
        "--steps",
        "3",
        "--groups",
        "4",
        "--samples",
        "8",
        "--max-tokens",
        "200",
    ];
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    taken(&trainer, 0, 32).await;
    taken(&trainer, 1, 4).await;
    cluster
        .set_object_api_faults(json!({ "outage_ms": 100_000 }))
        .await
        .unwrap();
    let down = Instant::now();
    // The lot that runs is delivered whole; the publish after it has to wait.
    taken(&trainer, 1, 32).await;
    let lost = async || {
        cluster
            .entries
            .iter()
            .any(|e| decisions(e, &["\"lease\"", "lost"]) > 0)
    };
    wait_until(lost).await.unwrap();
    measured("lease given up in the outage", down);
    live(&cluster, "outage").await;
    assert!(
        taken_samples(&trainer).iter().all(|t| t.step < 2),
        "a step began without its publish"
    );
    assert!(publish(cluster.entries[0].callers, 9).await.is_err());
    cluster.set_object_api_faults(json!({ "outage_ms": 0 })).await.unwrap();
    let back = Instant::now();
    let taken = all_once(&mut trainer, 3, 32).await;
    measured("end of the run after the outage", back);
    all_serve(&cluster, 4).await;
    measured("newest weights everywhere after the outage", back);
    true_versions(&taken, &cluster.attempts().await.unwrap());
    live(&cluster, "after").await;
}

#[actix_rt::test]
async fn everything_goes_on_while_the_object_api_is_slow() {
    let cluster = Cluster::start(options(2, 2, 1)).await.unwrap();
    wait_until(async || lease(&cluster).await.is_some())
        .await
        .unwrap();
    cluster
        .set_object_api_faults(json!({ "delay_ms": 1_000 }))
        .await
        .unwrap();
    let start = Instant::now();
    let flags = [
        "--steps",
        "2",
        "--groups",
        "4",
        "--samples",
        "4",
        "--max-tokens",
        "60",
        "--train-ms",
        "50",
    ];
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    live(&cluster, "slow").await;
    let taken = all_once(&mut trainer, 2, 16).await;
    measured("two steps, object API slow by 1 s", start);
    true_versions(&taken, &cluster.attempts().await.unwrap());
    all_serve(&cluster, 3).await;
    let holders = cluster.history("leases").await.unwrap();
    let fences: BTreeSet<_> = holders
        .iter()
        .map(|r| r.change.value.as_ref().unwrap()["fence"].as_u64())
        .collect();
    assert_eq!(fences.len(), 1, "slowness alone cost the lease");
}

#[actix_rt::test]
async fn an_entry_that_alone_cannot_reach_the_object_api_goes_on() {
    let cluster = Cluster::start(options(3, 2, 1)).await.unwrap();
    wait_until(async || lease(&cluster).await.is_some())
        .await
        .unwrap();
    let (holder, fence) = lease(&cluster).await.unwrap();
    let cut = &cluster.entries[holder];
    cluster
        .set_object_api_faults(json!({ "cut_agents": [cut.name] }))
        .await
        .unwrap();
    let start = Instant::now();
    let flags = [
        "--steps",
        "2",
        "--groups",
        "4",
        "--samples",
        "8",
        "--max-tokens",
        "100",
        "--train-ms",
        "50",
    ];
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    live(&cluster, "cut").await;
    let taken = all_once(&mut trainer, 2, 32).await;
    all_serve(&cluster, 3).await;
    measured("newest weights everywhere, holder cut off", start);
    // The cut holder may roll out until its lease lapses; then the next one has it.
    let moved = async || {
        let (next, higher) = lease(&cluster).await.unwrap_or((holder, fence));
        next != holder && higher > fence
    };
    wait_until(moved).await.unwrap();
    true_versions(&taken, &cluster.attempts().await.unwrap());
    // It refuses what it cannot do, and serves the rest.
    assert!(publish(cut.callers, 4).await.is_err());
    live(&cluster, "still cut").await;
    cluster
        .set_object_api_faults(json!({ "cut_agents": [] }))
        .await
        .unwrap();
    let back = Instant::now();
    wait_until(async || publish(cut.callers, 4).await.is_ok())
        .await
        .unwrap();
    measured("publish through the entry that was cut off", back);
    all_serve(&cluster, 4).await;
}

#[actix_rt::test]
async fn a_lost_answer_to_a_lease_or_a_publish_changes_nothing() {
    let cluster = Cluster::start(options(2, 2, 0)).await.unwrap();
    wait_until(async || lease(&cluster).await.is_some())
        .await
        .unwrap();
    let (holder, fence) = lease(&cluster).await.unwrap();
    let faults = json!({ "lose_write_answers": 1, "lose_kind": "leases" });
    let written = cluster.history("leases").await.unwrap().len();
    cluster.set_object_api_faults(faults).await.unwrap();
    // The lost one and the renewal after it.
    wait_until(async || cluster.history("leases").await.unwrap().len() >= written + 2)
        .await
        .unwrap();
    assert_eq!(lease(&cluster).await, Some((holder, fence)));
    assert_eq!(
        decisions(&cluster.entries[holder], &["\"lease\"", "lost"]),
        0
    );
    for version in 2..=4 {
        let faults = json!({ "lose_write_answers": 1, "lose_kind": "weights" });
        cluster.set_object_api_faults(faults).await.unwrap();
        let entry = &cluster.entries[version as usize % 2];
        publish(entry.callers, version).await.unwrap();
        all_serve(&cluster, version).await;
    }
    let history = cluster.history("weights").await.unwrap();
    let versions = history.iter().map(|r| {
        r.change.value.as_ref().unwrap()["version"]
            .as_u64()
            .unwrap()
    });
    assert!(versions.eq(2..=4), "{history:?}");
}
