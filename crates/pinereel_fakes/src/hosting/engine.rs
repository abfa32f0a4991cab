//! A model engine: streams events, loads versions on orders, lists itself in the store.

use super::{
    recorder::{Recorder, Order, CallerIdentity},
    store::Store,
};
use actix_http::{
    HttpMessage as _, Method, StatusCode,
    body::{BodyStream, BoxBody},
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use futures_util::stream;
use pinereel::http::{self, Request, Response, Server};
use pinereel_core::hash;
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
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
pub const SLOTS: u32 = 4;
/// Requests that wait beside them.
const QUEUE: u32 = 8;
/// Time of one event.
const EVENT: Duration = Duration::from_millis(12);
/// Time of a load.
const LOAD: Duration = Duration::from_millis(300);
/// Events of the longest text.
const MOST_EVENTS: u64 = 24;

/// What an engine does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Events take so many times as long; 0 and 1 change nothing.
    pub slow_factor: u32,
    /// Breaks each stream off after so many events.
    pub cut_after: Option<u64>,
    /// Orders get no answer and are carried out 1 s later.
    pub late_orders: bool,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    /// Its id.
    pub id: Rc<String>,
    /// Where it serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id: String,
    service: String,
    model: String,
    store: Store,
    recorder: Rc<Recorder>,
    version: Cell<u64>,
    busy: Cell<bool>,
    order_count: Cell<u64>,
    max_fencing_token: Cell<u64>,
    /// When it last started, in milliseconds; only its order counts.
    incarnation: Cell<u64>,
    running: Rc<Cell<u32>>,
    faults: Cell<Faults>,
    leaving_since: Cell<Option<Instant>>,
    advertised: RefCell<String>,
}

/// Counts a run until dropped.
struct Running(Rc<Cell<u32>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Number of events of an item's text.
pub fn events(item: &str) -> u64 {
    1 + hash::stable(item.as_bytes()) % MOST_EVENTS
}

/// The data of one event of an item: the same at every engine and version.
pub fn data(item: &str, number: u64) -> String {
    format!("{:016x}", hash::rendezvous(number, item))
}

/// An item's whole text.
pub fn text(item: &str) -> String {
    let parts: Vec<_> = (1..=events(item)).map(|n| data(item, n)).collect();
    parts.join("\n")
}

impl Engine {
    /// Starts an engine on a free port; it lists itself under `advertised` or its own address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        id: &str,
        (service, model): (&str, &str),
        version: u64,
        store: &Store,
        recorder: &Rc<Recorder>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            id: id.into(),
            service: service.into(),
            model: model.into(),
            store: store.clone(),
            recorder: Rc::clone(recorder),
            version: Cell::new(version),
            busy: Cell::new(false),
            order_count: Cell::new(0),
            max_fencing_token: Cell::new(0),
            incarnation: Cell::new(1),
            running: Rc::default(),
            faults: Cell::default(),
            leaving_since: Cell::new(None),
            advertised: RefCell::new(address.to_string()),
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

    /// Lists the engine in the store, as reached under `advertised`.
    pub fn register(&self, advertised: SocketAddr) {
        self.state.advertised.replace(advertised.to_string());
        self.state.write_entry();
    }

    /// Starts again under its id: it holds and knows nothing of before, its counts start anew.
    pub fn restart(&self) {
        let state = &self.state;
        state.incarnation.set(state.incarnation.get() + 1);
        state.order_count.set(0);
        state.fence.set(0);
        state.busy.set(false);
        state.write_entry();
    }

    /// Takes it off the list.
    pub fn deregister(&self) {
        self.state.store.remove("servers", &self.id);
    }

    /// Announces that it leaves.
    pub fn leave(&self) {
        self.state.leaving_since.set(Some(Instant::now()));
        self.state.write_entry();
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.set(faults);
    }

    /// Version that it serves.
    pub fn version(&self) -> u64 {
        self.state.version.get()
    }
}

impl State {
    fn write_entry(&self) {
        let leaving = self.leaving_since.get().is_some();
        let entry = json!({
            "born": self.incarnation.get(),
            "service": self.service,
            "addr": *self.advertised.borrow(),
            "zone": "here",
            "version": "v1",
            "slots": SLOTS,
            "state": if leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "models": [{"name": self.model, "version": self.version.get(), "adapters": []}],
            "seq": 0,
        });
        self.store.put("servers", &self.id, entry);
    }

    fn load(self: &Rc<Self>, version: u64) {
        self.order_count.set(self.order_count.get() + 1);
        self.busy.set(true);
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(LOAD).await;
            state.version.set(version);
            state.busy.set(false);
            state.write_entry();
        });
    }

    /// Judges an order and carries it out if it is good.
    fn order(self: &Rc<Self>, order: &Value) -> StatusCode {
        let fence = order["fenceToken"].as_u64().unwrap_or_default();
        let version = order["version"].as_u64().unwrap_or_default();
        let expected = order["expected"].as_u64();
        let status = if fence < self.max_fencing_token.get() {
            StatusCode::PRECONDITION_FAILED
        } else if self.busy.get() || expected.is_some_and(|n| n != self.order_count.get()) {
            StatusCode::CONFLICT
        } else if self.version.get() == version {
            StatusCode::OK
        } else {
            StatusCode::ACCEPTED
        };
        self.max_fencing_token.set(self.max_fencing_token.get().max(fence));
        self.recorder.record_order(Order {
            engine: self.id.clone(),
            holder: order["holder"].as_str().unwrap_or_default().into(),
            fence,
            at: Instant::now(),
            accepted: status == StatusCode::ACCEPTED,
        });
        if status == StatusCode::ACCEPTED {
            self.load(version);
        }
        status
    }
}

async fn serve(state: Rc<State>, mut request: Request) -> Response {
    let expected = header(request.headers(), "x-expect-instance");
    if expected.is_some_and(|id| id != state.id) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/report") => http::json(
            StatusCode::OK,
            &json!({
                "born": state.incarnation.get(),
                "stage": "both",
                "models": [{"name": state.model, "version": state.version.get(), "adapters": []}],
                "busy": state.busy.get(),
                "seq": state.order_count.get(),
                "queued": 0,
                "running": state.running.get(),
                "kvUsed": 0, "kvTotal": 1_000, "handles": 0,
            }),
        ),
        (&Method::POST, "/v1/order") => {
            let order = http::read_json(&mut request, 1 << 16, Duration::from_secs(2)).await;
            let order: Value = order.unwrap_or_default();
            if state.faults.get().late_orders {
                sleep(Duration::from_secs(1)).await;
                state.order(&order);
                sleep(Duration::from_secs(60)).await;
            }
            http::empty(state.order(&order))
        }
        _ => generate(&state, &request),
    }
}

fn generate(state: &Rc<State>, request: &Request) -> Response {
    let headers = request.headers();
    let item = header(headers, "x-request-id").unwrap_or_default();
    if let Some(since) = state.leaving_since.get() {
        state.recorder.record_late_request(&item, since.elapsed());
    }
    let full = state.running.get() >= SLOTS + QUEUE;
    if state.busy.get() || full {
        let mut refusal = http::empty(StatusCode::SERVICE_UNAVAILABLE);
        set(&mut refusal, "x-not-executed", "1");
        return refusal;
    }
    state.recorder.record_caller(&item, caller_identity(headers));
    state.recorder.record_arrival(&item);
    let after = header(headers, "last-event-id").and_then(|n| n.parse().ok());
    state.running.set(state.running.get() + 1);
    let running = Running(Rc::clone(&state.running));
    let first = after.unwrap_or(0) + 1;
    let version = state.version.get();
    let stream = stream::unfold(
        (Rc::clone(state), item.clone(), first, version, 0, running),
        next_event,
    );
    let mut answer = Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(stream)));
    set(&mut answer, "content-type", "text/event-stream");
    set(&mut answer, "x-request-id", &item);
    set(&mut answer, "x-response-stamp", &stamp(&state.id, &item));
    if first <= events(&item) {
        set(&mut answer, "x-weight-versions", &version.to_string());
    }
    answer
}

type Generation = (Rc<State>, String, u64, u64, u64, Running);

async fn next_event(
    (state, item, number, version, made, running): Generation,
) -> Option<(Result<Bytes, io::Error>, Generation)> {
    let faults = state.faults.get();
    if number > events(&item) {
        return None;
    }
    if faults.cut_after.is_some_and(|most| made >= most) {
        let torn = Err(io::Error::other("cut"));
        return Some((torn, (state, item, u64::MAX, version, made, running)));
    }
    sleep(EVENT * faults.slow_factor.max(1)).await;
    let now = state.version.get();
    let mut event = format!("id: {number}\n");
    if now != version {
        event.push_str(&format!("x-weight-versions: {now}\n"));
    }
    event.push_str(&format!("data: {}\n\n", data(&item, number)));
    state.recorder.record_event(&item, now);
    let next = (state, item, number + 1, now, made + 1, running);
    Some((Ok(event.into()), next))
}

/// The signature of an answer.
pub fn stamp(endpoint: &str, id: &str) -> String {
    format!("{endpoint}.{id}")
}

/// What a head tells of the caller.
pub(super) fn caller_identity(headers: &HeaderMap) -> CallerIdentity {
    CallerIdentity {
        workspace: header(headers, "x-tenant"),
        credential: header(headers, "authorization"),
    }
}

pub(super) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

pub(super) fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let headers = response.headers_mut();
        headers.insert(HeaderName::from_static(name), value);
    }
}
