//! HTTP server on one listening socket: accept loop, connection limit, timeouts and shutdown.

use super::{
    Request, Response,
    connection::{CONNECTION_BYTES, Connection, DRAIN_TIMEOUT, WRITE_BYTES},
    payload::PacedPayload,
    stream::Stream,
};
use crate::{
    memory::{Kind, Memory, Phase},
    restart::restart_on_panic,
};
use actix_http::{
    Extensions, HttpService, KeepAlive, Payload,
    error::{DispatchError, ParseError},
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use pinereel_api::problem::Code;
use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Delay after a failed accept (for example when out of file descriptors), so that the accept loop
/// does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Default maximum size of a request head, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 32 << 10;
/// Memory of a listener for operators and probes, in bytes.
const INTERNAL_MEMORY_BYTES: usize = 8 << 20;
/// Maximum number of connections of such a listener.
const MAX_INTERNAL_CONNECTIONS: usize = 64;

/// Limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Timeout for a request head. For the first request it counts from the start of the connection, later
    /// from the first byte of the head.
    pub head_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may be idle between requests.
    pub keep_alive: Duration,
    /// Maximum number of open connections. A further one takes the place of a connection that waits for a
    /// request or for the rest of one; if there is none, it is closed immediately and counted.
    pub max_connections: usize,
    /// Minimum time for which such a connection must have waited.
    pub min_wait: Duration,
    /// Memory for connections and request bodies.
    pub memory: Memory,
    /// Whether a client that has closed its sending side still gets a response. If not, the future
    /// of its request handler is dropped.
    pub allow_half_closed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            keep_alive: Duration::from_secs(30),
            max_connections: 4_096,
            min_wait: Duration::from_secs(1),
            memory: Memory::default(),
            allow_half_closed: true,
        }
    }
}

impl Options {
    /// Options of a listener for operators and probes, which is independent of what callers take.
    pub fn internal() -> Self {
        Self {
            max_connections: MAX_INTERNAL_CONNECTIONS,
            min_wait: Duration::ZERO,
            memory: Memory::new(INTERNAL_MEMORY_BYTES),
            ..Self::default()
        }
    }
}

/// Limits on a request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Maximum time until it is complete.
    pub timeout: Duration,
}

/// Returns the limits in force, or `None` for those of the options.
type CurrentHeadLimits = Rc<dyn Fn() -> Option<HeadLimits>>;

/// Called with the problem code of each request or connection that the server itself refuses.
type RefusalCallback = Rc<dyn Fn(Code)>;

/// Handle of a running server. Dropping it does not stop the server; [`Server::stop`] does.
#[derive(Clone)]
pub struct Server {
    /// Local address of the listening socket.
    pub address: SocketAddr,
    /// Set to true to end the accept loop.
    stop: watch::Sender<bool>,
    /// Set to true to close the open connections.
    close: watch::Sender<bool>,
    /// Number of open connections.
    open_connections: Rc<Cell<usize>>,
    /// Connections closed because of `max_connections`.
    refused_connections: Rc<Cell<u64>>,
    /// Limits on request heads that replace those of the options.
    head_limits: Rc<RefCell<Option<CurrentHeadLimits>>>,
    /// Receives the refusals that no handler sees.
    on_refusal: Rc<RefCell<Option<RefusalCallback>>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .field("open", &self.open_connections)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Serves `listener` with `handler` on the current thread until stopped.
    ///
    /// # Errors
    /// If the local address cannot be read or the HTTP service cannot be built.
    pub async fn start<H, F>(
        listener: TcpListener,
        options: Options,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let (close, closed) = watch::channel(false);
        let server = Self {
            address: listener.local_addr()?,
            stop,
            close,
            open_connections: Rc::new(Cell::new(0)),
            refused_connections: Rc::new(Cell::new(0)),
            head_limits: Rc::default(),
            on_refusal: Rc::default(),
        };
        let factory = HttpService::build()
            // `Connection` bounds the time of request heads.
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(DRAIN_TIMEOUT)
            .keep_alive(KeepAlive::Timeout(options.keep_alive))
            .h1_allow_half_closed(options.allow_half_closed)
            .h1_write_buffer_size(WRITE_BYTES)
            .on_connect_ext(move |stream: &Stream, data: &mut Extensions| {
                data.insert(Rc::clone(stream.connection()));
            })
            .h1(fn_service(move |mut request: Request| {
                let connection = request.conn_data::<Rc<Connection>>().cloned();
                let guard = connection.map(|connection| {
                    let payload = request.take_payload();
                    let has_body = !matches!(payload, Payload::None);
                    if has_body {
                        let payload = PacedPayload::boxed(payload, Rc::clone(&connection));
                        *request.payload() = Payload::Stream { payload };
                    }
                    connection.begin_request(has_body)
                });
                let response = handler(request);
                async move {
                    let response = response.await;
                    Ok::<_, Infallible>(match guard {
                        Some(guard) => guard.attach_to(response),
                        None => response,
                    })
                }
            }));
        let service = factory
            .new_service(())
            .await
            .map_err(|()| io::Error::other("listener set-up failed"))?;
        let service = Rc::new(service);
        let serve_connection = move |stream: Stream| {
            let service = Rc::clone(&service);
            async move {
                // Requests that reached the handler got a response; others are reported as refused.
                let result = service.call((stream, None)).await;
                result.err().and_then(refusal_code)
            }
        };
        actix_rt::spawn(accept(
            listener,
            options,
            server.clone(),
            stopped,
            closed,
            serve_connection,
        ));
        Ok(server)
    }

    /// Sets the callback for requests and connections that the server refuses before any handler:
    /// a malformed or too large head, a head that arrives too slowly, or a connection beyond
    /// `max_connections`.
    pub fn on_refusal(&self, callback: impl Fn(Code) + 'static) {
        self.on_refusal.replace(Some(Rc::new(callback)));
    }

    fn report_refusal(&self, code: Code) {
        let callback = self.on_refusal.borrow().clone();
        if let Some(callback) = callback {
            callback(code);
        }
    }

    /// Sets limits on request heads that may change, and that replace those of the options while there are any.
    pub fn set_head_limits(&self, limits: impl Fn() -> Option<HeadLimits> + 'static) {
        self.head_limits.replace(Some(Rc::new(limits)));
    }

    /// Returns the state of one more connection, if it may be opened; if not, counts it as refused.
    fn admit_connection(&self, options: &Options) -> Option<Rc<Connection>> {
        let memory = &options.memory;
        let has_room = self.open_connections.get() < options.max_connections
            || memory.give_up_connection(options.min_wait);
        let reservation = memory.open(Kind::Connection(Phase::New));
        if !has_room || reservation.grow(CONNECTION_BYTES).is_err() {
            let refused = self.refused_connections.get();
            self.refused_connections.set(refused + 1);
            self.report_refusal(Code::Overloaded);
            return None;
        }
        let default_limits = HeadLimits {
            max_bytes: options.max_head_bytes,
            timeout: options.head_timeout,
        };
        let current = Rc::clone(&self.head_limits);
        let head_limits = move || {
            let current = current.borrow().clone();
            current
                .and_then(|limits| limits())
                .unwrap_or(default_limits)
        };
        let server = self.clone();
        let on_refusal = move |code| server.report_refusal(code);
        let keep_alive = options.keep_alive;
        Some(Connection::new(
            reservation,
            head_limits,
            keep_alive,
            on_refusal,
        ))
    }

    /// Spawns the task of a connection, which ends with it or with the server.
    fn spawn_connection(
        &self,
        service: impl Future<Output = Option<Code>> + 'static,
        connection: Rc<Connection>,
        mut closed: watch::Receiver<bool>,
    ) {
        let server = self.clone();
        let open = OpenConnection::new(&self.open_connections);
        actix_rt::spawn(async move {
            let _open = open;
            tokio::select! {
                refusal = service => if let Some(code) = refusal {
                    server.report_refusal(code);
                },
                () = connection.wait_for_timeout() => {}
                () = connection.reservation().given_up() => {
                    server.report_refusal(Code::Overloaded);
                }
                _ = closed.wait_for(|close| *close) => {}
            }
        });
    }

    /// Stops accepting connections, after those that wait in the listener's queue. Open connections are
    /// still served.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops accepting and closes all open connections, also those with a request in progress; call
    /// it when there is none.
    pub fn close(&self) {
        self.stop();
        self.close.send_replace(true);
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Number of connections closed because of `max_connections`, since the start.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections.get()
    }
}

/// Counts a connection as open until dropped, also by a panic of its handler.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Problem code for the error that ended a connection, if `actix-http` refused a request on it
/// before any handler saw it.
fn refusal_code(error: DispatchError) -> Option<Code> {
    match error {
        DispatchError::Parse(ParseError::TooLarge) => Some(Code::TooLarge),
        // The client disconnected between requests or within a head: no request was refused.
        DispatchError::Parse(ParseError::Io(_) | ParseError::Incomplete) => None,
        DispatchError::Parse(_) => Some(Code::BadRequest),
        DispatchError::SlowRequestTimeout => Some(Code::SlowSender),
        _ => None,
    }
}

/// Accepts connections until stopped and spawns a task for each.
async fn accept<S, F>(
    listener: TcpListener,
    options: Options,
    server: Server,
    stopped: watch::Receiver<bool>,
    closed: watch::Receiver<bool>,
    serve_connection: S,
) where
    S: Fn(Stream) -> F + 'static,
    F: Future<Output = Option<Code>> + 'static,
{
    let start_connection = |socket: TcpStream| {
        let Some(connection) = server.admit_connection(&options) else {
            return;
        };
        // Without TCP_NODELAY a small response would wait for more data.
        let _ = socket.set_nodelay(true);
        let service = serve_connection(Stream::new(socket, Rc::clone(&connection)));
        server.spawn_connection(service, connection, closed.clone());
    };
    let accept_connections = async || {
        let mut stopped = stopped.clone();
        loop {
            let accepted = tokio::select! {
                _ = stopped.wait_for(|stop| *stop) => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            start_connection(stream);
        }
    };
    restart_on_panic("accept", accept_connections).await;
    // A client whose connection waits in the queue may have sent its request already. Closing the
    // listener would reset the connection.
    queued_connections(listener).for_each(start_connection);
}

/// Returns the connections that wait in the listener's queue, and closes the listener.
fn queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    // Both conversions fail only for a descriptor that is not open.
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (stream, _) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
