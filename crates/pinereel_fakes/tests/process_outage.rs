//! Real processes: the object API is down or slow, is unreachable for one entry, or loses responses.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_fakes::{
    cluster::{Cluster, taken_samples, wait_until},
    engine::text,
};
use process_support::{
    TRAINER, check_versions, complete, count_decisions, finish_trainer, options, print_elapsed,
    publish, rollout_lease, wait_for_samples, wait_until_all_serve,
};
use serde_json::json;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Maximum time of a live request, the same during an outage as without one.
const MAX_LIVE_TIME: Duration = Duration::from_secs(2);

/// Sends a live request to each entry and checks that the text is whole and in time. `label` makes
/// the prompts differ between calls.
async fn check_live_requests(cluster: &Cluster, label: &str) {
    for entry in &cluster.entries {
        let prompt = format!("{label} {}", entry.name);
        let start = Instant::now();
        let (text, _) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(text, text::completion(&prompt, 0, 40));
        let elapsed = start.elapsed();
        assert!(elapsed < MAX_LIVE_TIME, "{label}: {elapsed:?}");
    }
}

#[actix_rt::test]
async fn live_requests_and_the_current_lot_continue_during_a_long_object_api_outage() {
    let cluster = Cluster::start(options(2, 2, 1)).await.unwrap();
    wait_until(async || rollout_lease(&cluster).await.is_some())
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
    wait_for_samples(&trainer, 0, 32).await;
    wait_for_samples(&trainer, 1, 4).await;
    cluster
        .set_object_api_faults(json!({ "outage_ms": 100_000 }))
        .await
        .unwrap();
    let outage_start = Instant::now();
    // The current lot is delivered whole. Publishing the next version has to wait for the outage's end.
    wait_for_samples(&trainer, 1, 32).await;
    let lease_lost = async || {
        cluster
            .entries
            .iter()
            .any(|e| count_decisions(e, &["\"lease\"", "lost"]) > 0)
    };
    wait_until(lease_lost).await.unwrap();
    print_elapsed("lease given up in the outage", outage_start);
    check_live_requests(&cluster, "outage").await;
    assert!(
        taken_samples(&trainer).iter().all(|s| s.step < 2),
        "a step began before its version was published"
    );
    assert!(publish(cluster.entries[0].callers, 9).await.is_err());
    cluster
        .set_object_api_faults(json!({ "outage_ms": 0 }))
        .await
        .unwrap();
    let outage_end = Instant::now();
    let samples = finish_trainer(&mut trainer, 3, 32).await;
    print_elapsed("end of the run after the outage", outage_end);
    wait_until_all_serve(&cluster, 4).await;
    print_elapsed("newest weights at all engines after the outage", outage_end);
    check_versions(&samples, &cluster.attempts().await.unwrap());
    check_live_requests(&cluster, "after").await;
}

#[actix_rt::test]
async fn steps_and_live_requests_continue_and_the_lease_is_kept_while_the_object_api_is_slow() {
    let cluster = Cluster::start(options(2, 2, 1)).await.unwrap();
    wait_until(async || rollout_lease(&cluster).await.is_some())
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
    check_live_requests(&cluster, "slow").await;
    let samples = finish_trainer(&mut trainer, 2, 16).await;
    print_elapsed("two steps, object API slow by 1 s", start);
    check_versions(&samples, &cluster.attempts().await.unwrap());
    wait_until_all_serve(&cluster, 3).await;
    let lease_writes = cluster.history("leases").await.unwrap();
    let fences: BTreeSet<_> = lease_writes
        .iter()
        .map(|r| r.change.value.as_ref().unwrap()["fence"].as_u64())
        .collect();
    assert_eq!(fences.len(), 1, "the lease was lost through slowness alone");
}

#[actix_rt::test]
async fn a_lease_holder_cut_off_from_the_object_api_is_replaced_and_serves_live_requests() {
    let cluster = Cluster::start(options(3, 2, 1)).await.unwrap();
    wait_until(async || rollout_lease(&cluster).await.is_some())
        .await
        .unwrap();
    let (holder, fence) = rollout_lease(&cluster).await.unwrap();
    let cut_off = &cluster.entries[holder];
    cluster
        .set_object_api_faults(json!({ "cut_agents": [cut_off.name] }))
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
    check_live_requests(&cluster, "cut").await;
    let samples = finish_trainer(&mut trainer, 2, 32).await;
    wait_until_all_serve(&cluster, 3).await;
    print_elapsed("newest weights at all engines, holder cut off", start);
    // The holder may roll out weights until its lease expires. Then another entry acquires the lease.
    let moved = async || {
        let (new_holder, new_fence) = rollout_lease(&cluster).await.unwrap_or((holder, fence));
        new_holder != holder && new_fence > fence
    };
    wait_until(moved).await.unwrap();
    check_versions(&samples, &cluster.attempts().await.unwrap());
    // The entry refuses a publish, which needs the object API, and serves live requests.
    assert!(publish(cut_off.callers, 4).await.is_err());
    check_live_requests(&cluster, "still cut").await;
    cluster
        .set_object_api_faults(json!({ "cut_agents": [] }))
        .await
        .unwrap();
    let fault_end = Instant::now();
    wait_until(async || publish(cut_off.callers, 4).await.is_ok())
        .await
        .unwrap();
    print_elapsed("publish through the entry that was cut off", fault_end);
    wait_until_all_serve(&cluster, 4).await;
}

#[actix_rt::test]
async fn leases_and_publishes_survive_a_lost_response_to_their_write() {
    let cluster = Cluster::start(options(2, 2, 0)).await.unwrap();
    wait_until(async || rollout_lease(&cluster).await.is_some())
        .await
        .unwrap();
    let (holder, fence) = rollout_lease(&cluster).await.unwrap();
    let faults = json!({ "lose_write_answers": 1, "lose_kind": "leases" });
    let write_count = cluster.history("leases").await.unwrap().len();
    cluster.set_object_api_faults(faults).await.unwrap();
    // Waits for the renewal whose response is lost and for the next one.
    wait_until(async || cluster.history("leases").await.unwrap().len() >= write_count + 2)
        .await
        .unwrap();
    assert_eq!(rollout_lease(&cluster).await, Some((holder, fence)));
    assert_eq!(
        count_decisions(&cluster.entries[holder], &["\"lease\"", "lost"]),
        0
    );
    for version in 2..=4 {
        let faults = json!({ "lose_write_answers": 1, "lose_kind": "weights" });
        cluster.set_object_api_faults(faults).await.unwrap();
        let entry = &cluster.entries[version as usize % 2];
        publish(entry.callers, version).await.unwrap();
        wait_until_all_serve(&cluster, version).await;
    }
    let history = cluster.history("weights").await.unwrap();
    let versions = history.iter().map(|r| {
        r.change.value.as_ref().unwrap()["version"]
            .as_u64()
            .unwrap()
    });
    assert!(versions.eq(2..=4), "{history:?}");
}
