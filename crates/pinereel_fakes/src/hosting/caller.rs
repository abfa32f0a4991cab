//! A fake caller that sends live requests and checks each answer.

use super::{
    http::{Answer, Failure, call, call_on},
    load_balancer::LoadBalancer,
    recorder::Recorder,
    service,
    site::{API_KEY, HOST},
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel::upstream::pool::Pool;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Deadline that a caller gives its requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);

/// The kind of a request, which decides its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request that may run more than once.
    Repeatable,
    /// A request that may run at most once.
    Once,
}

/// Counts of the answers that callers got.
#[derive(Debug, Default)]
pub struct Tally {
    /// Successful answers.
    pub good: Cell<u64>,
    /// Refusals, which promise that the request did not run.
    pub not_run: Cell<u64>,
    /// Other failures and incomplete answers: the request may have run.
    pub unknown: Cell<u64>,
}

impl Tally {
    /// Number of all answers and failures.
    pub fn total(&self) -> u64 {
        self.good.get() + self.not_run.get() + self.unknown.get()
    }
}

/// How a caller uses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connections {
    /// Each request opens a connection to an instance that the load balancer picks.
    PerRequest,
    /// A connection is used until the instance closes it.
    Kept,
}

/// Sends requests until `end`, each on a new connection to an instance that the load balancer
/// picks.
pub async fn run(
    load_balancer: Rc<LoadBalancer>,
    kind: Kind,
    name: &str,
    end: Instant,
    recorder: Rc<Recorder>,
    tally: Rc<Tally>,
) {
    let how = (kind, Connections::PerRequest);
    send_requests(&load_balancer, how, name, end, &recorder, &tally).await;
}

/// Like [`run`], but uses a connection until the instance closes it, also while the instance shuts
/// down.
pub async fn run_on_kept_connections(
    load_balancer: Rc<LoadBalancer>,
    kind: Kind,
    name: &str,
    end: Instant,
    recorder: Rc<Recorder>,
    tally: Rc<Tally>,
) {
    let how = (kind, Connections::Kept);
    send_requests(&load_balancer, how, name, end, &recorder, &tally).await;
}

async fn send_requests(
    load_balancer: &LoadBalancer,
    (kind, connections): (Kind, Connections),
    name: &str,
    end: Instant,
    recorder: &Recorder,
    tally: &Tally,
) {
    let mut pool = Rc::new(Pool::default());
    let mut address = None;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{name}-{number}");
        if connections == Connections::PerRequest {
            pool = Rc::default();
        }
        let open = address.filter(|address| pool.has_idle(*address));
        let target = open.unwrap_or_else(|| load_balancer.pick().caller_address);
        address = Some(target);
        send_request_on(&pool, target, kind, &id, recorder, tally).await;
        sleep(REQUEST_PAUSE).await;
    }
}

/// Sends a request on a new connection, and checks and counts the answer.
pub async fn send_request(
    address: SocketAddr,
    kind: Kind,
    id: &str,
    recorder: &Recorder,
    tally: &Tally,
) {
    send_request_on(&Rc::default(), address, kind, id, recorder, tally).await;
}

/// Sends a `POST` with this id to an instance, on a new connection and without an API key.
///
/// # Errors
/// As for [`call`].
pub async fn post(
    address: SocketAddr,
    target: &str,
    id: impl Into<String>,
    deadline: Duration,
    body: impl Into<Bytes>,
    time_limit: Duration,
) -> Result<Answer, Failure> {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", id.into()),
        ("x-deadline-ms", deadline.as_millis().to_string()),
    ];
    let body = body.into();
    call(address, Method::POST, target, &headers, body, time_limit).await
}

async fn send_request_on(
    pool: &Rc<Pool>,
    address: SocketAddr,
    kind: Kind,
    id: &str,
    recorder: &Recorder,
    tally: &Tally,
) {
    let path = match kind {
        Kind::Repeatable => "/live/x",
        Kind::Once => "/once/x",
    };
    let headers = [
        ("host", HOST.into()),
        ("x-request-id", id.into()),
        ("x-deadline-ms", DEADLINE.as_millis().to_string()),
        ("authorization", format!("Bearer {API_KEY}")),
    ];
    let body = Bytes::from(format!("from {id}"));
    // The answer should arrive before the deadline; the timeout leaves it a little more time.
    let timeout = DEADLINE + Duration::from_millis(500);
    let answer = call_on(pool, address, Method::POST, path, &headers, body, timeout);
    match answer.await {
        Ok(answer) => check_answer(kind, id, &answer, recorder, tally),
        Err(Failure::NotOpened | Failure::Cut | Failure::Late) => increment(&tally.unknown),
    }
    if kind == Kind::Once && recorder.run_count(id) > 1 {
        recorder.record_violation(format!("{id} ran {} times", recorder.run_count(id)));
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn check_answer(kind: Kind, id: &str, answer: &Answer, recorder: &Recorder, tally: &Tally) {
    if answer.status.is_success() {
        increment(&tally.good);
        let is_complete = answer.body == service::answer_body(id).as_bytes();
        let has_stamp = answer.header("x-response-stamp").is_some();
        let has_own_id = answer.header("x-request-id") == Some(id);
        if !(is_complete && has_stamp && has_own_id) {
            recorder.record_violation(format!(
                "{id} got an answer that is incomplete or of another request"
            ));
        }
        return;
    }
    match answer.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            increment(&tally.not_run);
            if kind == Kind::Once && recorder.run_count(id) > 0 {
                recorder.record_violation(format!("{id} was refused as not run, but ran"));
            }
            if answer.header("retry-after").is_none() {
                recorder.record_violation(format!("{id} was refused without a Retry-After header"));
            }
        }
        StatusCode::UNAUTHORIZED => recorder.record_violation(format!("{id}: the key was refused")),
        StatusCode::NOT_FOUND => recorder.record_violation(format!("{id} matched no route")),
        _ => increment(&tally.unknown),
    }
}
