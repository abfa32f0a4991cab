//! A fake of the platform's API for the calls of lease holders: accepts usage reports and scale
//! requests, and checks them.

use super::{engine::header, recorder::Recorder};
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

/// Longest body of a call.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The fault in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls are answered with status 503 and have no effect.
    Down,
    /// Calls have their effect but are not answered.
    LoseAnswers,
}

/// Number of requests of each workspace in a time window.
pub type RequestCounts = BTreeMap<String, u64>;

/// A running fake API.
#[derive(Clone)]
pub struct Platform {
    /// Address at which the API is served.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    recorder: Rc<Recorder>,
    fault: Cell<Fault>,
    /// Accepted usage reports, by the number of the window.
    reports: RefCell<BTreeMap<u64, RequestCounts>>,
    /// Last requested number of spot endpoints, by zone.
    desired_spot_counts: RefCell<BTreeMap<String, u64>>,
    /// Highest fencing token seen so far and its holder, by path.
    max_fences: RefCell<BTreeMap<String, (u64, String)>>,
    call_count: Cell<u64>,
}

impl Platform {
    /// Starts the API on a free port.
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
            max_fences: RefCell::default(),
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

    /// Sets the fault that is in force from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.fault.set(fault);
    }

    /// Returns the accepted usage reports, by the number of the window.
    pub fn reports(&self) -> BTreeMap<u64, RequestCounts> {
        self.state.reports.borrow().clone()
    }

    /// Returns the number of requests of a workspace in all reports.
    pub fn request_count(&self, workspace: &str) -> u64 {
        let reports = self.state.reports.borrow();
        let counts = reports.values().filter_map(|counts| counts.get(workspace));
        counts.sum()
    }

    /// Returns the last requested number of spot endpoints, by zone.
    pub fn desired_spot_counts(&self) -> BTreeMap<String, u64> {
        self.state.desired_spot_counts.borrow().clone()
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        self.state.call_count.get()
    }

    /// Returns the lease holder that reported usage last; empty if none has.
    pub fn last_reporter(&self) -> String {
        let max_fences = self.state.max_fences.borrow();
        max_fences
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
        let caller = header(request.headers(), "user-agent").unwrap_or_default();
        let body = http::read_json(request, MAX_BODY_BYTES, Duration::from_secs(2)).await;
        let (Some(fence), Ok(body)) = (fence, body) else {
            self.recorder
                .record_violation(format!("{path} without a fence or a body, from {caller:?}"));
            return StatusCode::BAD_REQUEST;
        };
        if !self.accept_fencing_token(&path, fence, &holder) {
            return StatusCode::CONFLICT;
        }
        match path.as_str() {
            "/usage" => self.record_usage(&body),
            "/scale" => self.record_scale_request(&body),
            _ => self
                .recorder
                .record_violation(format!("unexpected call to {path}")),
        }
        StatusCode::OK
    }

    /// Returns whether no earlier call to `path` had a higher fencing token than `fence`. If so,
    /// records `fence` and its holder.
    fn accept_fencing_token(&self, path: &str, fence: u64, holder: &str) -> bool {
        let mut max_fences = self.max_fences.borrow_mut();
        let max_of_path = max_fences.entry(path.into()).or_default();
        if fence == max_of_path.0 && holder != max_of_path.1 {
            let other = &max_of_path.1;
            self.recorder.record_violation(format!(
                "{holder} and {other} both called with fencing token {fence}"
            ));
        }
        if fence < max_of_path.0 {
            return false;
        }
        *max_of_path = (fence, holder.into());
        true
    }

    fn record_scale_request(&self, body: &Value) {
        let zone = body["zone"].as_str().unwrap_or_default();
        let count = body["desiredCount"].as_u64().unwrap_or_default();
        if body["spot"] != true {
            self.recorder.record_violation(format!(
                "endpoints other than spot endpoints were requested: {body}"
            ));
        }
        self.desired_spot_counts
            .borrow_mut()
            .insert(zone.into(), count);
    }

    fn record_usage(&self, body: &Value) {
        let window = body["window"].as_u64().unwrap_or_default();
        let counts: RequestCounts =
            serde_json::from_value(body["counts"].clone()).unwrap_or_default();
        let mut reports = self.reports.borrow_mut();
        let reported = reports.entry(window).or_insert_with(|| counts.clone());
        if *reported != counts {
            self.recorder.record_violation(format!(
                "window {window} was reported as {reported:?} and as {counts:?}"
            ));
        }
    }
}
