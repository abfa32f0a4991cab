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
const MAX_BODY_BYTES: usize = 1 << 20;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Calls are answered 503, and nothing is done.
    Down,
    /// Calls are carried out, and not answered.
    LoseAnswers,
}

/// Requests of each workspace in a window.
pub type RequestCounts = BTreeMap<String, u64>;

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
    reports: RefCell<BTreeMap<u64, RequestCounts>>,
    /// Endpoints of the cheap kind that were asked for last, by zone.
    desired_spot_counts: RefCell<BTreeMap<String, u64>>,
    /// Highest fencing token that was seen by path, with its holder.
    newest: RefCell<BTreeMap<String, (u64, String)>>,
    call_count: Cell<u64>,
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
            desired_spot_counts: RefCell::default(),
            newest: RefCell::default(),
            call_count: Cell::new(0),
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
    pub fn reports(&self) -> BTreeMap<u64, RequestCounts> {
        self.state.reports.borrow().clone()
    }

    /// Requests of a workspace in all reports.
    pub fn request_count(&self, workspace: &str) -> u64 {
        let reports = self.state.reports.borrow();
        let counts = reports.values().filter_map(|counts| counts.get(workspace));
        counts.sum()
    }

    /// Endpoints of the cheap kind that were asked for last, by zone.
    pub fn desired_spot_counts(&self) -> BTreeMap<String, u64> {
        self.state.desired_spot_counts.borrow().clone()
    }

    /// Calls that came.
    pub fn call_count(&self) -> u64 {
        self.state.call_count.get()
    }

    /// Who reported usage last.
    pub fn last_reporter(&self) -> String {
        let newest = self.state.newest.borrow();
        newest
            .get("/usage")
            .map(|(_, holder)| holder.clone())
            .unwrap_or_default()
    }
}

impl State {
    async fn serve(&self, mut request: Request) -> Response {
        self.call_count.set(self.call_count.get() + 1);
        let fault = self.fault.get();
        if fault == Fault::Down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let status = self.handle_call(&mut request).await;
        if fault == Fault::LoseAnswers {
            sleep(Duration::from_secs(60)).await;
        }
        http::empty(status)
    }

    async fn handle_call(&self, request: &mut Request) -> StatusCode {
        let path = request.path().to_owned();
        let holder = header(request.headers(), "x-lease-holder").unwrap_or_default();
        let fence = header(request.headers(), "x-fence-token").and_then(|f| f.parse().ok());
        let body = http::read_json(request, MAX_BODY_BYTES, Duration::from_secs(2)).await;
        let (Some(fence), Ok(body)) = (fence, body) else {
            self.recorder.record_violation(format!("{path} without a fence or a body"));
            return StatusCode::BAD_REQUEST;
        };
        if !self.accept_fencing_token(&path, fence, &holder) {
            return StatusCode::CONFLICT;
        }
        match path.as_str() {
            "/usage" => self.record_usage(&body),
            "/scale" => self.record_scale_request(&body),
            _ => self.recorder.record_violation(format!("a call to {path}")),
        }
        StatusCode::OK
    }

    /// Whether no higher fencing token was seen.
    fn accept_fencing_token(&self, path: &str, fence: u64, holder: &str) -> bool {
        let mut newest = self.newest.borrow_mut();
        let newest_of_path = newest.entry(path.into()).or_default();
        if fence == newest_of_path.0 && holder != newest_of_path.1 {
            let other = &newest_of_path.1;
            self.recorder.record_violation(format!(
                "{holder} and {other} both called under fence {fence}"
            ));
        }
        if fence < newest_of_path.0 {
            return false;
        }
        *newest_of_path = (fence, holder.into());
        true
    }

    fn record_scale_request(&self, body: &Value) {
        let zone = body["zone"].as_str().unwrap_or_default();
        let count = body["desiredCount"].as_u64().unwrap_or_default();
        if body["spot"] != true {
            self.recorder.record_violation(format!(
                "endpoints of the usual kind were asked for: {body}"
            ));
        }
        self.desired_spot_counts.borrow_mut().insert(zone.into(), count);
    }

    fn record_usage(&self, body: &Value) {
        let window = body["window"].as_u64().unwrap_or_default();
        let counts: RequestCounts = serde_json::from_value(body["counts"].clone()).unwrap_or_default();
        let mut reports = self.reports.borrow_mut();
        let known = reports.entry(window).or_insert_with(|| counts.clone());
        if *known != counts {
            self.recorder.record_violation(format!(
                "window {window} was reported as {known:?} and as {counts:?}"
            ));
        }
    }
}
