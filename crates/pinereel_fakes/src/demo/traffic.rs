//! Live callers behind a balancer: each sends one request after the other and checks the answer.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// Most tokens of a live completion.
const TOKENS: u32 = 24;
/// Times that a request is sent which certainly did not run.
const TRIES: u32 = 20;
/// Callers of each kind.
pub const CALLERS: usize = 4;

/// What the live callers saw.
pub struct Seen {
    /// Microseconds to the whole answer of completions.
    pub completions: Histogram<u64>,
    /// Microseconds to the whole answer of service calls.
    pub calls: Histogram<u64>,
    /// Sent again after an answer that the request did not run.
    pub repeats: u64,
    /// Answers that were not whole or not the request's own.
    pub flawed: u64,
    /// Requests without an answer, with the reason.
    pub lost: Vec<String>,
    /// Bodies of service calls that were answered.
    pub answered: BTreeSet<Digest>,
}

/// The callers and the balancer before them.
pub struct Traffic {
    /// `HOST:PORT` of the entries that the balancer uses.
    pub entries: RefCell<Vec<String>>,
    /// What was seen.
    pub seen: RefCell<Seen>,
    stop: Cell<bool>,
    next: Cell<usize>,
}

/// Why a request was not answered.
enum Failure {
    /// It did not run, so it may be sent again.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

impl Traffic {
    /// Traffic to `entries` that has not begun.
    pub fn new(entries: Vec<String>) -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::new(entries),
            seen: RefCell::new(Seen::new()),
            stop: Cell::new(false),
            next: Cell::new(0),
        })
    }

    /// Starts the callers. They run until [`Traffic::stop`].
    pub fn start(self: &Rc<Self>, deployment: Deployment) -> Vec<tokio::task::JoinHandle<()>> {
        let caller = |number| {
            let traffic = Rc::clone(self);
            actix_rt::spawn(async move { traffic.caller(deployment, number).await })
        };
        (0..2 * CALLERS).map(caller).collect()
    }

    /// Lets every caller end after its request in flight.
    pub fn stop(&self) {
        self.stop.set(true);
    }

    async fn caller(&self, deployment: Deployment, number: usize) {
        let client = awc::Client::builder()
            .timeout(TIMEOUT)
            .disable_redirects()
            .finish();
        let mut count = 0;
        while !self.stop.get() {
            let name = format!("{} caller {number} request {count}", deployment.name);
            let start = Instant::now();
            if number.is_multiple_of(2) {
                self.completion(&client, &deployment, &name, start).await;
            } else {
                self.call(&client, &deployment, &name, start).await;
            }
            count += 1;
            sleep(PAUSE).await;
        }
    }

    async fn completion(
        &self,
        client: &awc::Client,
        deployment: &Deployment,
        prompt: &str,
        start: Instant,
    ) {
        let ask = json!({ "model": deployment.engines.0, "prompt": prompt, "max_tokens": TOKENS, "seed": 1 });
        let Some(body) = self
            .answer(client, "/v1/completions", ask.to_string())
            .await
        else {
            return;
        };
        let mut seen = self.seen.borrow_mut();
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let whole = answer["choices"][0]["text"] == text::completion(prompt, 1, TOKENS);
        let named = answer["versions"].as_array().is_some_and(|v| !v.is_empty());
        seen.flawed += u64::from(!(whole && named));
        seen.completions.saturating_record(micros(start));
    }

    async fn call(
        &self,
        client: &awc::Client,
        deployment: &Deployment,
        body: &str,
        start: Instant,
    ) {
        let path = format!("/services/{}{}", deployment.services.0, deployment.path);
        if self.answer(client, &path, body.into()).await.is_some() {
            let mut seen = self.seen.borrow_mut();
            seen.answered.insert(Digest::of(body.as_bytes()));
            seen.calls.saturating_record(micros(start));
        }
    }

    /// The whole answer; sends again, to the next entry, only what certainly did not run.
    async fn answer(&self, client: &awc::Client, path: &str, body: String) -> Option<Vec<u8>> {
        let mut last = String::new();
        for _ in 0..TRIES {
            let entry = self.pick();
            let reason = match attempt(client, &format!("http://{entry}{path}"), &body).await {
                Ok(answer) => return Some(answer),
                Err(Failure::NotRun(reason)) => {
                    last = reason;
                    self.seen.borrow_mut().repeats += 1;
                    sleep(PAUSE).await;
                    continue;
                }
                Err(Failure::Unknown(reason)) => reason,
            };
            self.seen.borrow_mut().lost.push(reason);
            return None;
        }
        let reason = format!("not run after {TRIES} tries: {last}");
        self.seen.borrow_mut().lost.push(reason);
        None
    }

    /// The next entry in turn.
    fn pick(&self) -> String {
        let next = self.next.get();
        self.next.set(next + 1);
        let entries = self.entries.borrow();
        entries[next % entries.len()].clone()
    }
}

impl Seen {
    fn new() -> Self {
        // Three digits, up to a minute: the bounds are constants, so this cannot fail.
        let histogram = Histogram::new_with_max(60_000_000, 3).expect("bounds are valid");
        Self {
            completions: histogram.clone(),
            calls: histogram,
            repeats: 0,
            flawed: 0,
            lost: Vec::new(),
            answered: BTreeSet::new(),
        }
    }
}

async fn attempt(client: &awc::Client, url: &str, body: &str) -> Result<Vec<u8>, Failure> {
    let unknown = |error: &dyn ToString| Failure::Unknown(error.to_string());
    let sent = client.post(url).send_body(body.to_owned()).await;
    let mut answer = sent.map_err(|e| unknown(&e))?;
    let read = answer.body().await.map_err(|e| unknown(&e))?;
    if answer.status().is_success() {
        return Ok(read.to_vec());
    }
    match serde_json::from_slice::<Problem>(&read) {
        Ok(p) if p.ran == Ran::NotRun && p.code != Code::BadRequest => {
            Err(Failure::NotRun(p.message.into()))
        }
        _ => Err(Failure::Unknown(format!(
            "{} {}",
            answer.status(),
            String::from_utf8_lossy(&read)
        ))),
    }
}

fn micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}
