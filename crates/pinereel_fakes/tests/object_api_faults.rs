//! Fake object API over HTTP: conditions, lost responses, watches, limits, and the lag of the list.

use actix_http::StatusCode;
use awc::Client;
use pinereel_api::object::{
    Changes, Faults, Instance, InstanceState, List, Object, Write, Written,
};
use pinereel_fakes::object_api::{Api, Handle, Options, TokenBucket};
use serde_json::{Value, json};
use std::time::Duration;

async fn start(options: Options) -> Handle {
    Api::start(options).await.expect("a free port")
}

fn url(api: &Handle, path: &str) -> String {
    format!("http://{}{path}", api.address)
}

/// Writes an object. Returns the status and the version in the response (0 if it contains none);
/// `None` if there was no response.
async fn put(
    api: &Handle,
    path: &str,
    condition: (&str, &str),
    value: Value,
) -> Option<(u16, u64)> {
    let request = Client::default()
        .put(url(api, path))
        .insert_header(condition);
    let mut response = request.send_json(&Write { value }).await.ok()?;
    let version = response.json::<Written>().await.map_or(0, |w| w.version);
    Some((response.status().as_u16(), version))
}

async fn create(api: &Handle, path: &str, value: Value) -> Option<(u16, u64)> {
    put(api, path, ("if-none-match", "*"), value).await
}

async fn update(api: &Handle, path: &str, version: u64, value: Value) -> Option<(u16, u64)> {
    put(api, path, ("if-match", &version.to_string()), value).await
}

async fn get(api: &Handle, path: &str) -> (StatusCode, Vec<u8>) {
    let mut response = Client::default()
        .get(url(api, path))
        .send()
        .await
        .expect("a response");
    let body = response.body().await.expect("a body");
    (response.status(), body.to_vec())
}

async fn read<T: serde::de::DeserializeOwned>(api: &Handle, path: &str) -> T {
    let (status, body) = get(api, path).await;
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice(&body).expect("the expected type")
}

#[actix_rt::test]
async fn write_is_applied_only_if_its_condition_is_met() {
    let api = start(Options::default()).await;
    assert_eq!(
        create(&api, "/objects/leases/a", json!(1)).await,
        Some((200, 1))
    );
    assert_eq!(
        create(&api, "/objects/leases/a", json!(2)).await,
        Some((409, 1))
    );
    assert_eq!(
        update(&api, "/objects/leases/a", 1, json!(3)).await,
        Some((200, 2))
    );
    assert_eq!(
        update(&api, "/objects/leases/a", 1, json!(4)).await,
        Some((409, 2))
    );
    assert_eq!(
        update(&api, "/objects/leases/b", 1, json!(4)).await,
        Some((404, 0))
    );
    let object: Object = read(&api, "/objects/leases/a").await;
    assert_eq!((object.version, object.value), (2, json!(3)));
    let delete = Client::default().delete(url(&api, "/objects/leases/a"));
    let response = delete
        .insert_header(("if-match", "2"))
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::NO_CONTENT);
    assert_eq!(
        get(&api, "/objects/leases/a").await.0,
        StatusCode::NOT_FOUND
    );
    // Versions are never reused, not even after a delete.
    assert_eq!(
        create(&api, "/objects/leases/a", json!(5)).await,
        Some((200, 4))
    );
    let list: List = read(&api, "/objects/leases?prefix=b").await;
    assert_eq!((list.revision, list.items.len()), (4, 0));
    assert_eq!(api.stats().writes["leases"], 7);
    assert_eq!(api.stats().reads["leases"], 3);
}

#[actix_rt::test]
async fn one_of_two_concurrent_creates_succeeds() {
    let api = start(Options::default()).await;
    let (one, two) = tokio::join!(
        create(&api, "/objects/claims/0.1", json!("one")),
        create(&api, "/objects/claims/0.1", json!("two")),
    );
    let mut statuses = [one.unwrap().0, two.unwrap().0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    assert_eq!(api.history(Some("claims")).len(), 1);
}

#[actix_rt::test]
async fn write_is_applied_although_its_response_is_lost() {
    let api = start(Options::default()).await;
    api.set_faults(Faults {
        lose_write_answers: Some(1),
        lose_kind: Some("config".into()),
        ..Faults::default()
    });
    assert_eq!(
        create(&api, "/objects/leases/a", json!(1)).await,
        Some((200, 1))
    );
    assert_eq!(
        create(&api, "/objects/config/current", json!(1)).await,
        None
    );
    let object: Object = read(&api, "/objects/config/current").await;
    assert_eq!(object.version, 2);
    assert_eq!(
        update(&api, "/objects/config/current", 2, json!(2)).await,
        Some((200, 3))
    );
}

#[actix_rt::test]
async fn watch_waits_for_changes_and_returns_410_after_a_gap_or_an_injected_end() {
    let api = start(Options {
        max_watch_changes: 2,
        ..Options::default()
    })
    .await;
    let (changes, written) = tokio::join!(
        read::<Changes>(&api, "/objects/config?after=0&wait_ms=30000"),
        create(&api, "/objects/config/current", json!(1)),
    );
    assert_eq!(written, Some((200, 1)));
    assert_eq!((changes.revision, changes.changes[0].version), (1, 1));
    for version in 1..4 {
        update(&api, "/objects/config/current", version, json!(2)).await;
    }
    assert_eq!(
        get(&api, "/objects/config?after=1").await.0,
        StatusCode::GONE
    );
    let rest: Changes = read(&api, "/objects/config?after=2").await;
    assert_eq!((rest.revision, rest.changes.len()), (4, 2));
    api.set_faults(Faults {
        end_watches: Some(true),
        ..Faults::default()
    });
    assert_eq!(
        get(&api, "/objects/config?after=4").await.0,
        StatusCode::GONE
    );
    let none: Changes = read(&api, "/objects/config?after=4").await;
    assert_eq!((none.revision, none.changes.len()), (4, 0));
    assert_eq!(api.stats().waiting, 0);
}

#[actix_rt::test]
async fn calls_above_the_rate_limit_and_too_large_values_are_refused() {
    let api = start(Options {
        reads_per_second: 0,
        ..Options::default()
    })
    .await;
    let large = json!("x".repeat(pinereel_api::object::MAX_VALUE_BYTES));
    let created = create(&api, "/objects/claims/0", large).await;
    assert_eq!(created, Some((413, 0)));
    assert_eq!(api.history(None), []);
    let request = Client::default().get(url(&api, "/objects/claims"));
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.headers().get("retry-after").unwrap(), "1");
    assert_eq!(api.stats().limited, 1);
}

#[tokio::test(start_paused = true)]
async fn token_bucket_refills_at_its_rate() {
    let bucket = TokenBucket::new(2);
    let mut granted = Vec::new();
    for _ in 0..6 {
        granted.push(bucket.try_take());
        tokio::time::advance(Duration::from_millis(250)).await;
    }
    assert_eq!(granted, [true, true, true, false, true, false]);
}

#[actix_rt::test]
async fn outage_returns_503_and_cut_agents_get_no_response() {
    let api = start(Options::default()).await;
    api.set_faults(Faults {
        outage_ms: Some(60_000),
        ..Faults::default()
    });
    assert_eq!(
        get(&api, "/objects/claims").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(get(&api, "/stats").await.0, StatusCode::OK);
    api.set_faults(Faults {
        outage_ms: Some(0),
        cut_agents: Some(vec!["one".into()]),
        ..Faults::default()
    });
    let list_as_agent = |agent: &'static str| {
        let request = Client::default().get(url(&api, "/objects/claims"));
        request.insert_header(("user-agent", agent)).send()
    };
    assert!(list_as_agent("one").await.is_err());
    assert!(list_as_agent("two").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn list_shows_changes_of_instances_after_the_lag() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let api = start(Options::default()).await;
            let instance = |state| Instance {
                incarnation: 1,
                address: "127.0.0.1:1".into(),
                zone: "a".into(),
                pool: "p".into(),
                state,
            };
            api.put_instance("i", instance(InstanceState::Live));
            tokio::time::sleep(Duration::from_millis(500)).await;
            api.put_instance("i", instance(InstanceState::Leaving));
            assert_eq!(api.objects("instances").items, []);
            tokio::time::sleep(Duration::from_millis(501)).await;
            let state = |api: &Handle| api.objects("instances").items[0].value["state"].clone();
            assert_eq!(state(&api), json!("live"));
            api.list_pending_instances();
            assert_eq!(state(&api), json!("leaving"));
            api.remove_instance("i");
            tokio::time::sleep(Duration::from_millis(1_001)).await;
            assert_eq!(api.objects("instances").items, []);
        })
        .await;
}

#[actix_rt::test]
async fn watch_ends_when_its_client_disconnects() {
    let api = start(Options::default()).await;
    let request = Client::default().get(url(&api, "/objects/config?after=0&wait_ms=60000"));
    let watch = actix_rt::spawn(request.timeout(Duration::from_secs(60)).send());
    wait_for_pending_watches(&api, 1).await;
    watch.abort();
    wait_for_pending_watches(&api, 0).await;
}

async fn wait_for_pending_watches(api: &Handle, count: u64) {
    let reached = async {
        while api.stats().waiting != count {
            tokio::task::yield_now().await;
        }
    };
    let timeout = Duration::from_secs(10);
    tokio::time::timeout(timeout, reached)
        .await
        .expect("the number of pending watches was not reached in time");
}
