//! Real processes: entries and engines are killed with SIGKILL in the middle of a trainer's step.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_api::trainer::{Group, Lot};
use pinereel_core::{Version, hash::Digest};
use pinereel_fakes::{
    child_process::Signal,
    cluster::{Cluster, taken_samples, wait_until},
    engine::text,
    trainer::Client,
};
use process_support::{
    TRAINER, check_versions, complete, count_decisions, count_regenerated, finish_trainer,
    long_prompt, options, print_elapsed, stream, wait_for_samples,
};
use std::time::{Duration, Instant};

/// Number of samples of a step's lot, as [`TRAINER_FLAGS`] set it.
const LOT_SIZE: u32 = 64;
/// Number of steps of a run, as [`TRAINER_FLAGS`] set it.
const STEPS: u64 = 3;
const TRAINER_FLAGS: [&str; 10] = [
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

/// Kills an entry after a fifth of the second step's samples, and lets the trainer finish.
async fn kill_entry_in_second_step(victim: usize) {
    let mut cluster = Cluster::start(options(3, 3, 1)).await.unwrap();
    let mut trainer = cluster.start_trainer(TRAINER, &TRAINER_FLAGS).unwrap();
    wait_for_samples(&trainer, 0, LOT_SIZE as usize).await;
    let step_start = Instant::now();
    wait_for_samples(&trainer, 1, LOT_SIZE as usize / 5).await;
    let assignment = ["\"place\"", "assigned", "-1\""];
    let has_groups = async || count_decisions(&cluster.entries[victim], &assignment) > 0;
    wait_until(has_groups)
        .await
        .expect("the victim runs groups of the step");
    // Slow samples are generated twice on purpose, so the count may not be 0.
    let before = count_regenerated(&cluster.attempts().await.unwrap());
    let kill_time = Instant::now();
    let taken = taken_samples(&trainer)
        .iter()
        .filter(|t| t.step == 1)
        .count();
    cluster.entries[victim].child.signal(Signal::KILL).unwrap();
    wait_for_samples(&trainer, 1, taken + 1).await;
    print_elapsed(
        &format!("entry {victim}: first sample after the kill"),
        kill_time,
    );
    wait_for_samples(&trainer, 1, LOT_SIZE as usize).await;
    print_elapsed(
        &format!("entry {victim}: rest of the step after the kill"),
        kill_time,
    );
    print_elapsed("whole step", step_start);
    let samples = finish_trainer(&mut trainer, STEPS, LOT_SIZE).await;
    let attempts = cluster.attempts().await.unwrap();
    check_versions(&samples, &attempts);
    let after = count_regenerated(&attempts) - before;
    println!(
        "measured: entry {victim}: {after} of {LOT_SIZE} samples regenerated after the kill, {before} before it"
    );
    // Only groups of the dead entry are generated again: at most half of the lot, with a margin of 8.
    assert!(after <= LOT_SIZE as usize / 2 + 8, "{after}");
}

#[actix_rt::test]
async fn the_trainer_gets_each_sample_once_when_an_entry_that_runs_groups_is_killed() {
    kill_entry_in_second_step(1).await;
}

#[actix_rt::test]
async fn the_trainer_gets_each_sample_once_when_the_entry_that_it_calls_is_killed() {
    kill_entry_in_second_step(0).await;
}

#[actix_rt::test]
async fn samples_and_streams_are_whole_when_their_engine_is_killed() {
    let mut cluster = Cluster::start(options(2, 3, 1)).await.unwrap();
    let mut trainer = cluster.start_trainer(TRAINER, &TRAINER_FLAGS).unwrap();
    wait_for_samples(&trainer, 0, LOT_SIZE as usize / 5).await;
    let prompt = long_prompt(600);
    let callers = cluster.entries[0].callers;
    let stream_prompt = prompt.clone();
    let streaming = actix_rt::spawn(async move { stream(callers, &stream_prompt, 600).await });
    let digest = Digest::of(prompt.as_bytes()).to_string();
    let mut victim = None;
    let stream_started = async || {
        for (index, engine) in cluster.engines.iter().enumerate() {
            let path = "/record";
            type Records =
                std::collections::BTreeMap<String, pinereel_fakes::engine::types::Record>;
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
    wait_until(stream_started).await.unwrap();
    let mut attempts = cluster.attempts().await.unwrap();
    let mut engine = cluster.engines.remove(victim.unwrap());
    let kill_time = Instant::now();
    engine.child.signal(Signal::KILL).unwrap();
    // Live requests succeed right after the kill.
    for number in 0..4 {
        let prompt = format!("after the kill {number}");
        let (text, _) = complete(cluster.entries[number % 2].callers, &prompt)
            .await
            .unwrap();
        assert_eq!(text, text::completion(&prompt, 0, 40));
    }
    let (_, text) = streaming.await.unwrap().unwrap();
    assert_eq!(text, text::completion(&prompt, 0, 600));
    print_elapsed("stream whole after the kill of its engine", kill_time);
    let samples = finish_trainer(&mut trainer, STEPS, LOT_SIZE).await;
    print_elapsed("rest of three steps after the kill", kill_time);
    attempts.extend(cluster.attempts().await.unwrap());
    println!(
        "measured: {} samples regenerated",
        count_regenerated(&attempts)
    );
    assert!(samples.len() == (STEPS * u64::from(LOT_SIZE)) as usize);
    assert!(kill_time.elapsed() < Duration::from_secs(20));
}

#[actix_rt::test]
async fn a_restarted_trainer_with_its_saved_token_gets_only_the_missing_samples() {
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
    let (wait, retry_timeout) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut first = Client::new(entries[..1].to_vec(), retry_timeout);
    let mut saved = first.submit(lot).await.unwrap();
    let mut taken = 0;
    while taken < 8 {
        let samples = first.collect(&mut saved, Version(1), 4, wait).await;
        taken += samples.unwrap().len();
    }
    // These samples are sent to the trainer, which dies before it saves them.
    let mut unsaved = saved.clone();
    let mut unsaved_count = 0;
    while unsaved_count == 0 {
        let samples = first.collect(&mut unsaved, Version(1), 4, wait).await;
        unsaved_count = samples.unwrap().len();
    }
    drop(first);
    let mut second = Client::new(entries[1..].to_vec(), retry_timeout);
    while saved.missing() > 0 {
        let samples = second.collect(&mut saved, Version(1), 8, wait).await;
        taken += samples.unwrap().len();
    }
    let (duplicates, rejected) = (saved.duplicates, saved.rejected_responses);
    assert_eq!((taken, duplicates, rejected), (32, 0, 0));
}
