//! Processor time of one entry for each request and each sample.

use super::{
    daemon::Entries,
    fit::Slope,
    meter::cpu,
    platform::{ENGINES, Options, Platform, SERVICES},
};
use crate::trainer;
use futures_util::{StreamExt as _, stream};
use pinereel_core::Version;
use serde_json::json;
use std::{future::Future, io, thread, time::Duration};
use tokio::sync::oneshot;

/// Requests at once.
const AT_ONCE: usize = 8;
/// Requests of one point.
const REQUESTS: usize = 1_500;
/// Samples of one point.
const SAMPLES: u32 = 1_024;

/// Measures all of it.
///
/// # Errors
/// A site did not come up, or a request failed.
pub async fn measure() -> io::Result<Vec<Slope>> {
    let platform = Platform::start(Options {
        light: 0,
        engines: 4,
        services: 2,
        zones: 1,
    })?;
    let entries = Entries::start(&platform, 1, 6).await?;
    let address = entries.all[0].callers.address.to_string();
    let (mut whole, mut streamed) = (Vec::new(), Vec::new());
    for tokens in [8, 64, 256] {
        let x = f64::from(tokens);
        whole.push((x, completions(&address, tokens, false).await?));
        streamed.push((x, completions(&address, tokens, true).await?));
    }
    let service = services(&address).await?;
    let mut samples = Vec::new();
    for tokens in [32, 256, 1_024] {
        samples.push((f64::from(tokens), sampled(&address, tokens).await?));
    }
    Ok(vec![
        Slope::of(
            "completion",
            "µs a completion, whole answer",
            "token",
            whole,
        ),
        Slope::of(
            "completion_streamed",
            "µs a completion, streamed",
            "token",
            streamed,
        ),
        Slope::of(
            "service",
            "µs a call of a plain service",
            "call",
            vec![(1.0, service)],
        ),
        Slope::of(
            "sample_path",
            "µs a sample, submit to collect",
            "token",
            samples,
        ),
    ])
}

/// Microseconds of this thread for each of `count` things that `client` does on a thread of its
/// own. The least of two runs.
async fn micros<F>(count: usize, client: impl Fn() -> F + Send + Clone + 'static) -> io::Result<f64>
where
    F: Future<Output = io::Result<()>>,
{
    let mut least = f64::MAX;
    for _ in 0..2 {
        let client = client.clone();
        let (tell, told) = oneshot::channel();
        let start = cpu();
        thread::spawn(move || {
            let done = actix_rt::System::new().block_on(client());
            let _ = tell.send(done);
        });
        told.await.map_err(io::Error::other)??;
        let spent = cpu() - start;
        least = least.min(spent.as_secs_f64() * 1e6 / count as f64);
    }
    Ok(least)
}

async fn completions(address: &str, tokens: u32, streamed: bool) -> io::Result<f64> {
    let url = format!("http://{address}/v1/completions");
    micros(REQUESTS, move || {
        let url = url.clone();
        async move {
            let body = json!({ "model": ENGINES, "prompt": "slot for June",
                "max_tokens": tokens, "stream": streamed });
            post_all(&url, body.to_string()).await
        }
    })
    .await
}

async fn services(address: &str) -> io::Result<f64> {
    let url = format!("http://{address}/services/{SERVICES}/orders");
    micros(REQUESTS, move || {
        let url = url.clone();
        async move { post_all(&url, "lacquer".into()).await }
    })
    .await
}

async fn post_all(url: &str, body: String) -> io::Result<()> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let sent = (0..REQUESTS).map(|_| {
        let (client, body) = (client.clone(), body.clone());
        async move {
            let sent = client
                .post(url)
                .insert_header(("content-type", "application/json"))
                .send_body(body);
            let mut answer = sent.await.map_err(|e| io::Error::other(e.to_string()))?;
            if !answer.status().is_success() {
                return Err(io::Error::other(answer.status().to_string()));
            }
            let body = answer.body().limit(64 << 20).await;
            body.map(drop).map_err(|e| io::Error::other(e.to_string()))
        }
    });
    let mut answers = stream::iter(sent).buffer_unordered(AT_ONCE);
    while let Some(answer) = answers.next().await {
        answer?;
    }
    Ok(())
}

async fn sampled(address: &str, tokens: u32) -> io::Result<f64> {
    let address = address.to_owned();
    micros(SAMPLES as usize, move || {
        let address = address.clone();
        async move {
            let run = next_run();
            let trainer = trainer::Trainer::new(trainer::Options {
                name: "dispatch".into(),
                entries: vec![address],
                steps: 1,
                groups_per_step: SAMPLES / 8,
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
            if u64::from(SAMPLES) == report.samples {
                Ok(())
            } else {
                Err(io::Error::other("samples are missing"))
            }
        }
    })
    .await
}

/// Counts the runs: each has lots of its own, and starts at the version that the last published.
fn next_run() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
