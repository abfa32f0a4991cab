//! A plain service: runs requests, signs its answers, lists itself in the store.

use super::{
    recorder::Recorder,
    engine::{header, set, stamp, caller_identity},
    store::Store,
};
use actix_http::{HttpMessage as _, StatusCode, body::BoxBody};
use pinereel::http::{self, Request, Response, Server};
use pinereel_core::hash;
use serde_json::json;
use std::{
    cell::Cell,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Requests that run at once.
const SLOTS: u32 = 6;
/// Time of one request.
const WORK: Duration = Duration::from_millis(8);

/// What a service does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// One of so many answers is lost after the request ran; 0 loses none.
    pub lose_every: u64,
    /// One of so many answers is cut short; 0 cuts none.
    pub cut_every: u64,
    /// Holds every answer for so long.
    pub delay: Duration,
}

/// A running service endpoint.
#[derive(Clone)]
pub struct Service {
    /// Its id.
    pub id: Rc<String>,
    /// Where it serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id: String,
    service: String,
    store: Store,
    recorder: Rc<Recorder>,
    faults: Cell<Faults>,
    count: Cell<u64>,
    leaving_since: Cell<Option<Instant>>,
}

/// The body of the answer to a request.
pub fn body(id: &str) -> String {
    format!("answer to {id} {:016x}", hash::stable(id.as_bytes()))
}

impl Service {
    /// Starts an endpoint on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        store: &Store,
        recorder: &Rc<Recorder>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            id: id.into(),
            service: service.into(),
            store: store.clone(),
            recorder: Rc::clone(recorder),
            faults: Cell::default(),
            count: Cell::new(0),
            leaving_since: Cell::new(None),
        });
        let serving = Rc::clone(&state);
        Server::start(listener, http::Options::default(), move |request| {
            let state = Rc::clone(&serving);
            async move { serve(state, request).await }
        })
        .await?;
        Ok(Self {
            id: Rc::new(id.into()),
            address,
            state,
        })
    }

    /// Lists the endpoint in the store, as reached under `advertised`.
    pub fn register(&self, advertised: SocketAddr) {
        let state = &self.state;
        let leaving = state.leaving_since.get().is_some();
        let entry = json!({
            "service": state.service,
            "addr": advertised.to_string(),
            "zone": "here",
            "version": "v1",
            "slots": SLOTS,
            "state": if leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "seq": 0,
        });
        state.store.put("servers", &state.id, entry);
    }

    /// Announces that it leaves.
    pub fn leave(&self, advertised: SocketAddr) {
        self.state.leaving_since.set(Some(Instant::now()));
        self.register(advertised);
    }

    /// Takes it off the list.
    pub fn deregister(&self) {
        self.state.store.remove("servers", &self.state.id);
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.set(faults);
    }
}

async fn serve(state: Rc<State>, request: Request) -> Response {
    let headers = request.headers();
    let expected = header(headers, "x-expect-instance");
    if expected.is_some_and(|id| id != state.id) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let id = header(headers, "x-request-id").unwrap_or_default();
    if let Some(since) = state.leaving_since.get() {
        state.recorder.record_late_request(&id, since.elapsed());
    }
    state.recorder.record_caller(&id, caller_identity(headers));
    state.recorder.record_run(&id, &state.service);
    let faults = state.faults.get();
    sleep(WORK + faults.delay).await;
    state.count.set(state.count.get() + 1);
    let one_of = |n: u64| n > 0 && state.count.get().is_multiple_of(n);
    if one_of(faults.lose_every) {
        sleep(Duration::from_secs(60)).await;
    }
    let mut text = body(&id).into_bytes();
    let length = text.len();
    if one_of(faults.cut_every) {
        text.truncate(length / 2);
    }
    let mut answer = Response::new(StatusCode::OK).set_body(BoxBody::new(text));
    set(&mut answer, "x-request-id", &id);
    if !one_of(faults.cut_every) {
        set(&mut answer, "x-response-stamp", &stamp(&state.id, &id));
    }
    answer
}
