//! The platform's side of the calls that one instance makes at a time: it takes reports and checks them.

use super::{recorder::Recorder, engine::header};
use actix_http::{HttpMessage as _, StatusCode};
use pinereel::http::{self, Request, Response, Server};
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpListener, time::sleep};

/// Longest body.
const MAX_BODY: usize = 1 << 20;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Calls are answered 503, and nothing is done.
    Down,
    /// Calls are carried out, and not answered.
    Lost,
}

/// Requests of each workspace in a window.
pub type Counts = BTreeMap<String, u64>;

/// The running stand-in.
#[derive(Clone)]
pub struct Platform {
    /// Where it serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    recorder: Rc<Recorder>,
    fault: Cell<Fault>,
    reports: RefCell<BTreeMap<u64, Counts>>,
    /// Endpoints of the cheap kind that were asked for last, by zone.
    asked: RefCell<BTreeMap<String, u64>>,
    /// Highest fencing token that was seen by path, with its holder.
    newest: RefCell<BTreeMap<String, (u64, String)>>,
    calls: Cell<u64>,
}

impl Platform {
    /// Starts on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(recorder: &Rc<Recorder>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            recorder: Rc::clone(recorder),
            fault: Cell::default(),
            reports: RefCell::default(),
            asked: RefCell::default(),
            newest: RefCell::default(),
            calls: Cell::new(0),
        });
        let serving = Rc::clone(&state);
        Server::start(listener, http::Options::default(), move |request| {
            let state = Rc::clone(&serving);
            async move { state.serve(request).await }
        })
        .await?;
        Ok(Self { address, state })
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.fault.set(fault);
    }

    /// The reports that were taken, by window.
    pub fn reports(&self) -> BTreeMap<u64, Counts> {
        self.state.reports.borrow().clone()
    }

    /// Requests of a workspace in all reports.
    pub fn total(&self, workspace: &str) -> u64 {
        let reports = self.state.reports.borrow();
        let counts = reports.values().filter_map(|counts| counts.get(workspace));
        counts.sum()
    }

    /// Endpoints of the cheap kind that were asked for last, by zone.
    pub fn asked(&self) -> BTreeMap<String, u64> {
        self.state.asked.borrow().clone()
    }

    /// Calls that came.
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Who reported usage last.
    pub fn holder(&self) -> String {
        let newest = self.state.newest.borrow();
        newest
            .get("/usage")
            .map(|(_, holder)| holder.clone())
            .unwrap_or_default()
    }
}

impl State {
    async fn serve(&self, mut request: Request) -> Response {
        self.calls.set(self.calls.get() + 1);
        let fault = self.fault.get();
        if fault == Fault::Down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let status = self.take(&mut request).await;
        if fault == Fault::Lost {
            sleep(Duration::from_secs(60)).await;
        }
        http::empty(status)
    }

    async fn take(&self, request: &mut Request) -> StatusCode {
        let path = request.path().to_owned();
        let holder = header(request.headers(), "x-lease-holder").unwrap_or_default();
        let fence = header(request.headers(), "x-fence-token").and_then(|f| f.parse().ok());
        let body = http::read_json(request, MAX_BODY, Duration::from_secs(2)).await;
        let (Some(fence), Ok(body)) = (fence, body) else {
            self.recorder.record_violation(format!("{path} without a fence or a body"));
            return StatusCode::BAD_REQUEST;
        };
        if !self.admit(&path, fence, &holder) {
            return StatusCode::CONFLICT;
        }
        match path.as_str() {
            "/usage" => self.note_usage(&body),
            "/scale" => self.note_asked(&body),
            _ => self.recorder.record_violation(format!("a call to {path}")),
        }
        StatusCode::OK
    }

    /// Whether no higher fencing token was seen.
    fn admit(&self, path: &str, fence: u64, holder: &str) -> bool {
        let mut newest = self.newest.borrow_mut();
        let newest = newest.entry(path.into()).or_default();
        if fence == newest.0 && holder != newest.1 {
            let other = &newest.1;
            self.recorder.record_violation(format!(
                "{holder} and {other} both called under fence {fence}"
            ));
        }
        if fence < newest.0 {
            return false;
        }
        *newest = (fence, holder.into());
        true
    }

    fn note_asked(&self, body: &Value) {
        let zone = body["zone"].as_str().unwrap_or_default();
        let count = body["desiredCount"].as_u64().unwrap_or_default();
        if body["spot"] != true {
            self.recorder.record_violation(format!(
                "endpoints of the usual kind were asked for: {body}"
            ));
        }
        self.asked.borrow_mut().insert(zone.into(), count);
    }

    fn note_usage(&self, body: &Value) {
        let window = body["window"].as_u64().unwrap_or_default();
        let counts: Counts = serde_json::from_value(body["counts"].clone()).unwrap_or_default();
        let mut reports = self.reports.borrow_mut();
        let known = reports.entry(window).or_insert_with(|| counts.clone());
        if *known != counts {
            self.recorder.record_violation(format!(
                "window {window} was reported as {known:?} and as {counts:?}"
            ));
        }
    }
}
