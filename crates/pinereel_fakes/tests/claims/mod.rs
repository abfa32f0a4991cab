//! A site with one service whose orders may not be repeated, and keyed calls to it.

#![allow(clippy::unwrap_used, dead_code)]

use pinereel_api::object::Faults;
use pinereel_core::{claim, hash};
use pinereel_fakes::site::{Options, Site, wait_until};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{sleep, timeout};

/// Settings: enough calls for a test that is quick, and no lines.
const SETTINGS: &str = "reads_per_second = 2000\nwrites_per_second = 1000\nmax_concurrency = 64\n\
    timeout = 500ms\n[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";

/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 10_000;
/// A key.
pub const SLOT: &str = "slot-june";

/// A caller's view of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request's id.
    pub request: String,
    /// HTTP status.
    pub status: u16,
    /// Code of the problem; empty for an answer.
    pub code: String,
    /// `x-ran`; empty for an answer.
    pub ran: String,
    /// Whether it is the recorded answer of an earlier call.
    pub replay: bool,
    /// Whether it says when to come back.
    pub retry_after: bool,
    /// The body.
    pub body: String,
}

impl Answer {
    /// Status, code and whether it ran, for snapshots.
    pub fn short(&self) -> String {
        let replay = if self.replay { " replay" } else { "" };
        let later = if self.retry_after { " later" } else { "" };
        let words = format!("{} {} {}{replay}{later}", self.status, self.code, self.ran);
        words.split_whitespace().collect::<Vec<_>>().join(" ")
    }

    /// Whether the caller was told that the call certainly did not run.
    pub fn not_run(&self) -> bool {
        self.ran == "not-run"
    }
}

/// A site of `entries` entries and one service stand-in.
pub async fn site(entries: usize) -> Site {
    Site::start(options(entries)).await.unwrap()
}

/// What such a site is made of.
pub fn options(entries: usize) -> Options {
    let document = json!({ "pools": {
        "orders-app": { "kind": "service", "non_idempotent": ["POST /orders", "POST /echo"] },
    } });
    Options {
        zones: vec![
            "toledo-hall".into(),
            "erie-hall".into(),
            "detroit-hall".into(),
        ],
        entry_count: entries,
        engine_pools: Vec::new(),
        batch: Default::default(),
        service_pools: vec![("orders-app".into(), 1)],
        document: serde_json::from_value(document).unwrap(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: SETTINGS.into(),
    }
}

/// Books an order through entry `index` under `key`.
pub async fn order(site: &Site, index: usize, key: Option<&str>, body: &str) -> Answer {
    let address = site.entries[index].callers.address;
    send(address.to_string(), "POST", "/orders", key, body).await
}

/// Books an order with a deadline; none if the entry gave no answer.
pub async fn try_order(
    site: &Site,
    index: usize,
    key: Option<&str>,
    body: &str,
    deadline_ms: u64,
) -> Option<Answer> {
    let address = site.entries[index].callers.address;
    try_send(
        address.to_string(),
        "POST",
        "/orders",
        key,
        body,
        deadline_ms,
    )
    .await
}

/// Books an order again and again until the answer is one that `enough` accepts.
pub async fn order_until(
    site: &Site,
    index: usize,
    key: &str,
    body: &str,
    enough: impl Fn(&Answer) -> bool,
) -> Answer {
    let address = site.entries[index].callers.address.to_string();
    send_until(&address, "/orders", key, body, enough).await
}

/// Posts again and again until the answer is one that `enough` accepts.
pub async fn send_until(
    address: &str,
    path: &str,
    key: &str,
    body: &str,
    enough: impl Fn(&Answer) -> bool,
) -> Answer {
    let tries = async {
        loop {
            let answer = send(address.to_owned(), "POST", path, Some(key), body).await;
            if enough(&answer) {
                return answer;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), tries).await.unwrap()
}

/// Books an order until it is not in progress any more.
pub async fn answered(site: &Site, index: usize, key: &str, body: &str) -> Answer {
    order_until(site, index, key, body, is_final).await
}

/// Whether the call is not in progress any more.
pub fn is_final(answer: &Answer) -> bool {
    answer.code != "in_progress"
}

/// Sends any call to the service. On a busy machine an entry may be held up for over a second; until
/// it has confirmed its configuration it admits nothing, which is no matter of these tests.
pub async fn send(
    address: String,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Answer {
    let tries = async {
        loop {
            let sent = try_send(address.clone(), method, path, key, body, DEADLINE_MS);
            let answer = sent.await.unwrap();
            if answer.code != "unavailable" {
                return answer;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), tries).await.unwrap()
}

async fn try_send(
    address: String,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
    deadline_ms: u64,
) -> Option<Answer> {
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
    let request = header("x-request-id");
    let ran = header("x-ran");
    let replay = header("idempotent-replay") == "true";
    let retry_after = !header("retry-after").is_empty();
    let status = response.status().as_u16();
    let bytes = response.body().await.ok()?;
    let body = String::from_utf8(bytes.to_vec()).unwrap();
    let problem: Option<Value> = serde_json::from_str(&body).ok();
    let code = problem.and_then(|p| Some(p.get("code")?.as_str()?.to_owned()));
    Some(Answer {
        request,
        status,
        code: code.unwrap_or_default(),
        ran,
        replay,
        retry_after,
        body,
    })
}

/// Executions by key, over all services.
pub fn executions(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for service in &site.services {
        for execution in service.handle.executions() {
            let key = execution.key.unwrap_or_default();
            *counts.entry(key.to_string()).or_insert(0) += 1;
        }
    }
    counts
}

/// Executions under one key.
pub fn ran(site: &Site, key: &str) -> usize {
    executions(site).get(key).copied().unwrap_or(0)
}

/// Waits until the outcome of `key` is in the log.
pub async fn settled(site: &Site, key: &str) {
    let scoped = format!("orders-app/{key}");
    let stored = || {
        let segments = site.object_api.objects("claims").items;
        segments.iter().any(|object| {
            let settles = object.value.get("settles").and_then(Value::as_array);
            settles.is_some_and(|all| all.iter().any(|s| s["key"] == scoped.as_str()))
        })
    };
    wait_until(stored).await.unwrap();
}

/// Number of settlements in the object API.
pub fn settled_keys(site: &Site) -> usize {
    let segments = site.object_api.objects("claims").items;
    let settles = segments.iter().filter_map(|object| {
        let settles = object.value.get("settles")?;
        Some(settles.as_array()?.len())
    });
    settles.sum()
}

/// Index of the entry that owns the shard of `key`, as all entries see it.
pub fn owner(site: &Site, key: &str) -> usize {
    let place = hash::stable(&shard_of(key).to_le_bytes());
    let ranked = site.entries[0].shared.members.ranked(place, 1);
    let is_owner = |entry: &pinereel::entry::Entry| *entry.shared.name() == ranked[0];
    site.entries.iter().position(is_owner).unwrap()
}

/// The shard of a key.
pub fn shard_of(key: &str) -> u64 {
    claim::shard_of(&format!("orders-app/{key}"), claim::SHARD_COUNT)
}

/// Another key of the same shard.
pub fn same_shard(key: &str) -> String {
    let mut keys = (0..).map(|i| format!("slot-{i}"));
    keys.find(|other| shard_of(other) == shard_of(key)).unwrap()
}

/// Segments in the object API.
pub fn segments(site: &Site) -> usize {
    site.object_api.objects("claims").items.len()
}

/// A key whose shard entry `index` owns.
pub fn key_of(site: &Site, index: usize) -> String {
    let mut keys = (0..).map(|i| format!("slot-{i}"));
    keys.find(|key| owner(site, key) == index).unwrap()
}

/// Waits until every entry knows all of them as members.
pub async fn joined(site: &Site) {
    let count = site.entries.len();
    let known = || {
        let mut entries = site.entries.iter();
        entries.all(|entry| entry.shared.members.view().members().len() == count)
    };
    wait_until(known).await.unwrap();
}

/// Cuts entry `index` off from everything, as if its process had died.
pub fn kill(site: &Site, index: usize) {
    let entry = &site.entries[index];
    entry.shared.mesh.close();
    entry.callers.close();
    site.object_api.set_faults(Faults {
        cut_agents: Some(vec![entry.shared.name().clone()]),
        ..Faults::default()
    });
}
