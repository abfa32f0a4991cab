//! Real processes: kill -9 of entries and engines in mid-step.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_api::trainer::{Group, Lot};
use pinereel_core::{Version, hash::Digest};
use pinereel_fakes::{
    cluster::{Cluster, taken_samples, wait_until},
    engine::text,
    child_process::Signal,
    trainer::Client,
};
use process_support::{
    TRAINER, all_once, complete, decisions, long_prompt, measured, options, remade, stream, taken,
    true_versions,
};
use std::time::{Duration, Instant};

/// Samples of a lot here.
const LOT: u32 = 64;
/// Steps of a run here.
const STEPS: u64 = 3;
const FLAGS: [&str; 10] = [
    "--steps",
    "3",
    "--groups",
    "8",
    "--samples",
    "8",
    "--max-tokens",
    "200",
    "--train-ms",
    "50",
];

/// Kills an entry when a fifth of the second step is there, and lets the trainer finish.
async fn kill_entry(victim: usize) {
    let mut cluster = Cluster::start(options(3, 3, 1)).await.unwrap();
    let mut trainer = cluster.start_trainer(TRAINER, &FLAGS).unwrap();
    taken(&trainer, 0, LOT as usize).await;
    let first = Instant::now();
    taken(&trainer, 1, LOT as usize / 5).await;
    let runs = ["\"place\"", "assigned", "-1\""];
    let ran = async || decisions(&cluster.entries[victim], &runs) > 0;
    wait_until(ran)
        .await
        .expect("the victim runs groups of the step");
    // Duplicates of stragglers are made on purpose.
    let before = remade(&cluster.attempts().await.unwrap());
    let killed = Instant::now();
    let had = taken_samples(&trainer).iter().filter(|t| t.step == 1).count();
    cluster.entries[victim].child.signal(Signal::KILL).unwrap();
    taken(&trainer, 1, had + 1).await;
    measured(
        &format!("entry {victim}: first sample after the kill"),
        killed,
    );
    taken(&trainer, 1, LOT as usize).await;
    measured(
        &format!("entry {victim}: rest of the step after the kill"),
        killed,
    );
    measured("whole step", first);
    let taken = all_once(&mut trainer, STEPS, LOT).await;
    let attempts = cluster.attempts().await.unwrap();
    true_versions(&taken, &attempts);
    let again = remade(&attempts) - before;
    println!(
        "measured: entry {victim}: {again} of {LOT} samples made again after the kill, {before} before it"
    );
    // No more than the groups of the dead entry, half of the lot at the very most.
    assert!(again <= LOT as usize / 2 + 8, "{again}");
}

#[actix_rt::test]
async fn the_trainer_gets_each_sample_once_when_a_runner_is_killed() {
    kill_entry(1).await;
}

#[actix_rt::test]
async fn the_trainer_gets_each_sample_once_when_its_entry_is_killed() {
    kill_entry(0).await;
}

#[actix_rt::test]
async fn samples_and_streams_are_whole_when_their_engine_is_killed() {
    let mut cluster = Cluster::start(options(2, 3, 1)).await.unwrap();
    let mut trainer = cluster.start_trainer(TRAINER, &FLAGS).unwrap();
    taken(&trainer, 0, LOT as usize / 5).await;
    let prompt = long_prompt(600);
    let callers = cluster.entries[0].callers;
    let long = prompt.clone();
    let running = actix_rt::spawn(async move { stream(callers, &long, 600).await });
    let digest = Digest::of(prompt.as_bytes()).to_string();
    let mut victim = None;
    let begun = async || {
        for (index, engine) in cluster.engines.iter().enumerate() {
            let path = "/record";
            type Records =
                std::collections::BTreeMap<String, pinereel_fakes::engine::model::Record>;
            let records: Records = pinereel_fakes::cluster::get_json(engine.address, path)
                .await
                .unwrap();
            if records
                .values()
                .any(|r| r.prompt == digest && r.tokens > 20)
            {
                victim = Some(index);
            }
        }
        victim.is_some()
    };
    wait_until(begun).await.unwrap();
    let mut attempts = cluster.attempts().await.unwrap();
    let mut engine = cluster.engines.remove(victim.unwrap());
    let killed = Instant::now();
    engine.child.signal(Signal::KILL).unwrap();
    // Live callers go on at once.
    for number in 0..4 {
        let prompt = format!("after the kill {number}");
        let (text, _) = complete(cluster.entries[number % 2].callers, &prompt)
            .await
            .unwrap();
        assert_eq!(text, text::whole(&prompt, 0, 40));
    }
    let (_, text) = running.await.unwrap().unwrap();
    assert_eq!(text, text::whole(&prompt, 0, 600));
    measured("stream whole after its engine's kill", killed);
    let taken = all_once(&mut trainer, STEPS, LOT).await;
    measured("the rest of three steps after the kill", killed);
    attempts.extend(cluster.attempts().await.unwrap());
    println!("measured: {} samples made again", remade(&attempts));
    assert!(taken.len() == (STEPS * u64::from(LOT)) as usize);
    assert!(killed.elapsed() < Duration::from_secs(20));
}

#[actix_rt::test]
async fn a_trainer_that_comes_back_with_its_token_gets_just_the_rest() {
    let cluster = Cluster::start(options(2, 2, 1)).await.unwrap();
    let entries: Vec<_> = cluster
        .entries
        .iter()
        .map(|e| e.callers.to_string())
        .collect();
    let group = |number| Group {
        prompt: format!("wording of case {number}"),
        samples: 8,
        max_tokens: 100,
    };
    let lot = Lot {
        id: "lot-of-two-lives".into(),
        trainer: TRAINER.into(),
        step: 0,
        version: Version(1),
        groups: (0..4).map(group).collect(),
        deadline_ms: 30_000,
    };
    let (wait, patience) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut first = Client::new(entries[..1].to_vec(), patience);
    let mut kept = first.submit(lot).await.unwrap();
    let mut taken = 0;
    while taken < 8 {
        let some = first.collect(&mut kept, Version(1), 4, wait).await;
        taken += some.unwrap().len();
    }
    // An answer that dies with the trainer: it was sent, and nobody took it.
    let mut dying = kept.clone();
    let mut died = 0;
    while died == 0 {
        let some = first.collect(&mut dying, Version(1), 4, wait).await;
        died = some.unwrap().len();
    }
    drop(first);
    let mut second = Client::new(entries[1..].to_vec(), patience);
    while kept.missing() > 0 {
        let some = second.collect(&mut kept, Version(1), 8, wait).await;
        taken += some.unwrap().len();
    }
    assert_eq!((taken, kept.duplicates, kept.rejected_responses), (32, 0, 0));
}
