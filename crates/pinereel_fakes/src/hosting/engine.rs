//! A fake model engine: streams the events of items, loads versions of the weights on orders, and
//! registers in the store.

use super::{
    recorder::{CallerIdentity, Order, Recorder},
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
    collections::BTreeMap,
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
pub const SLOTS: u32 = 4;
/// Number of requests that may wait for a slot.
const MAX_QUEUED: u32 = 8;
/// Time that an event takes.
const EVENT_TIME: Duration = Duration::from_millis(12);
/// Time that the load of a version takes.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Maximum number of events of a text.
const MAX_EVENTS: u64 = 24;

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Factor by which the time of an event is multiplied; 0 counts as 1.
    pub slow_factor: u32,
    /// Number of events after which each stream is aborted.
    pub cut_after: Option<u64>,
    /// Fourth figure of the load that each response reports; without one no load is reported.
    pub slowdown: Option<&'static str>,
    /// Whether items are accepted and never answered.
    pub hangs: bool,
    /// Every nth run of an item is answered with status 500; 0 fails none.
    pub fail_every: u64,
    /// Whether orders are carried out after 1 s and answered only a minute after that.
    pub late_orders: bool,
}

/// A running fake engine.
#[derive(Clone)]
pub struct Engine {
    /// Id of the engine.
    pub id: Rc<String>,
    /// Address at which the engine serves.
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
    /// Loaded versions of the other models that the engine serves.
    other_models: RefCell<BTreeMap<String, u64>>,
    /// Whether a load is in progress.
    busy: Cell<bool>,
    /// Number of accepted orders since the last start.
    order_count: Cell<u64>,
    /// Highest fencing token of an order since the last start.
    max_fencing_token: Cell<u64>,
    /// Number of this start. It is registered in place of the time of the start in milliseconds,
    /// since only the order matters.
    incarnation: Cell<u64>,
    /// Number of running requests.
    running: Rc<Cell<u32>>,
    faults: Cell<Faults>,
    /// Number of runs that were accepted.
    run_count: Cell<u64>,
    leaving_since: Cell<Option<Instant>>,
    /// Address in the engine's entry in the store.
    advertised: RefCell<String>,
}

/// Counts a run in the number of running requests until dropped.
struct RunGuard(Rc<Cell<u32>>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the number of events of an item's text.
pub fn event_count(item: &str) -> u64 {
    1 + hash::stable(item.as_bytes()) % MAX_EVENTS
}

/// Returns the data of one event of an item, the same at every engine and version.
pub fn event_data(item: &str, number: u64) -> String {
    format!("{:016x}", hash::rendezvous(number, item))
}

/// Returns the complete text of an item.
pub fn text(item: &str) -> String {
    let parts: Vec<_> = (1..=event_count(item))
        .map(|n| event_data(item, n))
        .collect();
    parts.join("\n")
}

impl Engine {
    /// Starts an engine on a free port, without registering it.
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
            other_models: RefCell::default(),
            busy: Cell::new(false),
            order_count: Cell::new(0),
            max_fencing_token: Cell::new(0),
            incarnation: Cell::new(1),
            running: Rc::default(),
            faults: Cell::default(),
            run_count: Cell::new(0),
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

    /// Registers the engine in the store with the address `advertised`.
    pub fn register(&self, advertised: SocketAddr) {
        self.state.advertised.replace(advertised.to_string());
        self.state.write_entry();
    }

    /// Serves `version` of a further model, and registers it if the engine is registered later.
    pub fn add_model(&self, model: &str, version: u64) {
        let mut models = self.state.other_models.borrow_mut();
        models.insert(model.into(), version);
    }

    /// Simulates a restart under the same id: the order count and the fencing token are lost.
    pub fn restart(&self) {
        let state = &self.state;
        state.incarnation.set(state.incarnation.get() + 1);
        state.order_count.set(0);
        state.max_fencing_token.set(0);
        state.busy.set(false);
        state.write_entry();
    }

    /// Removes the engine's entry from the store.
    pub fn deregister(&self) {
        self.state.store.remove("servers", &self.id);
    }

    /// Announces in the store that the engine leaves; items that still arrive are recorded.
    pub fn leave(&self) {
        self.state.leaving_since.set(Some(Instant::now()));
        self.state.write_entry();
    }

    /// Sets the faults that are in force from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.set(faults);
    }

    /// Returns the number of items that run now.
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Returns the version of the weights that is loaded.
    pub fn version(&self) -> u64 {
        self.state.version.get()
    }

    /// Returns the version of the weights that is loaded of `model`.
    pub fn version_of(&self, model: &str) -> u64 {
        self.state.version_of(model)
    }
}

impl State {
    /// Loaded version of a model; that of the engine's first model if the name is unknown.
    fn version_of(&self, model: &str) -> u64 {
        let others = self.other_models.borrow();
        others.get(model).copied().unwrap_or(self.version.get())
    }

    /// The models with their loaded versions, as registered and reported.
    fn models(&self) -> Value {
        let entry =
            |name: &str, version: u64| json!({"name": name, "version": version, "adapters": []});
        let others = self.other_models.borrow();
        let others = others.iter().map(|(name, version)| entry(name, *version));
        let first = [entry(&self.model, self.version.get())];
        first.into_iter().chain(others).collect()
    }

    /// Writes the engine's entry to the store.
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
            "models": self.models(),
            "seq": 0,
        });
        self.store.put("servers", &self.id, entry);
    }

    /// Counts an order and starts to load `version` of `model`.
    fn start_load(self: &Rc<Self>, model: String, version: u64) {
        self.order_count.set(self.order_count.get() + 1);
        self.busy.set(true);
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(LOAD_TIME).await;
            match state.other_models.borrow_mut().get_mut(&model) {
                Some(other) => *other = version,
                None => state.version.set(version),
            }
            state.busy.set(false);
            state.write_entry();
        });
    }

    /// Checks an order, and carries it out if it is accepted. Returns the status of the answer.
    fn handle_order(self: &Rc<Self>, order: &Value) -> StatusCode {
        let fence = order["fenceToken"].as_u64().unwrap_or_default();
        let version = order["version"].as_u64().unwrap_or_default();
        let model = order["model"].as_str().unwrap_or_default();
        let expected = order["expected"].as_u64();
        let status = if fence < self.max_fencing_token.get() {
            StatusCode::PRECONDITION_FAILED
        } else if self.busy.get() || expected.is_some_and(|n| n != self.order_count.get()) {
            StatusCode::CONFLICT
        } else if self.version_of(model) == version {
            StatusCode::OK
        } else {
            StatusCode::ACCEPTED
        };
        self.max_fencing_token
            .set(self.max_fencing_token.get().max(fence));
        self.recorder.record_order(Order {
            engine: self.id.clone(),
            holder: order["holder"].as_str().unwrap_or_default().into(),
            fence,
            at: Instant::now(),
            accepted: status == StatusCode::ACCEPTED,
        });
        if status == StatusCode::ACCEPTED {
            self.start_load(model.into(), version);
        }
        status
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
    let expected = request.headers().get("x-expect-instance");
    if expected.is_some_and(|id| id.as_bytes() != state.id.as_bytes()) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/report") => http::json(
            StatusCode::OK,
            &json!({
                "born": state.incarnation.get(),
                "stage": "both",
                "models": state.models(),
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
                state.handle_order(&order);
                sleep(Duration::from_secs(60)).await;
            }
            http::empty(state.handle_order(&order))
        }
        _ if state.faults.get().hangs => {
            sleep(Duration::from_secs(60)).await;
            http::empty(StatusCode::SERVICE_UNAVAILABLE)
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
    let is_full = state.running.get() >= SLOTS + MAX_QUEUED;
    if state.busy.get() || is_full {
        let mut refusal = http::empty(StatusCode::SERVICE_UNAVAILABLE);
        set_header(&mut refusal, "x-not-executed", "1");
        return refusal;
    }
    state
        .recorder
        .record_caller(&item, caller_identity(headers));
    state.recorder.record_arrival(&item);
    state.run_count.set(state.run_count.get() + 1);
    let fail_every = state.faults.get().fail_every;
    if fail_every > 0 && state.run_count.get().is_multiple_of(fail_every) {
        state.recorder.record_failure(&item);
        return http::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let after = header(headers, "last-event-id").and_then(|n| n.parse().ok());
    state.running.set(state.running.get() + 1);
    let guard = RunGuard(Rc::clone(&state.running));
    let first = after.unwrap_or(0) + 1;
    let model = header(headers, "x-model").unwrap_or_default();
    let version = state.version_of(&model);
    let text = (item.clone(), model);
    let stream = stream::unfold(
        (Rc::clone(state), text, first, version, 0, guard),
        next_event,
    );
    let mut answer = Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(stream)));
    set_header(&mut answer, "content-type", "text/event-stream");
    set_header(
        &mut answer,
        "x-response-stamp",
        &response_stamp(&state.id, &item),
    );
    if let Some(slowdown) = state.faults.get().slowdown {
        let load = format!("{},0,{SLOTS},{slowdown}", state.running.get());
        set_header(&mut answer, "x-server-load", &load);
    }
    if first <= event_count(&item) {
        set_header(&mut answer, "x-weight-versions", &version.to_string());
    }
    answer
}

/// State of the stream of an item: the engine, the item and its model, the number of the next event,
/// the version of the weights at the last event, the number of events sent, and the guard of the
/// run.
type StreamState = (Rc<State>, (String, String), u64, u64, u64, RunGuard);

async fn next_event(
    (state, text, number, version, sent_count, guard): StreamState,
) -> Option<(Result<Bytes, io::Error>, StreamState)> {
    let (item, model) = &text;
    let faults = state.faults.get();
    if number > event_count(item) {
        return None;
    }
    if faults.cut_after.is_some_and(|limit| sent_count >= limit) {
        let aborted = Err(io::Error::other("cut"));
        return Some((aborted, (state, text, u64::MAX, version, sent_count, guard)));
    }
    sleep(EVENT_TIME * faults.slow_factor.max(1)).await;
    let current_version = state.version_of(model);
    let mut event = format!("id: {number}\n");
    if current_version != version {
        event.push_str(&format!("x-weight-versions: {current_version}\n"));
    }
    event.push_str(&format!("data: {}\n\n", event_data(item, number)));
    state.recorder.record_event(item, current_version);
    let next = (
        state,
        text,
        number + 1,
        current_version,
        sent_count + 1,
        guard,
    );
    Some((Ok(event.into()), next))
}

/// Returns the stamp of an answer, which names the endpoint that ran the request.
pub fn response_stamp(endpoint: &str, id: &str) -> String {
    format!("{endpoint}.{id}")
}

/// Returns what the headers of a request say about its caller.
pub(super) fn caller_identity(headers: &HeaderMap) -> CallerIdentity {
    CallerIdentity {
        workspace: header(headers, "x-tenant"),
        credential: header(headers, "authorization"),
    }
}

/// Returns the value of a header; `None` if it is missing or not visible ASCII.
pub(super) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Sets a header, unless `value` is not a valid header value.
pub(super) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let headers = response.headers_mut();
        headers.insert(HeaderName::from_static(name), value);
    }
}
