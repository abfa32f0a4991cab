//! Live callers, and the load balancer in front of the entries, which picks one round-robin for each
//! attempt. A caller sends one request at a time and checks the response.

use super::deployment::Deployment;
use crate::engine::text;
use hdrhistogram::Histogram;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use pinereel_core::hash::Digest;
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Timeout of one attempt to send a request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a caller sends its next request or a retry.
const SEND_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of tokens of a live completion.
const MAX_COMPLETION_TOKENS: u32 = 24;
/// Maximum number of attempts of a request. Only requests that certainly did not run are retried.
const MAX_ATTEMPTS: u32 = 20;
/// Number of callers that request completions; as many others call services.
pub const CALLERS_PER_KIND: usize = 4;

/// Results of the live requests.
pub struct Report {
    /// Latency of completions up to the end of the response, in microseconds.
    pub completion_micros: Histogram<u64>,
    /// Latency of service calls up to the end of the response, in microseconds.
    pub service_call_micros: Histogram<u64>,
    /// Number of times that a request was sent again after a response that it had not run.
    pub retries: u64,
    /// Number of completions that name no versions, or whose text is not the full text of the prompt.
    pub invalid_completions: u64,
    /// Reason for each request without a successful response.
    pub failures: Vec<String>,
    /// Digests of the bodies of successful service calls.
    pub successful_calls: BTreeSet<Digest>,
}

/// The callers and the load balancer that they share.
pub struct Traffic {
    /// Addresses of the entries to which the load balancer sends requests, `HOST:PORT` each.
    pub entries: RefCell<Vec<String>>,
    /// Results so far.
    pub report: RefCell<Report>,
    is_stopping: Cell<bool>,
    /// Number of picks of an entry so far.
    pick_count: Cell<usize>,
}

/// Why an attempt failed.
enum Failure {
    /// The request did not run, so it may be retried.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

impl Traffic {
    /// Creates traffic to `entries`; no caller runs yet.
    pub fn new(entries: Vec<String>) -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::new(entries),
            report: RefCell::new(Report::new()),
            is_stopping: Cell::new(false),
            pick_count: Cell::new(0),
        })
    }

    /// Starts the callers. They run until [`Traffic::stop`].
    pub fn start(self: &Rc<Self>, deployment: Deployment) -> Vec<tokio::task::JoinHandle<()>> {
        let caller = |number| {
            let traffic = Rc::clone(self);
            actix_rt::spawn(async move { traffic.run_caller(deployment, number).await })
        };
        (0..2 * CALLERS_PER_KIND).map(caller).collect()
    }

    /// Makes every caller end after its current request.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Sends requests until [`Traffic::stop`]. Callers with an even number request completions, the
    /// others call services.
    async fn run_caller(&self, deployment: Deployment, number: usize) {
        let client = awc::Client::builder()
            .timeout(ATTEMPT_TIMEOUT)
            .disable_redirects()
            .finish();
        let mut count = 0;
        while !self.is_stopping.get() {
            let name = format!("{} caller {number} request {count}", deployment.name);
            let start = Instant::now();
            if number.is_multiple_of(2) {
                self.request_completion(&client, &deployment, &name, start)
                    .await;
            } else {
                self.call_service(&client, &deployment, &name, start).await;
            }
            count += 1;
            sleep(SEND_DELAY).await;
        }
    }

    /// Requests a completion, checks its text and versions, and records the latency from `start`.
    async fn request_completion(
        &self,
        client: &awc::Client,
        deployment: &Deployment,
        prompt: &str,
        start: Instant,
    ) {
        let request = json!({ "model": deployment.engine_pool.0, "prompt": prompt, "max_tokens": MAX_COMPLETION_TOKENS, "seed": 1 });
        let Some(body) = self
            .send(client, "/v1/completions", request.to_string())
            .await
        else {
            return;
        };
        let mut report = self.report.borrow_mut();
        let response: Value = serde_json::from_slice(&body).unwrap_or_default();
        let is_complete =
            response["choices"][0]["text"] == text::completion(prompt, 1, MAX_COMPLETION_TOKENS);
        let has_versions = response["versions"]
            .as_array()
            .is_some_and(|v| !v.is_empty());
        report.invalid_completions += u64::from(!(is_complete && has_versions));
        report
            .completion_micros
            .saturating_record(elapsed_micros(start));
    }

    /// Calls the service's non-idempotent path and records the latency from `start`.
    async fn call_service(
        &self,
        client: &awc::Client,
        deployment: &Deployment,
        body: &str,
        start: Instant,
    ) {
        let path = format!(
            "/services/{}{}",
            deployment.service_pool.0, deployment.non_idempotent_path
        );
        if self.send(client, &path, body.into()).await.is_some() {
            let mut report = self.report.borrow_mut();
            report.successful_calls.insert(Digest::of(body.as_bytes()));
            report
                .service_call_micros
                .saturating_record(elapsed_micros(start));
        }
    }

    /// Sends a request and returns the body of the successful response, or `None` after recording
    /// the failure. Retries at the next entry, and only if the request certainly did not run.
    async fn send(&self, client: &awc::Client, path: &str, body: String) -> Option<Vec<u8>> {
        let mut last_reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let entry = self.pick_entry();
            let reason = match send_once(client, &format!("http://{entry}{path}"), &body).await {
                Ok(body) => return Some(body),
                Err(Failure::NotRun(reason)) => {
                    last_reason = reason;
                    self.report.borrow_mut().retries += 1;
                    sleep(SEND_DELAY).await;
                    continue;
                }
                Err(Failure::Unknown(reason)) => reason,
            };
            self.report.borrow_mut().failures.push(reason);
            return None;
        }
        let reason = format!("not run after {MAX_ATTEMPTS} tries: {last_reason}");
        self.report.borrow_mut().failures.push(reason);
        None
    }

    /// Picks an entry round-robin.
    fn pick_entry(&self) -> String {
        let count = self.pick_count.get();
        self.pick_count.set(count + 1);
        let entries = self.entries.borrow();
        entries[count % entries.len()].clone()
    }
}

impl Report {
    fn new() -> Self {
        // Three significant digits, values up to a minute. The arguments are constant and valid, so
        // this cannot fail.
        let histogram = Histogram::new_with_max(60_000_000, 3).expect("bounds are valid");
        Self {
            completion_micros: histogram.clone(),
            service_call_micros: histogram,
            retries: 0,
            invalid_completions: 0,
            failures: Vec::new(),
            successful_calls: BTreeSet::new(),
        }
    }
}

/// Sends a request once and returns the body of the successful response.
async fn send_once(client: &awc::Client, url: &str, body: &str) -> Result<Vec<u8>, Failure> {
    let unknown = |error: &dyn ToString| Failure::Unknown(error.to_string());
    let result = client.post(url).send_body(body.to_owned()).await;
    let mut response = result.map_err(|e| unknown(&e))?;
    let body = response.body().await.map_err(|e| unknown(&e))?;
    if response.status().is_success() {
        return Ok(body.to_vec());
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) if problem.ran == Ran::NotRun && problem.code != Code::BadRequest => {
            Err(Failure::NotRun(problem.message.into()))
        }
        _ => Err(Failure::Unknown(format!(
            "{} {}",
            response.status(),
            String::from_utf8_lossy(&body)
        ))),
    }
}

fn elapsed_micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}
