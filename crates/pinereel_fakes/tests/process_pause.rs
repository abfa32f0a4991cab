//! Real processes: the holder of the rollout lease is paused until the lease has expired, and then
//! resumes. An order that it sends late must not change the engines' weights for long.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_core::Version;
use pinereel_fakes::{
    child_process::Signal,
    cluster::{self, Cluster, wait_until},
};
use process_support::{
    TRAINER, check_versions, complete, finish_trainer, options, print_elapsed, publish,
    rollout_lease, served_versions, wait_for_samples, wait_until_all_serve,
};
use serde_json::json;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum time for which an engine that ignores fencing may serve an older version after a late
/// order.
const MAX_CORRECTION_TIME: Duration = Duration::from_secs(3);

/// Starts a task that watches the engines' versions. The cell holds the longest time for which an
/// engine has served an older version than before.
fn watch_versions(cluster: &Cluster) -> (actix_rt::task::JoinHandle<()>, Rc<Cell<Duration>>) {
    let addresses: Vec<_> = cluster.engines.iter().map(|e| e.address).collect();
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let task_longest = Rc::clone(&longest);
    let task = actix_rt::spawn(async move {
        let mut newest = vec![Version(0); addresses.len()];
        let mut older_since = vec![None; addresses.len()];
        loop {
            for (index, address) in addresses.iter().enumerate() {
                type State = pinereel_api::engine::State;
                let Ok(state) = cluster::get_json::<State>(*address, "/v1/state").await else {
                    continue;
                };
                let Some(version) = state.version else {
                    continue;
                };
                if version >= newest[index] {
                    newest[index] = version;
                    older_since[index] = None;
                    continue;
                }
                let since = *older_since[index].get_or_insert_with(Instant::now);
                task_longest.set(task_longest.get().max(since.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    (task, longest)
}

/// Sends all engines an order with an old fencing token, as the former holder would have sent it.
/// Returns the status codes of the responses.
async fn send_late_order(cluster: &Cluster, fence: u64, version: u64) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for engine in &cluster.engines {
        let url = format!("http://{}/v1/orders", engine.address);
        let order = json!({ "fence": fence, "model": "wording", "version": version });
        let response = cluster::http_client().post(url).send_json(&order).await;
        statuses.push(response.unwrap().status());
    }
    statuses
}

/// Pauses the lease holder until another entry holds the lease, resumes it, and sends a late order.
async fn check_paused_holder(engines_check_fencing: bool) {
    let mut options = options(3, 3, 1);
    if !engines_check_fencing {
        options.engine_flags.push("--ignore-fencing");
    }
    let mut cluster = Cluster::start(options).await.unwrap();
    wait_until(async || rollout_lease(&cluster).await.is_some())
        .await
        .unwrap();
    publish(cluster.entries[0].callers, 2).await.unwrap();
    wait_until_all_serve(&cluster, 2).await;
    let (holder, fence) = rollout_lease(&cluster).await.unwrap();
    cluster.entries[holder].child.signal(Signal::STOP).unwrap();
    let pause_time = Instant::now();
    let other = cluster.entries[(holder + 1) % 3].callers;
    publish(other, 3).await.unwrap();
    wait_until_all_serve(&cluster, 3).await;
    print_elapsed("new weights at all engines, holder paused", pause_time);
    let (new_holder, new_fence) = rollout_lease(&cluster).await.unwrap();
    assert!(
        new_holder != holder && new_fence > fence,
        "{new_holder} {new_fence}"
    );
    // A trainer runs steps while the former holder resumes and the late order arrives.
    let flags = [
        "--steps",
        "4",
        "--groups",
        "4",
        "--samples",
        "8",
        "--max-tokens",
        "100",
        "--train-ms",
        "100",
        "--version",
        "3",
    ];
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    let (watch, longest) = watch_versions(&cluster);
    cluster.entries[holder].child.signal(Signal::CONT).unwrap();
    wait_for_samples(&trainer, 0, 4).await;
    let statuses = send_late_order(&cluster, fence, 2).await;
    let expected = if engines_check_fencing {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    assert!(
        statuses.iter().all(|status| *status == expected),
        "{statuses:?}"
    );
    let samples = finish_trainer(&mut trainer, 4, 32).await;
    let single_attempt = check_versions(&samples, &cluster.attempts().await.unwrap());
    wait_until_all_serve(&cluster, 7).await;
    watch.abort();
    println!(
        "measured: engines check fencing: {engines_check_fencing}; longest time with an older \
        version {:?}, {single_attempt} of {} samples in one attempt, {:?}",
        longest.get(),
        samples.len(),
        served_versions(&cluster).await
    );
    let allowed = if engines_check_fencing {
        Duration::ZERO
    } else {
        MAX_CORRECTION_TIME
    };
    assert!(longest.get() <= allowed, "{:?}", longest.get());
    // The former holder serves live requests as before.
    let entry = &cluster.entries[holder];
    wait_until(async || entry.is_ready().await).await.unwrap();
    complete(entry.callers, "awake").await.unwrap();
    let lease_writes: Vec<_> = cluster.history("leases").await.unwrap();
    let fences: Vec<_> = lease_writes
        .iter()
        .map(|r| r.change.value.as_ref().unwrap()["fence"].as_u64())
        .collect();
    assert!(fences.is_sorted());
}

#[actix_rt::test]
async fn a_paused_lease_holder_is_replaced_and_engines_that_check_fencing_refuse_its_late_order() {
    check_paused_holder(true).await;
}

#[actix_rt::test]
async fn a_late_order_of_a_replaced_holder_is_corrected_at_engines_that_ignore_fencing() {
    check_paused_holder(false).await;
}
