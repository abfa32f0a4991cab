//! What the tests of bad input share: one entry, raw connections, the counters.

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

/// Longest wait for an answer.
const WAIT: Duration = Duration::from_secs(10);
/// The family of counters.
const REFUSED: &str = "pinereel_refused_total";
/// Largest body that the configuration allows, in bytes.
pub const MAX_BODY: usize = 4_096;

/// A site with one entry that waits for slow senders for no more than a second.
pub async fn site() -> Site {
    site_with("read_timeout = 1s").await
}

/// A site with one entry; `limits` are further lines of that section of its settings.
pub async fn site_with(limits: &str) -> Site {
    let document: Document = serde_json::from_value(json!({
        "pools": {
            "draft-llm": { "kind": "engine", "model": "wording" },
            "orders-app": { "kind": "service", "non_idempotent": ["POST /orders"] },
        },
        "trainers": { "dispatch": { "pool": "draft-llm", "bound": 2 } },
        "limits": { "max_body": MAX_BODY, "max_samples": 64 },
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

/// The callers' listener of the one entry.
pub fn callers(site: &Site) -> SocketAddr {
    site.entries[0].callers.address
}

/// A request in bytes; the connection is to close after its answer.
pub fn request(line: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let length = format!("content-length: {}", body.len());
    let mut lines = vec![line, "host: entry", "connection: close", &length];
    lines.extend(headers);
    format!("{}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

/// A POST of JSON.
pub fn post(path: &str, body: &str) -> Vec<u8> {
    request(&format!("POST {path} HTTP/1.1"), &[], body)
}

/// Opens a connection and sends `bytes`.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The other side may refuse, and close, before all is sent.
    let _ = stream.write_all(bytes).await;
    stream
}

/// All that comes until the other side closes.
pub async fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(WAIT, stream.read_to_end(&mut bytes)).await;
    // A reset after the answer ends the connection just as well.
    drop(read.expect("the connection is closed in time"));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Status and body of the answer to `bytes`.
pub async fn answer(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = send(address, bytes).await;
    summary(&rest(&mut stream).await)
}

/// Status and body of an answer.
pub fn summary(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let status = head.split_whitespace().nth(1).unwrap_or("closed");
    format!("{status} {body}").trim_end().to_owned()
}

/// Sends a good completion and checks that it is answered.
pub async fn undisturbed(site: &Site) {
    let body = json!({ "model": "draft-llm", "prompt": "slot", "max_tokens": 3 }).to_string();
    let answer = answer(callers(site), &post("/v1/completions", &body)).await;
    let (status, body) = answer.split_once(' ').unwrap();
    assert_eq!(status, "200", "{answer}");
    let body: Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

/// The counters of refusals, once they add up to `total`.
pub async fn refusals(site: &Site, total: u64) -> String {
    let lines = || {
        let text = site.entries[0].shared.metrics.render();
        let lines = text.lines().filter(|line| line.starts_with(REFUSED));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let count = |line: &String| line.rsplit(' ').next()?.parse::<u64>().ok();
    // A connection's refusal is counted when it ends, which its client may see first.
    let all_told = || lines().iter().filter_map(count).sum::<u64>() == total;
    wait_until(all_told)
        .await
        .expect("as many refusals are counted");
    lines().join("\n")
}
