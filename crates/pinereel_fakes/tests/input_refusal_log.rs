//! A refused request is logged once, whether a handler or the HTTP server refuses it.

#![allow(clippy::unwrap_used)]

mod input_support;

use input_support::{
    assert_completion_succeeds, callers_address, raw_post, raw_request, response_to, start_site,
};
use pinereel::{logging, settings::Log};
use serde_json::Value;
use std::{fs, time::Duration};

#[actix_rt::test]
async fn each_refused_request_is_logged_once() {
    let site = start_site().await;
    let file = std::env::temp_dir().join(format!("pinereel-refusals-{}", std::process::id()));
    let settings = &site.entries[0].shared.settings.log;
    let log = Log {
        file: Some(file.clone()),
        ..settings.clone()
    };
    let handle = logging::init(&log).unwrap();
    let address = callers_address(&site);
    response_to(address, &raw_post("/v1/completions", "{")).await;
    response_to(address, &raw_post("/services/no-app/orders", "lacquer")).await;
    response_to(
        address,
        &raw_request("GET /live HTTP/1.1", &["no colon"], ""),
    )
    .await;
    assert_completion_succeeds(&site).await;
    assert!(handle.flush(Duration::from_secs(5)));
    let text = fs::read_to_string(&file).unwrap();
    fs::remove_file(&file).unwrap();
    let entries = text
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).unwrap());
    let refusals: Vec<_> = entries
        .filter(|e| e["msg"].as_str().is_some_and(|m| m.starts_with("refused")))
        .map(|e| format!("{} {} {}", e["entry"], e["code"], e["msg"]))
        .collect();
    insta::assert_snapshot!(refusals.join("\n"), @r#"
    "entry-0" "bad_request" "refused: malformed JSON: EOF while parsing an object at line 1 column 1"
    "entry-0" "not_found" "refused: unknown pool"
    "entry-0" "bad_request" "refused: by the listener"
    "#);
}
