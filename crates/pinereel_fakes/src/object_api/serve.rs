//! Request handlers of the fake object API.

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

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Time after which a client that exceeds the rate limit may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum size of a request body, in bytes. It is above [`MAX_VALUE_BYTES`], so that a value that
/// is too large gets a proper response.
const MAX_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Handles one request.
pub(super) async fn handle_request(state: Rc<State>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    if let Some(rest) = path.strip_prefix("/objects/") {
        return handle_objects_call(&state, request, rest).await;
    }
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/stats") => json(StatusCode::OK, &*state.stats.borrow()),
        (Method::GET, "/history") => json(
            StatusCode::OK,
            &state.history(fault::query_value(&query, "kind").as_deref()),
        ),
        (Method::POST, "/faults") => {
            match read_json::<Faults>(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
                Ok(faults) => state.set_faults(faults),
                Err(e) => return problem(&e.into()),
            }
            empty(StatusCode::NO_CONTENT)
        }
        (method, path) => match (method, path.strip_prefix("/instances/")) {
            (Method::POST, Some(name)) => {
                match read_json::<Instance>(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
                    Ok(instance) => state.set_instance(name, Some(instance)),
                    Err(e) => return problem(&e.into()),
                }
                empty(StatusCode::NO_CONTENT)
            }
            (Method::DELETE, Some(name)) => {
                state.set_instance(name, None);
                empty(StatusCode::NO_CONTENT)
            }
            _ => refusal_response(Code::NotFound, "no such path", None),
        },
    }
}

/// Handles a call on objects: first the faults, then the rate limit, then the call itself.
async fn handle_objects_call(state: &Rc<State>, request: Request, rest: &str) -> Response {
    let agent = header(&request, USER_AGENT.as_str());
    if state.cut_agents.borrow().contains(&agent) {
        return fault::lost_response();
    }
    if state.has_outage() {
        return outage_response();
    }
    let mut segments = fault::path_segments(rest);
    let kind = &*segments.next().unwrap_or_default();
    let name = segments.next();
    if segments.next().is_some() {
        return refusal_response(Code::NotFound, "no such path", None);
    }
    let is_write = request.method() != Method::GET;
    let limit = if is_write {
        &state.writes
    } else {
        &state.reads
    };
    if !limit.try_take() {
        state.stats.borrow_mut().limited += 1;
        return refusal_response(Code::Overloaded, "rate exceeded", Some(RETRY_AFTER_MS));
    }
    let response = match name.as_deref() {
        Some(name) if is_write => write(state, request, kind, name, &agent).await,
        Some(name) => read(state, kind, name),
        None if is_write => refusal_response(Code::BadRequest, "a write needs a name", None),
        None => list_or_watch(state, &request, kind).await,
    };
    fault::delay(state.response_delay.get()).await;
    response
}

fn read(state: &State, kind: &str, name: &str) -> Response {
    increment(&mut state.stats.borrow_mut().reads, kind);
    match state.store.borrow().read(kind, name) {
        Some(object) => json(StatusCode::OK, &object),
        None => refusal_response(Code::NotFound, "no such object", None),
    }
}

async fn list_or_watch(state: &Rc<State>, request: &Request, kind: &str) -> Response {
    let query = request.uri().query().unwrap_or_default();
    let Some(after) = fault::query_value(query, "after") else {
        increment(&mut state.stats.borrow_mut().reads, kind);
        let prefix = fault::query_value(query, "prefix").unwrap_or_default();
        return json(StatusCode::OK, &state.store.borrow().list(kind, &prefix));
    };
    let wait = fault::query_value(query, "wait_ms").unwrap_or("0".into());
    let (Ok(after), Ok(wait)) = (after.parse(), wait.parse()) else {
        return refusal_response(Code::BadRequest, "after and wait_ms are numbers", None);
    };
    increment(&mut state.stats.borrow_mut().watches, kind);
    let wait = Duration::from_millis(wait).min(MAX_WATCH_WAIT);
    watch(state, kind, after, wait).await
}

/// Counts a pending watch until dropped, which happens also when its client disconnects.
struct PendingWatch {
    state: Rc<State>,
    kind: CompactString,
}

impl PendingWatch {
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

impl Drop for PendingWatch {
    fn drop(&mut self) {
        let mut stats = self.state.stats.borrow_mut();
        stats.waiting -= 1;
        let of_kind = stats.waiting_by_kind.get_mut(&self.kind);
        *of_kind.expect("a pending watch was counted at its start") -= 1;
    }
}

async fn watch(state: &Rc<State>, kind: &str, after: u64, wait: Duration) -> Response {
    let deadline = Instant::now() + wait;
    let ends = state.watch_ends.get();
    let seen = state.watch_ends_seen.borrow_mut().insert(kind.into(), ends);
    if seen.unwrap_or(0) < ends {
        return gone_response();
    }
    let mut wake = state.watch_wake.subscribe();
    let _pending = PendingWatch::new(state, kind);
    loop {
        if state.has_outage() {
            return outage_response();
        }
        let Some(changes) = state.store.borrow().changes(kind, after) else {
            return gone_response();
        };
        let is_over = Instant::now() >= deadline || state.watch_ends.get() != ends;
        if is_over || !changes.changes.is_empty() {
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
        return refusal_response(
            Code::Unauthorized,
            "the list of instances is read only",
            None,
        );
    }
    let Some(condition) = parse_condition(&request) else {
        return refusal_response(Code::BadRequest, "If-None-Match: * or If-Match: V", None);
    };
    let value = match request.method().clone() {
        Method::DELETE if condition == Condition::Absent => {
            return refusal_response(Code::BadRequest, "a delete needs If-Match: V", None);
        }
        Method::DELETE => None,
        Method::PUT => match read_json::<Write>(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(write) => Some(write.value),
            Err(e) => return problem(&e.into()),
        },
        _ => return refusal_response(Code::BadRequest, "GET, PUT or DELETE", None),
    };
    if value
        .as_ref()
        .is_some_and(|v| v.to_string().len() > MAX_VALUE_BYTES)
    {
        return refusal_response(Code::TooLarge, "the value is too large", None);
    }
    increment(&mut state.stats.borrow_mut().writes, kind);
    let is_delete = value.is_none();
    let written = state.write(kind, name, value, condition, agent);
    if written.is_ok() && should_lose_response(state, kind) {
        return fault::lost_response();
    }
    match written {
        Ok(_) if is_delete => empty(StatusCode::NO_CONTENT),
        Ok(change) => json(
            StatusCode::OK,
            &Written {
                version: change.version,
            },
        ),
        Err(Refusal::NotFound) => refusal_response(Code::NotFound, "no such object", None),
        Err(Refusal::Conflict(version)) => json(StatusCode::CONFLICT, &Written { version }),
    }
}

/// Whether to lose the response to this accepted write. If so, one write fewer is left to lose.
fn should_lose_response(state: &State, kind: &str) -> bool {
    let kind_matches = state.lose_kind.borrow().as_ref().is_none_or(|k| k == kind);
    kind_matches && fault::take_one(&state.writes_to_lose)
}

fn parse_condition(request: &Request) -> Option<Condition> {
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

/// Value of a header; empty if it is absent or not printable ASCII.
fn header(request: &Request, name: &str) -> CompactString {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

/// Increments the counter of a kind.
fn increment(counters: &mut BTreeMap<CompactString, u64>, kind: &str) {
    *counters.entry(kind.into()).or_default() += 1;
}

fn outage_response() -> Response {
    refusal_response(Code::ObjectApi, "the object API is down", None)
}

fn gone_response() -> Response {
    text(StatusCode::GONE, "the history does not reach back so far")
}

fn refusal_response(code: Code, message: &str, retry_after_ms: Option<u64>) -> Response {
    problem(&Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms,
    })
}
