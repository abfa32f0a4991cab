//! HTTP connection pool that tells whether a failed request may have run.
//!
//! A request uses an idle connection if there is one that still appears open. The response's body
//! ends as its framing announces, or, without framing, when the connection is closed; a reset is
//! always an error, also one that was reported to a write. Only a connection that carried a complete response
//! and nothing more is reused.
//!
//! Where responses name their requests, a connection carries each id once, so that a late copy of an
//! earlier response is never taken for the response to a further send of the same request.

use super::{
    CONNECT_TIMEOUT, connect_within,
    final_head::{self, read_final_head},
    metered::Metered,
    probe::{Probe, probe},
    until_close::UntilClose,
};
use crate::memory::{Kind, Memory, Reservation};
use actix_codec::Framed;
use actix_http::{
    Method, RequestHead, RequestHeadType, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, HeaderMap},
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt as _, Stream, StreamExt as _, stream};
use pinereel_core::exchange::{self, History, Match};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// Idle time after which a connection is not reused if its endpoint does not announce a timeout.
/// Usual servers keep idle connections for 5 s or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin below the announced idle timeout: an endpoint counts its idle time from when it sent the
/// response, and closes in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Maximum size of a body that [`Body::read_all`] reads, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Bytes of a request body that are copied to the write buffer at once.
const WRITE_BYTES: usize = 16 << 10;
/// Largest unneeded body that is read so that its connection can be reused, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Longest time for which such a body is read.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(100);

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection for this request could not be opened: no byte of it was sent.
    #[error("connection not opened: {0}")]
    NotOpened(io::Error),
    /// Bytes may have been sent and no response was received: the request may have run.
    #[error("no answer: {0}")]
    Lost(String),
    /// The same as [`Error::Lost`], on a reused connection, which the endpoint may just have closed.
    #[error("no answer on an idle connection: {0}")]
    Stale(String),
    /// The response belongs to another request; this one may have run.
    #[error("the answer to another request")]
    Foreign,
    /// The response has a status that HTTP does not define; the request may have run.
    #[error("no HTTP status: {0}")]
    Undefined(StatusCode),
}

/// Request to be sent over a pooled or new connection.
pub struct PooledRequest {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Id that the response repeats; without one, the request has a connection of its own if the pool
    /// matches responses by id.
    pub id: Option<CompactString>,
    /// Whether it only reads the state of the endpoint at its target, so that an earlier response is an
    /// older state. Such requests share a connection although their responses have no id.
    pub reads_state: bool,
    /// Method, target and headers; `Content-Length` is set by the body.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Whether a connection that has carried another request may be used.
    pub reuse: bool,
}

impl PooledRequest {
    fn exchange(&self) -> exchange::Request<'_> {
        exchange::Request {
            id: self.id.as_deref(),
            state: self.reads_state.then(|| self.head.uri.path()),
        }
    }
}

/// Head of a response, and its unread body.
pub struct Response {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Unread body.
    pub body: Body,
}

/// Connection between two requests.
struct Connection {
    framed: Framed<Metered, ClientCodec>,
    history: History,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        Self {
            framed: Framed::new(Metered::new(stream), ClientCodec::default()),
            history: History::default(),
        }
    }
}

/// Idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Reads the id of the request that a response answers.
type ReadId = fn(&HeaderMap) -> Option<&str>;

/// Connection pool of one process.
pub struct Pool {
    /// Set if responses are matched to requests by id; otherwise they are matched by their order.
    read_id: Option<ReadId>,
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    opened: Cell<u64>,
    /// Maximum time to open a connection for a request.
    connect_timeout: Duration,
    /// Memory of the bodies that are read as a whole.
    memory: Memory,
}

/// Response body that is being read. Its connection returns to the pool at the body's end.
pub struct Body {
    state: State,
    pool: Rc<Pool>,
    address: SocketAddr,
    history: History,
    idle_timeout: Option<Duration>,
}

enum State {
    /// The body has ended or failed.
    Ended,
    /// The framing announces the end.
    Framed(Framed<Metered, ClientPayloadCodec>),
    /// The connection's end is the body's end.
    UntilClose(UntilClose),
}

impl Default for Pool {
    /// A pool for peers that send exactly one response to each request, in order.
    fn default() -> Self {
        Self {
            read_id: None,
            idle: RefCell::default(),
            opened: Cell::default(),
            connect_timeout: CONNECT_TIMEOUT,
            memory: Memory::default(),
        }
    }
}

impl Pool {
    /// A pool for peers that may send further copies of a response: responses are matched to their
    /// requests by the id that `read_id` reads.
    pub fn matching_ids(read_id: ReadId) -> Self {
        Self {
            read_id: Some(read_id),
            ..Self::default()
        }
    }

    /// Uses `memory` for the bodies that are read as a whole.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Self { memory, ..self }
    }

    /// Opens connections for requests within `connect_timeout`.
    #[must_use]
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            ..self
        }
    }

    /// Number of connections opened since the start.
    pub fn opened_count(&self) -> u64 {
        self.opened.get()
    }

    /// Whether there is an idle connection to the endpoint.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.idle.borrow().contains_key(&address)
    }

    /// Closes the idle connections to an endpoint, for example after its restart.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Whether no process listens at the address of an endpoint whose connection failed, although its
    /// host is reachable. The probe's connection is added to the pool.
    pub async fn has_no_listener(&self, address: SocketAddr) -> bool {
        match probe(address).await {
            Probe::NotListening => true,
            Probe::Reset | Probe::Unknown => false,
            Probe::Listening(stream) => {
                self.adopt(address, stream);
                false
            }
        }
    }

    /// Whether an endpoint can be reached: a connection is opened and added to the pool.
    pub async fn reaches(&self, address: SocketAddr) -> bool {
        match probe(address).await {
            Probe::NotListening | Probe::Reset | Probe::Unknown => false,
            Probe::Listening(stream) => {
                self.adopt(address, stream);
                true
            }
        }
    }

    /// Adds the connection of a probe to the pool.
    fn adopt(&self, address: SocketAddr, stream: TcpStream) {
        self.opened.set(self.opened.get() + 1);
        self.put_idle(address, Connection::new(stream), DEFAULT_IDLE_TIMEOUT);
    }

    /// Sends a request and waits for the response's head. The caller sets the timeout.
    ///
    /// # Errors
    /// [`Error::NotOpened`] only if no byte of the request was sent; [`Error::Stale`] if a reused
    /// connection failed before the response's head; [`Error::Foreign`] if the response has the id of
    /// another request; [`Error::Undefined`] if it is no response of HTTP.
    pub async fn send(self: &Rc<Self>, request: PooledRequest) -> Result<Response, Error> {
        let address = request.address;
        let idle = if request.reuse {
            self.take_idle(address, request.exchange())
        } else {
            None
        };
        let reused = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            None => self.open_connection(address).await?,
        };
        let result = self.send_on(connection, request).await;
        result.map_err(|error| match error {
            Error::Lost(reason) if reused => Error::Stale(reason),
            error => error,
        })
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let stream = connect_within(address, self.connect_timeout).await;
        let stream = stream.map_err(Error::NotOpened)?;
        self.opened.set(self.opened.get() + 1);
        Ok(Connection::new(stream))
    }

    async fn send_on(
        self: &Rc<Self>,
        Connection {
            framed: mut connection,
            mut history,
        }: Connection,
        request: PooledRequest,
    ) -> Result<Response, Error> {
        let method = request.head.method.clone();
        let id = request.id.clone();
        let state = (request.exchange().state).map(CompactString::from);
        let exchange = exchange::Request {
            id: id.as_deref(),
            state: state.as_deref(),
        };
        if self.read_id.is_some() {
            history.record_request(exchange);
        }
        connection.io_mut().reset();
        let sent = write_request(&mut connection, request.head, request.body).await;
        // An endpoint may respond and close before it has read the complete request.
        let answer = read_final_head(connection).await;
        let (head, connection) = answer.map_err(|error| match error {
            final_head::Error::Lost(reason) => Error::Lost(reason),
            final_head::Error::Undefined(status) => Error::Undefined(status),
        })?;
        if let Some(read_id) = self.read_id {
            let response_id = read_id(&head.headers);
            if history.match_response(exchange, response_id) == Match::Foreign {
                log_foreign_response(request.address, exchange.id, response_id, &history);
                return Err(Error::Foreign);
            }
        }
        let may_reuse = sent.is_ok() && history.is_reusable();
        let idle_timeout = if may_reuse && connection.codec_ref().keep_alive() {
            parse_idle_timeout(&head.headers)
        } else {
            None
        };
        let has_no_framed_body = connection.codec_ref().message_type() == MessageType::None;
        let ends_with_connection = has_no_framed_body
            && !head.headers.contains_key(CONTENT_LENGTH)
            && may_have_body(&method, head.status);
        let mut body = Body {
            state: State::Ended,
            pool: Rc::clone(self),
            address: request.address,
            history,
            idle_timeout,
        };
        if ends_with_connection {
            let parts = connection.into_parts();
            body.state = State::UntilClose(UntilClose {
                stream: parts.io,
                read: parts.read_buf.freeze(),
                sent,
            });
        } else if has_no_framed_body {
            body.return_to_pool(connection);
        } else {
            body.state = State::Framed(connection.into_map_codec(ClientCodec::into_payload_codec));
        }
        Ok(Response {
            status: head.status,
            headers: head.headers.clone(),
            body,
        })
    }

    /// Takes the idle connection used last that still appears open and may carry a request, if possible
    /// one that carries nothing else.
    fn take_idle(&self, address: SocketAddr, request: exchange::Request<'_>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_by_address = self.idle.borrow_mut();
        let connections = idle_by_address.get_mut(&address)?;
        let position = |connections: &[IdleConnection]| {
            let histories = || connections.iter().map(|idle| &idle.connection.history);
            if self.read_id.is_none() {
                return connections.len().checked_sub(1);
            }
            let restricted = histories()
                .rposition(|history| history.is_restricted_to(request) && history.admits(request));
            restricted.or_else(|| histories().rposition(|history| history.admits(request)))
        };
        let mut taken = None;
        while let Some(position) = position(connections) {
            let idle = connections.remove(position);
            let stream = idle.connection.framed.io_ref().stream();
            if idle.expires_at > now && is_open_and_empty(stream) {
                taken = Some(idle.connection);
                break;
            }
        }
        if connections.is_empty() {
            idle_by_address.remove(&address);
        }
        taken
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        let now = Instant::now();
        let expires_at = now + idle_timeout;
        let mut idle_by_address = self.idle.borrow_mut();
        for connections in idle_by_address.values_mut() {
            connections.retain(|connection| connection.expires_at > now);
        }
        idle_by_address.retain(|_, connections| !connections.is_empty());
        idle_by_address
            .entry(address)
            .or_default()
            .push(IdleConnection {
                connection,
                expires_at,
            });
    }
}

async fn write_request(
    connection: &mut Framed<Metered, ClientCodec>,
    head: RequestHead,
    mut body: Bytes,
) -> io::Result<()> {
    let size = BodySize::Sized(body.len() as u64);
    let head = RequestHeadType::Owned(head);
    connection.feed(Message::Item((head, size))).await?;
    while !body.is_empty() {
        let part = body.split_to(body.len().min(WRITE_BYTES));
        connection.feed(Message::Chunk(Some(part))).await?;
    }
    connection.flush().await
}

fn log_foreign_response(
    address: SocketAddr,
    id: Option<&str>,
    response_id: Option<&str>,
    history: &History,
) {
    log::warn!(
        id = id.unwrap_or_default(),
        address:%,
        response_id = response_id.unwrap_or_default(),
        requests = history.len();
        "response to another request; closing the connection"
    );
}

/// Whether an idle connection is open and has no unread bytes.
fn is_open_and_empty(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Reads how long a connection may be idle; `None` if it may not be reused.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let header = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let Some(header) = header else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let mut parameters = header.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix("timeout="));
    let Some(seconds) = seconds.and_then(|seconds| seconds.parse().ok()) else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    Duration::from_secs(seconds)
        .checked_sub(IDLE_MARGIN)
        .filter(|timeout| !timeout.is_zero())
}

/// Whether a response to the method and with the status may have a body.
fn may_have_body(method: &Method, status: StatusCode) -> bool {
    let statuses_without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    *method != Method::HEAD
        && !status.is_informational()
        && !statuses_without_body.contains(&status)
}

impl Body {
    /// Reads the next part; `None` at the body's end.
    ///
    /// # Errors
    /// The connection failed, or was closed before the body's end.
    pub async fn next_part(&mut self) -> io::Result<Option<Bytes>> {
        match &mut self.state {
            State::Ended => Ok(None),
            State::Framed(connection) => match connection.next().await {
                Some(Ok(Some(part))) => {
                    connection.io_mut().allow(part.len());
                    Ok(Some(part))
                }
                Some(Ok(None)) => {
                    self.finish();
                    Ok(None)
                }
                Some(Err(e)) => self.fail(io::Error::other(e.to_string())),
                None => self.fail(io::ErrorKind::UnexpectedEof.into()),
            },
            State::UntilClose(body) => match body.next_part().await {
                Ok(None) => {
                    self.state = State::Ended;
                    Ok(None)
                }
                Ok(part) => Ok(part),
                Err(e) => self.fail(e),
            },
        }
    }

    /// Converts the body to a stream of parts, which ends after an error.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), |body| async move {
            let mut body = body?;
            match body.next_part().await {
                Ok(Some(part)) => Some((Ok(part), Some(body))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        })
    }

    /// Reads the rest of the body. It counts against the memory of all bodies until the returned bytes are
    /// dropped.
    ///
    /// # Errors
    /// The body is truncated, longer than 32 MiB, or longer than its share of that memory.
    pub async fn read_all(self) -> io::Result<Bytes> {
        self.read_within(MAX_BODY_BYTES).await
    }

    /// Like [`Body::read_all`], with a limit in bytes.
    ///
    /// # Errors
    /// The same, and the body is longer than `max_bytes`.
    pub async fn read_within(mut self, max_bytes: usize) -> io::Result<Bytes> {
        let reservation = self.pool.memory.open_body(Kind::Download, max_bytes);
        let append_parts = async |body: &mut Reservation| {
            while let Some(part) = self.next_part().await? {
                body.append(&part, 0).map_err(io::Error::other)?;
            }
            Ok(())
        };
        reservation.receive(io::Error::other, append_parts).await
    }

    /// Reads a body that nobody needs, so that the connection can be reused, unless it is too long or takes
    /// too long.
    pub async fn discard(self) {
        // Failing closes the connection.
        let _ = timeout(MAX_DISCARD_TIME, self.read_within(MAX_DISCARDED_BYTES)).await;
    }

    fn fail(&mut self, error: io::Error) -> io::Result<Option<Bytes>> {
        self.state = State::Ended;
        Err(error)
    }

    fn finish(&mut self) {
        if let State::Framed(connection) = std::mem::replace(&mut self.state, State::Ended) {
            self.return_to_pool(connection.into_map_codec(ClientPayloadCodec::into_message_codec));
        }
    }

    /// Returns the connection to the pool, or closes it if there are bytes after the body's end,
    /// which belong to no request.
    fn return_to_pool(&mut self, framed: Framed<Metered, ClientCodec>) {
        if let Some(idle_timeout) = self.idle_timeout.filter(|_| framed.is_read_buf_empty()) {
            let connection = Connection {
                framed,
                history: std::mem::take(&mut self.history),
            };
            self.pool.put_idle(self.address, connection, idle_timeout);
        }
    }
}
