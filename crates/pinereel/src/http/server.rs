//! HTTP server on one listening socket: accept loop, connection limit, timeouts and shutdown.

use super::{Request, Response, activity::ConnectionActivity};
use actix_http::{
    Extensions, HttpService, KeepAlive,
    error::{DispatchError, ParseError},
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use pinereel_api::problem::Code;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    os::fd::{AsRawFd as _, RawFd},
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

/// `actix-http` reads its clock twice a second and measures timeouts from the last reading, so they
/// may end earlier by up to this much.
const MAX_CLOCK_LAG: Duration = Duration::from_millis(500);

/// Limits and timeouts of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for a request head. For the first request it counts from the start of the connection
    /// and may end up to half a second later. A later head may take `keep_alive` in addition.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub keep_alive: Duration,
    /// Maximum number of open connections; further ones are closed immediately and counted.
    pub max_connections: usize,
    /// Whether a client that has closed its sending side still gets a response. If not, the future
    /// of its request handler is dropped.
    pub allow_half_closed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(30),
            max_connections: 4_096,
            allow_half_closed: true,
        }
    }
}

/// Called with the problem code of each request or connection that the server itself refuses.
type RefusalCallback = Rc<dyn Fn(Code)>;

/// Accepted connections that `actix-http` has not yet taken over, by file descriptor.
type PendingConnections = RefCell<BTreeMap<RawFd, Rc<ConnectionActivity>>>;

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
            on_refusal: Rc::default(),
        };
        let pending: Rc<PendingConnections> = Rc::default();
        let pending_on_connect = Rc::clone(&pending);
        let factory = HttpService::build()
            .client_request_timeout(options.head_timeout + MAX_CLOCK_LAG)
            .client_disconnect_timeout(Duration::from_secs(1))
            .keep_alive(KeepAlive::Timeout(options.keep_alive))
            .h1_allow_half_closed(options.allow_half_closed)
            .on_connect_ext(move |stream: &TcpStream, data: &mut Extensions| {
                if let Some(activity) = pending_on_connect.borrow_mut().remove(&stream.as_raw_fd())
                {
                    data.insert(activity);
                }
            })
            .h1(fn_service(move |request: Request| {
                let guard = request
                    .conn_data::<Rc<ConnectionActivity>>()
                    .map(ConnectionActivity::begin_request);
                let response = handler(request);
                async move {
                    let response = response.await;
                    Ok::<_, Infallible>(match guard {
                        Some(guard) => guard.attach_to(response),
                        None => response,
                    })
                }
            }))
            .tcp();
        let service = factory
            .new_service(())
            .await
            .map_err(|()| io::Error::other("listener set-up failed"))?;
        let service = Rc::new(service);
        let serve_connection = move |stream: TcpStream, activity: Rc<ConnectionActivity>| {
            let service = Rc::clone(&service);
            // `on_connect_ext` removes the entry when `actix-http` takes over the connection, so no
            // descriptor is in the map twice.
            pending
                .borrow_mut()
                .insert(stream.as_raw_fd(), Rc::clone(&activity));
            async move {
                // Requests that reached the handler got a response; others are reported as refused.
                match service.call(stream).await {
                    Err(error) => refusal_code(error),
                    Ok(()) => activity
                        .first_head_timed_out(options.head_timeout)
                        .then_some(Code::SlowSender),
                }
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

    /// Whether one more connection may be opened; if not, counts it as refused.
    fn admits_connection(&self, options: Options) -> bool {
        let admits = self.open_connections.get() < options.max_connections;
        if !admits {
            let refused = self.refused_connections.get();
            self.refused_connections.set(refused + 1);
            self.report_refusal(Code::Overloaded);
        }
        admits
    }

    /// Spawns the task of a connection, which ends with it or with the server.
    fn spawn_connection(
        &self,
        connection: impl Future<Output = Option<Code>> + 'static,
        activity: Rc<ConnectionActivity>,
        options: Options,
        mut closed: watch::Receiver<bool>,
    ) {
        let server = self.clone();
        server
            .open_connections
            .set(server.open_connections.get() + 1);
        actix_rt::spawn(async move {
            tokio::select! {
                refusal = connection => if let Some(code) = refusal {
                    server.report_refusal(code);
                },
                // `actix-http` closes connections that are idle for `keep_alive`; one that is
                // still open after this sends a request head too slowly.
                () = activity.wait_until_idle_for(options.keep_alive + options.head_timeout) => {
                    server.report_refusal(Code::SlowSender);
                }
                _ = closed.wait_for(|close| *close) => {}
            }
            server
                .open_connections
                .set(server.open_connections.get() - 1);
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
    mut stopped: watch::Receiver<bool>,
    closed: watch::Receiver<bool>,
    serve_connection: S,
) where
    S: Fn(TcpStream, Rc<ConnectionActivity>) -> F + 'static,
    F: Future<Output = Option<Code>> + 'static,
{
    let start_connection = |stream: TcpStream| {
        if !server.admits_connection(options) {
            return;
        }
        // Without TCP_NODELAY a small response would wait for more data.
        let _ = stream.set_nodelay(true);
        let activity = ConnectionActivity::new();
        let connection = serve_connection(stream, Rc::clone(&activity));
        server.spawn_connection(connection, activity, options, closed.clone());
    };
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
