//! A refused request is logged once, whoever refuses it.

#![allow(clippy::unwrap_used)]

mod input;

use input::{answer, callers, post, request, site, undisturbed};
use pinereel::{logging, settings::Log};
use serde_json::Value;
use std::{fs, time::Duration};

#[actix_rt::test]
async fn each_refusal_is_one_line() {
    let site = site().await;
    let file = std::env::temp_dir().join(format!("pinereel-refusals-{}", std::process::id()));
    let settings = &site.entries[0].shared.settings.log;
    let log = Log {
        file: Some(file.clone()),
        ..settings.clone()
    };
    let handle = logging::init(&log).unwrap();
    let address = callers(&site);
    answer(address, &post("/v1/completions", "{")).await;
    answer(address, &post("/services/no-app/orders", "lacquer")).await;
    answer(address, &request("GET /live HTTP/1.1", &["no colon"], "")).await;
    undisturbed(&site).await;
    assert!(handle.flush(Duration::from_secs(5)));
    let text = fs::read_to_string(&file).unwrap();
    fs::remove_file(&file).unwrap();
    let lines = text
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).unwrap());
    let refusals: Vec<_> = lines
        .filter(|l| l["msg"].as_str().is_some_and(|m| m.starts_with("refused")))
        .map(|l| format!("{} {} {}", l["entry"], l["code"], l["msg"]))
        .collect();
    insta::assert_snapshot!(refusals.join("\n"), @r#"
    "entry-0" "bad_request" "refused: malformed JSON: EOF while parsing an object at line 1 column 1"
    "entry-0" "not_found" "refused: unknown pool"
    "entry-0" "bad_request" "refused: by the listener"
    "#);
}
