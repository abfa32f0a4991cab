//! A fake endpoint in a process of its own, which crashes on requests that contain [`CRASH_MARKER`]
//! and restarts some seconds later at the same address with a new id.
//!
//! The process ([`main`]) aborts, so that the operating system closes its connections and its
//! listener, as after a real crash. [`Endpoint`] starts and restarts it from the test's process.

use super::{
    engine::{event_data, header, response_stamp, set_header},
    service::answer_body,
    site::{MODEL, unique_loopback_ip},
    store::Store,
};
use crate::{
    child_process::{Child, binary_path},
    cli::{CommonFlags, Error, parse_value},
};
use actix_http::{
    HttpMessage as _, Method, StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use lexopt::Parser;
use pinereel::http::{self, Request, Response, Server};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    process::{Command, ExitCode},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Help text for the flags.
pub const HELP: &str = "  --address IP:PORT      listen there
  --id ID                its id
  --engine               make event streams
  --max-seconds N        end by itself after N seconds (default 600)
  --until-stdin-closes   end when standard input closes
  --help                 print this";

/// A request whose body contains this word crashes the endpoint at the end of its run.
pub const CRASH_MARKER: &str = "crash";
/// A request whose body contains this word runs for 400 ms instead of 25 ms.
pub const SLOW_MARKER: &str = "linger";
/// Port of all endpoints, each of which has its own address.
const PORT: u16 = 9_480;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(25);
/// Time that a request with [`SLOW_MARKER`] runs.
const SLOW_RUN_TIME: Duration = Duration::from_millis(400);
/// Number of events of a stream.
const EVENTS_PER_STREAM: u64 = 4;
/// Time that an event takes.
const EVENT_TIME: Duration = Duration::from_millis(30);
/// Number of requests that may run at once, as registered.
const SLOTS: u32 = 6;
/// Pause between two checks whether the process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest body of a request.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The endpoint of a plain service: answers requests.
    Plain,
    /// An engine: streams the texts of items.
    Engine,
}

/// A crash of an endpoint.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Id of the endpoint, which differs between its starts.
    pub endpoint: String,
    /// Body of the request that caused the crash; empty if no request did.
    pub under: String,
    /// When the crash was detected.
    pub at: Instant,
}

/// The crashes of all endpoints of a test.
pub type Crashes = Rc<RefCell<Vec<Crash>>>;

/// A change of the platform's endpoint list.
#[derive(Clone, Debug)]
pub enum ListChange {
    /// An endpoint was started.
    Added {
        /// Id of the endpoint.
        id: String,
        /// Address at which the endpoint serves.
        address: SocketAddr,
    },
    /// An endpoint is to be removed from the list.
    Removed {
        /// Id of the endpoint.
        id: String,
    },
}

/// Writes a change to the platform's endpoint list.
pub type ListWriter = Rc<dyn Fn(ListChange)>;

/// An endpoint whose process is restarted after each crash.
pub struct Endpoint {
    /// Address at which the endpoint serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id_prefix: String,
    mode: Mode,
    address: SocketAddr,
    write_list: ListWriter,
    restart_delay: Cell<Duration>,
    start_count: Cell<u32>,
    child: RefCell<Option<Child>>,
    /// Output of earlier processes.
    earlier_lines: RefCell<Vec<String>>,
    crashes: Crashes,
}

impl Endpoint {
    /// Starts an endpoint of `service`, which is registered in `store` and restarted
    /// `restart_delay` after each crash.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start(
        store: &Store,
        (service, mode): (&str, Mode),
        restart_delay: Duration,
        crashes: &Crashes,
    ) -> io::Result<Self> {
        let (store, service) = (store.clone(), service.to_owned());
        let write_list = move |change| match change {
            ListChange::Added { id, address } => {
                store.put("servers", &id, list_entry(&service, mode, address));
            }
            ListChange::Removed { id } => store.remove("servers", &id),
        };
        Self::start_with_list(Rc::new(write_list), mode, restart_delay, crashes)
    }

    /// Starts an endpoint, which is registered by `write_list` and restarted `restart_delay` after
    /// each crash.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start_with_list(
        write_list: ListWriter,
        mode: Mode,
        restart_delay: Duration,
        crashes: &Crashes,
    ) -> io::Result<Self> {
        let address = SocketAddr::from((unique_loopback_ip(), PORT));
        let state = Rc::new(State {
            id_prefix: format!("f-{}", address.ip()),
            mode,
            address,
            write_list,
            restart_delay: Cell::new(restart_delay),
            start_count: Cell::new(0),
            child: RefCell::default(),
            earlier_lines: RefCell::default(),
            crashes: Rc::clone(crashes),
        });
        state.start_process()?;
        let supervised = Rc::clone(&state);
        actix_rt::spawn(async move { supervised.restart_after_crashes().await });
        Ok(Self { address, state })
    }

    /// Returns the ids of the requests that the endpoint has run since its first start.
    pub fn run_request_ids(&self) -> Vec<String> {
        let lines = self.state.lines();
        let runs = lines.iter().filter_map(|line| line.strip_prefix("run "));
        runs.map(ToOwned::to_owned).collect()
    }

    /// Kills the process: a crash that no request caused.
    pub fn crash(&self) {
        if let Some(child) = &mut *self.state.child.borrow_mut() {
            // The process may have exited in the meantime.
            let _ = child.signal(crate::child_process::Signal::KILL);
        }
    }

    /// Kills the process, deregisters the endpoint, and does not restart it.
    pub fn remove(&self) {
        self.state.restart_delay.set(Duration::MAX);
        self.crash();
    }
}

impl State {
    /// Returns the id of the current start.
    fn id(&self) -> String {
        format!("{}-{}", self.id_prefix, self.start_count.get())
    }

    /// Returns the output of all processes of the endpoint.
    fn lines(&self) -> Vec<String> {
        let current_lines = self.child.borrow().as_ref().map(Child::lines);
        [
            self.earlier_lines.borrow().clone(),
            current_lines.unwrap_or_default(),
        ]
        .concat()
    }

    /// Starts the process and registers the endpoint.
    fn start_process(&self) -> io::Result<()> {
        self.start_count.set(self.start_count.get() + 1);
        let mut command = Command::new(binary_path("pinereel-fakes")?);
        command.args(["fragile", "--until-stdin-closes", "--address"]);
        command.arg(self.address.to_string());
        command.args(["--id", &self.id()]);
        if self.mode == Mode::Engine {
            command.arg("--engine");
        }
        let child = Child::spawn(&command)?;
        if child
            .wait_for_line("listening", Duration::from_secs(5))
            .is_none()
        {
            let lines = child.lines().join("\n");
            return Err(io::Error::other(format!(
                "the endpoint does not listen: {lines}"
            )));
        }
        self.child.replace(Some(child));
        (self.write_list)(ListChange::Added {
            id: self.id(),
            address: self.address,
        });
        Ok(())
    }

    /// Waits for crashes, and restarts the endpoint after each.
    async fn restart_after_crashes(&self) {
        loop {
            sleep(EXIT_CHECK_INTERVAL).await;
            let ended = match &mut *self.child.borrow_mut() {
                Some(child) => !matches!(child.wait_for_exit(Duration::ZERO), Ok(None)),
                None => return,
            };
            if !ended {
                continue;
            }
            self.record_crash();
            if self.restart_delay.get() == Duration::MAX {
                (self.write_list)(ListChange::Removed { id: self.id() });
                return;
            }
            sleep(self.restart_delay.get()).await;
            // A crashed endpoint cannot deregister: the entry stays in the list for some time.
            (self.write_list)(ListChange::Removed { id: self.id() });
            let lines = self.lines();
            self.earlier_lines.replace(lines);
            self.child.replace(None);
            if let Err(error) = self.start_process() {
                eprintln!("BROKEN: {} does not start: {error}", self.id_prefix);
                return;
            }
        }
    }

    /// Records the crash of the process that has just exited.
    fn record_crash(&self) {
        let child = self.child.borrow();
        let line = child
            .as_ref()
            .and_then(|child| child.wait_for_line("crash under ", Duration::from_millis(200)));
        let under = line.unwrap_or_default().replace("crash under ", "");
        self.crashes.borrow_mut().push(Crash {
            endpoint: self.id(),
            under,
            at: Instant::now(),
        });
    }
}

/// Returns the endpoint's entry in the object store.
fn list_entry(service: &str, mode: Mode, address: SocketAddr) -> Value {
    json!({
        "service": service, "addr": address.to_string(), "zone": "here",
        "version": "v1", "slots": SLOTS, "state": "ready", "coldRemainingMs": 0, "seq": 0,
        "models": match mode {
            Mode::Plain => json!([]),
            Mode::Engine => json!([{"name": MODEL, "version": 1, "adapters": []}]),
        },
    })
}

/// Runs the endpoint in this process; the subcommand `fragile`.
pub fn main(parser: Parser) -> ExitCode {
    match actix_rt::System::new().block_on(run(parser)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Options of the process.
struct Options {
    id: String,
    mode: Mode,
}

async fn run(mut parser: Parser) -> Result<(), Error> {
    let mut address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
    let (mut id, mut mode) = (String::new(), Mode::Plain);
    let flags = CommonFlags::parse(&mut parser, |name, parser| {
        match name {
            "address" => address = parse_value(parser)?,
            "id" => id = parse_value(parser)?,
            "engine" => mode = Mode::Engine,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let options = Rc::new(Options { id, mode });
    Server::start(listener, http::Options::default(), move |request| {
        let options = Rc::clone(&options);
        async move { serve(&options, request).await }
    })
    .await?;
    flags.run_until_stopped(address).await
}

async fn serve(options: &Options, mut request: Request) -> Response {
    let expected = header(request.headers(), "x-expect-instance");
    if expected.is_some_and(|id| id != options.id) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST);
    }
    match (request.method(), request.path()) {
        (&Method::GET, "/v1/report") => return http::json(StatusCode::OK, &report()),
        (&Method::POST, "/v1/order") => return http::empty(StatusCode::OK),
        _ => {}
    }
    let id = header(request.headers(), "x-request-id").unwrap_or_default();
    let after = header(request.headers(), "last-event-id").and_then(|n| n.parse().ok());
    let body = http::read_body(&mut request, MAX_BODY_BYTES, Duration::from_secs(5)).await;
    let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    println!("run {id}");
    let is_slow = body.contains(SLOW_MARKER);
    sleep(if is_slow { SLOW_RUN_TIME } else { RUN_TIME }).await;
    if body.contains(CRASH_MARKER) {
        println!("crash under {body}");
        std::process::abort();
    }
    match options.mode {
        Mode::Plain => plain_answer(options, &id),
        Mode::Engine => stream_events(options, &id, after.unwrap_or(0) + 1),
    }
}

fn plain_answer(options: &Options, id: &str) -> Response {
    let mut answer = Response::new(StatusCode::OK).set_body(BoxBody::new(answer_body(id)));
    set_header(&mut answer, "x-request-id", id);
    set_header(
        &mut answer,
        "x-response-stamp",
        &response_stamp(&options.id, id),
    );
    answer
}

fn stream_events(options: &Options, id: &str, first: u64) -> Response {
    let item = id.to_owned();
    let events = stream::unfold((item, first), |(item, number)| async move {
        if number > EVENTS_PER_STREAM {
            return None;
        }
        sleep(EVENT_TIME).await;
        let event = format!("id: {number}\ndata: {}\n\n", event_data(&item, number));
        Some((Ok::<_, io::Error>(Bytes::from(event)), (item, number + 1)))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(events)));
    let mut answer = Response::new(StatusCode::OK).set_body(body);
    set_header(&mut answer, "content-type", "text/event-stream");
    set_header(&mut answer, "x-request-id", id);
    set_header(
        &mut answer,
        "x-response-stamp",
        &response_stamp(&options.id, id),
    );
    set_header(&mut answer, "x-weight-versions", "1");
    answer
}

fn report() -> Value {
    json!({
        "stage": "both",
        "models": [{"name": MODEL, "version": 1, "adapters": []}],
        "busy": false, "seq": 0, "queued": 0, "running": 0,
        "kvUsed": 0, "kvTotal": 1_000, "handles": 0,
    })
}
