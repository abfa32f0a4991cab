//! The accept loop of one listener.

use super::{Request, Response, idle::Idle};
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

/// Pause after a failed accept (for example out of file descriptors), so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The library reads its clock twice a second and counts its waits from the last reading, so it may
/// end them earlier by so much.
const CLOCK_LAG: Duration = Duration::from_millis(500);

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Wait for a request's head: for the first one from the connection's start, and up to half a
    /// second more. A later one may take `keep_alive` besides.
    pub head_timeout: Duration,
    /// Longest idle time of a connection between requests.
    pub keep_alive: Duration,
    /// Most open connections; one more is closed at once and counted.
    pub connections: usize,
    /// Whether a client that has closed its sending side still gets its answer. If not, the
    /// handling of its request is dropped where it stands.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(30),
            connections: 4_096,
            half_closed: true,
        }
    }
}

/// Hears why the listener itself refused a request or a connection.
type Observer = Rc<dyn Fn(Code)>;

/// Connections on their way to the library, by file descriptor.
type Opened = RefCell<BTreeMap<RawFd, Rc<Idle>>>;

/// A running listener. Dropping it does not stop it; [`Server::stop`] does.
#[derive(Clone)]
pub struct Server {
    /// The bound address.
    pub address: SocketAddr,
    /// Ends the accept loop when true.
    stop: watch::Sender<bool>,
    /// Ends the connections when true.
    close: watch::Sender<bool>,
    /// Open connections.
    open: Rc<Cell<usize>>,
    /// Connections closed because of the bound.
    refused: Rc<Cell<u64>>,
    /// Hears the refusals that no handler sees.
    observer: Rc<RefCell<Option<Observer>>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Serves `listener` with `handler` on this thread until stopped.
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
            open: Rc::new(Cell::new(0)),
            refused: Rc::new(Cell::new(0)),
            observer: Rc::default(),
        };
        let opened: Rc<Opened> = Rc::default();
        let known = Rc::clone(&opened);
        let factory = HttpService::build()
            .client_request_timeout(options.head_timeout + CLOCK_LAG)
            .client_disconnect_timeout(Duration::from_secs(1))
            .keep_alive(KeepAlive::Timeout(options.keep_alive))
            .h1_allow_half_closed(options.half_closed)
            .on_connect_ext(move |stream: &TcpStream, data: &mut Extensions| {
                if let Some(idle) = known.borrow_mut().remove(&stream.as_raw_fd()) {
                    data.insert(idle);
                }
            })
            .h1(fn_service(move |request: Request| {
                let busy = request.conn_data::<Rc<Idle>>().map(Idle::enter);
                let answer = handler(request);
                async move {
                    let answer = answer.await;
                    Ok::<_, Infallible>(match busy {
                        Some(busy) => busy.hold(answer),
                        None => answer,
                    })
                }
            }))
            .tcp();
        let service = factory
            .new_service(())
            .await
            .map_err(|()| io::Error::other("listener set-up failed"))?;
        let service = Rc::new(service);
        let serve = move |stream: TcpStream, idle: Rc<Idle>| {
            let service = Rc::clone(&service);
            // Taken out when the library takes the connection, so no descriptor stands here twice.
            opened
                .borrow_mut()
                .insert(stream.as_raw_fd(), Rc::clone(&idle));
            async move {
                // Requests that reached the handler have had their answers; the others are told of.
                match service.call(stream).await {
                    Err(error) => refusal(error),
                    Ok(()) => idle
                        .never_served(options.head_timeout)
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
            serve,
        ));
        Ok(server)
    }

    /// Sets who hears of the requests and connections that the listener refuses before any handler:
    /// a malformed or too large head, a head that comes too slowly, one connection too many.
    pub fn observe(&self, observer: impl Fn(Code) + 'static) {
        self.observer.replace(Some(Rc::new(observer)));
    }

    fn tell(&self, code: Code) {
        let observer = self.observer.borrow().clone();
        if let Some(observer) = observer {
            observer(code);
        }
    }

    /// Stops accepting. Open connections go on.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Closes what is still open. To be called when no request is in flight.
    pub fn close(&self) {
        self.stop();
        self.close.send_replace(true);
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections closed because of the bound, since the start.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }
}

/// Why the library refused a request that no handler saw, by the error that ended its connection.
fn refusal(error: DispatchError) -> Option<Code> {
    match error {
        DispatchError::Parse(ParseError::TooLarge) => Some(Code::TooLarge),
        // The client went away between requests or within a head: nobody was refused.
        DispatchError::Parse(ParseError::Io(_) | ParseError::Incomplete) => None,
        DispatchError::Parse(_) => Some(Code::BadRequest),
        DispatchError::SlowRequestTimeout => Some(Code::SlowSender),
        _ => None,
    }
}

/// Accepts until stopped and spawns a task a connection.
async fn accept<S, F>(
    listener: TcpListener,
    options: Options,
    server: Server,
    mut stopped: watch::Receiver<bool>,
    closed: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(TcpStream, Rc<Idle>) -> F + 'static,
    F: Future<Output = Option<Code>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if server.open.get() >= options.connections {
            server.refused.set(server.refused.get() + 1);
            server.tell(Code::Overloaded);
            continue;
        }
        // Small answers must not wait for more data.
        let _ = stream.set_nodelay(true);
        server.open.set(server.open.get() + 1);
        let server = server.clone();
        let idle = Idle::new();
        let connection = serve(stream, Rc::clone(&idle));
        let mut closed = closed.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                refusal = connection => if let Some(code) = refusal {
                    server.tell(code);
                },
                // The library ends what is idle after `keep_alive`; what is left sends a head slowly.
                () = idle.over(options.keep_alive + options.head_timeout) => {
                    server.tell(Code::SlowSender);
                }
                _ = closed.wait_for(|close| *close) => {}
            }
            server.open.set(server.open.get() - 1);
        });
    }
}
