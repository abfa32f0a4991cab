//! Helpers of the overload tests: a site with one entry, requests to it, and the counts of its
//! queues.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses some of the helpers"
)]

use actix_rt::net::TcpStream;
use pinereel_core::hash::Digest;
use pinereel_fakes::{
    engine::{batch, batch::Record, fault::Faults},
    site::{Options, Site, wait_until},
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;

/// The pool of engines.
pub const ENGINES: &str = "draft-llm";
/// The pool of plain services.
pub const SERVICES: &str = "orders-app";
/// The engine accepts requests but generates no tokens.
pub const STALL_FAULT: Faults = Faults {
    stall: true,
    omit_stamps: false,
    regress_stamps: false,
    stamp_unordered: None,
    fail_next_swaps: 0,
    swap_partway: false,
    crash_after_tokens: None,
    cut_streams: false,
    duplicate_chunks: false,
    slow_factor: 1.0,
    leaving: false,
};

/// Numbers of endpoints and limits of a site.
pub struct SiteOptions {
    pub engine_count: usize,
    pub service_count: usize,
    /// Maximum number of concurrent requests from the entry at one endpoint.
    pub slots_per_endpoint: u32,
    /// Maximum number of waiting requests.
    pub max_waiting: u32,
    /// Size and speed of each engine.
    pub batch: batch::Options,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            engine_count: 1,
            service_count: 0,
            slots_per_endpoint: 2,
            max_waiting: 2,
            batch: batch::Options {
                tokens_per_second: 2_000.0,
                ..batch::Options::default()
            },
        }
    }
}

/// Starts a site with one entry.
pub async fn start_site(options: SiteOptions) -> Site {
    let slots = options.slots_per_endpoint;
    let document = json!({
        "pools": {
            ENGINES: { "kind": "engine", "model": "wording", "slots": slots },
            SERVICES: {
                "kind": "service", "slots": slots, "non_idempotent": ["POST /orders"],
            },
        },
        "trainers": { "dispatch": { "pool": ENGINES, "bound": 2 } },
        "limits": { "max_queue": options.max_waiting },
    });
    let options = Options {
        zones: vec!["toledo-hall".into()],
        entry_count: 1,
        engine_pools: vec![(ENGINES.into(), options.engine_count)],
        batch: options.batch,
        service_pools: vec![(SERVICES.into(), options.service_count)],
        document: serde_json::from_value(document).unwrap(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n"
            .into(),
    };
    Site::start(options).await.unwrap()
}

/// The parts of a response that the tests check.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the `x-ran` header.
    pub ran: Option<String>,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_secs: Option<u64>,
    /// The body.
    pub body: Value,
}

impl Response {
    /// Text of the completion; empty if the body is not a completion.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }

    /// Checks that the request was refused because of overload and not run, and that header and
    /// body give the same time for a retry.
    pub fn assert_refused(&self) {
        assert_eq!(self.status, 429, "{self:?}");
        assert_eq!(self.body["code"], "overloaded");
        assert_eq!(self.ran.as_deref(), Some("not-run"));
        let retry_after_ms = self.body["retry_after_ms"].as_u64().unwrap();
        assert!(retry_after_ms > 0, "{self:?}");
        assert_eq!(self.retry_after_secs, Some(retry_after_ms.div_ceil(1_000)));
    }
}

/// Requests a completion that is not streamed, with the priority of live requests.
pub async fn complete(
    address: &str,
    prompt: &str,
    max_tokens: u32,
    deadline: Duration,
) -> Response {
    complete_with_priority(address, prompt, max_tokens, deadline, "live").await
}

/// Requests a completion that is not streamed.
pub async fn complete_with_priority(
    address: &str,
    prompt: &str,
    max_tokens: u32,
    deadline: Duration,
    priority: &str,
) -> Response {
    let request =
        json!({ "model": ENGINES, "prompt": prompt, "max_tokens": max_tokens, "seed": 7 });
    let mut response = http_client()
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("x-deadline-ms", deadline.as_millis().to_string()))
        .insert_header(("x-priority", priority))
        .send_json(&request)
        .await
        .unwrap();
    let header = |name| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    Response {
        status: response.status().as_u16(),
        ran: header("x-ran"),
        retry_after_secs: header("retry-after").map(|text| text.parse().unwrap()),
        body: response.json().await.unwrap(),
    }
}

/// A client with connections of its own.
pub fn http_client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish()
}

/// Sends a request and returns the connection without reading from it. The method is GET if `body`
/// is empty, otherwise POST.
pub async fn send_request(address: &str, path: &str, body: &str, deadline: Duration) -> TcpStream {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nx-deadline-ms: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Body of a completion request.
pub fn completion_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": ENGINES, "prompt": prompt, "max_tokens": max_tokens, "seed": 7, "stream": stream,
    });
    body.to_string()
}

/// Waits until these numbers of the pool's requests are running and waiting.
pub async fn wait_for_queue_counts(site: &Site, pool: &str, running: usize, waiting: usize) {
    let queues = &site.entries[0].shared.queues;
    let is_reached = || queues.running(pool) == running && queues.waiting(pool) == waiting;
    if wait_until(is_reached).await.is_err() {
        let actual = (queues.running(pool), queues.waiting(pool));
        panic!("expected {running} running and {waiting} waiting, found {actual:?}");
    }
}

/// Records of all attempts for a prompt at all engines.
pub fn attempt_records(site: &Site, prompt: &str) -> Vec<Record> {
    let digest = Digest::of(prompt.as_bytes()).to_string();
    let records = site.engines.iter().flat_map(|e| e.handle.records());
    let records = records.map(|(_, record)| record);
    records.filter(|r| r.prompt == digest).collect()
}
