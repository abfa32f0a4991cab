//! Two models that share the engines of a service, end to end with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    site::{MODEL, Site, Size},
    trainer::submit_once,
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 10,
    services: 1,
};
const OTHER_MODEL: &str = "model-b";
/// Items of a lot: as many as all engines have slots, so that a runner that uses the engines of the
/// other model is certain to be seen.
const ITEMS: usize = 40;
const TIMEOUT: Duration = Duration::from_secs(20);

async fn submit(site: &Site, lot: &str, model: &str, oldest: u64) {
    let item = |number: usize| {
        json!({
            "id": format!("{lot}-{number}"), "path": "/lots/x", "body": "eA==", "tokens": 10,
            "group": "g", "headers": {"X-Model": model},
        })
    };
    let items: Vec<_> = (0..ITEMS).map(item).collect();
    let submitted = submit_once(site, lot, (model, oldest), items).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
}

/// Log lines of all instances with a message.
fn lines(site: &Site, message: &str) -> Vec<Value> {
    let all = site.instances.iter().flat_map(|i| i.all_lines());
    let parsed = all.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    let is_wanted = |line: &Value| line["msg"] == message;
    parsed.filter(is_wanted).collect()
}

async fn wait_for(what: &str, site: &Site, done: impl Fn(&Site) -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done(site) {
        if Instant::now() >= end {
            let all = site.instances.iter().flat_map(|i| i.all_lines());
            panic!("{what}\n{}", all.collect::<Vec<_>>().join("\n"));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn completed(site: &Site, lot: &str) -> bool {
    lines(site, "lot closed")
        .iter()
        .any(|line| line["id"] == lot)
}

/// The engines of the runs of a lot.
fn engines_of(site: &Site, lot: &str) -> BTreeSet<String> {
    let runs = lines(site, "item run");
    let own = runs.iter().filter(|run| run["lot"] == lot);
    own.map(|run| run["endpoint"].as_str().unwrap_or_default().into())
        .collect()
}

/// Fails if the runners of two models use the same engines while all engines have the initial version,
/// if a model that loads alone does not get the slots of the other one, or if its lot does not
/// continue on the new version.
#[actix_rt::test]
async fn two_models_divide_engines_and_load_slots() {
    let site = Site::start_with_models(SITE_SIZE, 310, &[OTHER_MODEL]).await;
    let site = site.expect("the site starts");
    // A new lease holder waits for the minimum gap between the orders of two holders.
    sleep(Duration::from_secs(3)).await;
    submit(&site, "first-a", MODEL, 1).await;
    submit(&site, "first-b", OTHER_MODEL, 1).await;
    wait_for("the first lots complete", &site, |site| {
        completed(site, "first-a") && completed(site, "first-b")
    })
    .await;
    let (a, b) = (engines_of(&site, "first-a"), engines_of(&site, "first-b"));
    assert_eq!((a.len(), b.len()), (5, 5), "{a:?} {b:?}");
    assert!(a.is_disjoint(&b), "{a:?} {b:?}");

    let version = json!({"model": MODEL, "version": 2});
    site.store.put("versions", MODEL, version);
    submit(&site, "second-a", MODEL, 2).await;
    wait_for("the second lot completes", &site, |site| {
        completed(site, "second-a")
    })
    .await;
    let loaded = |site: &Site| -> BTreeSet<String> {
        let engines = site.engines.iter().map(|engine| &engine.endpoint);
        let loaded = engines.filter(|engine| engine.version_of(MODEL) == 2);
        loaded.map(|engine| engine.id.to_string()).collect()
    };
    wait_for("the engines of the model are loaded", &site, |site| {
        loaded(site).len() >= 5
    })
    .await;
    assert_eq!(loaded(&site), a, "no engine of the other model is loaded");
    let mut engines = site.engines.iter();
    assert!(engines.all(|engine| engine.endpoint.version_of(OTHER_MODEL) == 1));
    let divided = lines(&site, "load slots divided");
    let limits = |line: &Value| -> BTreeMap<String, u64> {
        let models = line["models"].as_array().cloned().unwrap_or_default();
        let limit = |m: Value| Some((m["model"].as_str()?.to_owned(), m["limit"].as_u64()?));
        models.into_iter().filter_map(limit).collect()
    };
    // One engine in five, rounded up: both slots go to the model that loads.
    let both = BTreeMap::from([(MODEL.to_owned(), 2), (OTHER_MODEL.to_owned(), 0)]);
    assert!(
        divided.iter().any(|line| limits(line) == both),
        "{divided:?}"
    );
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}
