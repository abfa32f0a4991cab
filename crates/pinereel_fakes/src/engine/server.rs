//! HTTP server of the fake engine: the calls of `pinereel_api::engine`, and these of its own.
//!
//! | path | effect or response |
//! |---|---|
//! | `POST /faults` | replaces the injected [`Faults`] |
//! | `GET /record` | what was actually computed, by attempt id: [`Record`](super::batch::Record) |
//! | `GET /v1/cache_events?after=N` | [`CacheEvent`]s after number N, delayed and with gaps |
//! | `POST /v1/kv/export` | takes an [`ExportRequest`], returns [`CachedBlocks`] |
//! | `POST /v1/kv/import` | takes [`CachedBlocks`] |
//!
//! [`CachedBlocks`]: super::cache::CachedBlocks

use super::{
    batch::{self, Refusal},
    cache::Change,
    fault::Faults,
    state::{Shared, run_steps},
    stream,
};
use actix_http::{
    Method, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use compact_str::{CompactString, format_compact};
use pinereel::http::{self, Request, Response, Server};
use pinereel_api::{
    Problem,
    engine::{self, Cancel, Order},
    header,
    problem::{Code, Ran},
};
use pinereel_core::hash;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// On average, one cache event in this many is never published.
const EVENTS_PER_GAP: u64 = 16;

/// Options of the fake engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; with port 0 the system chooses a port.
    pub address: SocketAddr,
    /// Name, for debug output only.
    pub name: CompactString,
    /// Capacity and speed.
    pub batch: batch::Options,
    /// Whether orders with an old fencing token are refused with status 409.
    pub checks_fencing: bool,
    /// Minimum age of the reported load and of published cache events.
    pub lag: Duration,
    /// Seed that decides which cache events are never published.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "engine".into(),
            batch: batch::Options::default(),
            checks_fencing: true,
            lag: Duration::from_millis(500),
            seed: 0,
        }
    }
}

/// A published change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the change, one higher than that of the previous change. A missing number means
    /// that an event was lost.
    pub number: u64,
    /// What changed.
    pub change: Change,
}

/// Request for the cached blocks of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Prompt whose blocks are requested.
    pub prompt: String,
}

/// Handle of a running fake engine. Dropping it does not stop the engine; [`Handle::stop`] does.
#[derive(Debug)]
pub struct Handle {
    /// Local address of the listening socket.
    pub address: SocketAddr,
    server: Server,
    step_task: JoinHandle<()>,
    shared: Rc<Shared>,
}

impl Handle {
    /// Starts a fake engine on the current thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let shared = Rc::new(Shared::new(options));
        let step_task = actix_rt::spawn(run_steps(Rc::clone(&shared)));
        let state = Rc::clone(&shared);
        let handler = move |request| handle_request(Rc::clone(&state), request);
        let server = Server::start(listener, http::Options::default(), handler).await?;
        Ok(Self {
            address: server.address,
            server,
            step_task,
            shared,
        })
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.step_task.abort();
        self.server.close();
    }

    /// Replaces the injected faults, as `POST /faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// What was actually computed for each attempt, as `GET /record` returns it.
    pub fn records(&self) -> BTreeMap<CompactString, batch::Record> {
        self.shared.state.borrow().engine.records().clone()
    }
}

async fn handle_request(shared: Rc<Shared>, request: Request) -> Response {
    let mut response = dispatch(&shared, request)
        .await
        .unwrap_or_else(|problem| http::problem(&problem));
    let incarnation = shared.state.borrow().incarnation;
    response.headers_mut().insert(
        HeaderName::from_static(header::INCARNATION),
        HeaderValue::from(incarnation),
    );
    response
}

async fn dispatch(shared: &Rc<Shared>, mut request: Request) -> Result<Response, Problem> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => Ok(complete(shared, read_body(&mut request).await?)),
        (&Method::POST, "/v1/cancel") => Ok(cancel(shared, read_body(&mut request).await?)),
        (&Method::POST, "/v1/orders") => order(shared, read_body(&mut request).await?),
        (&Method::GET, "/v1/state") => Ok(http::json(StatusCode::OK, &shared.reported_state())),
        (&Method::GET, "/v1/cache_events") => Ok(cache_events(shared, request.uri().query())),
        (&Method::POST, "/v1/kv/export") => {
            let ExportRequest { prompt } = read_body(&mut request).await?;
            let blocks = shared.state.borrow_mut().engine.export_blocks(&prompt);
            Ok(http::json(StatusCode::OK, &blocks))
        }
        (&Method::POST, "/v1/kv/import") => {
            let blocks = read_body(&mut request).await?;
            let mut state = shared.state.borrow_mut();
            state.engine.import_blocks(shared.now(), &blocks);
            Ok(http::empty(StatusCode::NO_CONTENT))
        }
        (&Method::POST, "/faults") => {
            shared.set_faults(read_body(&mut request).await?);
            Ok(http::empty(StatusCode::NO_CONTENT))
        }
        (&Method::GET, "/record") => {
            let state = shared.state.borrow();
            Ok(http::json(StatusCode::OK, state.engine.records()))
        }
        _ => Err(problem(Code::NotFound, "no such path")),
    }
}

async fn read_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Problem> {
    http::read_json(request, MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .map_err(Into::into)
}

fn problem(code: Code, message: &str) -> Problem {
    Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms: None,
    }
}

/// Submits a completion request and returns the stream of its chunks.
fn complete(shared: &Rc<Shared>, mut request: engine::Request) -> Response {
    let mut state = shared.state.borrow_mut();
    if request.request_id.is_empty() {
        state.unnamed_requests += 1;
        request.request_id = format_compact!("unnamed-{}", state.unnamed_requests);
    }
    let id = request.request_id.clone();
    if let Err(refusal) = state.engine.submit(shared.now(), request) {
        return refusal_response(refusal);
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    state.streams.insert(id.clone(), sender);
    drop(state);
    shared.wake.notify_one();
    let shared = Rc::clone(shared);
    let body = stream::body(receiver, move || shared.cancel_closed(&id));
    let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(body)));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

/// Response to a refused request. Its `x-refused` header tells the caller that nothing ran.
fn refusal_response(refusal: Refusal) -> Response {
    let code = match refusal {
        Refusal::Duplicate => Code::InProgress,
        Refusal::Leaving | Refusal::NotLoaded | Refusal::Full => Code::Unavailable,
    };
    let mut response = http::problem(&problem(code, &refusal.to_string()));
    let reason = match refusal {
        Refusal::Leaving => "leaving",
        Refusal::NotLoaded => "not-loaded",
        Refusal::Full => "full",
        Refusal::Duplicate => "duplicate",
    };
    response.headers_mut().insert(
        HeaderName::from_static(header::REFUSED),
        HeaderValue::from_static(reason),
    );
    response
}

fn cancel(shared: &Rc<Shared>, cancel: Cancel) -> Response {
    let mut state = shared.state.borrow_mut();
    state.engine.cancel(&cancel.request_id);
    drop(state);
    // The step task forwards the last chunk to the stream.
    shared.wake.notify_one();
    http::empty(StatusCode::NO_CONTENT)
}

/// Applies an order to load a version, unless its fencing token is old.
fn order(shared: &Rc<Shared>, order: Order) -> Result<Response, Problem> {
    let mut state = shared.state.borrow_mut();
    if shared.options.checks_fencing && order.fence < state.highest_fence {
        return Err(problem(Code::Conflict, "old fencing token"));
    }
    state.highest_fence = state.highest_fence.max(order.fence);
    state.engine.load(shared.now(), order.version);
    drop(state);
    shared.wake.notify_one();
    Ok(http::json(StatusCode::OK, &shared.reported_state()))
}

fn cache_events(shared: &Rc<Shared>, query: Option<&str>) -> Response {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let seed = shared.options.seed;
    let lost =
        |number: u64| hash::stable(&(number ^ seed).to_le_bytes()).is_multiple_of(EVENTS_PER_GAP);
    let state = shared.state.borrow();
    let changes = state
        .engine
        .cache_changes(shared.now(), after, shared.options.lag);
    let events: Vec<CacheEvent> = changes
        .into_iter()
        .filter(|(number, _)| !lost(*number))
        .map(|(number, change)| CacheEvent { number, change })
        .collect();
    http::json(StatusCode::OK, &events)
}
