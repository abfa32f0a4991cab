//! A trainer that submits lots, reads them at any instance and checks every position.

use super::{
    load_balancer::LoadBalancer,
    recorder::Recorder,
    engine,
    http::{Answer, call},
    site::{HOST, API_KEY, MODEL},
    store::Store,
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a step.
const STEP_TIMEOUT: Duration = Duration::from_secs(25);
/// After the end of a lot its items must not come to an engine any more.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(3);

/// One step's shape.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Groups of a lot.
    pub groups: usize,
    /// Items of a group.
    pub group_size: usize,
    /// Whole groups that are waited for.
    pub wanted_groups: usize,
}

/// A trainer.
pub struct Trainer {
    load_balancer: Rc<LoadBalancer>,
    store: Store,
    recorder: Rc<Recorder>,
    rng: ChaCha8Rng,
    shape: Shape,
    name: String,
    /// Newest version that was named.
    version: u64,
    /// Steps that were done in time.
    pub done: u64,
    /// Steps that were given up.
    pub given_up: u64,
    /// Lots that were never accepted.
    pub refused: u64,
}

/// Results of a lot that were read, by position.
type KnownResults = BTreeMap<usize, Value>;

impl Trainer {
    /// A trainer that talks to the instances behind `load_balancer`.
    pub fn new(
        name: &str,
        load_balancer: &Rc<LoadBalancer>,
        store: &Store,
        recorder: &Rc<Recorder>,
        shape: Shape,
        seed: u64,
    ) -> Self {
        Self {
            load_balancer: Rc::clone(load_balancer),
            store: store.clone(),
            recorder: Rc::clone(recorder),
            rng: ChaCha8Rng::seed_from_u64(seed),
            shape,
            name: name.into(),
            version: 1,
            done: 0,
            given_up: 0,
            refused: 0,
        }
    }

    /// Runs steps until `end`.
    pub async fn run(&mut self, end: Instant) {
        let mut step = 0;
        while Instant::now() < end {
            self.step(step).await;
            step += 1;
        }
    }

    /// One step: submit, read, end, name the next version.
    pub async fn step(&mut self, step: u64) {
        let lot = format!("{}-{step}", self.name);
        let oldest = self.version.saturating_sub(1).max(1);
        let (items, body) = self.build_lot(&lot, oldest);
        if !self.submit(&lot, &body).await {
            self.refused += 1;
            sleep(Duration::from_millis(300)).await;
            return;
        }
        let mut known = KnownResults::new();
        let end = Instant::now() + STEP_TIMEOUT;
        let mut is_complete = false;
        while !is_complete && Instant::now() < end {
            self.read_results(&lot, &mut known).await;
            is_complete = self.has_wanted_groups(&items, &known);
        }
        if is_complete {
            self.done += 1;
        } else {
            self.given_up += 1;
        }
        self.check_results(&lot, oldest, &items, &known);
        self.end_lot(&lot, &items).await;
        self.version += 1;
        let version = json!({"model": MODEL, "version": self.version});
        self.store.put("versions", MODEL, version);
    }

    fn build_lot(&mut self, lot: &str, oldest: u64) -> (BTreeMap<String, usize>, Bytes) {
        let mut ids = BTreeMap::new();
        let mut items = Vec::new();
        for group in 0..self.shape.groups {
            for at in 0..self.shape.group_size {
                let id = format!("{lot}.{group}.{at}");
                items.push(json!({
                    "id": id, "path": "/lots/x", "headers": {"X-Model": MODEL},
                    "body": "cHJvbXB0", "tokens": 10, "group": format!("{lot}.{group}"),
                    "scorer": {"id": format!("{id}.s"), "host": HOST, "path": "/score/x", "body": "eA=="},
                }));
                ids.insert(id, group);
            }
        }
        let body = json!({
            "step": 1, "model": MODEL, "minVersion": oldest,
            "desiredCount": self.shape.wanted_groups, "items": items,
        });
        (ids, body.to_string().into())
    }

    async fn call(
        &mut self,
        method: Method,
        target: &str,
        id: &str,
        body: Bytes,
    ) -> Option<Answer> {
        let headers = [
            ("host", HOST.to_owned()),
            ("x-request-id", id.to_owned()),
            ("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string()),
            ("x-wait-ms", "500".to_owned()),
            ("authorization", format!("Bearer {API_KEY}")),
        ];
        let address = self.load_balancer.pick().caller_address;
        let wait = CALL_TIMEOUT + Duration::from_millis(500);
        call(address, method, target, &headers, body, wait)
            .await
            .ok()
    }

    /// Submits until it is accepted; tells whether it was.
    async fn submit(&mut self, lot: &str, body: &Bytes) -> bool {
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            let answer = self
                .call(Method::POST, "/lots/new", lot, body.clone())
                .await;
            match answer.map(|answer| answer.status) {
                Some(StatusCode::ACCEPTED) => return true,
                Some(status) if status.is_client_error() => {
                    self.recorder.record_violation(format!("lot {lot} got {status}"));
                    return false;
                }
                _ => sleep(Duration::from_millis(200)).await,
            }
        }
        false
    }

    /// Reads on after the known results, at times from an earlier position.
    async fn read_results(&mut self, lot: &str, known: &mut KnownResults) {
        let next = known.len();
        let from = if self.rng.random_bool(0.2) {
            self.rng.random_range(0..=next)
        } else {
            next
        };
        let target = format!("/v1/lots/{lot}?after={from}");
        let answer = self.call(Method::GET, &target, lot, Bytes::new()).await;
        let Some(answer) = answer else {
            return;
        };
        if answer.status == StatusCode::NOT_FOUND {
            self.recorder
                .record_violation(format!("lot {lot} is not found after its acceptance"));
        }
        if !answer.status.is_success() {
            sleep(Duration::from_millis(100)).await;
            return;
        }
        let reading: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let total = reading["total"].as_u64();
        if total != Some((self.shape.groups * self.shape.group_size) as u64) {
            self.recorder
                .record_violation(format!("lot {lot} has a total of {total:?}"));
        }
        let results = reading["results"].as_array().cloned().unwrap_or_default();
        if from < next && results.is_empty() {
            self.recorder
                .record_violation(format!("lot {lot}: position {from} went away"));
        }
        for (at, result) in results.into_iter().enumerate() {
            let before = known.insert(from + at, result.clone());
            if before.is_some_and(|before| before != result) {
                self.recorder
                    .record_violation(format!("lot {lot}: position {} changed", from + at));
            }
        }
    }

    fn has_wanted_groups(&self, items: &BTreeMap<String, usize>, known: &KnownResults) -> bool {
        let mut listed = vec![0; self.shape.groups];
        for result in known.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if let Some(group) = items.get(id) {
                listed[*group] += 1;
            }
        }
        let whole = listed.iter().filter(|count| **count >= self.shape.group_size);
        whole.count() >= self.shape.wanted_groups
    }

    /// Checks every result against what engines and scorers did.
    fn check_results(&self, lot: &str, oldest: u64, items: &BTreeMap<String, usize>, known: &KnownResults) {
        let mut ids = BTreeSet::new();
        for result in known.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if !items.contains_key(id) {
                self.recorder
                    .record_violation(format!("lot {lot} lists {id}, which is not its item"));
            }
            if !ids.insert(id) {
                self.recorder.record_violation(format!("lot {lot} lists {id} twice"));
            }
            if result["state"] == "completed" {
                self.check_completed(id, oldest, result);
            }
        }
    }

    fn check_completed(&self, id: &str, oldest: u64, result: &Value) {
        if result["output"].as_str() != Some(&engine::text(id)) {
            self.recorder.record_violation(format!("{id}: the text is not whole"));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let versions: BTreeSet<_> = versions.iter().filter_map(Value::as_u64).collect();
        if versions.is_empty() || !versions.is_subset(&self.recorder.versions(id)) {
            self.recorder
                .record_violation(format!("{id}: versions {versions:?} did not make it"));
        }
        if versions.iter().any(|version| *version < oldest) {
            self.recorder.record_violation(format!(
                "{id}: versions {versions:?} are older than {oldest}"
            ));
        }
        let score = result["score"].as_str().unwrap_or_default();
        if !score.ends_with(&format!("{id}.s")) {
            self.recorder
                .record_violation(format!("{id}: score {score:?} is not its scorer's"));
        }
    }

    /// Ends a lot and checks later that nothing of it is still sent to engines.
    async fn end_lot(&mut self, lot: &str, items: &BTreeMap<String, usize>) {
        let target = format!("/v1/lots/{lot}");
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            let answer = self.call(Method::DELETE, &target, lot, Bytes::new()).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                let (recorder, items) = (Rc::clone(&self.recorder), items.keys().cloned().collect());
                let limit = Instant::now() + MAX_CANCEL_TIME;
                let lot = lot.to_owned();
                actix_rt::spawn(async move {
                    sleep(MAX_CANCEL_TIME + Duration::from_secs(2)).await;
                    if recorder.any_arrived_after(&items, limit) {
                        recorder.record_violation(format!("lot {lot}: an item was run long after its end"));
                    }
                });
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
