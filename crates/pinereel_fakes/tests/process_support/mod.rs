//! What the tests with real processes have in common: the site, callers, oracles.

#![allow(clippy::unwrap_used, dead_code)]

use awc::http::StatusCode;
use futures_util::TryStreamExt as _;
use pinereel_core::{Version, hash::Digest};
use pinereel_fakes::{
    cluster::{self, Cluster, Options, taken_samples, wait_until},
    engine::{batch, text},
    child_process::Child,
    trainer::{Report, step::TakenSample},
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The pool of engines.
pub const ENGINES: &str = "draft-llm";
/// The pool of plain services.
pub const SERVICES: &str = "orders-app";
/// The trainer.
pub const TRAINER: &str = "dispatch";
/// Longest wait for a process's line.
pub const LONG: Duration = Duration::from_secs(30);

/// A site of so many entries, engines and services.
pub fn options(entries: usize, engines: usize, services: usize) -> Options {
    let document = json!({
        "pools": {
            ENGINES: { "kind": "engine", "model": "wording", "slots": 16 },
            SERVICES: { "kind": "service", "non_idempotent": ["POST /orders"] },
        },
        "trainers": { TRAINER: { "pool": ENGINES, "bound": 1, "scorer": SERVICES } },
    });
    Options {
        fakes_binary: env!("CARGO_BIN_EXE_pinereel-fakes").into(),
        entry_binary: None,
        zones: vec!["toledo-hall".into(), "erie-hall".into()],
        entry_count: entries,
        engine_pool: (ENGINES.into(), engines),
        engine_flags: vec![
            "--tokens-per-second",
            "300",
            "--swap-ms",
            "100",
            "--warm-up-ms",
            "50",
        ],
        service_pool: (SERVICES.into(), services),
        instance_list_lag: Duration::from_millis(50),
        document: serde_json::from_value(document).unwrap(),
        extra_settings: "[drain]\nbalancer_lag = 1s\nlongest = 20s\n".into(),
    }
}

/// A prompt whose completion with seed 0 is of just `tokens` tokens or more.
pub fn long_prompt(tokens: u32) -> String {
    let prompts = (0..).map(|number| format!("status of lacquer slot {number}"));
    let mut long = prompts.filter(|prompt| text::natural_length(prompt, 0) >= tokens);
    long.next().unwrap()
}

/// One completion; its text and the versions that it names.
pub async fn complete(entry: SocketAddr, prompt: &str) -> Result<(String, Value), String> {
    let request = json!({ "model": ENGINES, "prompt": prompt, "max_tokens": 40 });
    let url = format!("http://{entry}/v1/completions");
    let sent = cluster::http_client().post(url).send_json(&request).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    let status = response.status();
    let answer: Value = response.json().await.map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("{status}: {answer}"));
    }
    let text = answer["choices"][0]["text"].as_str().unwrap().to_owned();
    Ok((text, answer["versions"].clone()))
}

/// One streamed completion, read to its end; the request id and the text, if it is whole.
pub async fn stream(entry: SocketAddr, prompt: &str, max: u32) -> Result<(String, String), String> {
    let request = json!({ "model": ENGINES, "prompt": prompt, "max_tokens": max, "stream": true });
    let url = format!("http://{entry}/v1/completions");
    let sent = cluster::http_client().post(url).send_json(&request).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        let problem = response.body().await.map_err(|e| e.to_string())?;
        return Err(String::from_utf8_lossy(&problem).into_owned());
    }
    let id = response.headers().get("x-request-id").unwrap();
    let id = id.to_str().unwrap().to_owned();
    let parts = response.into_stream().map_err(|e| e.to_string());
    let body: Vec<u8> = parts.map_ok(|part| part.to_vec()).try_concat().await?;
    let body = String::from_utf8(body).unwrap();
    let Some(events) = body.strip_suffix("data: [DONE]\n\n") else {
        return Err(format!("no end: {}", body.len()));
    };
    let events = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let text: String = events
        .map(|event| serde_json::from_str::<Value>(event).unwrap())
        .map(|event| event["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    if text == text::whole(prompt, 0, max) {
        Ok((id, text))
    } else {
        Err("not the whole text".into())
    }
}

/// Books an order; the problem if it was not booked.
pub async fn order(entry: SocketAddr, body: String) -> Result<(), String> {
    let url = format!("http://{entry}/services/{SERVICES}/orders");
    let sent = cluster::http_client().post(url).send_body(body).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    let answer = response.body().await.map_err(|e| e.to_string())?;
    if response.status() == StatusCode::OK {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&answer).into_owned())
}

/// The report that a trainer prints at its end.
pub fn report(trainer: &Child) -> Report {
    let lines = trainer.lines();
    let last = lines.last().expect("a trainer prints its report");
    serde_json::from_str(last).unwrap_or_else(|_| panic!("{last}"))
}

/// Waits for the trainer's end and checks it: every sample of every step once, whole and within
/// the bound. Gives the samples.
pub async fn all_once(trainer: &mut Child, steps: u64, lot: u32) -> Vec<TakenSample> {
    let well = cluster::wait_for_exit(trainer).await.unwrap();
    let report = report(trainer);
    assert!(well && report.is_valid(), "{report:?}");
    let taken = taken_samples(trainer);
    let places: BTreeSet<_> = taken.iter().map(|t| (t.step, t.sample.index)).collect();
    assert_eq!(places.len(), taken.len(), "a sample came twice");
    let expected = (0..steps).flat_map(|step| (0..lot).map(move |index| (step, index)));
    assert!(places.into_iter().eq(expected), "samples are missing");
    taken
}

/// Waits until the trainer took `count` samples of `step`.
pub async fn taken(trainer: &Child, step: u64, count: usize) {
    let there = async || {
        let all = taken_samples(trainer);
        all.iter().filter(|t| t.step == step).count() >= count
    };
    wait_until(there)
        .await
        .unwrap_or_else(|_| panic!("step {step}: {:?}", trainer.lines().last()));
}

/// Checks each sample's versions against what truly ran; gives how many were made in one attempt.
///
/// A sample made in one attempt names just the versions of that attempt. One that was resumed
/// names all versions of its last attempt, and none that took no part in any.
pub fn true_versions(
    taken: &[TakenSample],
    attempts: &BTreeMap<compact_str::CompactString, batch::Record>,
) -> usize {
    let mut by_sample: BTreeMap<(&str, u64), Vec<&batch::Record>> = BTreeMap::new();
    for record in attempts.values() {
        let key = (record.prompt.as_str(), record.seed);
        by_sample.entry(key).or_default().push(record);
    }
    let versions = |record: &batch::Record| -> BTreeSet<Version> {
        let spans = record.prompt_spans.iter().chain(&record.output_spans);
        spans.map(|span| span.version).collect()
    };
    let mut single = 0;
    for one in taken {
        let prompt = Digest::of(one.prompt.as_bytes()).to_string();
        let records = &by_sample[&(prompt.as_str(), seed(&one.sample.text))];
        let named: BTreeSet<_> = one.sample.spans.iter().map(|s| s.version).collect();
        let whole = |r: &&&batch::Record| r.finished.is_some() && r.tokens == one.sample.tokens;
        if records.iter().filter(whole).any(|r| versions(r) == named) {
            single += 1;
            continue;
        }
        let any: BTreeSet<_> = records.iter().flat_map(|r| versions(r)).collect();
        let ended = records.iter().filter(|r| r.finished.is_some());
        let covered = ended.into_iter().any(|r| versions(r).is_subset(&named));
        assert!(named.is_subset(&any) && covered, "{one:?} {records:?}");
    }
    single
}

/// The seed that a text of the engine stand-in names.
fn seed(text: &str) -> u64 {
    let head = text.split_whitespace().next().unwrap();
    u64::from_str_radix(head.split_once('.').unwrap().1, 16).unwrap()
}

/// Samples that were made to the end more than once, by what the engines still know.
pub fn remade(attempts: &BTreeMap<compact_str::CompactString, batch::Record>) -> usize {
    let mut made: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for record in attempts.values().filter(|r| ended_whole(r)) {
        *made
            .entry((record.prompt.as_str(), record.seed))
            .or_default() += 1;
    }
    made.values().map(|count| count - 1).sum()
}

fn ended_whole(record: &batch::Record) -> bool {
    use pinereel_api::engine::FinishReason;
    matches!(
        record.finished,
        Some(FinishReason::Stop | FinishReason::Length)
    )
}

/// Versions of all engines now; none for one that does not answer or has none.
pub async fn served(cluster: &Cluster) -> Vec<Option<Version>> {
    let mut all = Vec::new();
    for engine in &cluster.engines {
        let state = cluster::get_json::<pinereel_api::engine::State>(engine.address, "/v1/state").await;
        all.push(state.ok().and_then(|state| state.version));
    }
    all
}

/// Waits until all engines serve `version`.
pub async fn all_serve(cluster: &Cluster, version: u64) {
    let there = async || {
        served(cluster)
            .await
            .iter()
            .all(|v| *v == Some(Version(version)))
    };
    if wait_until(there).await.is_err() {
        panic!("{version} wanted, {:?}", served(cluster).await);
    }
}

/// Announces new weights through an entry.
pub async fn publish(entry: SocketAddr, version: u64) -> std::io::Result<()> {
    let path = format!("/v1/trainers/{TRAINER}/versions");
    cluster::post_json(entry, &path, &json!({ "version": version })).await
}

/// Decision lines of an entry with these texts.
pub fn decisions(entry: &cluster::Entry, texts: &[&str]) -> usize {
    let lines = entry.child.lines();
    let mut decisions: Vec<_> = lines
        .iter()
        .filter(|l| l.contains("\"decision\""))
        .collect();
    decisions.retain(|line| texts.iter().all(|text| line.contains(text)));
    decisions.len()
}

/// The newest lease on rollouts: the holder's index among the entries, and the fencing token.
pub async fn lease(cluster: &Cluster) -> Option<(usize, u64)> {
    let history = cluster.history("leases").await.ok()?;
    let value = history.last()?.change.value.clone()?;
    let holder = value["holder"].as_str()?;
    let holds = |entry: &cluster::Entry| holder.starts_with(&format!("{}-", entry.name));
    let index = cluster.entries.iter().position(holds)?;
    Some((index, value["fence"].as_u64()?))
}

/// Prints a measured time, for the notes.
pub fn measured(what: &str, since: Instant) -> Duration {
    let took = since.elapsed();
    println!("measured: {what}: {} ms", took.as_millis());
    took
}
