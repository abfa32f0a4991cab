//! Helpers of the tests of idempotency keys: a site with one service that has non-idempotent calls,
//! and calls to that service with and without a key.

#![allow(clippy::unwrap_used, dead_code)]

use pinereel_api::object::Faults;
use pinereel_core::{claim, hash};
use pinereel_fakes::site::{Options, Site, wait_until};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{sleep, timeout};

/// Additional settings of each entry: limits on calls to the object API that allow for a fast test,
/// a short drain, and no log of decisions.
const EXTRA_SETTINGS: &str = "reads_per_second = 2000\nwrites_per_second = 1000\n\
    max_concurrency = 64\ntimeout = 500ms\n[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";

/// Deadline of a call whose test does not set one, in milliseconds.
const CALL_DEADLINE_MS: u64 = 10_000;
/// The idempotency key of tests that use a single one.
pub const KEY: &str = "slot-june";

/// The response to a call, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Id that the entry assigned to the request; empty if the response has none.
    pub request_id: String,
    /// HTTP status.
    pub status: u16,
    /// Code of the problem; empty if the body is not a problem.
    pub code: String,
    /// Value of the `x-ran` header; empty if it is absent.
    pub ran: String,
    /// Whether this is the stored response of an earlier call.
    pub is_replay: bool,
    /// Whether the response has a `retry-after` header.
    pub has_retry_after: bool,
    /// The body.
    pub body: String,
}

impl Response {
    /// Status, problem code and `x-ran`, then `replay` if the response is one and `later` if it has
    /// a `retry-after` header, separated by spaces.
    pub fn summary(&self) -> String {
        let replay = if self.is_replay { " replay" } else { "" };
        let later = if self.has_retry_after { " later" } else { "" };
        let words = format!("{} {} {}{replay}{later}", self.status, self.code, self.ran);
        words.split_whitespace().collect::<Vec<_>>().join(" ")
    }

    /// Whether the caller was told that the call did not run and never will.
    pub fn is_not_run(&self) -> bool {
        self.ran == "not-run"
    }
}

/// Starts a site with this number of entries and one fake service.
pub async fn start_site(entry_count: usize) -> Site {
    Site::start(options(entry_count)).await.unwrap()
}

/// Options of a site with this number of entries and one fake service.
pub fn options(entry_count: usize) -> Options {
    let document = json!({ "pools": {
        "orders-app": { "kind": "service", "non_idempotent": ["POST /orders", "POST /echo"] },
    } });
    Options {
        zones: vec![
            "toledo-hall".into(),
            "erie-hall".into(),
            "detroit-hall".into(),
        ],
        entry_count,
        engine_pools: Vec::new(),
        batch: Default::default(),
        service_pools: vec![("orders-app".into(), 1)],
        document: serde_json::from_value(document).unwrap(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: EXTRA_SETTINGS.into(),
    }
}

/// Books an order through the entry with this index.
pub async fn book_order(site: &Site, index: usize, key: Option<&str>, body: &str) -> Response {
    let address = site.entries[index].callers.address;
    call_service(address.to_string(), "POST", "/orders", key, body).await
}

/// Books an order with a deadline. Returns `None` if no complete response arrives.
pub async fn try_book_order(
    site: &Site,
    index: usize,
    key: Option<&str>,
    body: &str,
    deadline_ms: u64,
) -> Option<Response> {
    let address = site.entries[index].callers.address;
    try_call_service(
        address.to_string(),
        "POST",
        "/orders",
        key,
        body,
        deadline_ms,
    )
    .await
}

/// Repeats an order under its key until `accepts` returns true for the response.
pub async fn book_order_until(
    site: &Site,
    index: usize,
    key: &str,
    body: &str,
    accepts: impl Fn(&Response) -> bool,
) -> Response {
    let address = site.entries[index].callers.address.to_string();
    post_until(&address, "/orders", key, body, accepts).await
}

/// Repeats a POST request under its key until `accepts` returns true for the response.
pub async fn post_until(
    address: &str,
    path: &str,
    key: &str,
    body: &str,
    accepts: impl Fn(&Response) -> bool,
) -> Response {
    let attempts = async {
        loop {
            let response = call_service(address.to_owned(), "POST", path, Some(key), body).await;
            if accepts(&response) {
                return response;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), attempts).await.unwrap()
}

/// Repeats an order under its key until the response is final.
pub async fn book_order_until_final(site: &Site, index: usize, key: &str, body: &str) -> Response {
    book_order_until(site, index, key, body, is_final).await
}

/// Whether the response does not say that an earlier call under the key is still in progress.
pub fn is_final(response: &Response) -> bool {
    response.code != "in_progress"
}

/// Calls the service. A refusal with the code `unavailable` is retried: on a busy machine an entry
/// may be delayed by more than a second, and it then refuses all requests until it has confirmed
/// its configuration. These tests are not about that.
pub async fn call_service(
    address: String,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Response {
    let attempts = async {
        loop {
            let call = try_call_service(address.clone(), method, path, key, body, CALL_DEADLINE_MS);
            let response = call.await.unwrap();
            if response.code != "unavailable" {
                return response;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), attempts).await.unwrap()
}

/// Calls the service once. Returns `None` if no complete response arrives.
async fn try_call_service(
    address: String,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
    deadline_ms: u64,
) -> Option<Response> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let url = format!("http://{address}/services/orders-app{path}");
    let method = actix_http::Method::from_bytes(method.as_bytes()).unwrap();
    let mut request = client
        .request(method, url)
        .insert_header(("x-deadline-ms", deadline_ms.to_string()));
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let mut response = request.send_body(body.to_owned()).await.ok()?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
    };
    let request_id = header("x-request-id");
    let ran = header("x-ran");
    let is_replay = header("idempotent-replay") == "true";
    let has_retry_after = !header("retry-after").is_empty();
    let status = response.status().as_u16();
    let bytes = response.body().await.ok()?;
    let body = String::from_utf8(bytes.to_vec()).unwrap();
    let problem: Option<Value> = serde_json::from_str(&body).ok();
    let code = problem.and_then(|p| Some(p.get("code")?.as_str()?.to_owned()));
    Some(Response {
        request_id,
        status,
        code: code.unwrap_or_default(),
        ran,
        is_replay,
        has_retry_after,
        body,
    })
}

/// Number of executions at all services, by idempotency key; calls without a key count under the
/// empty key.
pub fn count_executions(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for service in &site.services {
        for execution in service.handle.executions() {
            let key = execution.key.unwrap_or_default();
            *counts.entry(key.to_string()).or_insert(0) += 1;
        }
    }
    counts
}

/// Number of executions under `key`.
pub fn execution_count(site: &Site, key: &str) -> usize {
    count_executions(site).get(key).copied().unwrap_or(0)
}

/// Waits until a settlement of `key` is stored in the object API.
pub async fn wait_for_settlement(site: &Site, key: &str) {
    let scoped_key = format!("orders-app/{key}");
    let is_stored = || {
        let objects = site.object_api.objects("claims").items;
        objects.iter().any(|object| {
            let settlements = object.value.get("settles").and_then(Value::as_array);
            settlements.is_some_and(|all| all.iter().any(|s| s["key"] == scoped_key.as_str()))
        })
    };
    wait_until(is_stored).await.unwrap();
}

/// Number of settlements stored in the object API.
pub fn settlement_count(site: &Site) -> usize {
    let objects = site.object_api.objects("claims").items;
    let counts = objects.iter().filter_map(|object| {
        let settlements = object.value.get("settles")?;
        Some(settlements.as_array()?.len())
    });
    counts.sum()
}

/// Index of the entry that owns the shard of `key`, by the membership view of the first entry.
pub fn owner_index(site: &Site, key: &str) -> usize {
    let shard_hash = hash::stable(&shard_of(key).to_le_bytes());
    let ranked = site.entries[0].shared.members.ranked(shard_hash, 1);
    let is_owner = |entry: &pinereel::entry::Entry| *entry.shared.name() == ranked[0];
    site.entries.iter().position(is_owner).unwrap()
}

/// The shard of a key of the service's pool.
pub fn shard_of(key: &str) -> u64 {
    claim::shard_of(&format!("orders-app/{key}"), claim::SHARD_COUNT)
}

/// Another key of the same shard.
pub fn other_key_in_same_shard(key: &str) -> String {
    let mut keys = (0..).map(|i| format!("slot-{i}"));
    keys.find(|other| shard_of(other) == shard_of(key)).unwrap()
}

/// Number of segments and base numbers of claim logs stored in the object API.
pub fn claim_object_count(site: &Site) -> usize {
    site.object_api.objects("claims").items.len()
}

/// A key whose shard is owned by the entry with this index.
pub fn key_owned_by(site: &Site, index: usize) -> String {
    let mut keys = (0..).map(|i| format!("slot-{i}"));
    keys.find(|key| owner_index(site, key) == index).unwrap()
}

/// Waits until every entry has all entries in its membership view.
pub async fn wait_for_members(site: &Site) {
    let count = site.entries.len();
    let all_known = || {
        let mut entries = site.entries.iter();
        entries.all(|entry| entry.shared.members.view().members().len() == count)
    };
    wait_until(all_known).await.unwrap();
}

/// Simulates a crash of the entry with this index: closes its peer links and its callers' listener,
/// and makes the object API refuse its requests.
pub fn simulate_crash(site: &Site, index: usize) {
    let entry = &site.entries[index];
    entry.shared.mesh.close();
    entry.callers.close();
    site.object_api.set_faults(Faults {
        cut_agents: Some(vec![entry.shared.name().clone()]),
        ..Faults::default()
    });
}
