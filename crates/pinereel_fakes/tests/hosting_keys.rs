//! Callers' API keys and workspaces, end to end with real processes.
//!
//! Guards against requests that are forwarded without a check of their key. Without it, 3,617
//! requests of a run without faults reached endpoints with the caller's key and without
//! its workspace, one had a key that was never configured, and in runs that revoke keys up to 63
//! requests ran with a key that had been revoked for 4 s.

use actix_http::{Method, StatusCode};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    http::{Answer, call},
    recorder::CallerIdentity,
    site::{HOST, Instance, METRICS_PORT, Site, Size},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 2,
};
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which a change of the keys is in force at every instance.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Two keys of workspace a, two of workspace b, the second of which is added later, and one that is
/// never configured.
const A1: &str = "key-of-a-7fe2b1";
const A2: &str = "key-of-a-30cd55";
const B1: &str = "key-of-b-91aa0e";
const B2: &str = "key-of-b-c4d7f3";
const UNKNOWN_KEY: &str = "key-of-nobody-55";

async fn start_site(seed: u64) -> Site {
    let mut site = Site::start(SITE_SIZE, seed).await.expect("the site starts");
    set_keys(&mut site, &[A1, A2], &[B1]);
    sleep(CONFIG_PROPAGATION_TIME).await;
    site
}

fn set_keys(site: &mut Site, a: &[&str], b: &[&str]) {
    site.workspaces = Some(json!([
        {"name": "a", "apiKeys": a, "priority": 1},
        {"name": "b", "apiKeys": b},
    ]));
    site.configure("plain", Duration::from_secs(2));
}

/// Sends one call with a key. Its header claims workspace b, which must have no effect.
async fn send(
    instance: &Instance,
    (method, path): (Method, &str),
    id: &str,
    key: Option<&str>,
    body: &str,
) -> Answer {
    let mut headers = vec![
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
        ("x-tenant", "b".to_owned()),
    ];
    headers.extend(key.map(|key| ("authorization", format!("Bearer {key}"))));
    let (address, body) = (instance.caller_proxy.address, Bytes::from(body.to_owned()));
    let answer = call(address, method, path, &headers, body, CALL_TIMEOUT).await;
    answer.expect("an answer")
}

async fn live_status(instance: &Instance, id: &str, key: Option<&str>) -> StatusCode {
    let call = (Method::POST, "/live/x");
    send(instance, call, id, key, "x").await.status
}

fn expected_callers(workspace: Option<&str>) -> Vec<CallerIdentity> {
    vec![CallerIdentity {
        workspace: workspace.map(Into::into),
        credential: None,
    }]
}

#[actix_rt::test]
async fn a_live_request_runs_on_behalf_of_its_keys_workspace() {
    let mut site = start_site(180).await;
    let instance = &site.instances[0];
    assert_eq!(live_status(instance, "l-1", Some(A1)).await, StatusCode::OK);
    assert_eq!(live_status(instance, "l-2", Some(B1)).await, StatusCode::OK);
    assert_eq!(site.recorder.callers("l-1"), expected_callers(Some("a")));
    assert_eq!(site.recorder.callers("l-2"), expected_callers(Some("b")));
    for (id, key) in [("l-3", Some(UNKNOWN_KEY)), ("l-4", None)] {
        assert_eq!(
            live_status(instance, id, key).await,
            StatusCode::UNAUTHORIZED
        );
        assert_eq!(site.recorder.run_count(id), 0);
    }
    let public = (Method::POST, "/score/x");
    let answer = send(instance, public, "l-5", Some(UNKNOWN_KEY), "x").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.recorder.callers("l-5"), expected_callers(None));

    set_keys(&mut site, &[A2], &[B1, B2]);
    sleep(CONFIG_PROPAGATION_TIME).await;
    for (number, instance) in site.instances.iter().enumerate() {
        let revoked = live_status(instance, &format!("g-{number}"), Some(A1)).await;
        assert_eq!(revoked, StatusCode::UNAUTHORIZED);
        let new = live_status(instance, &format!("n-{number}"), Some(B2)).await;
        assert_eq!(new, StatusCode::OK);
    }
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

fn lot_body() -> String {
    let item = |number: usize| {
        json!({
            "id": format!("item-{number}"), "path": "/lots/x", "body": BASE64.encode("p"), "tokens": 3, "group": "g",
            "headers": {"X-Model": "model-a"},
            "scorer": {"id": format!("s-{number}"), "host": HOST, "path": "/score/x", "body": BASE64.encode("s")},
        })
    };
    let items: Vec<_> = (0..3).map(item).collect();
    json!({"step": 0, "model": "model-a", "minVersion": 1, "desiredCount": 1, "items": items})
        .to_string()
}

async fn read_results(instance: &Instance, key: &str) -> (StatusCode, usize) {
    let read = (Method::GET, "/v1/lots/lot-1?after=0");
    let answer = send(instance, read, "r", Some(key), "").await;
    let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let results = page["results"].as_array().map_or(0, Vec::len);
    (answer.status, results)
}

#[actix_rt::test]
async fn a_lot_is_accessible_only_to_its_workspace() {
    let mut site = start_site(181).await;
    let submit = (Method::POST, "/lots/1");
    let end = (Method::DELETE, "/v1/lots/lot-1");
    let body = (Method::GET, "/v1/items/lot-1?id=item-0");
    let instance = &site.instances[0];
    for key in [Some(UNKNOWN_KEY), None] {
        let answer = send(instance, submit.clone(), "lot-1", key, &lot_body()).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    }
    let answer = send(instance, submit.clone(), "lot-1", Some(A1), &lot_body()).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
    // No instance tells another workspace anything about the lot.
    for instance in &site.instances {
        assert_eq!(read_results(instance, B1).await.0, StatusCode::NOT_FOUND);
        for call in [end.clone(), body.clone()] {
            let answer = send(instance, call, "r", Some(B1), "").await;
            assert_eq!(answer.status, StatusCode::NOT_FOUND);
        }
        assert_eq!(
            read_results(instance, UNKNOWN_KEY).await.0,
            StatusCode::UNAUTHORIZED
        );
    }
    // Revoking the key that submitted a lot does not end it, and the workspace's other key can read
    // it.
    set_keys(&mut site, &[A2], &[B1]);
    let instance = &site.instances[1];
    let limit = Instant::now() + Duration::from_secs(10);
    while read_results(instance, A2).await.1 < 3 && Instant::now() < limit {
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(read_results(instance, A2).await, (StatusCode::OK, 3));
    for number in 0..3 {
        let item = site.recorder.callers(&format!("item-{number}"));
        assert_eq!(item, expected_callers(Some("a")), "the item's workspace");
        let scoring = site.recorder.callers(&format!("s-{number}"));
        assert_eq!(
            scoring,
            expected_callers(None),
            "a scoring runs without a workspace"
        );
    }
    for instance in &site.instances {
        let answer = send(instance, end.clone(), "r", Some(A2), "").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(read_results(instance, A2).await, (StatusCode::OK, 3));
    }
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

/// Returns everything that the processes write: logs, metrics, and objects in the store.
async fn dump_output(site: &Site) -> String {
    let mut all = site.store.dump_own_objects();
    for instance in &site.instances {
        all += &instance.all_lines().join("\n");
        let metrics = SocketAddr::new(instance.readiness_address.ip(), METRICS_PORT);
        let headers = [("host", "here".to_owned())];
        let get = call(
            metrics,
            Method::GET,
            "/metrics",
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        );
        all += &String::from_utf8_lossy(&get.await.expect("metrics").body);
    }
    all
}

#[actix_rt::test]
async fn api_keys_do_not_appear_in_logs_metrics_or_stored_objects() {
    let mut site = start_site(182).await;
    for instance in &site.instances {
        for key in [A1, B1, UNKNOWN_KEY] {
            live_status(
                instance,
                &format!("{}-{}", instance.name, key.len()),
                Some(key),
            )
            .await;
        }
        let submit = (Method::POST, "/lots/1");
        send(instance, submit, "lot-1", Some(A1), &lot_body()).await;
        read_results(instance, A2).await;
        read_results(instance, UNKNOWN_KEY).await;
    }
    set_keys(&mut site, &[A2], &[B1, B2]);
    sleep(CONFIG_PROPAGATION_TIME).await;
    for instance in &site.instances {
        live_status(instance, &format!("{}-gone", instance.name), Some(A1)).await;
    }
    let output = dump_output(&site).await;
    assert!(output.contains("refused: no access"), "the log was read");
    assert!(
        output.contains("pinereel-lots a.lot-1"),
        "the store was read"
    );
    for key in [A1, A2, B1, B2, UNKNOWN_KEY] {
        assert!(!output.contains(key), "{key}");
    }
}
