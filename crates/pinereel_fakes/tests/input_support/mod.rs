//! Helpers of the tests of invalid, slow and incomplete input: a site with one entry, raw
//! connections, and the metrics of refusals.

#![allow(clippy::unwrap_used, dead_code)]

use pinereel_core::config::Document;
use pinereel_fakes::site::{Options, Site, wait_until};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// Timeout for reading a response to the end of its connection.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the counters of refusals.
const REFUSALS_METRIC: &str = "pinereel_refused_total";
/// Maximum size of a request body in the configuration of the site.
pub const MAX_BODY_BYTES: usize = 4_096;

/// Starts a site with one entry whose read timeout for slow senders is one second.
pub async fn start_site() -> Site {
    start_site_with_limits("read_timeout = 1s").await
}

/// Starts a site with one entry; `limits` are the lines of the section `[limits]` in its settings.
pub async fn start_site_with_limits(limits: &str) -> Site {
    let document: Document = serde_json::from_value(json!({
        "pools": {
            "draft-llm": { "kind": "engine", "model": "wording" },
            "orders-app": { "kind": "service", "non_idempotent": ["POST /orders"] },
        },
        "trainers": { "dispatch": { "pool": "draft-llm", "bound": 2 } },
        "limits": { "max_body": MAX_BODY_BYTES, "max_samples": 64 },
    }))
    .unwrap();
    let options = Options {
        zones: vec!["toledo-hall".into()],
        entry_count: 1,
        engine_pools: vec![("draft-llm".into(), 1)],
        batch: Default::default(),
        service_pools: vec![("orders-app".into(), 1)],
        document,
        instance_list_lag: Duration::from_millis(50),
        extra_settings: format!("[limits]\n{limits}\n[log]\ndecisions = false\n"),
    };
    Site::start(options).await.unwrap()
}

/// Address of the entry's callers' listener.
pub fn callers_address(site: &Site) -> SocketAddr {
    site.entries[0].callers.address
}

/// The bytes of an HTTP request that asks to close the connection after the response; `line` is the
/// request line.
pub fn raw_request(line: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let length = format!("content-length: {}", body.len());
    let mut lines = vec![line, "host: entry", "connection: close", &length];
    lines.extend(headers);
    format!("{}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

/// The bytes of a POST request.
pub fn raw_post(path: &str, body: &str) -> Vec<u8> {
    raw_request(&format!("POST {path} HTTP/1.1"), &[], body)
}

/// Opens a connection and sends `bytes`.
pub async fn connect_and_send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The entry may refuse the request and close the connection before all bytes are sent.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Reads until the entry closes the connection.
pub async fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(READ_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    // A reset after the response counts as closing.
    drop(read.expect("the connection was not closed in time"));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends `bytes` on a new connection; returns the status and the body of the response.
pub async fn response_to(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect_and_send(address, bytes).await;
    status_and_body(&read_until_closed(&mut stream).await)
}

/// The status and the body of a response; the status is `closed` if there is no response.
pub fn status_and_body(response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let status = head.split_whitespace().nth(1).unwrap_or("closed");
    format!("{status} {body}").trim_end().to_owned()
}

/// Sends a valid completion request and checks that it succeeds.
pub async fn assert_completion_succeeds(site: &Site) {
    let body = json!({ "model": "draft-llm", "prompt": "slot", "max_tokens": 3 }).to_string();
    let response = response_to(callers_address(site), &raw_post("/v1/completions", &body)).await;
    let (status, body) = response.split_once(' ').unwrap();
    assert_eq!(status, "200", "{response}");
    let body: Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

/// Waits until the counters of refusals add up to `total`; returns their lines in the metrics.
pub async fn refusal_metrics(site: &Site, total: u64) -> String {
    let lines = || {
        let text = site.entries[0].shared.metrics.render();
        let lines = text
            .lines()
            .filter(|line| line.starts_with(REFUSALS_METRIC));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let count = |line: &String| line.rsplit(' ').next()?.parse::<u64>().ok();
    // The refusal of a connection is counted when the connection ends, which the client may see
    // earlier.
    let is_complete = || lines().iter().filter_map(count).sum::<u64>() == total;
    wait_until(is_complete)
        .await
        .expect("the counters of refusals did not add up to the expected total");
    lines().join("\n")
}
