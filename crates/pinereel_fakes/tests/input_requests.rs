//! Bad requests to the callers' and operators' listeners: typed answers, refusals.

#![allow(clippy::unwrap_used)]

mod input;

use input::{MAX_BODY, answer, callers, post, refusals, request, site, undisturbed};
use pinereel_api::trainer::Submitted;
use pinereel_fakes::site::{OPERATOR_TOKEN, Site};
use serde_json::json;
use std::net::SocketAddr;

/// One line a case: its name, the status and the body.
async fn table(address: SocketAddr, cases: &[(&str, Vec<u8>)]) -> String {
    let mut lines = Vec::new();
    for (name, bytes) in cases {
        lines.push(format!("{name}: {}", answer(address, bytes).await));
    }
    lines.join("\n")
}

fn completion(headers: &[&str], max_tokens: u32) -> Vec<u8> {
    let body = json!({ "model": "draft-llm", "prompt": "slot", "max_tokens": max_tokens });
    request("POST /v1/completions HTTP/1.1", headers, &body.to_string())
}

#[actix_rt::test]
async fn malformed_requests_get_typed_answers() {
    let site = site().await;
    let large = "x".repeat(MAX_BODY + 1);
    let far = "x".repeat(16 << 20);
    let foreign_pool = json!({ "model": "no-llm", "prompt": "slot", "max_tokens": 3 }).to_string();
    let cases = [
        ("malformed JSON", post("/v1/completions", "{\"model\": ")),
        ("no JSON", post("/v1/lots", "slot for June")),
        ("too large", post("/v1/completions", &large)),
        (
            "too large for a service",
            post("/services/orders-app/orders", &large),
        ),
        ("far too large", post("/v1/completions", &far)),
        ("unknown pool", post("/v1/completions", &foreign_pool)),
        (
            "unknown service",
            post("/services/no-app/orders", "lacquer"),
        ),
        ("unknown path", post("/v2/completions", "{}")),
        (
            "wrong method",
            request("DELETE /v1/completions HTTP/1.1", &[], ""),
        ),
        ("no tokens wanted", completion(&[], 0)),
        ("deadline", completion(&["x-deadline-ms: soon"], 3)),
        ("priority", completion(&["x-priority: first"], 3)),
        (
            "unknown trainer",
            post("/v1/trainers/nobody/versions", "{\"version\": 2}"),
        ),
    ];
    let table = table(callers(&site), &cases).await;
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
    insta::assert_snapshot!(refusals(&site, 13).await, @r#"
    pinereel_refused_total{code="bad_request"} 5
    pinereel_refused_total{code="not_found"} 5
    pinereel_refused_total{code="too_large"} 3
    "#);
    undisturbed(&site).await;
    let executions = site.services[0].handle.executions();
    assert_eq!(executions.len(), 0, "what was refused did not run");
}

#[actix_rt::test]
async fn broken_framing_is_refused_and_counted() {
    let site = site().await;
    let long = format!("x-long: {}", "x".repeat(200_000));
    let raw = |text: &str| text.as_bytes().to_vec();
    let cases = [
        ("long header", request("GET /live HTTP/1.1", &[&long], "")),
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
    let table = table(callers(&site), &cases).await;
    insta::assert_snapshot!(table, @r"
    long header: 431
    no HTTP: 400
    length is no number: 400
    two lengths: 400
    ");
    insta::assert_snapshot!(refusals(&site, 4).await, @r#"
    pinereel_refused_total{code="bad_request"} 3
    pinereel_refused_total{code="too_large"} 1
    "#);
    undisturbed(&site).await;
}

async fn submit(site: &Site, id: &str) -> Submitted {
    let lot = json!({
        "id": id, "trainer": "dispatch", "step": 1, "version": 1, "deadline_ms": 10_000,
        "groups": [{ "prompt": id, "samples": 2, "max_tokens": 3 }],
    });
    let answer = answer(callers(site), &post("/v1/lots", &lot.to_string())).await;
    serde_json::from_str(answer.strip_prefix("200 ").unwrap()).unwrap()
}

#[actix_rt::test]
async fn wrong_cursor_tokens_are_told_apart() {
    let site = site().await;
    let own = submit(&site, "june").await.token;
    let foreign = submit(&site, "july").await.token;
    let mut damaged = own.clone().into_bytes();
    damaged[10] = if damaged[10] == b'0' { b'1' } else { b'0' };
    let damaged = String::from_utf8(damaged).unwrap();
    let collect = |lot: &str, token: &str| {
        let body = json!({ "token": token, "version": 1, "max": 9, "wait_ms": 0 }).to_string();
        post(&format!("/v1/lots/{lot}/collect"), &body)
    };
    let large = json!({
        "id": "august", "trainer": "dispatch", "step": 1, "version": 1, "deadline_ms": 10_000,
        "groups": [{ "prompt": "slot", "samples": 65, "max_tokens": 3 }],
    });
    let cases = [
        ("no token", collect("june", "")),
        ("not a token", collect("june", "slot for June")),
        ("damaged", collect("june", &damaged)),
        ("foreign", collect("june", &foreign)),
        ("unknown lot", collect("may", &own)),
        ("too many samples", post("/v1/lots", &large.to_string())),
    ];
    let table = table(callers(&site), &cases).await;
    insta::assert_snapshot!(table, @r#"
    no token: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    not a token: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    damaged: 400 {"code":"bad_token","message":"malformed cursor token","ran":"not_run"}
    foreign: 409 {"code":"foreign_token","message":"cursor token of another lot","ran":"not_run"}
    unknown lot: 409 {"code":"lot_unknown","message":"submit the lot again","ran":"not_run"}
    too many samples: 413 {"code":"too_large","message":"65 samples, at most 64","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusals(&site, 6).await, @r#"
    pinereel_refused_total{code="bad_token"} 3
    pinereel_refused_total{code="foreign_token"} 1
    pinereel_refused_total{code="lot_unknown"} 1
    pinereel_refused_total{code="too_large"} 1
    "#);
    let own = answer(callers(&site), &collect("june", &own)).await;
    assert!(own.starts_with("200 "), "{own}");
}

#[actix_rt::test]
async fn operators_need_their_token() {
    let site = site().await;
    let with = |token: &str, path: &str| {
        let header = format!("authorization: {token}");
        request(&format!("GET {path} HTTP/1.1"), &[&header], "")
    };
    let bearer = format!("authorization: Bearer {OPERATOR_TOKEN}");
    let drain = request("POST /v1/drain HTTP/1.1", &[], "");
    let patch = request("POST /v1/config HTTP/1.1", &[&bearer], "{\"base\": }");
    let cases = [
        ("no token", drain),
        ("empty", with("", "/metrics")),
        ("wrong", with("Bearer someone-else", "/v1/config")),
        ("no scheme", with(OPERATOR_TOKEN, "/v1/status")),
        ("malformed patch", patch),
        (
            "unknown path",
            with(&format!("Bearer {OPERATOR_TOKEN}"), "/v1/nothing"),
        ),
    ];
    let table = table(site.entries[0].operators.address, &cases).await;
    insta::assert_snapshot!(table, @r#"
    no token: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    empty: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    wrong: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    no scheme: 401 {"code":"unauthorized","message":"the operators' token is missing or wrong","ran":"not_run"}
    malformed patch: 400 {"code":"bad_request","message":"malformed JSON: expected value at line 1 column 10","ran":"not_run"}
    unknown path: 404 {"code":"not_found","message":"no such path","ran":"not_run"}
    "#);
    insta::assert_snapshot!(refusals(&site, 6).await, @r#"
    pinereel_refused_total{code="bad_request"} 1
    pinereel_refused_total{code="not_found"} 1
    pinereel_refused_total{code="unauthorized"} 4
    "#);
    assert!(!site.entries[0].shared.drain.is_stop_requested());
    let metrics = request("GET /metrics HTTP/1.1", &[&bearer], "");
    let metrics = answer(site.entries[0].operators.address, &metrics).await;
    assert!(metrics.contains("pinereel_refused_total{code=\"unauthorized\"} 4"));
    undisturbed(&site).await;
}
