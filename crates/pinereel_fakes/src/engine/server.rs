//! The engine stand-in on a listener: `pinereel_api::engine`, and three paths of its own.
//!
//! | path | what |
//! |---|---|
//! | `POST /faults` | replaces the [`Faults`] |
//! | `GET /record` | what truly happened, by attempt id: [`Record`](super::batch::Record) |
//! | `GET /v1/cache_events?after=N` | [`CacheEvent`]s, late and with gaps |
//! | `POST /v1/kv/export` | [`Prompt`] in, [`Blob`](super::cache::Blob) out |
//! | `POST /v1/kv/import` | [`Blob`](super::cache::Blob) in |

use super::{
    batch::{self, Refusal},
    cache::Change,
    fault::Faults,
    state::{Shared, drive},
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

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Longest wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// One cache event in this many is never published.
const GAP_ONE_IN: u64 = 16;

/// How the stand-in is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Its name.
    pub name: CompactString,
    /// Size and speed.
    pub batch: batch::Options,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// How old the reported load and the cache events are, at least.
    pub lag: Duration,
    /// Decides which cache events are lost.
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

/// A change of the prefix cache, as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one an event; a jump is a gap.
    pub number: u64,
    /// What changed.
    pub change: Change,
}

/// Asks for the cached KV of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The prompt.
    pub prompt: String,
}

/// A running stand-in. Dropping it does not stop it; [`Handle::stop`] does.
#[derive(Debug)]
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    server: Server,
    driver: JoinHandle<()>,
    shared: Rc<Shared>,
}

impl Handle {
    /// Starts a stand-in on this thread's runtime.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let shared = Rc::new(Shared::new(options));
        let driver = actix_rt::spawn(drive(Rc::clone(&shared)));
        let state = Rc::clone(&shared);
        let handler = move |request| answer(Rc::clone(&state), request);
        let server = Server::start(listener, http::Options::default(), handler).await?;
        Ok(Self {
            address: server.address,
            server,
            driver,
            shared,
        })
    }

    /// Closes the listener and every connection.
    pub fn stop(&self) {
        self.driver.abort();
        self.server.close();
    }

    /// Replaces the faults, as `POST /faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// What truly happened, as `GET /record` tells.
    pub fn record(&self) -> BTreeMap<CompactString, batch::Record> {
        self.shared.state.borrow().engine.records().clone()
    }
}

async fn answer(shared: Rc<Shared>, request: Request) -> Response {
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
        (&Method::POST, "/v1/completions") => Ok(complete(shared, body(&mut request).await?)),
        (&Method::POST, "/v1/cancel") => Ok(cancel(shared, body(&mut request).await?)),
        (&Method::POST, "/v1/orders") => order(shared, body(&mut request).await?),
        (&Method::GET, "/v1/state") => Ok(http::json(StatusCode::OK, &shared.report())),
        (&Method::GET, "/v1/cache_events") => Ok(cache_events(shared, request.uri().query())),
        (&Method::POST, "/v1/kv/export") => {
            let Prompt { prompt } = body(&mut request).await?;
            let blob = shared.state.borrow_mut().engine.export(&prompt);
            Ok(http::json(StatusCode::OK, &blob))
        }
        (&Method::POST, "/v1/kv/import") => {
            let blob = body(&mut request).await?;
            let mut state = shared.state.borrow_mut();
            state.engine.import(shared.now(), &blob);
            Ok(http::empty(StatusCode::NO_CONTENT))
        }
        (&Method::POST, "/faults") => {
            shared.set_faults(body(&mut request).await?);
            Ok(http::empty(StatusCode::NO_CONTENT))
        }
        (&Method::GET, "/record") => {
            let state = shared.state.borrow();
            Ok(http::json(StatusCode::OK, state.engine.records()))
        }
        _ => Err(problem(Code::NotFound, "no such path")),
    }
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Problem> {
    http::read_json(request, MAX_BODY, BODY_TIMEOUT)
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

fn complete(shared: &Rc<Shared>, mut request: engine::Request) -> Response {
    let mut state = shared.state.borrow_mut();
    if request.request_id.is_empty() {
        state.unnamed += 1;
        request.request_id = format_compact!("unnamed-{}", state.unnamed);
    }
    let id = request.request_id.clone();
    if let Err(refusal) = state.engine.submit(shared.now(), request) {
        return refuse(refusal);
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    state.streams.insert(id.clone(), sender);
    drop(state);
    shared.wake.notify_one();
    let owner = Rc::clone(shared);
    let body = stream::body(receiver, move || owner.forget(&id));
    let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(body)));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

/// Nothing ran; the header is the evidence for it.
fn refuse(refusal: Refusal) -> Response {
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
    // The driver passes the last chunk on.
    shared.wake.notify_one();
    http::empty(StatusCode::NO_CONTENT)
}

fn order(shared: &Rc<Shared>, order: Order) -> Result<Response, Problem> {
    let mut state = shared.state.borrow_mut();
    if shared.options.checks_fencing && order.fence < state.fence {
        return Err(problem(Code::Conflict, "old fencing token"));
    }
    state.fence = state.fence.max(order.fence);
    state.engine.load(shared.now(), order.version);
    drop(state);
    shared.wake.notify_one();
    Ok(http::json(StatusCode::OK, &shared.report()))
}

fn cache_events(shared: &Rc<Shared>, query: Option<&str>) -> Response {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let seed = shared.options.seed;
    let lost =
        |number: u64| hash::stable(&(number ^ seed).to_le_bytes()).is_multiple_of(GAP_ONE_IN);
    let state = shared.state.borrow();
    let changes = state
        .engine
        .changes(shared.now(), after, shared.options.lag);
    let events: Vec<CacheEvent> = changes
        .into_iter()
        .filter(|(number, _)| !lost(*number))
        .map(|(number, change)| CacheEvent { number, change })
        .collect();
    http::json(StatusCode::OK, &events)
}
