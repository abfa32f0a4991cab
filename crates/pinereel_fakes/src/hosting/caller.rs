//! A live caller that checks each answer.

use super::{
    load_balancer::LoadBalancer,
    recorder::Recorder,
    http::{Answer, Failure, call},
    service,
    site::{HOST, API_KEY},
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(30);

/// What a caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request that may run more than once.
    Repeatable,
    /// A request that may run once at most.
    Once,
}

/// Answers that callers got.
#[derive(Debug, Default)]
pub struct Tally {
    /// Good ones.
    pub good: Cell<u64>,
    /// Refusals as not run.
    pub not_run: Cell<u64>,
    /// Failures that promise nothing, and connections without a whole answer.
    pub unknown: Cell<u64>,
}

/// Sends requests until `end`, each on a fresh connection to an instance that the balancer picks.
pub async fn run(
    load_balancer: Rc<LoadBalancer>,
    kind: Kind,
    name: &str,
    end: Instant,
    recorder: Rc<Recorder>,
    tally: Rc<Tally>,
) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{name}-{number}");
        ask(load_balancer.pick().caller_address, kind, &id, &recorder, &tally).await;
        sleep(PAUSE).await;
    }
}

/// Sends one request and checks what comes back.
pub async fn ask(address: SocketAddr, kind: Kind, id: &str, recorder: &Recorder, tally: &Tally) {
    let path = match kind {
        Kind::Repeatable => "/live/x",
        Kind::Once => "/once/x",
    };
    let headers = [
        ("host", HOST.into()),
        ("x-request-id", id.into()),
        ("x-deadline-ms", PATIENCE.as_millis().to_string()),
        ("authorization", format!("Bearer {API_KEY}")),
    ];
    let body = Bytes::from(format!("from {id}"));
    // A little longer than the deadline, which the answer should keep.
    let wait = PATIENCE + Duration::from_millis(500);
    match call(address, Method::POST, path, &headers, body, wait).await {
        Ok(answer) => judge(kind, id, &answer, recorder, tally),
        Err(Failure::NotOpened | Failure::Cut | Failure::Late) => bump(&tally.unknown),
    }
    if kind == Kind::Once && recorder.run_count(id) > 1 {
        recorder.record_violation(format!("{id} ran {} times", recorder.run_count(id)));
    }
}

fn bump(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn judge(kind: Kind, id: &str, answer: &Answer, recorder: &Recorder, tally: &Tally) {
    if answer.status.is_success() {
        bump(&tally.good);
        let whole = answer.body == service::body(id).as_bytes();
        let signed = answer.header("x-response-stamp").is_some();
        let own = answer.header("x-request-id") == Some(id);
        if !(whole && signed && own) {
            recorder.record_violation(format!(
                "{id} got an answer that is not its own or not whole"
            ));
        }
        return;
    }
    match answer.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            bump(&tally.not_run);
            if kind == Kind::Once && recorder.run_count(id) > 0 {
                recorder.record_violation(format!("{id} was refused as not run, and ran"));
            }
            if answer.header("retry-after").is_none() {
                recorder.record_violation(format!("{id} was refused without a time to come back"));
            }
        }
        StatusCode::UNAUTHORIZED => recorder.record_violation(format!("{id} was refused its key")),
        StatusCode::NOT_FOUND => recorder.record_violation(format!("{id} found no route")),
        _ => bump(&tally.unknown),
    }
}
