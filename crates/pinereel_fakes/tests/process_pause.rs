//! Real processes: the holder of the rollout lease is paused past its lease, and wakes up.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_core::Version;
use pinereel_fakes::{
    cluster::{self, Cluster, wait_until},
    child_process::Signal,
};
use process_support::{
    TRAINER, all_once, all_serve, complete, lease, measured, options, publish, served, taken,
    true_versions,
};
use serde_json::json;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest time that an engine which ignores fencing may serve what a late order made it load.
const CORRECTION: Duration = Duration::from_secs(3);

/// Watches the engines' versions; notes when one goes back and until when.
fn watch(cluster: &Cluster) -> (actix_rt::task::JoinHandle<()>, Rc<Cell<Duration>>) {
    let addresses: Vec<_> = cluster.engines.iter().map(|e| e.address).collect();
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let found = Rc::clone(&longest);
    let task = actix_rt::spawn(async move {
        let mut newest = vec![Version(0); addresses.len()];
        let mut back = vec![None; addresses.len()];
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
                    back[index] = None;
                    continue;
                }
                let since = *back[index].get_or_insert_with(Instant::now);
                found.set(found.get().max(since.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    (task, longest)
}

/// The order that the paused holder still had in hand, with its fencing token.
async fn late_order(cluster: &Cluster, fence: u64, version: u64) -> Vec<StatusCode> {
    let mut answers = Vec::new();
    for engine in &cluster.engines {
        let url = format!("http://{}/v1/orders", engine.address);
        let order = json!({ "fence": fence, "model": "wording", "version": version });
        let sent = cluster::http_client().post(url).send_json(&order).await.unwrap();
        answers.push(sent.status());
    }
    answers
}

async fn pause_the_holder(fenced: bool) {
    let mut options = options(3, 3, 1);
    if !fenced {
        options.engine_flags.push("--ignore-fencing");
    }
    let mut cluster = Cluster::start(options).await.unwrap();
    wait_until(async || lease(&cluster).await.is_some())
        .await
        .unwrap();
    publish(cluster.entries[0].callers, 2).await.unwrap();
    all_serve(&cluster, 2).await;
    let (holder, fence) = lease(&cluster).await.unwrap();
    cluster.entries[holder].child.signal(Signal::STOP).unwrap();
    let paused = Instant::now();
    let other = cluster.entries[(holder + 1) % 3].callers;
    publish(other, 3).await.unwrap();
    all_serve(&cluster, 3).await;
    measured("new weights everywhere, holder paused", paused);
    let (next, higher) = lease(&cluster).await.unwrap();
    assert!(next != holder && higher > fence, "{next} {higher}");
    // Live and lots go on while the paused one wakes up and acts late.
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
    let (watch, longest) = watch(&cluster);
    cluster.entries[holder].child.signal(Signal::CONT).unwrap();
    taken(&trainer, 0, 4).await;
    let answers = late_order(&cluster, fence, 2).await;
    let expected = if fenced {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    assert!(
        answers.iter().all(|answer| *answer == expected),
        "{answers:?}"
    );
    let taken = all_once(&mut trainer, 4, 32).await;
    let single = true_versions(&taken, &cluster.attempts().await.unwrap());
    all_serve(&cluster, 7).await;
    watch.abort();
    println!(
        "measured: fenced {fenced}: longest time back {:?}, {single} of {} samples in one \
        attempt, {:?}",
        longest.get(),
        taken.len(),
        served(&cluster).await
    );
    let allowed = if fenced { Duration::ZERO } else { CORRECTION };
    assert!(longest.get() <= allowed, "{:?}", longest.get());
    // The one that woke up takes part as before.
    let entry = &cluster.entries[holder];
    wait_until(async || entry.is_ready().await).await.unwrap();
    complete(entry.callers, "awake").await.unwrap();
    let fences: Vec<_> = cluster.history("leases").await.unwrap();
    let fences: Vec<_> = fences
        .iter()
        .map(|r| r.change.value.as_ref().unwrap()["fence"].as_u64())
        .collect();
    assert!(fences.is_sorted());
}

#[actix_rt::test]
async fn a_paused_holder_is_replaced_where_engines_check_fencing() {
    pause_the_holder(true).await;
}

#[actix_rt::test]
async fn a_late_order_is_corrected_where_engines_ignore_fencing() {
    pause_the_holder(false).await;
}
