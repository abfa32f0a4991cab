//! The daemon's client of the object API against the fake API, and the fake's own calls over HTTP.

use awc::Client as Http;
use pinereel::{
    objects::{Client, Error, Options as ClientOptions, Purpose},
    state::Clock,
};
use pinereel_api::object::{Change, Faults, Instance, InstanceState};
use pinereel_fakes::object_api::{Api, Handle, Options, WriteRecord};
use serde_json::{Value, json};
use std::time::Duration;

const CONFIG: Purpose = Purpose::Config;

async fn start() -> (Handle, Client) {
    let options = Options {
        lag: Duration::from_millis(1),
        max_watch_changes: 1,
        ..Options::default()
    };
    let api = Api::start(options).await.expect("a free port");
    let client_options = ClientOptions {
        address: api.address.to_string(),
        agent: "entry-1".into(),
        max_concurrency: 4,
        timeout: Duration::from_secs(10),
        reads_per_second: 1_000.0,
        writes_per_second: 1_000.0,
    };
    (api, Client::new(client_options, Clock::new()))
}

#[actix_rt::test]
async fn client_maps_each_response_to_its_result_or_error() {
    let (api, client) = start().await;
    assert_eq!(client.create(CONFIG, "config", "current", &1).await, Ok(1));
    let conflict = client.create(CONFIG, "config", "current", &2).await;
    assert_eq!(conflict, Err(Error::Conflict));
    let missing = client.update(CONFIG, "config", "other", 1, &2).await;
    assert_eq!(missing, Err(Error::NotFound));
    api.set_faults(Faults {
        lose_write_answers: Some(1),
        ..Faults::default()
    });
    let lost = client.update(CONFIG, "config", "current", 1, &3).await;
    assert!(matches!(&lost, Err(Error::Unknown(_))), "{lost:?}");
    let object = client.read(CONFIG, "config", "current").await;
    let object = object.unwrap().unwrap();
    assert_eq!((object.version, object.value), (2, json!(3)));
    let gone = client.watch(CONFIG, "config", 0, Duration::ZERO).await;
    assert_eq!(gone, Err(Error::Gone));
    api.set_faults(Faults {
        outage_ms: Some(60_000),
        ..Faults::default()
    });
    let refused = client.read(CONFIG, "config", "current").await;
    assert!(matches!(&refused, Err(Error::Refused(_))), "{refused:?}");
    let writers = api.history(Some("config")).into_iter().map(|r| r.agent);
    assert_eq!(writers.collect::<Vec<_>>(), ["entry-1", "entry-1"]);
}

#[actix_rt::test]
async fn changes_of_instances_by_http_appear_in_a_watch() {
    let (api, client) = start().await;
    let url = |path: &str| format!("http://{}{path}", api.address);
    let instance = Instance {
        incarnation: 7,
        address: "127.0.0.1:9".into(),
        zone: "a".into(),
        pool: "wording".into(),
        state: InstanceState::Live,
    };
    let request = Http::default().post(url("/instances/w1"));
    assert_eq!(request.send_json(&instance).await.unwrap().status(), 204);
    let wait = Duration::from_secs(20);
    let purpose = Purpose::Instances;
    let changes = client.watch(purpose, "instances", 0, wait).await.unwrap();
    let change = Change {
        name: "w1".into(),
        version: 1,
        value: Some(json!(instance)),
    };
    assert_eq!(changes.changes, [change]);
    let request = Http::default().delete(url("/instances/w1"));
    assert_eq!(request.send().await.unwrap().status(), 204);
    let changes = client.watch(purpose, "instances", 1, wait).await.unwrap();
    assert_eq!(changes.changes[0].value, None);
    assert!(
        client
            .create(purpose, "instances", "w2", &Value::Null)
            .await
            .is_err()
    );
    let request = Http::default().get(url("/history?kind=instances"));
    let records: Vec<WriteRecord> = request.send().await.unwrap().json().await.unwrap();
    assert_eq!(records.len(), 2);
    let request = Http::default().post(url("/faults"));
    let response = request.send_json(&json!({ "outage_ms": 60_000 })).await;
    assert_eq!(response.unwrap().status(), 204);
    let refused = client.list(purpose, "instances", "").await;
    assert!(matches!(&refused, Err(Error::Refused(_))), "{refused:?}");
}
