//! What the tests of overload share: a small site, requests to it, and looks at its queues.

#![allow(dead_code, clippy::unwrap_used, reason = "each test uses a part of it")]

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
pub const POOL: &str = "draft-llm";
/// The pool of services.
pub const ORDERS: &str = "orders-app";
/// Nothing is produced.
pub const STALL: Faults = Faults {
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

/// A site's size.
pub struct Size {
    pub engines: usize,
    pub services: usize,
    /// Requests at one endpoint from the one entry.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    pub batch: batch::Options,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            engines: 1,
            services: 0,
            slots: 2,
            queue: 2,
            batch: batch::Options {
                tokens_per_second: 2_000.0,
                ..batch::Options::default()
            },
        }
    }
}

/// A site with one entry.
pub async fn site(size: Size) -> Site {
    let document = json!({
        "pools": {
            POOL: { "kind": "engine", "model": "wording", "slots": size.slots },
            ORDERS: {
                "kind": "service", "slots": size.slots, "non_idempotent": ["POST /orders"],
            },
        },
        "trainers": { "dispatch": { "pool": POOL, "bound": 2 } },
        "limits": { "max_queue": size.queue },
    });
    let options = Options {
        zones: vec!["toledo-hall".into()],
        entry_count: 1,
        engine_pools: vec![(POOL.into(), size.engines)],
        batch: size.batch,
        service_pools: vec![(ORDERS.into(), size.services)],
        document: serde_json::from_value(document).unwrap(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n"
            .into(),
    };
    Site::start(options).await.unwrap()
}

/// An answer, as far as the tests look at it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub ran: Option<String>,
    /// Seconds in the head.
    pub retry_after: Option<u64>,
    pub body: Value,
}

impl Answer {
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }

    /// Asserts a refusal that names when to come back, the same in head and body.
    pub fn assert_refused(&self) {
        assert_eq!(self.status, 429, "{self:?}");
        assert_eq!(self.body["code"], "overloaded");
        assert_eq!(self.ran.as_deref(), Some("not-run"));
        let millis = self.body["retry_after_ms"].as_u64().unwrap();
        assert!(millis > 0, "{self:?}");
        assert_eq!(self.retry_after, Some(millis.div_ceil(1_000)));
    }
}

/// Asks for a whole completion.
pub async fn complete(address: &str, prompt: &str, tokens: u32, deadline: Duration) -> Answer {
    ask(address, prompt, tokens, deadline, "live").await
}

/// Asks for a whole completion with a priority.
pub async fn ask(
    address: &str,
    prompt: &str,
    tokens: u32,
    deadline: Duration,
    priority: &str,
) -> Answer {
    let request = json!({ "model": POOL, "prompt": prompt, "max_tokens": tokens, "seed": 7 });
    let mut response = client()
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("x-deadline-ms", deadline.as_millis().to_string()))
        .insert_header(("x-priority", priority))
        .send_json(&request)
        .await
        .unwrap();
    let head = |name| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    Answer {
        status: response.status().as_u16(),
        ran: head("x-ran"),
        retry_after: head("retry-after").map(|text| text.parse().unwrap()),
        body: response.json().await.unwrap(),
    }
}

/// A client whose connections are its own.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish()
}

/// Sends a request over a connection that the test holds, and reads nothing.
pub async fn open(address: &str, path: &str, body: &str, deadline: Duration) -> TcpStream {
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

/// The body of a completion.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": POOL, "prompt": prompt, "max_tokens": tokens, "seed": 7, "stream": stream,
    });
    body.to_string()
}

/// Waits until so many requests of the pool were started and so many wait.
pub async fn queued(site: &Site, pool: &str, running: usize, waiting: usize) {
    let queues = &site.entries[0].shared.queues;
    let there = || queues.running(pool) == running && queues.waiting(pool) == waiting;
    if wait_until(there).await.is_err() {
        let now = (queues.running(pool), queues.waiting(pool));
        panic!("expected {running} running and {waiting} waiting, found {now:?}");
    }
}

/// Records of all attempts at all engines for a prompt.
pub fn attempts(site: &Site, prompt: &str) -> Vec<Record> {
    let digest = Digest::of(prompt.as_bytes()).to_string();
    let records = site.engines.iter().flat_map(|e| e.handle.records());
    let records = records.map(|(_, record)| record);
    records.filter(|r| r.prompt == digest).collect()
}
