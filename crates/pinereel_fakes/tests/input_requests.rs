//! Invalid requests to the callers' and operators' listeners: they get typed problems and are
//! counted as refusals.

#![allow(clippy::unwrap_used)]

mod input_support;

use input_support::{
    MAX_BODY_BYTES, assert_completion_succeeds, callers_address, raw_post, raw_request,
    refusal_metrics, response_to, start_site,
};
use pinereel_api::trainer::Submitted;
use pinereel_fakes::site::{OPERATOR_TOKEN, Site};
use serde_json::json;
use std::net::SocketAddr;

/// Sends the request of each case; returns a line per case with its name, the status and the body.
async fn response_table(address: SocketAddr, cases: &[(&str, Vec<u8>)]) -> String {
    let mut lines = Vec::new();
    for (name, bytes) in cases {
        lines.push(format!("{name}: {}", response_to(address, bytes).await));
    }
    lines.join("\n")
}

/// The bytes of a completion request.
fn raw_completion(headers: &[&str], max_tokens: u32) -> Vec<u8> {
    let body = json!({ "model": "draft-llm", "prompt": "slot", "max_tokens": max_tokens });
    raw_request("POST /v1/completions HTTP/1.1", headers, &body.to_string())
}

#[actix_rt::test]
async fn invalid_requests_get_typed_problems() {
    let site = start_site().await;
    let too_large = "x".repeat(MAX_BODY_BYTES + 1);
    let far_too_large = "x".repeat(16 << 20);
    let unknown_pool = json!({ "model": "no-llm", "prompt": "slot", "max_tokens": 3 }).to_string();
    let cases = [
        (
            "malformed JSON",
            raw_post("/v1/completions", "{\"model\": "),
        ),
        ("no JSON", raw_post("/v1/lots", "slot for June")),
        ("too large", raw_post("/v1/completions", &too_large)),
        (
            "too large for a service",
            raw_post("/services/orders-app/orders", &too_large),
        ),
        ("far too large", raw_post("/v1/completions", &far_too_large)),
        ("unknown pool", raw_post("/v1/completions", &unknown_pool)),
        (
            "unknown service",
            raw_post("/services/no-app/orders", "lacquer"),
        ),
        ("unknown path", raw_post("/v2/completions", "{}")),
        (
            "wrong method",
            raw_request("DELETE /v1/completions HTTP/1.1", &[], ""),
        ),
        ("no tokens wanted", raw_completion(&[], 0)),
        ("deadline", raw_completion(&["x-deadline-ms: soon"], 3)),
        ("priority", raw_completion(&["x-priority: first"], 3)),
        (
            "unknown trainer",
            raw_post("/v1/trainers/nobody/versions", "{\"version\": 2}"),
        ),
    ];
    let table = response_table(callers_address(&site), &cases).await;
    insta::assert_snapshot!(table, @r#"
    malformed JSON: 400 {"code":"bad_request","message":"malformed JSON: EOF while parsing a value at line 1 column 10","ran":"not_run"}
    no JSON: 400 {"code":"bad_request","message":"malformed JSON: expected value at line 1 column 1","ran":"not_run"}
    too large: 413 {"code":"too_large","message":"body is larger than 4096 bytes","ran":"not_run"}
    too large for a service: 413 {"code":"too_large","message":"body is larger than 4096 bytes","ran":"not_run"}
    far too large: 413 {"code":"too_large","message":"body is larger than 4096 bytes","ran":"not_run"}
    unknown pool: 404 {"code":"not_found","message":"unknown pool","ran":"not_run"}
    unknown service: 404 {"code":"not_found","message":"unknown pool","ran":"not_run"}
    unknown path: 404 {"code":"not_found","message":"no such path","ran":"not_run"}
    wrong method: 404 {"code":"not_found","message":"no such path","ran":"not_run"}
    no tokens wanted: 400 {"code":"bad_request","message":"max_tokens is 0","ran":"not_run"}
    deadline: 400 {"code":"bad_request","message":"deadline is not a number of milliseconds","ran":"not_run"}
    priority: 400 {"code":"bad_request","message":"priority is neither live nor bulk","ran":"not_run"}
    unknown trainer: 404 {"code":"not_found","message":"unknown trainer","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusal_metrics(&site, 13).await, @r#"
    pinereel_refused_total{code="bad_request"} 5
    pinereel_refused_total{code="not_found"} 5
    pinereel_refused_total{code="too_large"} 3
    "#);
    assert_completion_succeeds(&site).await;
    let executions = site.services[0].handle.executions();
    assert_eq!(executions.len(), 0, "a refused request ran");
}

#[actix_rt::test]
async fn invalid_http_framing_is_refused_and_counted() {
    let site = start_site().await;
    let long_header = format!("x-long: {}", "x".repeat(200_000));
    let raw = |text: &str| text.as_bytes().to_vec();
    let cases = [
        (
            "long header",
            raw_request("GET /live HTTP/1.1", &[&long_header], ""),
        ),
        ("no HTTP", raw("slot for June, please\r\n\r\n")),
        (
            "length is no number",
            raw("POST /v1/lots HTTP/1.1\r\nhost: e\r\ncontent-length: some\r\n\r\n"),
        ),
        (
            "two lengths",
            raw(
                "POST /v1/lots HTTP/1.1\r\nhost: e\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}",
            ),
        ),
    ];
    let table = response_table(callers_address(&site), &cases).await;
    insta::assert_snapshot!(table, @r"
    long header: 431
    no HTTP: 400
    length is no number: 400
    two lengths: 400
    ");
    insta::assert_snapshot!(refusal_metrics(&site, 4).await, @r#"
    pinereel_refused_total{code="bad_request"} 3
    pinereel_refused_total{code="too_large"} 1
    "#);
    assert_completion_succeeds(&site).await;
}

/// Submits a lot of two samples.
async fn submit_lot(site: &Site, id: &str) -> Submitted {
    let lot = json!({
        "id": id, "trainer": "dispatch", "step": 1, "version": 1, "deadline_ms": 10_000,
        "groups": [{ "prompt": id, "samples": 2, "max_tokens": 3 }],
    });
    let response = response_to(
        callers_address(site),
        &raw_post("/v1/lots", &lot.to_string()),
    )
    .await;
    serde_json::from_str(response.strip_prefix("200 ").unwrap()).unwrap()
}

#[actix_rt::test]
async fn invalid_cursor_tokens_and_lots_get_distinct_problems() {
    let site = start_site().await;
    let own = submit_lot(&site, "june").await.token;
    let foreign = submit_lot(&site, "july").await.token;
    let mut damaged = own.clone().into_bytes();
    damaged[10] = if damaged[10] == b'0' { b'1' } else { b'0' };
    let damaged = String::from_utf8(damaged).unwrap();
    let collect = |lot: &str, token: &str| {
        let body = json!({ "token": token, "version": 1, "max": 9, "wait_ms": 0 }).to_string();
        raw_post(&format!("/v1/lots/{lot}/collect"), &body)
    };
    let too_large = json!({
        "id": "august", "trainer": "dispatch", "step": 1, "version": 1, "deadline_ms": 10_000,
        "groups": [{ "prompt": "slot", "samples": 65, "max_tokens": 3 }],
    });
    let cases = [
        ("no token", collect("june", "")),
        ("not a token", collect("june", "slot for June")),
        ("damaged", collect("june", &damaged)),
        ("foreign", collect("june", &foreign)),
        ("unknown lot", collect("may", &own)),
        (
            "too many samples",
            raw_post("/v1/lots", &too_large.to_string()),
        ),
    ];
    let table = response_table(callers_address(&site), &cases).await;
    insta::assert_snapshot!(table, @r#"
    no token: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    not a token: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    damaged: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    foreign: 409 {"code":"foreign_token","message":"cursor token of another lot","ran":"not_run"}
    unknown lot: 409 {"code":"lot_unknown","message":"submit the lot again","ran":"not_run"}
    too many samples: 413 {"code":"too_large","message":"65 samples, at most 64","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusal_metrics(&site, 6).await, @r#"
    pinereel_refused_total{code="bad_token"} 3
    pinereel_refused_total{code="foreign_token"} 1
    pinereel_refused_total{code="lot_unknown"} 1
    pinereel_refused_total{code="too_large"} 1
    "#);
    let response = response_to(callers_address(&site), &collect("june", &own)).await;
    assert!(response.starts_with("200 "), "{response}");
}

#[actix_rt::test]
async fn operator_requests_without_the_token_are_refused() {
    let site = start_site().await;
    let get_with = |token: &str, path: &str| {
        let header = format!("authorization: {token}");
        raw_request(&format!("GET {path} HTTP/1.1"), &[&header], "")
    };
    let bearer = format!("authorization: Bearer {OPERATOR_TOKEN}");
    let drain = raw_request("POST /v1/drain HTTP/1.1", &[], "");
    let patch = raw_request("POST /v1/config HTTP/1.1", &[&bearer], "{\"base\": }");
    let cases = [
        ("no token", drain),
        ("empty", get_with("", "/metrics")),
        ("wrong", get_with("Bearer someone-else", "/v1/config")),
        ("no scheme", get_with(OPERATOR_TOKEN, "/v1/status")),
        ("malformed patch", patch),
        (
            "unknown path",
            get_with(&format!("Bearer {OPERATOR_TOKEN}"), "/v1/nothing"),
        ),
    ];
    let table = response_table(site.entries[0].operators.address, &cases).await;
    insta::assert_snapshot!(table, @r#"
    no token: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    empty: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    wrong: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    no scheme: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    malformed patch: 400 {"code":"bad_request","message":"malformed JSON: expected value at line 1 column 10","ran":"not_run"}
    unknown path: 404 {"code":"not_found","message":"no such path","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusal_metrics(&site, 6).await, @r#"
    pinereel_refused_total{code="bad_request"} 1
    pinereel_refused_total{code="not_found"} 1
    pinereel_refused_total{code="unauthorized"} 4
    "#);
    assert!(!site.entries[0].shared.drain.is_stop_requested());
    let metrics = raw_request("GET /metrics HTTP/1.1", &[&bearer], "");
    let metrics = response_to(site.entries[0].operators.address, &metrics).await;
    assert!(metrics.contains("pinereel_refused_total{code=\"unauthorized\"} 4"));
    assert_completion_succeeds(&site).await;
}
