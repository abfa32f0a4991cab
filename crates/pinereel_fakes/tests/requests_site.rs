//! Requests of each kind from callers through two embedded entries to endpoints, and the drain of
//! an entry.

#![allow(clippy::unwrap_used)]

use pinereel_core::config::Document;
use pinereel_fakes::{
    engine::text,
    site::{Options, Site},
    trainer,
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const EXTRA_SETTINGS: &str =
    "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";

fn document() -> Document {
    serde_json::from_value(json!({
        "pools": {
            "draft-llm": { "kind": "engine", "model": "wording" },
            "orders-app": { "kind": "service", "non_idempotent": ["POST /orders"] },
        },
        "trainers": { "dispatch": { "pool": "draft-llm", "bound": 2, "scorer": "orders-app" } },
    }))
    .unwrap()
}

async fn start_site() -> Site {
    let options = Options {
        zones: vec!["toledo-hall".into(), "erie-hall".into()],
        entry_count: 2,
        engine_pools: vec![("draft-llm".into(), 2)],
        batch: pinereel_fakes::engine::batch::Options {
            tokens_per_second: 2_000.0,
            ..Default::default()
        },
        service_pools: vec![("orders-app".into(), 2)],
        document: document(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: EXTRA_SETTINGS.into(),
    };
    Site::start(options).await.unwrap()
}

fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
}

#[actix_rt::test]
async fn a_completion_has_the_whole_text_and_its_weight_version() {
    let site = start_site().await;
    for address in site.caller_addresses() {
        let request =
            json!({ "model": "draft-llm", "prompt": "slot for June", "max_tokens": 20, "seed": 7 });
        let url = format!("http://{address}/v1/completions");
        let mut response = client().post(url).send_json(&request).await.unwrap();
        assert_eq!(response.status(), 200);
        let completion: Value = response.json().await.unwrap();
        let expected = text::completion("slot for June", 7, 20);
        assert_eq!(completion["choices"][0]["text"], Value::from(expected));
        assert_eq!(completion["versions"][0]["version"], 1);
    }
}

#[actix_rt::test]
async fn a_streamed_completion_ends_with_done() {
    let site = start_site().await;
    let request =
        json!({ "model": "draft-llm", "prompt": "slot", "max_tokens": 9, "stream": true });
    let url = format!("http://{}/v1/completions", site.caller_addresses()[0]);
    let mut response = client().post(url).send_json(&request).await.unwrap();
    let body = response.body().await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}

#[actix_rt::test]
async fn a_service_call_runs_once() {
    let site = start_site().await;
    let url = format!(
        "http://{}/services/orders-app/orders",
        site.caller_addresses()[1]
    );
    let response = client().post(url).send_body("lacquer").await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    let executions: usize = site
        .services
        .iter()
        .map(|s| s.handle.executions().len())
        .sum();
    assert_eq!(executions, 1);
}

#[actix_rt::test]
async fn a_trainer_gets_every_sample_of_its_steps_once() {
    let site = start_site().await;
    let report = trainer::Trainer::new(trainer::Options {
        name: "dispatch".into(),
        entries: site.caller_addresses(),
        steps: 3,
        groups_per_step: 4,
        samples_per_group: 4,
        max_tokens: 40,
        train_time: Duration::from_millis(20),
        staleness_bound: 2,
        check_texts: true,
        ..trainer::Options::default()
    })
    .run()
    .await
    .unwrap();
    assert!(report.is_valid(), "{report:?}");
    assert_eq!((report.steps, report.samples), (3, 48));
}

#[actix_rt::test]
async fn a_drained_entry_removes_its_member_object() {
    let mut site = start_site().await;
    let entry = site.entries.remove(0);
    entry.shared.drain.request_stop();
    entry.run_until_drained().await;
    let members = site.object_api.objects("members").items;
    assert_eq!(members.len(), 1);
}

#[actix_rt::test]
async fn a_drain_waits_for_a_long_stream_and_a_slow_request_body() {
    let mut site = start_site().await;
    let address = site.caller_addresses()[0].clone();
    let entry = site.entries.remove(0);
    let request =
        json!({ "model": "draft-llm", "prompt": "a long one", "max_tokens": 400, "stream": true });
    let url = format!("http://{address}/v1/completions");
    let mut stream = client().post(url).send_json(&request).await.unwrap();
    // A request whose body is complete only after the entry has begun to refuse new requests.
    let mut upload = TcpStream::connect(&address).await.unwrap();
    let head =
        "POST /services/orders-app/echo HTTP/1.1\r\nhost: x\r\ncontent-length: 12\r\n\r\nfirst ";
    upload.write_all(head.as_bytes()).await.unwrap();
    pinereel_fakes::site::wait_until(|| entry.shared.drain.in_flight() == 2)
        .await
        .unwrap();
    entry.shared.drain.request_stop();
    let shared = std::rc::Rc::clone(&entry.shared);
    let drained = actix_rt::spawn(async move { entry.run_until_drained().await });
    pinereel_fakes::site::wait_until(|| shared.drain.refuses_requests())
        .await
        .unwrap();
    upload.write_all(b"second").await.unwrap();
    let mut response = Vec::new();
    upload.read_to_end(&mut response).await.unwrap();
    let response = String::from_utf8(response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    assert!(response.contains("first second"), "{response}");
    let body = stream.body().await.unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    drained.await.unwrap();
}
