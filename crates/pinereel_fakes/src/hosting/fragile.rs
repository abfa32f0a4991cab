//! An endpoint in a process of its own, which crashes when a request tells it to, and is back some
//! seconds later as a new start at the same address.
//!
//! The process ([`main`]) ends by an abort, so that the system closes its connections and nothing
//! listens any more, as after a real crash. [`Fragile`] is its keeper in the test's process.

use super::{
    engine::{data, header, set, stamp},
    service::body,
    site::{MODEL, own_ip},
    store::Store,
};
use crate::{
    child_process::Child,
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

/// Help on the flags.
pub const HELP: &str = "  --address IP:PORT      listen there
  --id ID                its id
  --engine               make event streams
  --max-seconds N        end by itself after N seconds (default 600)
  --until-stdin-closes   end when standard input closes
  --help                 print this";

/// A request whose body holds this word crashes the endpoint at the end of its work.
pub const CRASH: &str = "crash";
/// A request whose body holds this word runs for [`LONG`].
pub const LINGER: &str = "linger";
/// Port of each; every one has an address of its own.
const PORT: u16 = 9_480;
/// Time of one request.
const WORK: Duration = Duration::from_millis(25);
/// Time of a long one.
const LONG: Duration = Duration::from_millis(400);
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 4;
const EVENT: Duration = Duration::from_millis(30);
/// Requests that run at once.
const SLOTS: u32 = 6;
/// Pause between two looks at the process.
const LOOK: Duration = Duration::from_millis(5);
/// Longest body.
const MAX_BODY: usize = 1 << 20;

/// What kind of endpoint it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers requests.
    Plain,
    /// It makes the texts of items.
    Engine,
}

/// One crash.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Which start of which endpoint.
    pub endpoint: String,
    /// The body of the request under which it crashed; empty if it crashed by itself.
    pub under: String,
    /// When it was seen.
    pub at: Instant,
}

/// The crashes of all endpoints of a test.
pub type Crashes = Rc<RefCell<Vec<Crash>>>;

/// A change of the platform's list.
#[derive(Clone, Debug)]
pub enum Listed {
    /// A start of an endpoint is there.
    There {
        /// Its id.
        id: String,
        /// Where it serves.
        address: SocketAddr,
    },
    /// It is not listed any more.
    Gone {
        /// Its id.
        id: String,
    },
}

/// Writes the platform's list.
pub type List = Rc<dyn Fn(Listed)>;

/// The keeper of one endpoint.
pub struct Fragile {
    /// Where it serves.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    base: String,
    mode: Mode,
    address: SocketAddr,
    list: List,
    down: Cell<Duration>,
    starts: Cell<u32>,
    child: RefCell<Option<Child>>,
    /// What earlier processes printed.
    earlier: RefCell<Vec<String>>,
    crashes: Crashes,
}

impl Fragile {
    /// Starts an endpoint of `service` in the object store's list, that is back `down` after each crash.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(
        store: &Store,
        (service, mode): (&str, Mode),
        down: Duration,
        crashes: &Crashes,
    ) -> io::Result<Self> {
        let (store, service) = (store.clone(), service.to_owned());
        let list = move |listed| match listed {
            Listed::There { id, address } => {
                store.put("servers", &id, entry(&service, mode, address));
            }
            Listed::Gone { id } => store.remove("servers", &id),
        };
        Self::listed(Rc::new(list), mode, down, crashes)
    }

    /// Starts an endpoint that `list` hears of, and that is back `down` after each crash.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn listed(list: List, mode: Mode, down: Duration, crashes: &Crashes) -> io::Result<Self> {
        let address = SocketAddr::from((own_ip(), PORT));
        let state = Rc::new(State {
            base: format!("f-{}", address.ip()),
            mode,
            address,
            list,
            down: Cell::new(down),
            starts: Cell::new(0),
            child: RefCell::default(),
            earlier: RefCell::default(),
            crashes: Rc::clone(crashes),
        });
        state.begin()?;
        let kept = Rc::clone(&state);
        actix_rt::spawn(async move { kept.keep().await });
        Ok(Self { address, state })
    }

    /// Ids of the requests that it has run, of all starts.
    pub fn runs(&self) -> Vec<String> {
        let lines = self.state.lines();
        let runs = lines.iter().filter_map(|line| line.strip_prefix("run "));
        runs.map(ToOwned::to_owned).collect()
    }

    /// Ends it as a crash of its own would.
    pub fn crash(&self) {
        if let Some(child) = &mut *self.state.child.borrow_mut() {
            // It may just have ended.
            let _ = child.signal(crate::child_process::Signal::KILL);
        }
    }

    /// Takes it away for good.
    pub fn remove(&self) {
        self.state.down.set(Duration::MAX);
        self.crash();
    }
}

impl State {
    fn id(&self) -> String {
        format!("{}-{}", self.base, self.starts.get())
    }

    fn lines(&self) -> Vec<String> {
        let now = self.child.borrow().as_ref().map(Child::lines);
        [self.earlier.borrow().clone(), now.unwrap_or_default()].concat()
    }

    /// Starts the process and lists it.
    fn begin(&self) -> io::Result<()> {
        self.starts.set(self.starts.get() + 1);
        let mut command = Command::new(binary()?);
        command.args(["fragile", "--until-stdin-closes", "--address"]);
        command.arg(self.address.to_string());
        command.args(["--id", &self.id()]);
        if self.mode == Mode::Engine {
            command.arg("--engine");
        }
        let child = Child::spawn(&mut command)?;
        if child
            .wait_for_line("listening", Duration::from_secs(5))
            .is_none()
        {
            let lines = child.lines().join("\n");
            return Err(io::Error::other(format!("no endpoint: {lines}")));
        }
        self.child.replace(Some(child));
        (self.list)(Listed::There {
            id: self.id(),
            address: self.address,
        });
        Ok(())
    }

    /// Waits for crashes, and starts the endpoint again.
    async fn keep(&self) {
        loop {
            sleep(LOOK).await;
            let ended = match &mut *self.child.borrow_mut() {
                Some(child) => !matches!(child.wait_for_exit(Duration::ZERO), Ok(None)),
                None => return,
            };
            if !ended {
                continue;
            }
            self.note_crash();
            if self.down.get() == Duration::MAX {
                (self.list)(Listed::Gone { id: self.id() });
                return;
            }
            sleep(self.down.get()).await;
            // A crash says nothing to the store: the entry goes after some silence.
            (self.list)(Listed::Gone { id: self.id() });
            let lines = self.lines();
            self.earlier.replace(lines);
            self.child.replace(None);
            if let Err(error) = self.begin() {
                eprintln!("BROKEN: {} does not start: {error}", self.base);
                return;
            }
        }
    }

    fn note_crash(&self) {
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

/// An endpoint's entry in the object store's list.
fn entry(service: &str, mode: Mode, address: SocketAddr) -> Value {
    json!({
        "service": service, "addr": address.to_string(), "zone": "here",
        "version": "v1", "slots": SLOTS, "state": "ready", "coldRemainingMs": 0, "seq": 0,
        "models": match mode {
            Mode::Plain => json!([]),
            Mode::Engine => json!([{"name": MODEL, "version": 1, "adapters": []}]),
        },
    })
}

/// The tools' binary lies beside the tests'.
fn binary() -> io::Result<std::path::PathBuf> {
    super::site::beside("pinereel-fakes")
}

/// Runs the endpoint as this process.
pub fn main(parser: Parser) -> ExitCode {
    match actix_rt::System::new().block_on(run(parser)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What the process was told.
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
    let body = http::read_body(&mut request, MAX_BODY, Duration::from_secs(5)).await;
    let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    println!("run {id}");
    let long = body.contains(LINGER);
    sleep(if long { LONG } else { WORK }).await;
    if body.contains(CRASH) {
        println!("crash under {body}");
        std::process::abort();
    }
    match options.mode {
        Mode::Plain => answer(options, &id),
        Mode::Engine => stream_of(options, &id, after.unwrap_or(0) + 1),
    }
}

fn answer(options: &Options, id: &str) -> Response {
    let mut answer = Response::new(StatusCode::OK).set_body(BoxBody::new(body(id)));
    set(&mut answer, "x-request-id", id);
    set(&mut answer, "x-response-stamp", &stamp(&options.id, id));
    answer
}

fn stream_of(options: &Options, id: &str, first: u64) -> Response {
    let item = id.to_owned();
    let events = stream::unfold((item, first), |(item, number)| async move {
        if number > EVENTS {
            return None;
        }
        sleep(EVENT).await;
        let event = format!("id: {number}\ndata: {}\n\n", data(&item, number));
        Some((Ok::<_, io::Error>(Bytes::from(event)), (item, number + 1)))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(events)));
    let mut answer = Response::new(StatusCode::OK).set_body(body);
    set(&mut answer, "content-type", "text/event-stream");
    set(&mut answer, "x-request-id", id);
    set(&mut answer, "x-response-stamp", &stamp(&options.id, id));
    set(&mut answer, "x-weight-versions", "1");
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
