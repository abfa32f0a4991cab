//! A fake endpoint that sends a further copy of a response late: on the same connection, right before the
//! response to the next request.

use super::{
    engine::{event_count, event_data, response_stamp},
    store::Store,
};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time that a run takes.
const RUN_TIME: Duration = Duration::from_millis(20);

/// How the first runs of a request are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Status 500 without a body: the run failed.
    Empty,
    /// Status 500 with a body.
    WithBody,
    /// Status 503 and the statement that the request did not run.
    NotRun,
}

/// What is copied, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copies {
    /// One copy of the last failure of each request.
    One,
    /// Two copies of the last failure.
    Two,
    /// The head of a copy of the last failure, and its body after a pause.
    LateBody,
    /// One copy of each answer to a status report or an order, and none of failures.
    Control,
}

/// Behavior of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// How the first `failures` runs of each request are answered.
    pub failure: Failure,
    /// Number of runs of each request that fail.
    pub failures: usize,
    /// What is copied.
    pub copies: Copies,
    /// Number of copies after which no more are sent.
    pub max_copies: usize,
}

/// A request that the endpoint has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the connection, in the order of their opening.
    pub connection: usize,
    /// Method and target.
    pub target: String,
    /// Id of the request.
    pub id: String,
}

/// A running endpoint.
pub struct DuplicatingEndpoint {
    state: Rc<State>,
}

struct State {
    name: String,
    models: Value,
    behavior: Behavior,
    /// Runs by request id.
    runs: RefCell<BTreeMap<String, usize>>,
    requests: RefCell<Vec<Request>>,
    /// Ids whose failures were copied, once for each copy.
    copied: RefCell<Vec<String>>,
    order_count: Cell<u64>,
}

/// A response on the wire.
#[derive(Clone, Debug)]
struct Answer {
    head: String,
    body: String,
    /// Whether it is the last failure of its request, so that the next run succeeds.
    is_last_failure: bool,
    is_control: bool,
}

impl DuplicatingEndpoint {
    /// Starts an endpoint of `service` and registers it. It is an engine if it has `models`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        models: Value,
        behavior: Behavior,
        store: &Store,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let entry = json!({
            "born": 1, "service": service, "addr": address.to_string(), "zone": "here", "version": "v1",
            "slots": 4, "state": "ready", "coldRemainingMs": 0, "seq": 0, "models": models,
        });
        let state = Rc::new(State {
            name: id.to_owned(),
            models,
            behavior,
            runs: RefCell::default(),
            requests: RefCell::default(),
            copied: RefCell::default(),
            order_count: Cell::new(0),
        });
        let serving = Rc::clone(&state);
        actix_rt::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                let state = Rc::clone(&serving);
                // A connection ends when the caller closes it.
                actix_rt::spawn(async move { state.serve(stream, connection).await.ok() });
            }
        });
        store.put("servers", id, entry);
        Ok(Self { state })
    }

    /// The requests so far.
    pub fn requests(&self) -> Vec<Request> {
        self.state.requests.borrow().clone()
    }

    /// Number of runs of a request so far.
    pub fn runs(&self, id: &str) -> usize {
        self.state.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Number of copies sent so far.
    pub fn copy_count(&self) -> usize {
        self.state.copied.borrow().len()
    }
}

impl State {
    async fn serve(&self, mut stream: TcpStream, connection: usize) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut previous: Option<(String, Answer)> = None;
        while let Some((target, id, after_event)) = read_request(&mut stream, &mut buffer).await? {
            self.requests.borrow_mut().push(Request {
                connection,
                target: target.clone(),
                id: id.clone(),
            });
            let answer = self.answer(&target, &id, after_event);
            sleep(RUN_TIME).await;
            if let Some((copied_id, copy)) = previous.filter(|(_, copy)| self.copies(copy)) {
                let times = if self.behavior.copies == Copies::Two {
                    2
                } else {
                    1
                };
                for _ in 0..times {
                    self.copied.borrow_mut().push(copied_id.clone());
                    self.send_copy(&mut stream, &copy).await?;
                }
            }
            let text = format!("{}{}", answer.head, answer.body);
            stream.write_all(text.as_bytes()).await?;
            previous = Some((id, answer));
        }
        Ok(())
    }

    fn copies(&self, answer: &Answer) -> bool {
        let is_copied = match self.behavior.copies {
            Copies::Control => answer.is_control,
            Copies::One | Copies::Two | Copies::LateBody => answer.is_last_failure,
        };
        is_copied && self.copied.borrow().len() < self.behavior.max_copies
    }

    async fn send_copy(&self, stream: &mut TcpStream, copy: &Answer) -> io::Result<()> {
        stream.write_all(copy.head.as_bytes()).await?;
        if self.behavior.copies == Copies::LateBody {
            sleep(RUN_TIME).await;
        }
        stream.write_all(copy.body.as_bytes()).await
    }

    fn answer(&self, target: &str, id: &str, after_event: u64) -> Answer {
        let control = |status: &str, body: String| Answer {
            head: head(status, id, "content-type: application/json\r\n", &body),
            body,
            is_last_failure: false,
            is_control: true,
        };
        if target.ends_with("/v1/report") {
            let report = json!({
                "born": 1, "stage": "both", "models": self.models, "busy": false,
                "seq": self.order_count.get(), "queued": 0, "running": 0,
                "kvUsed": 0, "kvTotal": 1_000, "handles": 0,
            });
            return control("200 OK", report.to_string());
        }
        if target.ends_with("/v1/order") {
            self.order_count.set(self.order_count.get() + 1);
            return control("202 Accepted", String::new());
        }
        let run = {
            let mut runs = self.runs.borrow_mut();
            let run = runs.entry(id.to_owned()).or_default();
            *run += 1;
            *run
        };
        if run <= self.behavior.failures {
            let (status, more, body) = match self.behavior.failure {
                Failure::Empty => ("500 Internal Server Error", "", ""),
                Failure::WithBody => ("500 Internal Server Error", "", "failed"),
                Failure::NotRun => ("503 Service Unavailable", "x-not-executed: 1\r\n", ""),
            };
            return Answer {
                head: head(status, id, more, body),
                body: body.to_owned(),
                is_last_failure: run == self.behavior.failures,
                is_control: false,
            };
        }
        let body = if self
            .models
            .as_array()
            .is_some_and(|models| !models.is_empty())
        {
            let events = after_event + 1..=event_count(id);
            let event = |number| format!("id: {number}\ndata: {}\n\n", event_data(id, number));
            events.map(event).collect()
        } else {
            super::service::answer_body(id)
        };
        let stamp = response_stamp(&self.name, id);
        let more = format!("x-response-stamp: {stamp}\r\nx-weight-versions: 1\r\n");
        Answer {
            head: head("200 OK", id, &more, &body),
            body,
            is_last_failure: false,
            is_control: false,
        }
    }
}

fn head(status: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{more}content-length: {length}\r\n\r\n")
}

/// Reads a request; returns its method and target, its id, and the number of the last event that the caller
/// has. `None` if the connection is closed.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, String, u64)>> {
    loop {
        let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let header = |name: &str| {
                let mut lines = text.lines().filter_map(|line| line.split_once(": "));
                let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
                Some(value.to_owned())
            };
            let length = header("content-length").and_then(|length| length.parse().ok());
            let length: usize = length.unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                buffer.drain(..end + 4 + length);
                let line = text.lines().next().unwrap_or_default();
                let target = line.trim_end_matches(" HTTP/1.1").to_owned();
                let after = header("last-event-id").and_then(|number| number.parse().ok());
                let id = header("x-request-id").unwrap_or_default();
                return Ok(Some((target, id, after.unwrap_or(0))));
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
