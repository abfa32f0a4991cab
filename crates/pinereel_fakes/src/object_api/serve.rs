//! From requests to answers.

use super::{Condition, Refusal, handle::State};
use crate::fault;
use actix_http::{
    HttpMessage as _, Method, StatusCode,
    header::{IF_MATCH, IF_NONE_MATCH, USER_AGENT},
};
use compact_str::CompactString;
use pinereel::http::{Request, Response, empty, json, problem, read_json, text};
use pinereel_api::{
    Problem,
    object::{Faults, INSTANCES, Instance, MAX_VALUE_BYTES, Write, Written},
    problem::{Code, Ran},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Longest wait for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// What a client that exceeds the rate is told to wait, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Bodies are read somewhat beyond [`MAX_VALUE_BYTES`], so that too large a value gets a whole answer.
const MAX_BODY: usize = 2 * MAX_VALUE_BYTES;

/// Answers one request.
pub(super) async fn answer(state: Rc<State>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    if let Some(rest) = path.strip_prefix("/objects/") {
        return objects(&state, request, rest).await;
    }
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/stats") => json(StatusCode::OK, &*state.stats.borrow()),
        (Method::GET, "/history") => json(
            StatusCode::OK,
            &state.history(fault::query_value(&query, "kind")),
        ),
        (Method::POST, "/faults") => {
            match read_json::<Faults>(&mut request, MAX_BODY, BODY_TIMEOUT).await {
                Ok(faults) => state.set_faults(faults),
                Err(e) => return problem(&e.into()),
            }
            empty(StatusCode::NO_CONTENT)
        }
        (method, path) => match (method, path.strip_prefix("/instances/")) {
            (Method::POST, Some(name)) => {
                match read_json::<Instance>(&mut request, MAX_BODY, BODY_TIMEOUT).await {
                    Ok(instance) => state.set_instance(name, Some(instance)),
                    Err(e) => return problem(&e.into()),
                }
                empty(StatusCode::NO_CONTENT)
            }
            (Method::DELETE, Some(name)) => {
                state.set_instance(name, None);
                empty(StatusCode::NO_CONTENT)
            }
            _ => refused(Code::NotFound, "no such path", None),
        },
    }
}

/// A call on objects: faults, then the rate, then the call itself.
async fn objects(state: &Rc<State>, request: Request, rest: &str) -> Response {
    let agent = header(&request, USER_AGENT.as_str());
    if state.cut.borrow().contains(&agent) {
        return fault::lost_response();
    }
    if state.down() {
        return down();
    }
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    let writes = request.method() != Method::GET;
    let bucket = if writes { &state.writes } else { &state.reads };
    if !bucket.take() {
        state.stats.borrow_mut().limited += 1;
        return refused(Code::Overloaded, "rate exceeded", Some(RETRY_AFTER_MS));
    }
    let answer = match name {
        Some(name) if writes => write(state, request, kind, name, &agent).await,
        Some(name) => read(state, kind, name),
        None if writes => refused(Code::BadRequest, "a write needs a name", None),
        None => list_or_watch(state, &request, kind).await,
    };
    fault::delay(state.delay.get()).await;
    answer
}

fn read(state: &State, kind: &str, name: &str) -> Response {
    count(&mut state.stats.borrow_mut().reads, kind);
    match state.store.borrow().read(kind, name) {
        Some(object) => json(StatusCode::OK, &object),
        None => refused(Code::NotFound, "no such object", None),
    }
}

async fn list_or_watch(state: &Rc<State>, request: &Request, kind: &str) -> Response {
    let query = request.uri().query().unwrap_or_default();
    let Some(after) = fault::query_value(query, "after") else {
        count(&mut state.stats.borrow_mut().reads, kind);
        let prefix = fault::query_value(query, "prefix").unwrap_or_default();
        return json(StatusCode::OK, &state.store.borrow().list(kind, prefix));
    };
    let wait = fault::query_value(query, "wait_ms").unwrap_or("0");
    let (Ok(after), Ok(wait)) = (after.parse(), wait.parse()) else {
        return refused(Code::BadRequest, "after and wait_ms are numbers", None);
    };
    count(&mut state.stats.borrow_mut().watches, kind);
    let wait = Duration::from_millis(wait).min(MAX_WAIT);
    watch(state, kind, after, wait).await
}

/// Counts a waiting watch for as long as it lives, also if its client goes away.
struct Waiting {
    state: Rc<State>,
    kind: CompactString,
}

impl Waiting {
    fn new(state: &Rc<State>, kind: &str) -> Self {
        let mut stats = state.stats.borrow_mut();
        stats.waiting += 1;
        *stats.waiting_by_kind.entry(kind.into()).or_default() += 1;
        Self {
            state: Rc::clone(state),
            kind: kind.into(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut stats = self.state.stats.borrow_mut();
        stats.waiting -= 1;
        let of_kind = stats.waiting_by_kind.get_mut(&self.kind);
        *of_kind.expect("a waiting watch was counted") -= 1;
    }
}

async fn watch(state: &Rc<State>, kind: &str, after: u64, wait: Duration) -> Response {
    let deadline = Instant::now() + wait;
    let ended = state.ended.get();
    let seen = state.ended_seen.borrow_mut().insert(kind.into(), ended);
    if seen.unwrap_or(0) < ended {
        return gone();
    }
    let mut wake = state.wake.subscribe();
    let _waiting = Waiting::new(state, kind);
    loop {
        if state.down() {
            return down();
        }
        let Some(changes) = state.store.borrow().changes(kind, after) else {
            return gone();
        };
        let over = Instant::now() >= deadline || state.ended.get() != ended;
        if over || !changes.changes.is_empty() {
            return json(StatusCode::OK, &changes);
        }
        let _ = tokio::time::timeout_at(deadline, wake.changed()).await;
    }
}

async fn write(
    state: &State,
    mut request: Request,
    kind: &str,
    name: &str,
    agent: &str,
) -> Response {
    if kind == INSTANCES {
        return refused(
            Code::Unauthorized,
            "the list of instances is read only",
            None,
        );
    }
    let Some(condition) = condition(&request) else {
        return refused(Code::BadRequest, "If-None-Match: * or If-Match: V", None);
    };
    let value = match request.method().clone() {
        Method::DELETE if condition == Condition::Absent => {
            return refused(Code::BadRequest, "a delete needs If-Match: V", None);
        }
        Method::DELETE => None,
        Method::PUT => match read_json::<Write>(&mut request, MAX_BODY, BODY_TIMEOUT).await {
            Ok(write) => Some(write.value),
            Err(e) => return problem(&e.into()),
        },
        _ => return refused(Code::BadRequest, "GET, PUT or DELETE", None),
    };
    if value
        .as_ref()
        .is_some_and(|v| v.to_string().len() > MAX_VALUE_BYTES)
    {
        return refused(Code::TooLarge, "the value is too large", None);
    }
    count(&mut state.stats.borrow_mut().writes, kind);
    let deletes = value.is_none();
    let written = state.write(kind, name, value, condition, agent);
    if written.is_ok() && loses(state, kind) {
        return fault::lost_response();
    }
    match written {
        Ok(_) if deletes => empty(StatusCode::NO_CONTENT),
        Ok(change) => json(
            StatusCode::OK,
            &Written {
                version: change.version,
            },
        ),
        Err(Refusal::NotFound) => refused(Code::NotFound, "no such object", None),
        Err(Refusal::Conflict(version)) => json(StatusCode::CONFLICT, &Written { version }),
    }
}

/// Whether the answer to this accepted write is to be lost.
fn loses(state: &State, kind: &str) -> bool {
    let any = state.lose_kind.borrow().as_ref().is_none_or(|k| k == kind);
    any && fault::take_one(&state.lose)
}

fn condition(request: &Request) -> Option<Condition> {
    if header(request, IF_NONE_MATCH.as_str()) == "*" {
        return Some(Condition::Absent);
    }
    let version = header(request, IF_MATCH.as_str());
    version
        .trim_matches('"')
        .parse()
        .ok()
        .map(Condition::Version)
}

/// The text of a header; empty if it is absent or no text.
fn header(request: &Request, name: &str) -> CompactString {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

fn count(counters: &mut BTreeMap<CompactString, u64>, kind: &str) {
    *counters.entry(kind.into()).or_default() += 1;
}

fn down() -> Response {
    refused(Code::ObjectApi, "the object API is down", None)
}

fn gone() -> Response {
    text(StatusCode::GONE, "the history does not reach back so far")
}

fn refused(code: Code, message: &str, retry_after_ms: Option<u64>) -> Response {
    problem(&Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms,
    })
}
