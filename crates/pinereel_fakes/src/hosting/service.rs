//! A fake endpoint of a plain service: runs requests, stamps its answers and registers in the
//! store.

use super::{
    engine::{caller_identity, header, response_stamp, set_header},
    recorder::Recorder,
    store::Store,
};
use actix_http::{HttpMessage as _, StatusCode, body::BoxBody};
use futures_util::StreamExt as _;
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

/// Number of requests that may run at once, as registered.
const SLOTS: u32 = 6;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(8);

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Every nth answer is sent only 60 s after the request ran; 0 delays none.
    pub lose_every: u64,
    /// Every nth answer is cut in half and has no stamp; 0 cuts none.
    pub cut_every: u64,
    /// Delay of every answer.
    pub delay: Duration,
    /// Delay before the body of a request is read.
    pub read_delay: Duration,
    /// Length of every answer's body, in bytes; 0 for the usual one.
    pub answer_bytes: usize,
    /// Every request is answered with status 500 after it ran.
    pub fail: bool,
    /// Every nth request is answered with status 500 after it ran; 0 fails none.
    pub fail_every: u64,
    /// Status of every answer, which is complete and signed; `None` for the usual one.
    pub status: Option<u16>,
    /// Running requests, waiting requests and slots that every answer reports; `None` for no report.
    pub reported_load: Option<[u32; 3]>,
}

/// A running fake endpoint of a plain service.
#[derive(Clone)]
pub struct Service {
    /// Id of the endpoint.
    pub id: Rc<String>,
    /// Address at which the endpoint serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id: String,
    service: String,
    store: Store,
    recorder: Rc<Recorder>,
    faults: Cell<Faults>,
    answer_count: Cell<u64>,
    leaving_since: Cell<Option<Instant>>,
}

/// Returns the body of the answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id} {:016x}", hash::stable(id.as_bytes()))
}

impl Service {
    /// Starts an endpoint of `service` on a free port, without registering it.
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
            answer_count: Cell::new(0),
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

    /// Registers the endpoint in the store with the address `advertised`.
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

    /// Announces in the store that the endpoint leaves; requests that still arrive are recorded.
    pub fn leave(&self, advertised: SocketAddr) {
        self.state.leaving_since.set(Some(Instant::now()));
        self.register(advertised);
    }

    /// Removes the endpoint's entry from the store.
    pub fn deregister(&self) {
        self.state.store.remove("servers", &self.state.id);
    }

    /// Returns the number of requests that the endpoint has run.
    pub fn answer_count(&self) -> u64 {
        self.state.answer_count.get()
    }

    /// Sets the faults that are in force from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.set(faults);
    }
}

async fn serve(state: Rc<State>, request: Request) -> Response {
    let id = header(request.headers(), "x-request-id");
    let mut answer = respond(state, request).await;
    if let Some(id) = id {
        set_header(&mut answer, "x-request-id", &id);
    }
    answer
}

async fn respond(state: Rc<State>, mut request: Request) -> Response {
    let headers = request.headers();
    let expected = headers.get("x-expect-instance");
    if expected.is_some_and(|id| id.as_bytes() != state.id.as_bytes()) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let id = header(headers, "x-request-id").unwrap_or_default();
    if let Some(since) = state.leaving_since.get() {
        state.recorder.record_late_request(&id, since.elapsed());
    }
    state.recorder.record_caller(&id, caller_identity(headers));
    state.recorder.record_run(&id, &state.service);
    let faults = state.faults.get();
    sleep(faults.read_delay).await;
    // A body that ends early belongs to a request that was cancelled; it has begun to run.
    let mut payload = request.take_payload();
    while let Some(Ok(_)) = payload.next().await {}
    sleep(RUN_TIME + faults.delay).await;
    state.answer_count.set(state.answer_count.get() + 1);
    let is_nth = |n: u64| n > 0 && state.answer_count.get().is_multiple_of(n);
    if is_nth(faults.lose_every) {
        sleep(Duration::from_secs(60)).await;
    }
    let mut body = answer_body(&id).into_bytes();
    body.resize(faults.answer_bytes.max(body.len()), b'.');
    let length = body.len();
    if is_nth(faults.cut_every) {
        body.truncate(length / 2);
    }
    let fails = faults.fail || is_nth(faults.fail_every);
    let status = match fails {
        true => StatusCode::INTERNAL_SERVER_ERROR,
        false => StatusCode::OK,
    };
    let other_status = faults.status.map(StatusCode::from_u16);
    let status = other_status.and_then(Result::ok).unwrap_or(status);
    if fails {
        state.recorder.record_failure(&id);
    }
    let mut answer = Response::new(status).set_body(BoxBody::new(body));
    if let Some([running, waiting, slots]) = faults.reported_load {
        let load = format!("{running},{waiting},{slots}");
        set_header(&mut answer, "x-server-load", &load);
    }
    if !is_nth(faults.cut_every) {
        set_header(
            &mut answer,
            "x-response-stamp",
            &response_stamp(&state.id, &id),
        );
    }
    answer
}
