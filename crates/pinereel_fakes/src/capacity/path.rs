//! CPU time of one entry per request and per sample.

use super::{
    entries::EntryGroup,
    fit::Measurement,
    meter::thread_cpu_time,
    platform::{ENGINES, Options, Platform, SERVICES},
};
use crate::trainer;
use futures_util::{StreamExt as _, stream};
use pinereel_core::Version;
use serde_json::json;
use std::{future::Future, io, thread, time::Duration};
use tokio::sync::oneshot;

/// Number of concurrent requests.
const CONCURRENT_REQUESTS: usize = 8;
/// Number of requests that a point is measured with.
const REQUESTS_PER_POINT: usize = 1_500;
/// Number of samples that a point is measured with.
const SAMPLES_PER_POINT: u32 = 1_024;

/// Measures completions, calls of a plain service, and samples.
///
/// # Errors
/// The site did not become ready, or a request failed.
pub async fn measure() -> io::Result<Vec<Measurement>> {
    let platform = Platform::start(Options {
        state_only_engines: 0,
        engines: 4,
        services: 2,
        zones: 1,
    })?;
    let group = EntryGroup::start(&platform, 1, 6).await?;
    let address = group.entries[0].callers.address.to_string();
    let (mut complete, mut streamed) = (Vec::new(), Vec::new());
    for tokens in [8, 64, 256] {
        let x = f64::from(tokens);
        complete.push((x, measure_completions(&address, tokens, false).await?));
        streamed.push((x, measure_completions(&address, tokens, true).await?));
    }
    let service = measure_service_calls(&address).await?;
    let mut samples = Vec::new();
    for tokens in [32, 256, 1_024] {
        samples.push((f64::from(tokens), measure_lot(&address, tokens).await?));
    }
    Ok(vec![
        Measurement::new(
            "completion",
            "µs a completion, whole answer",
            "token",
            complete,
        ),
        Measurement::new(
            "completion_streamed",
            "µs a completion, streamed",
            "token",
            streamed,
        ),
        Measurement::new(
            "service",
            "µs a call of a plain service",
            "call",
            vec![(1.0, service)],
        ),
        Measurement::new(
            "sample_path",
            "µs a sample, submit to collect",
            "token",
            samples,
        ),
    ])
}

/// CPU time of this thread per item, in microseconds, while `client` sends `count` requests or
/// collects `count` samples on another thread. The minimum of two runs counts.
async fn cpu_micros_per_item<F>(
    count: usize,
    client: impl Fn() -> F + Send + Clone + 'static,
) -> io::Result<f64>
where
    F: Future<Output = io::Result<()>>,
{
    let mut min_micros = f64::MAX;
    for _ in 0..2 {
        let client = client.clone();
        let (result_sender, result_receiver) = oneshot::channel();
        let start = thread_cpu_time();
        thread::spawn(move || {
            let result = actix_rt::System::new().block_on(client());
            let _ = result_sender.send(result);
        });
        result_receiver.await.map_err(io::Error::other)??;
        let cpu_time = thread_cpu_time() - start;
        min_micros = min_micros.min(cpu_time.as_secs_f64() * 1e6 / count as f64);
    }
    Ok(min_micros)
}

async fn measure_completions(address: &str, tokens: u32, streamed: bool) -> io::Result<f64> {
    let url = format!("http://{address}/v1/completions");
    cpu_micros_per_item(REQUESTS_PER_POINT, move || {
        let url = url.clone();
        async move {
            let body = json!({ "model": ENGINES, "prompt": "slot for June",
                "max_tokens": tokens, "stream": streamed });
            post_all(&url, body.to_string()).await
        }
    })
    .await
}

async fn measure_service_calls(address: &str) -> io::Result<f64> {
    let url = format!("http://{address}/services/{SERVICES}/orders");
    cpu_micros_per_item(REQUESTS_PER_POINT, move || {
        let url = url.clone();
        async move { post_all(&url, "lacquer".into()).await }
    })
    .await
}

/// Sends [`REQUESTS_PER_POINT`] requests with the same body, and reads the responses whole.
async fn post_all(url: &str, body: String) -> io::Result<()> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let requests = (0..REQUESTS_PER_POINT).map(|_| {
        let (client, body) = (client.clone(), body.clone());
        async move {
            let request = client
                .post(url)
                .insert_header(("content-type", "application/json"))
                .send_body(body);
            let mut response = request.await.map_err(|e| io::Error::other(e.to_string()))?;
            if !response.status().is_success() {
                return Err(io::Error::other(response.status().to_string()));
            }
            let body = response.body().limit(64 << 20).await;
            body.map(drop).map_err(|e| io::Error::other(e.to_string()))
        }
    });
    let mut responses = stream::iter(requests).buffer_unordered(CONCURRENT_REQUESTS);
    while let Some(response) = responses.next().await {
        response?;
    }
    Ok(())
}

/// CPU time per sample of a trainer step that submits and collects one lot, in microseconds.
async fn measure_lot(address: &str, tokens: u32) -> io::Result<f64> {
    let address = address.to_owned();
    cpu_micros_per_item(SAMPLES_PER_POINT as usize, move || {
        let address = address.clone();
        async move {
            let run = next_run();
            let trainer = trainer::Trainer::new(trainer::Options {
                name: "dispatch".into(),
                entries: vec![address],
                steps: 1,
                groups_per_step: SAMPLES_PER_POINT / 8,
                samples_per_group: 8,
                max_tokens: tokens,
                train_time: Duration::ZERO,
                staleness_bound: 100,
                check_texts: false,
                initial_version: Version(run),
                seed: run,
                ..trainer::Options::default()
            });
            let report = trainer.run().await;
            let report = report.map_err(|e| io::Error::other(e.to_string()))?;
            if u64::from(SAMPLES_PER_POINT) == report.samples {
                Ok(())
            } else {
                Err(io::Error::other(
                    "the step did not return the requested number of samples",
                ))
            }
        }
    })
    .await
}

/// Number of the next trainer run, from 1. Each run has its own lots, and starts at the version that
/// the previous run published.
fn next_run() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
