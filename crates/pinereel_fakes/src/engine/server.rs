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
    batch::{self, Engine, Refusal},
    cache::Change,
    fault::Faults,
};
use actix_http::{
    Method, StatusCode,
    body::{BodyStream, BoxBody},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::{Stream, stream};
use pinereel::http::{self, Request, Response, Server};
use pinereel_api::{
    Problem,
    engine::{self, Cancel, Chunk, Order},
    header,
    problem::{Code, Ran},
};
use pinereel_core::{Time, hash};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    task::JoinHandle,
    time::Instant,
};

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

/// What a stream is told.
enum Event {
    Chunk(Chunk),
    /// The connection is to break here.
    Cut,
}

type Sender = mpsc::UnboundedSender<Event>;

/// State shared by the handlers and the driver.
#[derive(Debug)]
struct Shared {
    options: Options,
    start: Instant,
    state: RefCell<State>,
    /// Tells the driver that the engine's next moment may have changed.
    wake: Notify,
}

/// The load of one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    at: Time,
    running: u32,
    waiting: u32,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    /// Open streams. A stream holds at most its request's `max_tokens` chunks.
    streams: BTreeMap<CompactString, Sender>,
    incarnation: u64,
    fence: u64,
    /// The load that is told.
    told: Load,
    /// The load that is told once it is old enough.
    taken: Load,
    /// Total of tokens at which the engine crashes.
    crash_at: Option<u64>,
    /// Requests without an id of their own.
    unnamed: u64,
}

impl Shared {
    fn new(options: Options) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since_epoch.map_or(1, |time| time.as_micros() as u64);
        let state = State {
            engine: Engine::new(options.batch.clone()),
            streams: BTreeMap::new(),
            incarnation,
            fence: 0,
            told: Load::default(),
            taken: Load::default(),
            crash_at: None,
            unnamed: 0,
        };
        Self {
            options,
            start: Instant::now(),
            state: RefCell::new(state),
            wake: Notify::new(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.state.borrow_mut();
        let tokens = state.engine.tokens();
        state.crash_at = faults.crash_after_tokens.map(|more| tokens + more);
        state.engine.set_faults(self.now(), faults);
        drop(state);
        self.wake.notify_one();
    }

    /// Runs what is due and passes the chunks on; tells when to come back.
    fn pump(&self) -> Option<Instant> {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.observe(now, self.options.lag);
        let chunks = state.engine.advance(now);
        for chunk in chunks {
            state.pass(chunk);
        }
        if state.crash_at.is_some_and(|at| state.engine.tokens() >= at) {
            state.crash();
        }
        let next = state.engine.next()?;
        Some(self.start + next.since(Time::ZERO))
    }

    fn report(&self) -> engine::State {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        state.observe(now, self.options.lag);
        self.describe(&state, now, state.told)
    }

    fn describe(&self, state: &State, now: Time, load: Load) -> engine::State {
        engine::State {
            incarnation: state.incarnation,
            version: state.engine.version(),
            loading: state.engine.loading(),
            failed: state.engine.failed().map(Into::into),
            running: load.running,
            waiting: load.waiting,
            lag_ms: now.since(load.at).as_millis() as u64,
            slots: self.options.batch.slots as u32,
            leaving: state.engine.faults().leaving,
            fence: state.fence,
        }
    }
}

impl State {
    /// Keeps the told load late by `lag` at least.
    fn observe(&mut self, now: Time, lag: Duration) {
        if now.since(self.taken.at) < lag {
            return;
        }
        self.told = self.taken;
        self.taken = Load {
            at: now,
            running: self.engine.running() as u32,
            waiting: self.engine.waiting() as u32,
        };
    }

    fn pass(&mut self, chunk: Chunk) {
        let faults = self.engine.faults();
        let copies = if faults.duplicate_chunks { 2 } else { 1 };
        let cut = faults.cut_streams;
        let Some(stream) = self.streams.get(&chunk.id) else {
            return;
        };
        for _ in 0..copies {
            // A reader that is gone cancels by dropping its end.
            let _ = stream.send(Event::Chunk(chunk.clone()));
        }
        if cut {
            let _ = stream.send(Event::Cut);
        }
        if cut || chunk.finish.is_some() {
            self.streams.remove(&chunk.id);
        }
    }

    fn crash(&mut self) {
        for stream in std::mem::take(&mut self.streams).values() {
            let _ = stream.send(Event::Cut);
        }
        self.engine.restart();
        self.crash_at = None;
        self.incarnation += 1;
    }
}

/// Runs the engine's steps when they are due, for as long as the stand-in runs.
async fn drive(shared: Rc<Shared>) {
    loop {
        let due = shared.pump();
        let wake = shared.wake.notified();
        match due {
            None => wake.await,
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = wake => {}
            },
        }
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
    let guard = Guard {
        shared: Rc::clone(shared),
        id,
    };
    let mut response = Response::new(StatusCode::OK)
        .set_body(BoxBody::new(BodyStream::new(events(receiver, guard))));
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
        // An engine without weights is as good as leaving: it takes nothing now.
        Refusal::Leaving | Refusal::NotLoaded => "leaving",
        Refusal::Full => "full",
        Refusal::Duplicate => "duplicate",
    };
    response.headers_mut().insert(
        HeaderName::from_static(header::REFUSED),
        HeaderValue::from_static(reason),
    );
    response
}

/// Cancels its attempt when the reader is gone.
struct Guard {
    shared: Rc<Shared>,
    id: CompactString,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        state.streams.remove(&self.id);
        state.engine.cancel(&self.id);
    }
}

/// Where a stream of events stands.
enum Step {
    Open,
    Done,
    Closed,
}

fn events(
    receiver: mpsc::UnboundedReceiver<Event>,
    guard: Guard,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold((receiver, guard, Step::Open), |state| async move {
        let (mut receiver, guard, step) = state;
        match step {
            Step::Closed => return None,
            Step::Done if receiver.is_empty() => {
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((Ok(done), (receiver, guard, Step::Closed)));
            }
            Step::Open | Step::Done => {}
        }
        let Some(Event::Chunk(chunk)) = receiver.recv().await else {
            // What was sent so far goes out first: a pending body lets the listener flush.
            tokio::task::yield_now().await;
            // An error ends the connection without the body's regular end.
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(cut), (receiver, guard, Step::Closed)));
        };
        let next = if chunk.finish.is_some() {
            Step::Done
        } else {
            Step::Open
        };
        let json = serde_json::to_string(&chunk).map_err(io::Error::other);
        let event = json.map(|json| Bytes::from(format!("data: {json}\n\n")));
        Some((event, (receiver, guard, next)))
    })
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
