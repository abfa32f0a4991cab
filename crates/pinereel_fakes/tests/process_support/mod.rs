//! Helpers of the tests with real processes: the cluster, callers, and checks against the records of
//! the fakes.

#![allow(clippy::unwrap_used, dead_code)]

use awc::http::StatusCode;
use futures_util::TryStreamExt as _;
use pinereel_core::{Version, hash::Digest};
use pinereel_fakes::{
    child_process::Child,
    cluster::{self, Cluster, Options, taken_samples, wait_until},
    engine::{batch, text},
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
/// Timeout for a read from a socket and for the fake service.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a cluster with these numbers of entries, engines and services.
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

/// A prompt whose completion with seed 0 has `min_tokens` tokens or more.
pub fn long_prompt(min_tokens: u32) -> String {
    let prompts = (0..).map(|number| format!("status of lacquer slot {number}"));
    let mut long = prompts.filter(|prompt| text::unlimited_length(prompt, 0) >= min_tokens);
    long.next().unwrap()
}

/// Requests a completion; returns its text and the weight versions in the response.
pub async fn complete(entry: SocketAddr, prompt: &str) -> Result<(String, Value), String> {
    let request = json!({ "model": ENGINES, "prompt": prompt, "max_tokens": 40 });
    let url = format!("http://{entry}/v1/completions");
    let sent = cluster::http_client().post(url).send_json(&request).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    let status = response.status();
    let body: Value = response.json().await.map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("{status}: {body}"));
    }
    let text = body["choices"][0]["text"].as_str().unwrap().to_owned();
    Ok((text, body["versions"].clone()))
}

/// Requests a streamed completion and reads it to its end; returns the request id and the text, or an
/// error if the text is not the whole text that the fake engine generates.
pub async fn stream(
    entry: SocketAddr,
    prompt: &str,
    max_tokens: u32,
) -> Result<(String, String), String> {
    let request = json!({
        "model": ENGINES, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    let url = format!("http://{entry}/v1/completions");
    let sent = cluster::http_client().post(url).send_json(&request).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        let problem = response.body().await.map_err(|e| e.to_string())?;
        return Err(String::from_utf8_lossy(&problem).into_owned());
    }
    let id = response.headers().get("x-request-id").unwrap();
    let id = id.to_str().unwrap().to_owned();
    let chunks = response.into_stream().map_err(|e| e.to_string());
    let body: Vec<u8> = chunks.map_ok(|chunk| chunk.to_vec()).try_concat().await?;
    let body = String::from_utf8(body).unwrap();
    let Some(events) = body.strip_suffix("data: [DONE]\n\n") else {
        return Err(format!("stream of {} bytes has no end marker", body.len()));
    };
    let events = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let text: String = events
        .map(|event| serde_json::from_str::<Value>(event).unwrap())
        .map(|event| event["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    if text == text::completion(prompt, 0, max_tokens) {
        Ok((id, text))
    } else {
        Err("the text is incomplete or wrong".into())
    }
}

/// Books an order at the plain services. The error is the body of the refusal, if there is one.
pub async fn book_order(entry: SocketAddr, body: String) -> Result<(), String> {
    let url = format!("http://{entry}/services/{SERVICES}/orders");
    let sent = cluster::http_client().post(url).send_body(body).await;
    let mut response = sent.map_err(|e| e.to_string())?;
    let body = response.body().await.map_err(|e| e.to_string())?;
    if response.status() == StatusCode::OK {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&body).into_owned())
}

/// The report that a trainer prints as its last line.
pub fn printed_report(trainer: &Child) -> Report {
    let lines = trainer.lines();
    let last = lines.last().expect("a trainer prints its report");
    serde_json::from_str(last).unwrap_or_else(|_| panic!("{last}"))
}

/// Waits until the trainer exits and checks that it took every sample of every step exactly once,
/// with the whole text and within the staleness bound. Returns the samples.
pub async fn finish_trainer(trainer: &mut Child, steps: u64, lot_size: u32) -> Vec<TakenSample> {
    let is_success = cluster::wait_for_exit(trainer).await.unwrap();
    let report = printed_report(trainer);
    assert!(is_success && report.is_valid(), "{report:?}");
    let samples = taken_samples(trainer);
    let positions: BTreeSet<_> = samples.iter().map(|s| (s.step, s.sample.index)).collect();
    assert_eq!(positions.len(), samples.len(), "a sample was taken twice");
    let expected = (0..steps).flat_map(|step| (0..lot_size).map(move |index| (step, index)));
    assert!(positions.into_iter().eq(expected), "samples are missing");
    samples
}

/// Waits until the trainer has taken `count` samples of `step`.
pub async fn wait_for_samples(trainer: &Child, step: u64, count: usize) {
    let enough = async || {
        let samples = taken_samples(trainer);
        samples.iter().filter(|s| s.step == step).count() >= count
    };
    wait_until(enough)
        .await
        .unwrap_or_else(|_| panic!("step {step}: {:?}", trainer.lines().last()));
}

/// Checks the versions of each sample against the engines' records of attempts; returns the number of
/// samples that were generated in a single attempt.
///
/// A sample of a single attempt names exactly the versions of that attempt. A resumed sample names
/// all versions of its last attempt, and no version that took part in none of its attempts.
pub fn check_versions(
    samples: &[TakenSample],
    attempts: &BTreeMap<compact_str::CompactString, batch::Record>,
) -> usize {
    let mut attempts_of: BTreeMap<(&str, u64), Vec<&batch::Record>> = BTreeMap::new();
    for record in attempts.values() {
        let key = (record.prompt.as_str(), record.seed);
        attempts_of.entry(key).or_default().push(record);
    }
    let versions = |record: &batch::Record| -> BTreeSet<Version> {
        let spans = record.prompt_spans.iter().chain(&record.output_spans);
        spans.map(|span| span.version).collect()
    };
    let mut single_attempt_count = 0;
    for taken in samples {
        let sample = &taken.sample;
        let prompt = Digest::of(taken.prompt.as_bytes()).to_string();
        let records = &attempts_of[&(prompt.as_str(), text_seed(&sample.text))];
        let named: BTreeSet<_> = sample.spans.iter().map(|s| s.version).collect();
        let is_whole = |r: &&&batch::Record| r.finished.is_some() && r.tokens == sample.tokens;
        if records
            .iter()
            .filter(is_whole)
            .any(|r| versions(r) == named)
        {
            single_attempt_count += 1;
            continue;
        }
        let of_any: BTreeSet<_> = records.iter().flat_map(|r| versions(r)).collect();
        let finished = records.iter().filter(|r| r.finished.is_some());
        let names_last = finished.into_iter().any(|r| versions(r).is_subset(&named));
        assert!(
            named.is_subset(&of_any) && names_last,
            "{taken:?} {records:?}"
        );
    }
    single_attempt_count
}

/// The seed in the first word of a text of the fake engine.
fn text_seed(text: &str) -> u64 {
    let first_word = text.split_whitespace().next().unwrap();
    u64::from_str_radix(first_word.split_once('.').unwrap().1, 16).unwrap()
}

/// Number of completed attempts beyond the first one of each sample, by the engines' records.
pub fn count_regenerated(attempts: &BTreeMap<compact_str::CompactString, batch::Record>) -> usize {
    let mut completed: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for record in attempts.values().filter(|r| is_completed(r)) {
        *completed
            .entry((record.prompt.as_str(), record.seed))
            .or_default() += 1;
    }
    completed.values().map(|count| count - 1).sum()
}

/// Whether an attempt generated the whole text.
fn is_completed(record: &batch::Record) -> bool {
    use pinereel_api::engine::FinishReason;
    matches!(
        record.finished,
        Some(FinishReason::Stop | FinishReason::Length)
    )
}

/// The version that each engine serves; `None` for an engine that does not answer or has no weights.
pub async fn served_versions(cluster: &Cluster) -> Vec<Option<Version>> {
    use pinereel_api::engine::State;
    let mut versions = Vec::new();
    for engine in &cluster.engines {
        let state = cluster::get_json::<State>(engine.address, "/v1/state").await;
        versions.push(state.ok().and_then(|state| state.version));
    }
    versions
}

/// Waits until all engines serve `version`.
pub async fn wait_until_all_serve(cluster: &Cluster, version: u64) {
    let all_serve = async || {
        served_versions(cluster)
            .await
            .iter()
            .all(|v| *v == Some(Version(version)))
    };
    if wait_until(all_serve).await.is_err() {
        let served = served_versions(cluster).await;
        panic!("expected {version} at all engines, got {served:?}");
    }
}

/// Publishes a version of the trainer's weights through an entry.
pub async fn publish(entry: SocketAddr, version: u64) -> std::io::Result<()> {
    let path = format!("/v1/trainers/{TRAINER}/versions");
    cluster::post_json(entry, &path, &json!({ "version": version })).await
}

/// Number of decision log lines of an entry that contain all of these texts.
pub fn count_decisions(entry: &cluster::Entry, texts: &[&str]) -> usize {
    let lines = entry.child.lines();
    let mut decisions: Vec<_> = lines
        .iter()
        .filter(|l| l.contains("\"decision\""))
        .collect();
    decisions.retain(|line| texts.iter().all(|text| line.contains(text)));
    decisions.len()
}

/// The latest write of the rollout lease: the index of the holder among the entries, and the fencing
/// token.
pub async fn rollout_lease(cluster: &Cluster) -> Option<(usize, u64)> {
    let history = cluster.history("leases").await.ok()?;
    let value = history.last()?.change.value.clone()?;
    let holder = value["holder"].as_str()?;
    let is_holder = |entry: &cluster::Entry| holder.starts_with(&format!("{}-", entry.name));
    let index = cluster.entries.iter().position(is_holder)?;
    Some((index, value["fence"].as_u64()?))
}

/// Prints the time since `start` and returns it.
pub fn print_elapsed(what: &str, start: Instant) -> Duration {
    let elapsed = start.elapsed();
    println!("measured: {what}: {} ms", elapsed.as_millis());
    elapsed
}
