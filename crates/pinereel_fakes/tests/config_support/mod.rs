//! Helpers of the tests of configuration patches: an embedded site without requests, and calls to
//! its operators' listeners.

#![allow(clippy::unwrap_used, dead_code, reason = "test support")]

use compact_str::CompactString;
use pinereel::{entry::Entry, filters::pin};
use pinereel_api::operator::Status;
use pinereel_core::config::Document;
use pinereel_fakes::site::{OPERATOR_TOKEN, Options, Site};
use serde_json::{Value, json};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval between two reads of the entries' configuration numbers.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The document of configuration 1.
pub fn document() -> Document {
    serde_json::from_value(json!({
        "pools": { "draft-llm": { "kind": "engine", "model": "wording" } },
        "trainers": { "dispatch": { "pool": "draft-llm", "bound": 2 } },
    }))
    .unwrap()
}

/// Options of a site with this number of entries and without endpoints.
pub fn options(entries: usize) -> Options {
    Options {
        zones: vec!["toledo-hall".into(), "erie-hall".into(), "monroe".into()],
        entry_count: entries,
        engine_pools: vec![],
        batch: Default::default(),
        service_pools: vec![],
        document: document(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: "[log]\ndecisions = false\n".into(),
    }
}

pub async fn start_site(entries: usize) -> Site {
    Site::start(options(entries)).await.unwrap()
}

/// A merge patch that sets the trainer's staleness bound.
pub fn bound_merge(bound: u64) -> Value {
    json!({ "trainers": { "dispatch": { "bound": bound } } })
}

/// Submits a patch to an entry; returns the status and the body of the response.
pub async fn patch(entry: &Entry, base: u64, id: &str, merge: Value) -> (u16, Value) {
    let body = json!({ "base": base, "id": id, "merge": merge });
    post(entry, "/v1/config", &body).await
}

/// Sends JSON to an entry as its operator; returns the status and the body of the response, which
/// is null if it is not JSON.
pub async fn post(entry: &Entry, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{}{path}", entry.operators.address);
    let request = client().post(url).bearer_auth(OPERATOR_TOKEN);
    let mut response = request.send_json(body).await.unwrap();
    let body = response.body().await.unwrap();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    (response.status().as_u16(), body)
}

/// Reads a path of an entry as its operator; returns the status and the body of the response.
pub async fn get(entry: &Entry, path: &str) -> (u16, Vec<u8>) {
    let url = format!("http://{}{path}", entry.operators.address);
    let request = client().get(url).bearer_auth(OPERATOR_TOKEN);
    let mut response = request.send().await.unwrap();
    let body = response.body().await.unwrap();
    (response.status().as_u16(), body.to_vec())
}

pub async fn status(entry: &Entry) -> Status {
    serde_json::from_slice(&get(entry, "/v1/status").await.1).unwrap()
}

fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
}

/// The number of the configuration under which an entry admits a request now, or why it admits
/// none.
pub fn admits(entry: &Entry) -> Result<u64, CompactString> {
    let admission = pin::pin(&entry.shared);
    admission
        .map(|snapshot| snapshot.number)
        .map_err(|problem| problem.message)
}

/// Whether all entries admit requests under configuration `number`.
pub fn all_admit_under(site: &Site, number: u64) -> bool {
    site.entries.iter().all(|e| admits(e) == Ok(number))
}

/// Starts a task that keeps track of the highest configuration number in force at any entry;
/// returns the cell in which the task stores that number.
pub fn track_highest_number(site: &Site) -> Rc<Cell<u64>> {
    let highest = Rc::new(Cell::new(0));
    let stored = Rc::clone(&highest);
    let entries = site.entries.clone();
    actix_rt::spawn(async move {
        loop {
            let numbers = entries.iter().map(|entry| entry.shared.config.number());
            stored.set(numbers.max().unwrap_or(0).max(stored.get()));
            sleep(POLL_INTERVAL).await;
        }
    });
    highest
}

/// Whether a patch is pending in the object API.
pub fn is_patch_pending(site: &Site) -> bool {
    let objects = site.object_api.objects("config").items;
    objects
        .first()
        .is_some_and(|object| !object.value["pending"].is_null())
}

/// Disconnects an entry from its peers, for good, and from the object API.
pub fn disconnect(site: &Site, entry: &Entry) {
    entry.shared.mesh.close();
    disconnect_from_object_api(site, entry);
}

/// Disconnects an entry from the object API, and no other entry.
pub fn disconnect_from_object_api(site: &Site, entry: &Entry) {
    site.object_api.set_faults(pinereel_api::object::Faults {
        cut_agents: Some(vec![entry.shared.name().clone()]),
        ..Default::default()
    });
}

/// Connects all entries to the object API again.
pub fn reconnect_object_api(site: &Site) {
    site.object_api.set_faults(pinereel_api::object::Faults {
        cut_agents: Some(vec![]),
        ..Default::default()
    });
}
