//! Slow, silent and half-closed connections: the entry bounds their time and number, and other
//! requests succeed.

#![allow(clippy::unwrap_used)]

mod input_support;

use input_support::{
    assert_completion_succeeds, callers_address, connect_and_send, raw_post, read_until_closed,
    refusal_metrics, start_site, start_site_with_limits, status_and_body,
};
use pinereel_api::engine::FinishReason;
use pinereel_fakes::site::wait_until;
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt as _,
    time::{Instant, timeout},
};

/// Maximum time until the entry closes a slow connection: well over its read timeout for slow
/// senders, well under its timeout for idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

#[actix_rt::test]
async fn slow_senders_are_refused_while_other_requests_succeed() {
    let site = start_site().await;
    let address = callers_address(&site);
    let request = raw_post("/v1/completions", "{\"model\": \"draft-llm\"");
    let sent_len = request.len() - 4;
    let cases = [
        (
            "slow head",
            &b"POST /v1/completions HTTP/1.1\r\nhost: e\r\n"[..],
        ),
        ("slow body", &request[..sent_len]),
    ];
    let start = Instant::now();
    let mut streams = Vec::new();
    for (name, bytes) in cases {
        streams.push((name, connect_and_send(address, bytes).await));
    }
    assert_completion_succeeds(&site).await;
    let mut lines = Vec::new();
    for (name, mut stream) in streams {
        let response = read_until_closed(&mut stream).await;
        lines.push(format!("{name}: {}", status_and_body(&response)));
    }
    assert!(start.elapsed() < CLOSE_TIMEOUT, "{:?}", start.elapsed());
    insta::assert_snapshot!(lines.join("\n"), @r#"
    slow head: 408
    slow body: 408 {"code":"slow_sender","message":"body was not complete within 1s","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusal_metrics(&site, 2).await, @r#"pinereel_refused_total{code="slow_sender"} 2"#);
}

#[actix_rt::test]
async fn silent_connections_are_closed() {
    let site = start_site().await;
    let mut silent = connect_and_send(callers_address(&site), b"").await;
    let response = timeout(CLOSE_TIMEOUT, read_until_closed(&mut silent))
        .await
        .unwrap();
    insta::assert_snapshot!(status_and_body(&response), @r"408");
    insta::assert_snapshot!(refusal_metrics(&site, 1).await, @r#"pinereel_refused_total{code="slow_sender"} 1"#);
    assert_completion_succeeds(&site).await;
}

/// To the entry, a connection whose sending side is closed looks like that of a caller that is
/// gone, so the work for it must not continue.
#[actix_rt::test]
async fn a_half_closed_connection_cancels_its_attempt() {
    let site = start_site().await;
    let body = "{\"model\": \"draft-llm\", \"prompt\": \"slot\", \"max_tokens\": 5000}";
    let mut stream =
        connect_and_send(callers_address(&site), &raw_post("/v1/completions", body)).await;
    let records = || site.engines[0].handle.records();
    wait_until(|| records().len() == 1).await.unwrap();
    stream.shutdown().await.unwrap();
    assert_eq!(read_until_closed(&mut stream).await, "");
    let is_cancelled = |reason| reason == Some(FinishReason::Cancelled);
    wait_until(|| records().values().all(|r| is_cancelled(r.finished)))
        .await
        .unwrap();
    assert_completion_succeeds(&site).await;
}

#[actix_rt::test]
async fn a_request_with_an_incomplete_body_does_not_run() {
    let site = start_site().await;
    let request = raw_post("/services/orders-app/orders", "lacquer");
    let mut stream = connect_and_send(callers_address(&site), &request[..request.len() - 3]).await;
    stream.shutdown().await.unwrap();
    let response = status_and_body(&read_until_closed(&mut stream).await);
    insta::assert_snapshot!(response, @r#"400 {"code":"bad_request","message":"body could not be read: payload reached EOF before completing: None","ran":"not_run"}"#);
    assert_eq!(site.services[0].handle.executions().len(), 0);
    assert_completion_succeeds(&site).await;
}

/// Connections above the limit are closed immediately and counted as refusals; those within it stay
/// open.
#[actix_rt::test]
async fn connections_above_the_limit_are_closed_and_counted() {
    let site = start_site_with_limits("connections = 8").await;
    let listener = &site.entries[0].callers;
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(connect_and_send(callers_address(&site), b"GET /live").await);
    }
    wait_until(|| listener.open_connections() == 8)
        .await
        .unwrap();
    let mut excess =
        connect_and_send(callers_address(&site), &raw_post("/v1/completions", "{}")).await;
    assert_eq!(
        status_and_body(&read_until_closed(&mut excess).await),
        "closed"
    );
    assert_eq!(listener.refused_connections(), 1);
    drop(open);
    wait_until(|| listener.open_connections() == 0)
        .await
        .unwrap();
    assert_completion_succeeds(&site).await;
    insta::assert_snapshot!(refusal_metrics(&site, 1).await, @r#"pinereel_refused_total{code="overloaded"} 1"#);
}
