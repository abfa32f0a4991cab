//! The rate-limited weight store, with faults on request.
//!
//! | call | path | answer |
//! |---|---|---|
//! | load | `GET /weights/{model}/{version}` | 200 and the bytes, 429 if too many loads run |
//! | counters | `GET /stats` | 200 [`Stats`] |
//! | faults | `POST /faults` with [`Faults`] | 204 |
//!
//! All loads share [`Options::bytes_per_second`]. A client must compare the bytes that came with
//! `content-length`: one that was cut off may look like one that ended.

use crate::fault;
use actix_http::{
    Method, StatusCode,
    body::{BoxBody, SizedStream},
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use pinereel::http::{
    Options as Listener, Request, Response, Server, empty, json, problem, read_json,
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

/// Bytes that are sent at once.
const PART: u64 = 64 * 1024;
/// Longest wait for a request's body, and its largest size in bytes.
const BODY: (usize, Duration) = (64 * 1024, Duration::from_secs(10));
/// What a client is told to wait when too many loads run, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on loopback; 0 lets the system choose.
    pub port: u16,
    /// Size of the weights of each version.
    pub bytes: u64,
    /// Rate of all loads together.
    pub bytes_per_second: u64,
    /// Most loads at once.
    pub loads: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            bytes: 1 << 20,
            bytes_per_second: 100 << 20,
            loads: 8,
        }
    }
}

/// Loads since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Loads begun.
    pub begun: u64,
    /// Loads sent to the end.
    pub done: u64,
    /// Loads running now.
    pub running: u64,
    /// Loads refused because too many ran.
    pub limited: u64,
    /// Loads broken off on request.
    pub failed: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// Faults: `POST /faults`. Absent fields leave a fault as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Break off the next so many loads halfway.
    pub fail: Option<u32>,
    /// Send so many times slower (1 ends it).
    pub slow: Option<u32>,
}

/// State that the connections share on the one thread.
#[derive(Debug)]
struct State {
    options: Options,
    stats: RefCell<Stats>,
    /// When the bytes given out so far have all been sent, at the rate.
    sent_by: Cell<Instant>,
    fail: Cell<u32>,
    slow: Cell<u32>,
}

impl State {
    fn set_faults(&self, faults: Faults) {
        if let Some(loads) = faults.fail {
            self.fail.set(loads);
        }
        if let Some(factor) = faults.slow {
            self.slow.set(factor.max(1));
        }
    }

    /// Waits until the rate allows so many more bytes.
    async fn pace(&self, bytes: u64) {
        let seconds = bytes as f64 * f64::from(self.slow.get());
        let share = Duration::from_secs_f64(seconds / self.options.bytes_per_second.max(1) as f64);
        let until = self.sent_by.get().max(Instant::now()) + share;
        self.sent_by.set(until);
        tokio::time::sleep_until(until).await;
    }
}

/// Starts the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Store;

impl Store {
    /// Starts on loopback, on the current thread's local tasks.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State {
            options,
            stats: RefCell::default(),
            sent_by: Cell::new(Instant::now()),
            fail: Cell::default(),
            slow: Cell::new(1),
        });
        let shared = Rc::clone(&state);
        let server = Server::start(listener, Listener::default(), move |request| {
            answer(Rc::clone(&shared), request)
        })
        .await?;
        Ok(Handle {
            address: server.address,
            server,
            state,
        })
    }
}

/// A running store. Dropping the handle does not stop it; [`Handle::stop`] does.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    server: Server,
    state: Rc<State>,
}

impl Handle {
    /// Sets faults; absent fields leave a fault as it is.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Loads so far.
    pub fn stats(&self) -> Stats {
        *self.state.stats.borrow()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}

async fn answer(state: Rc<State>, mut request: Request) -> Response {
    match (request.method().clone(), request.path()) {
        (Method::GET, "/stats") => json(StatusCode::OK, &*state.stats.borrow()),
        (Method::POST, "/faults") => match read_json(&mut request, BODY.0, BODY.1).await {
            Ok(faults) => {
                state.set_faults(faults);
                empty(StatusCode::NO_CONTENT)
            }
            Err(e) => problem(&e.into()),
        },
        (Method::GET, path) if path.starts_with("/weights/") => load(state, path),
        _ => refused(Code::NotFound, "no such path", None),
    }
}

fn load(state: Rc<State>, path: &str) -> Response {
    if state.stats.borrow().running >= state.options.loads {
        state.stats.borrow_mut().limited += 1;
        return refused(Code::Overloaded, "too many loads", Some(RETRY_AFTER_MS));
    }
    let size = state.options.bytes;
    let load = Load::new(state, hash::stable(path.as_bytes()) as u8);
    let body = SizedStream::new(size, load.parts());
    Response::new(StatusCode::OK).set_body(BoxBody::new(body))
}

/// One load under way.
struct Load {
    state: Rc<State>,
    /// What the weights are filled with.
    byte: u8,
    sent: u64,
    /// Where it breaks off.
    breaks_at: Option<u64>,
}

impl Load {
    fn new(state: Rc<State>, byte: u8) -> Self {
        let breaks_at = fault::take_one(&state.fail).then_some(state.options.bytes / 2);
        let mut stats = state.stats.borrow_mut();
        stats.begun += 1;
        stats.running += 1;
        drop(stats);
        Self {
            state,
            byte,
            sent: 0,
            breaks_at,
        }
    }

    fn parts(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut load| async move {
            let part = load.next().await?;
            Some((part, load))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.breaks_at.is_some_and(|at| self.sent >= at) {
            self.state.stats.borrow_mut().failed += 1;
            return Some(Err(io::Error::other("load broken off on request")));
        }
        let end = self.breaks_at.unwrap_or(self.state.options.bytes);
        let part = PART.min(end - self.sent);
        if part == 0 {
            return None;
        }
        self.state.pace(part).await;
        self.sent += part;
        let mut stats = self.state.stats.borrow_mut();
        stats.bytes += part;
        if self.sent == self.state.options.bytes {
            stats.done += 1;
        }
        Some(Ok(vec![self.byte; part as usize].into()))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.state.stats.borrow_mut().running -= 1;
    }
}

fn refused(code: Code, message: &str, retry_after_ms: Option<u64>) -> Response {
    problem(&Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms,
    })
}
