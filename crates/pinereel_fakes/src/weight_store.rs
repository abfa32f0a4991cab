//! Fake weight store: rate-limited, with faults that can be injected.
//!
//! | call | path | response |
//! |---|---|---|
//! | load | `GET /weights/{model}/{version}` | 200 and the weights, 429 beyond [`Options::max_loads`] |
//! | counters | `GET /stats` | 200 [`Stats`] |
//! | set faults | `POST /faults` with [`Faults`] | 204 |
//!
//! All loads share the rate [`Options::bytes_per_second`]. A caller must compare the number of
//! received bytes with `content-length`, as an HTTP client may report an aborted body as complete.

use crate::fault;
use actix_http::{
    Method, StatusCode,
    body::{BoxBody, SizedStream},
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use pinereel::http::{
    Options as ServerOptions, Request, Response, Server, empty, json, problem, read_json,
};
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use pinereel_core::hash;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpListener, time::Instant};

/// Maximum size of a part of the weights that is sent at once, in bytes.
const MAX_PART_BYTES: u64 = 64 * 1024;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a client may retry when too many loads are running, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Options of the fake weight store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on the loopback address; with 0 the system chooses one.
    pub port: u16,
    /// Size of the weights of each version, in bytes.
    pub weight_bytes: u64,
    /// Rate limit of all loads together, in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of concurrent loads.
    pub max_loads: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            weight_bytes: 1 << 20,
            bytes_per_second: 100 << 20,
            max_loads: 8,
        }
    }
}

/// Counts of loads since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Loads started.
    pub begun: u64,
    /// Loads completed.
    pub done: u64,
    /// Loads in progress.
    pub running: u64,
    /// Loads refused because too many were running.
    pub limited: u64,
    /// Loads aborted by an injected fault.
    pub failed: u64,
    /// Bytes sent by all loads.
    pub bytes: u64,
}

/// Faults to inject: `POST /faults`. Absent fields leave a fault unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Number of next loads that are aborted halfway.
    pub fail: Option<u32>,
    /// Factor by which loads are slower (1 turns the fault off).
    pub slow: Option<u32>,
}

/// State shared by the request handlers, all on one thread.
#[derive(Debug)]
struct State {
    options: Options,
    stats: RefCell<Stats>,
    /// Time by which all earlier parts have been sent at the rate limit.
    busy_until: Cell<Instant>,
    /// Number of next loads that are aborted.
    loads_to_abort: Cell<u32>,
    /// Factor by which loads are slower.
    slow_factor: Cell<u32>,
}

impl State {
    /// Sets the faults of the fields that are present.
    fn set_faults(&self, faults: Faults) {
        if let Some(loads) = faults.fail {
            self.loads_to_abort.set(loads);
        }
        if let Some(factor) = faults.slow {
            self.slow_factor.set(factor.max(1));
        }
    }

    /// Waits until the rate limit allows `bytes` more bytes to have been sent.
    async fn wait_for_rate(&self, bytes: u64) {
        let scaled = bytes as f64 * f64::from(self.slow_factor.get());
        let pause = Duration::from_secs_f64(scaled / self.options.bytes_per_second.max(1) as f64);
        let until = self.busy_until.get().max(Instant::now()) + pause;
        self.busy_until.set(until);
        tokio::time::sleep_until(until).await;
    }
}

/// Starts the fake weight store.
#[derive(Clone, Copy, Debug)]
pub struct Store;

impl Store {
    /// Starts a fake weight store on the loopback address, on the current thread.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State {
            options,
            stats: RefCell::default(),
            busy_until: Cell::new(Instant::now()),
            loads_to_abort: Cell::default(),
            slow_factor: Cell::new(1),
        });
        let shared = Rc::clone(&state);
        let server = Server::start(listener, ServerOptions::default(), move |request| {
            handle_request(Rc::clone(&shared), request)
        })
        .await?;
        Ok(Handle {
            address: server.address,
            server,
            state,
        })
    }
}

/// Handle of a running store. Dropping it does not stop the store; [`Handle::stop`] does.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Local address of the listening socket.
    pub address: SocketAddr,
    server: Server,
    state: Rc<State>,
}

impl Handle {
    /// Sets the faults of the fields that are present.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Counts of loads since the start.
    pub fn stats(&self) -> Stats {
        *self.state.stats.borrow()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}

async fn handle_request(state: Rc<State>, mut request: Request) -> Response {
    match (request.method().clone(), request.path()) {
        (Method::GET, "/stats") => json(StatusCode::OK, &*state.stats.borrow()),
        (Method::POST, "/faults") => {
            match read_json(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
                Ok(faults) => {
                    state.set_faults(faults);
                    empty(StatusCode::NO_CONTENT)
                }
                Err(e) => problem(&e.into()),
            }
        }
        (Method::GET, path) if path.starts_with("/weights/") => start_load(state, path),
        _ => refusal_response(Code::NotFound, "no such path", None),
    }
}

/// Starts to send the weights at `path`, unless too many loads are running.
fn start_load(state: Rc<State>, path: &str) -> Response {
    if state.stats.borrow().running >= state.options.max_loads {
        state.stats.borrow_mut().limited += 1;
        return refusal_response(Code::Overloaded, "too many loads", Some(RETRY_AFTER_MS));
    }
    let size = state.options.weight_bytes;
    let load = Load::new(state, hash::stable(path.as_bytes()) as u8);
    let body = SizedStream::new(size, load.into_stream());
    Response::new(StatusCode::OK).set_body(BoxBody::new(body))
}

/// A load in progress.
struct Load {
    state: Rc<State>,
    /// Value of every byte of the weights, derived from the path.
    fill_byte: u8,
    sent_bytes: u64,
    /// Number of bytes after which an injected fault aborts the load.
    abort_at: Option<u64>,
}

impl Load {
    /// Counts the load as running until it is dropped, and aborts it if a fault is due.
    fn new(state: Rc<State>, fill_byte: u8) -> Self {
        let abort_at =
            fault::take_one(&state.loads_to_abort).then_some(state.options.weight_bytes / 2);
        let mut stats = state.stats.borrow_mut();
        stats.begun += 1;
        stats.running += 1;
        drop(stats);
        Self {
            state,
            fill_byte,
            sent_bytes: 0,
            abort_at,
        }
    }

    /// Returns the parts as a stream.
    fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut load| async move {
            let part = load.next_part().await?;
            Some((part, load))
        })
    }

    /// Returns the next part when the rate limit allows it; `None` at the end.
    async fn next_part(&mut self) -> Option<io::Result<Bytes>> {
        if self.abort_at.is_some_and(|at| self.sent_bytes >= at) {
            self.state.stats.borrow_mut().failed += 1;
            return Some(Err(io::Error::other("load aborted by an injected fault")));
        }
        let end = self.abort_at.unwrap_or(self.state.options.weight_bytes);
        let part_bytes = MAX_PART_BYTES.min(end - self.sent_bytes);
        if part_bytes == 0 {
            return None;
        }
        self.state.wait_for_rate(part_bytes).await;
        self.sent_bytes += part_bytes;
        let mut stats = self.state.stats.borrow_mut();
        stats.bytes += part_bytes;
        if self.sent_bytes == self.state.options.weight_bytes {
            stats.done += 1;
        }
        Some(Ok(vec![self.fill_byte; part_bytes as usize].into()))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.state.stats.borrow_mut().running -= 1;
    }
}

fn refusal_response(code: Code, message: &str, retry_after_ms: Option<u64>) -> Response {
    problem(&Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms,
    })
}
