//! Slow, silent and half-open connections: bounded in time and number, others undisturbed.

#![allow(clippy::unwrap_used)]

mod input;

use input::{callers, post, refusals, rest, send, site, site_with, summary, undisturbed};
use pinereel_api::engine::FinishReason;
use pinereel_fakes::site::wait_until;
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt as _,
    time::{Instant, timeout},
};

/// Well over the entry's wait for slow senders, well under its wait for idle connections.
const SOON: Duration = Duration::from_secs(5);

#[actix_rt::test]
async fn slow_senders_are_refused_and_disturb_nobody() {
    let site = site().await;
    let address = callers(&site);
    let body = post("/v1/completions", "{\"model\": \"draft-llm\"");
    let cut = body.len() - 4;
    let cases = [
        (
            "slow head",
            &b"POST /v1/completions HTTP/1.1\r\nhost: e\r\n"[..],
        ),
        ("slow body", &body[..cut]),
    ];
    let started = Instant::now();
    let mut streams = Vec::new();
    for (name, bytes) in cases {
        streams.push((name, send(address, bytes).await));
    }
    undisturbed(&site).await;
    let mut lines = Vec::new();
    for (name, mut stream) in streams {
        let answer = rest(&mut stream).await;
        lines.push(format!("{name}: {}", summary(&answer)));
    }
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
    insta::assert_snapshot!(lines.join("\n"), @r#"
    slow head: 408
    slow body: 408 {"code":"slow_sender","message":"body was not complete within 1s","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusals(&site, 2).await, @r#"pinereel_refused_total{code="slow_sender"} 2"#);
}

#[actix_rt::test]
async fn silent_connections_are_closed() {
    let site = site().await;
    let mut silent = send(callers(&site), b"").await;
    let answer = timeout(SOON, rest(&mut silent)).await.unwrap();
    insta::assert_snapshot!(summary(&answer), @r"408");
    insta::assert_snapshot!(refusals(&site, 1).await, @r#"pinereel_refused_total{code="slow_sender"} 1"#);
    undisturbed(&site).await;
}

/// A closed sending side is how a caller that gave up looks, so its work must not go on.
#[actix_rt::test]
async fn half_closed_sender_is_taken_for_gone_and_its_attempt_cancelled() {
    let site = site().await;
    let body = "{\"model\": \"draft-llm\", \"prompt\": \"slot\", \"max_tokens\": 5000}";
    let mut stream = send(callers(&site), &post("/v1/completions", body)).await;
    let record = || site.engines[0].handle.records();
    wait_until(|| record().len() == 1).await.unwrap();
    stream.shutdown().await.unwrap();
    assert_eq!(rest(&mut stream).await, "");
    let cancelled = |finish| finish == Some(FinishReason::Cancelled);
    wait_until(|| record().values().all(|r| cancelled(r.finished)))
        .await
        .unwrap();
    undisturbed(&site).await;
}

#[actix_rt::test]
async fn sender_that_closes_within_its_body_does_not_run() {
    let site = site().await;
    let whole = post("/services/orders-app/orders", "lacquer");
    let mut stream = send(callers(&site), &whole[..whole.len() - 3]).await;
    stream.shutdown().await.unwrap();
    let answer = summary(&rest(&mut stream).await);
    insta::assert_snapshot!(answer, @r#"400 {"code":"bad_request","message":"body could not be read: payload reached EOF before completing: None","ran":"not_run"}"#);
    assert_eq!(site.services[0].handle.executions().len(), 0);
    undisturbed(&site).await;
}

/// Connections beyond the bound are closed at once and refusals; those within it stay.
#[actix_rt::test]
async fn connections_are_bounded() {
    let site = site_with("connections = 8").await;
    let listener = &site.entries[0].callers;
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(send(callers(&site), b"GET /live").await);
    }
    wait_until(|| listener.open_connections() == 8)
        .await
        .unwrap();
    let mut one_more = send(callers(&site), &post("/v1/completions", "{}")).await;
    assert_eq!(summary(&rest(&mut one_more).await), "closed");
    assert_eq!(listener.refused_connections(), 1);
    drop(held);
    wait_until(|| listener.open_connections() == 0)
        .await
        .unwrap();
    undisturbed(&site).await;
    insta::assert_snapshot!(refusals(&site, 1).await, @r#"pinereel_refused_total{code="overloaded"} 1"#);
}
