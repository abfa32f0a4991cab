//! One run of an item on an engine: sends the request and reads the stream of events.
//!
//! Events are appended to the item's partial output as they come, so that a further run resumes
//! after the last of them.

use super::{runner::Runner, state::ItemTask};
use crate::{
    hosted::proxy::end_to_end,
    upstream::pool::{Body, Error, PooledRequest},
};
use actix_http::{
    Method, RequestHead, StatusCode,
    header::{HOST, HeaderMap, HeaderName, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use pinereel_core::{
    batch::{EngineKey, MAX_TIMEOUT, extended_wait},
    crash::EndpointStart,
};
use pinereel_port::{config::Route, headers::AttemptHeaders, lot::Item};
use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};

/// Upper bound of the size of an event; beyond it, the stream is taken for malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How a run ended. Log lines show the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// The output is complete.
    Complete,
    /// The engine answered with a failure.
    Failed,
    /// The engine answered that the item can never succeed.
    Impossible,
    /// The engine rejected the run for now.
    Refused,
    /// The engine was unreachable, the stream broke off or stalled, or it violated the protocol.
    Broken(RunError),
    /// The run moves to a faster engine.
    Left,
    /// The engine's weights are older than the lot admits.
    Outdated,
}

impl RunEnd {
    /// Value of the metric label.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
            Self::Refused => "refused",
            Self::Broken(_) => "broken",
            Self::Left => "left",
            Self::Outdated => "outdated",
        }
    }
}

/// Why a run broke off. Log lines show the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunError {
    /// No connection, or no response head before the timeout.
    NoAnswer,
    /// The connection broke before the response head.
    Lost,
    /// A reused connection broke before the response head; the engine may have closed it while it was
    /// idle.
    Stale,
    /// The engine crashed during the run.
    Crashed,
    /// The response belongs to another request, or has an encoded body.
    Foreign,
    /// A status outside the engines' protocol.
    Status(u16),
    /// An event without a known version of the weights.
    NoVersion,
    /// No event before the timeout.
    Silent,
    /// The connection broke, or was closed within an event.
    Cut,
    /// A malformed event, or one out of sequence.
    Event,
    /// The version of the weights changed, although the route requires a single one.
    Mixed,
    /// The engine has restarted and lost the run.
    Restarted,
}

/// The engine on which a run was placed.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    /// Key of the engine in its fleet.
    pub(super) key: EngineKey,
    /// The process of the engine.
    pub(super) start: EndpointStart,
    pub(super) address: SocketAddr,
}

/// Runs the item on the engine of `placement`, from the end of its partial output. A lost
/// connection counts as a crash if the engine's address refuses new ones.
pub(super) async fn run_on_engine(
    runner: &Rc<Runner>,
    task: &ItemTask,
    item: &Item,
    route: &Route,
    placement: &Placement,
) -> RunEnd {
    let end = request_events(runner, task, item, route, placement).await;
    let RunEnd::Broken(RunError::Lost | RunError::Stale | RunError::Cut) = end else {
        return end;
    };
    if runner.deps.pool.has_no_listener(placement.address).await {
        return RunEnd::Broken(RunError::Crashed);
    }
    match end {
        RunEnd::Broken(RunError::Stale) => RunEnd::Refused,
        end => end,
    }
}

/// Sends the request and reads the response, without distinguishing a crash from a lost connection.
async fn request_events(
    runner: &Rc<Runner>,
    task: &ItemTask,
    item: &Item,
    route: &Route,
    placement: &Placement,
) -> RunEnd {
    let (last_event, last_version) = runner.resume_point(task);
    let request = PooledRequest {
        address: placement.address,
        id: Some(item.id.clone()),
        reads_state: false,
        head: request_head(runner, task, item, placement, last_event),
        body: item.body.clone(),
        // A run may be repeated, so a reused connection that turns out to be closed does no harm.
        reuse: true,
    };
    let send = runner.deps.pool.send(request);
    let response = match before_first_event(runner, task, placement, send).await {
        Some(Ok(response)) => response,
        Some(Err(Error::Stale(_))) => return RunEnd::Broken(RunError::Stale),
        Some(Err(Error::Lost(_))) => return RunEnd::Broken(RunError::Lost),
        Some(Err(Error::Foreign)) => return RunEnd::Broken(RunError::Foreign),
        Some(Err(Error::Undefined(status))) => {
            return RunEnd::Broken(RunError::Status(status.as_u16()));
        }
        Some(Err(Error::NotOpened(_))) | None => return RunEnd::Broken(RunError::NoAnswer),
    };
    let answer = (runner.deps.adapter.headers.decode_response)(response.status, &response.headers);
    if answer.malformed_slowdown {
        (runner.deps.endpoints).log_malformed_slowdown(&placement.start);
    }
    if let Some(load) = answer.load {
        runner.load_reported(task, placement.key, load);
    }
    if answer.not_executed {
        response.body.discard().await;
        return RunEnd::Refused;
    }
    if answer.content_encoded {
        return RunEnd::Broken(RunError::Foreign);
    }
    match response.status {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
        status => return RunEnd::Broken(RunError::Status(status.as_u16())),
    }
    let reader = EventReader {
        runner,
        task,
        route,
        placement,
        oldest_version: task.oldest_version,
        version: answer.weights_version,
        last_event,
        last_version,
    };
    reader.read(response.body).await
}

/// Waits for the response head or the first event; `None` if the wait timed out. The timeout is
/// computed again when it elapses, since other runs' reports of a queue, or a late timer, may extend it.
async fn before_first_event<T>(
    runner: &Runner,
    task: &ItemTask,
    placement: &Placement,
    future: impl Future<Output = T>,
) -> Option<T> {
    let started = Instant::now();
    let mut future = pin!(future);
    let mut wait = runner.first_event_timeout(task, placement.key);
    loop {
        if let Ok(output) = timeout_at(started + wait, &mut future).await {
            return Some(output);
        }
        let timeout = runner.first_event_timeout(task, placement.key);
        match extended_wait(wait, started.elapsed(), timeout) {
            Some(extended) => wait = extended,
            None => break,
        }
    }
    if wait < MAX_TIMEOUT {
        runner.log_first_event_timeout(task, placement, wait);
    }
    None
}

fn request_head(
    runner: &Runner,
    task: &ItemTask,
    item: &Item,
    placement: &Placement,
    after_event: Option<u64>,
) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = item.path.parse().unwrap_or_default();
    head.headers = end_to_end(&item_headers(item));
    if let Ok(host) = HeaderValue::from_str(&task.host) {
        head.headers.insert(HOST, host);
    }
    let attempt = AttemptHeaders {
        request_id: &item.id,
        endpoint_id: &placement.start.endpoint,
        timeout: None,
        last_event_id: after_event,
        caller: &task.caller,
    };
    (runner.deps.adapter.headers.encode_attempt)(&mut head.headers, attempt);
    head
}

fn item_headers(item: &Item) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = name.parse::<HeaderName>();
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        } else {
            log::warn!(id = item.id.as_str(); "invalid item header omitted");
        }
    }
    headers
}

/// Reads and validates the events of one run.
struct EventReader<'a> {
    runner: &'a Rc<Runner>,
    task: &'a ItemTask,
    route: &'a Route,
    placement: &'a Placement,
    oldest_version: u64,
    /// Version of the weights that generate the next event; `None` if the engine has nothing to add
    /// to an output that is complete already.
    version: Option<u64>,
    /// Number of the last event of this run or an earlier one.
    last_event: Option<u64>,
    /// Version of the weights that generated the last event.
    last_version: Option<u64>,
}

impl EventReader<'_> {
    async fn read(mut self, body: Body) -> RunEnd {
        let mut events = EventStream::new(body);
        let mut last_event_at: Option<Instant> = None;
        if self
            .version
            .is_some_and(|version| version < self.oldest_version)
        {
            return RunEnd::Outdated;
        }
        loop {
            let (runner, task, placement) = (self.runner, self.task, self.placement);
            // A part of an event is no sign that the engine proceeds.
            let event = match last_event_at {
                Some(_) => {
                    let stall_timeout = runner.stall_timeout(task, placement.key);
                    timeout(stall_timeout, events.next()).await.ok()
                }
                None => before_first_event(runner, task, placement, events.next()).await,
            };
            let event = match event {
                Some(Ok(Some(event))) => event,
                Some(Ok(None)) if self.last_event.is_some() => return RunEnd::Complete,
                Some(Ok(None)) => return RunEnd::Broken(RunError::Cut),
                Some(Err(error)) => return RunEnd::Broken(error),
                None => return RunEnd::Broken(RunError::Silent),
            };
            let now = Instant::now();
            let interval = last_event_at.map(|at| now - at);
            last_event_at = Some(now);
            let Ok(event) = std::str::from_utf8(&event) else {
                return RunEnd::Broken(RunError::Event);
            };
            if let Some(end) = self.accept_event(event, interval) {
                return end;
            }
        }
    }

    /// Validates an event and appends it to the partial output. Returns how the run ends if this
    /// event ends it.
    fn accept_event(&mut self, text: &str, interval: Option<Duration>) -> Option<RunEnd> {
        let event = match (self.runner.deps.adapter.lot.decode_event)(text) {
            Ok(event) => event,
            Err(fault) => {
                let (id, endpoint) = (
                    self.task.item_id.as_str(),
                    self.placement.start.endpoint.as_str(),
                );
                log::warn!(id, endpoint; "malformed event: {fault}");
                return Some(RunEnd::Broken(RunError::Event));
            }
        };
        if self
            .last_event
            .is_some_and(|last_event| event.id != last_event + 1)
        {
            return Some(RunEnd::Broken(RunError::Event));
        }
        self.version = event.version.or(self.version);
        let Some(version) = self.version else {
            return Some(RunEnd::Broken(RunError::NoVersion));
        };
        if version < self.oldest_version {
            return Some(RunEnd::Outdated);
        }
        if self.route.single_version
            && self
                .last_version
                .is_some_and(|last_version| last_version != version)
        {
            // The output so far cannot be continued or used.
            self.runner.discard_output(self.task);
            return Some(RunEnd::Broken(RunError::Mixed));
        }
        self.last_event = Some(event.id);
        self.last_version = Some(version);
        self.runner.add_event(self.task, &event, version);
        let should_move = self
            .runner
            .record_event(self.task, self.placement.key, interval);
        should_move.then_some(RunEnd::Left)
    }
}

/// Splits a body into events.
struct EventStream {
    body: Body,
    buffer: BytesMut,
    /// Length of the buffer's begin that is known to contain no end of an event.
    searched: usize,
}

impl EventStream {
    fn new(body: Body) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// The next event; `None` at the end of the body.
    ///
    /// # Errors
    /// The body ended within an event, which is discarded, or the event is too long.
    async fn next(&mut self) -> Result<Option<Bytes>, RunError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(RunError::Event);
            }
            match self.body.next_part().await {
                Ok(Some(part)) => self.buffer.extend_from_slice(&part),
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) | Err(_) => return Err(RunError::Cut),
            }
        }
    }

    fn take_event(&mut self) -> Option<Bytes> {
        let unsearched = &self.buffer[self.searched..];
        let Some(offset) = unsearched.windows(2).position(|pair| pair == b"\n\n") else {
            // The last byte may be the first of the separator.
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let event = self.buffer.split_to(self.searched + offset).freeze();
        let _ = self.buffer.split_to(2);
        self.searched = 0;
        Some(event)
    }
}
