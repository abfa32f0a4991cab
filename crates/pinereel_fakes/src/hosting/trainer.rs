//! A fake trainer that submits lots, reads their results at any instance, and checks each result.

use super::{
    engine,
    http::{Answer, Failure, call},
    load_balancer::LoadBalancer,
    recorder::Recorder,
    site::{API_KEY, HOST, Instance, MAX_LOT_ATTEMPTS, MAX_SCORING_ATTEMPTS, MODEL, Site},
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

/// Deadline of a call.
const CALL_DEADLINE: Duration = Duration::from_secs(3);
/// Longest time for which a lot is submitted, read or ended.
const STEP_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after the end of a lot after which engines must not receive its items any more.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(3);

/// Deadline of a single submission, by [`submit_once`].
const SUBMIT_DEADLINE: Duration = Duration::from_secs(2);

/// Submits a lot of `items` for `model` at the first instance, once. The oldest version of the weights is
/// `oldest`.
///
/// # Errors
/// If there is no complete answer within a second after the deadline.
pub async fn submit_once(
    site: &Site,
    lot: &str,
    (model, oldest): (&str, u64),
    items: Vec<Value>,
) -> Result<StatusCode, Failure> {
    let body = json!({
        "step": 0, "model": model, "minVersion": oldest, "desiredCount": 1, "items": items,
    });
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", lot.to_owned()),
        ("x-deadline-ms", SUBMIT_DEADLINE.as_millis().to_string()),
    ];
    let address = site.instances[0].caller_proxy.address;
    let body = Bytes::from(body.to_string());
    let timeout = SUBMIT_DEADLINE + Duration::from_secs(1);
    let answer = call(address, Method::POST, "/lots/1", &headers, body, timeout);
    Ok(answer.await?.status)
}

/// Reads one page of the results of a lot at an instance, from a position on; `None` without a page.
pub async fn read_page(instance: &Instance, lot: &str, after: usize) -> Option<Vec<Value>> {
    let headers = [("host", HOST.to_owned())];
    let address = instance.caller_proxy.address;
    let target = format!("/v1/lots/{lot}?after={after}");
    let answer = call(
        address,
        Method::GET,
        &target,
        &headers,
        Bytes::new(),
        CALL_DEADLINE,
    );
    let page: Value = serde_json::from_slice(&answer.await.ok()?.body).ok()?;
    Some(page["results"].as_array().cloned().unwrap_or_default())
}

/// The size of the lots, one of which is submitted in each step.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of groups of a lot.
    pub groups: usize,
    /// Number of items of a group.
    pub group_size: usize,
    /// Number of complete groups that end a step.
    pub wanted_groups: usize,
}

/// A fake trainer, which announces a new version of the weights after each step.
pub struct Trainer {
    load_balancer: Rc<LoadBalancer>,
    store: Store,
    recorder: Rc<Recorder>,
    rng: ChaCha8Rng,
    shape: Shape,
    name: String,
    /// Newest version of the weights that was announced.
    version: u64,
    /// Number of steps that got their groups in time.
    pub done: u64,
    /// Number of steps that did not get their groups in time.
    pub given_up: u64,
    /// Number of lots that were never accepted.
    pub refused: u64,
}

/// The results read so far of a lot, by position.
type KnownResults = BTreeMap<usize, Value>;

impl Trainer {
    /// Returns a trainer that calls the instances behind `load_balancer`.
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

    /// Runs steps, the last of which may end after `end`.
    pub async fn run(&mut self, end: Instant) {
        let mut step = 0;
        while Instant::now() < end {
            self.step(step).await;
            step += 1;
        }
    }

    /// Runs a step: submits a lot, reads its results, ends it and announces the next version.
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

    /// Returns a lot's items with their groups, and the body that submits the lot. Results must
    /// have version `oldest` of the weights or a newer one.
    fn build_lot(&mut self, lot: &str, oldest: u64) -> (BTreeMap<String, usize>, Bytes) {
        let mut ids = BTreeMap::new();
        let mut items = Vec::new();
        for group in 0..self.shape.groups {
            for number in 0..self.shape.group_size {
                let id = format!("{lot}.{group}.{number}");
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
            ("x-deadline-ms", CALL_DEADLINE.as_millis().to_string()),
            ("x-wait-ms", "500".to_owned()),
            ("authorization", format!("Bearer {API_KEY}")),
        ];
        let address = self.load_balancer.pick().caller_address;
        let timeout = CALL_DEADLINE + Duration::from_millis(500);
        call(address, method, target, &headers, body, timeout)
            .await
            .ok()
    }

    /// Submits a lot until it is accepted or refused with a 4xx status; returns whether it was
    /// accepted.
    async fn submit(&mut self, lot: &str, body: &Bytes) -> bool {
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            let answer = self
                .call(Method::POST, "/lots/new", lot, body.clone())
                .await;
            match answer.map(|answer| answer.status) {
                Some(StatusCode::ACCEPTED) => return true,
                Some(status) if status.is_client_error() => {
                    self.recorder
                        .record_violation(format!("lot {lot} got {status}"));
                    return false;
                }
                _ => sleep(Duration::from_millis(200)).await,
            }
        }
        false
    }

    /// Reads the results after the known ones, or at random from an earlier position.
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
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let total = page["total"].as_u64();
        if total != Some((self.shape.groups * self.shape.group_size) as u64) {
            self.recorder
                .record_violation(format!("lot {lot} has a total of {total:?}"));
        }
        let results = page["results"].as_array().cloned().unwrap_or_default();
        if from < next && results.is_empty() {
            self.recorder
                .record_violation(format!("lot {lot}: position {from} disappeared"));
        }
        for (offset, result) in results.into_iter().enumerate() {
            let previous = known.insert(from + offset, result.clone());
            if previous.is_some_and(|previous| previous != result) {
                self.recorder
                    .record_violation(format!("lot {lot}: position {} changed", from + offset));
            }
        }
    }

    /// Returns whether the known results contain enough complete groups.
    fn has_wanted_groups(&self, items: &BTreeMap<String, usize>, known: &KnownResults) -> bool {
        let mut result_counts = vec![0; self.shape.groups];
        for result in known.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if let Some(group) = items.get(id) {
                result_counts[*group] += 1;
            }
        }
        let complete = result_counts
            .iter()
            .filter(|count| **count >= self.shape.group_size);
        complete.count() >= self.shape.wanted_groups
    }

    /// Checks every known result against what engines and scorers did.
    fn check_results(
        &self,
        lot: &str,
        oldest: u64,
        items: &BTreeMap<String, usize>,
        known: &KnownResults,
    ) {
        let mut ids = BTreeSet::new();
        for result in known.values() {
            let id = result["id"].as_str().unwrap_or_default();
            if !items.contains_key(id) {
                self.recorder.record_violation(format!(
                    "lot {lot} lists {id}, which is not one of its items"
                ));
            }
            if !ids.insert(id) {
                self.recorder
                    .record_violation(format!("lot {lot} lists {id} twice"));
            }
            if result["state"] == "completed" {
                self.check_completed(id, oldest, result);
            } else {
                self.check_errored(id);
            }
        }
    }

    /// Checks that an item was given up only after all the runs, or all the scorings, that it may have had
    /// failed.
    fn check_errored(&self, id: &str) {
        let runs = self.recorder.failure_count(id);
        let scorings = self.recorder.failure_count(&format!("{id}.s"));
        if runs < MAX_LOT_ATTEMPTS && scorings < MAX_SCORING_ATTEMPTS {
            self.recorder.record_violation(format!(
                "{id}: given up after {runs} failed runs and {scorings} failed scorings"
            ));
        }
    }

    fn check_completed(&self, id: &str, oldest: u64, result: &Value) {
        if result["output"].as_str() != Some(&engine::text(id)) {
            self.recorder
                .record_violation(format!("{id}: the text is incomplete or wrong"));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let versions: BTreeSet<_> = versions.iter().filter_map(Value::as_u64).collect();
        if versions.is_empty() || !versions.is_subset(&self.recorder.versions(id)) {
            self.recorder
                .record_violation(format!("{id}: versions {versions:?} did not produce it"));
        }
        if versions.iter().any(|version| *version < oldest) {
            self.recorder.record_violation(format!(
                "{id}: versions {versions:?} are older than {oldest}"
            ));
        }
        let score = result["score"].as_str().unwrap_or_default();
        if !score.ends_with(&format!("{id}.s")) {
            self.recorder
                .record_violation(format!("{id}: score {score:?} was not given by its scorer"));
        }
    }

    /// Ends a lot, and checks later that its items are not sent to engines any more.
    async fn end_lot(&mut self, lot: &str, items: &BTreeMap<String, usize>) {
        let target = format!("/v1/lots/{lot}");
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            let answer = self.call(Method::DELETE, &target, lot, Bytes::new()).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                let (recorder, items) =
                    (Rc::clone(&self.recorder), items.keys().cloned().collect());
                let last_arrival_by = Instant::now() + MAX_CANCEL_TIME;
                let lot = lot.to_owned();
                actix_rt::spawn(async move {
                    sleep(MAX_CANCEL_TIME + Duration::from_secs(2)).await;
                    if recorder.any_arrived_after(&items, last_arrival_by) {
                        recorder.record_violation(format!(
                            "lot {lot}: an engine received an item long after the end of the lot"
                        ));
                    }
                });
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
