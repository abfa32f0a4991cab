//! A loopback proxy that can delay, drop, duplicate, refuse and reset what passes through it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep},
};

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of each chunk of bytes that is read.
    pub delay: Duration,
    /// Whether the bytes that clients send are dropped; connections stay open.
    pub drop_requests: bool,
    /// Whether the bytes that servers send are dropped; connections stay open.
    pub drop_answers: bool,
    /// Whether new connections are closed at once.
    pub refuse_connections: bool,
    /// Every nth answer is sent again, right before the next answer on its connection; 0 duplicates none.
    pub duplicate_every: u64,
}

impl Faults {
    /// Drops all bytes in both directions; connections stay open.
    pub const DROP_ALL: Self = Self {
        delay: Duration::ZERO,
        drop_requests: true,
        drop_answers: true,
        refuse_connections: false,
        duplicate_every: 0,
    };
}

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections are reset, and new ones are refused.
    Refused,
    /// Nothing is answered, neither on open connections nor to new ones.
    Silent,
}

/// Largest answer that is duplicated, in bytes.
const MAX_DUPLICATED_BYTES: usize = 64 << 10;

/// The answers on one connection, as far as they may be duplicated.
#[derive(Debug, Default)]
struct Answers {
    /// The answer that the server sends now, or sent last.
    current: Vec<u8>,
    /// Whether a request followed that answer, so that the next bytes begin another one.
    has_ended: bool,
}

impl Answers {
    /// Records bytes of the server. Returns the answer before, if these bytes begin another one.
    fn record(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let before = std::mem::take(&mut self.has_ended).then(|| std::mem::take(&mut self.current));
        if self.current.len() <= MAX_DUPLICATED_BYTES {
            self.current.extend_from_slice(bytes);
        }
        before.filter(|answer| !answer.is_empty() && answer.len() <= MAX_DUPLICATED_BYTES)
    }
}

/// What happens to new connections.
#[derive(Clone, Copy, Debug)]
enum Listening {
    /// They are accepted.
    Accepting,
    /// They are refused, as if no process listened.
    Refusing,
    /// They are not answered, as behind a link that drops all packets.
    Ignoring,
}

/// An open connection.
#[derive(Debug, Default)]
pub struct Connection {
    awaits_answer: Cell<bool>,
    is_silent: Cell<bool>,
}

impl Connection {
    /// Whether no byte of an answer has followed on the last request.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer.get()
    }
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Address to which clients connect.
    pub address: SocketAddr,
    faults: Rc<Cell<Faults>>,
    /// Incremented to reset all open connections.
    resets: Rc<watch::Sender<u64>>,
    /// The open connections by their numbers.
    connections: Rc<RefCell<BTreeMap<u64, Rc<Connection>>>>,
    connection_count: Rc<Cell<u64>>,
    /// What happens to new connections.
    listening: Rc<watch::Sender<Listening>>,
    /// Address of the server.
    pub target: SocketAddr,
    /// When the server closed connections by itself after bytes of a request and before any of its
    /// answer.
    unanswered_closes: Rc<RefCell<Vec<Instant>>>,
    /// Number of answers that could have been duplicated while that fault was in force.
    duplicable_count: Rc<Cell<u64>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            faults: Rc::default(),
            resets: Rc::new(watch::channel(0).0),
            connections: Rc::default(),
            connection_count: Rc::default(),
            listening: Rc::new(watch::channel(Listening::Accepting).0),
            target,
            unanswered_closes: Rc::default(),
            duplicable_count: Rc::default(),
        };
        let state = proxy.clone();
        actix_rt::spawn(async move {
            let mut listening = state.listening.subscribe();
            let mut listener = Some(listener);
            loop {
                let current = *listening.borrow_and_update();
                let serve = async {
                    let first = listener.take();
                    match current {
                        Listening::Accepting => {
                            let listener = match first {
                                Some(listener) => Ok(listener),
                                None => TcpListener::bind(state.address).await,
                            };
                            if let Ok(listener) = listener {
                                state.accept_connections(listener).await;
                            }
                        }
                        Listening::Refusing => std::future::pending().await,
                        Listening::Ignoring => ignore_connections(state.address).await,
                    }
                };
                tokio::select! {
                    () = serve => return,
                    changed = listening.changed() => if changed.is_err() {
                        return;
                    },
                }
            }
        });
        Ok(proxy)
    }

    async fn accept_connections(&self, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            if self.faults.get().refuse_connections {
                continue;
            }
            let state = self.clone();
            actix_rt::spawn(async move { state.forward_connection(client).await });
        }
    }

    /// Cuts the link to the server until [`Proxy::heal`].
    pub fn cut(&self, cut: Cut) {
        match cut {
            Cut::Refused => {
                self.listening.send_replace(Listening::Refusing);
                self.reset_connections();
            }
            Cut::Silent => {
                self.listening.send_replace(Listening::Ignoring);
                self.set_faults(Faults::DROP_ALL);
            }
        }
    }

    /// Ends a cut and all other faults.
    pub fn heal(&self) {
        self.set_faults(Faults::default());
        self.listening.send_replace(Listening::Accepting);
    }

    /// Sets the faults of all connections, including open ones.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Drops all further bytes of the open connections that `is_chosen` returns. They stay open, and new ones
    /// work.
    pub fn silence_connections(&self, is_chosen: impl Fn(&Connection) -> bool) {
        let connections = self.connections.borrow();
        let chosen = connections.values().filter(|c| is_chosen(c));
        chosen.for_each(|connection| connection.is_silent.set(true));
    }

    /// Returns when the server closed connections after bytes of a request, which need not be the first
    /// on its connection, and before any of its answer. A connection that the client closed first is not
    /// included.
    pub fn unanswered_closes(&self) -> Vec<Instant> {
        self.unanswered_closes.borrow().clone()
    }

    async fn forward_connection(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let mut resets = self.resets.subscribe();
        // Without this, the kernel would delay small chunks to join them with later ones.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        let number = self.connection_count.get();
        self.connection_count.set(number + 1);
        let connection = Rc::new(Connection::default());
        self.connections
            .borrow_mut()
            .insert(number, Rc::clone(&connection));
        let (awaits_answer, is_silent) = (&connection.awaits_answer, &connection.is_silent);
        let drops_requests = |faults: Faults| faults.drop_requests || is_silent.get();
        let drops_answers = |faults: Faults| faults.drop_answers || is_silent.get();
        let client_closed = Cell::new(false);
        let seen = RefCell::new(Answers::default());
        let on_request = |_: &[u8]| {
            awaits_answer.set(true);
            seen.borrow_mut().has_ended = true;
            None
        };
        let on_answer = |bytes: &[u8]| {
            awaits_answer.set(false);
            let before = seen.borrow_mut().record(bytes);
            before.filter(|_| self.is_next_duplicated())
        };
        let requests = self.forward(from_client, to_server, on_request, drops_requests);
        let answers = self.forward(from_server, to_client, on_answer, drops_answers);
        tokio::select! {
            // When the server closes its side, the connection is closed. When the client closes its
            // side, only that direction is closed at the server too, which then closes the other.
            () = answers => {
                if awaits_answer.get() && !client_closed.get() {
                    self.unanswered_closes.borrow_mut().push(Instant::now());
                }
            }
            () = async {
                requests.await;
                client_closed.set(true);
                std::future::pending::<()>().await;
            } => {}
            _ = resets.changed() => {}
        }
        self.connections.borrow_mut().remove(&number);
    }

    /// Counts an answer that may be duplicated; returns whether it is.
    fn is_next_duplicated(&self) -> bool {
        let every = self.faults.get().duplicate_every;
        if every == 0 {
            return false;
        }
        self.duplicable_count.set(self.duplicable_count.get() + 1);
        self.duplicable_count.get().is_multiple_of(every)
    }

    /// Forwards the bytes of one direction. `on_bytes` returns bytes to be sent before them.
    async fn forward(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        on_bytes: impl Fn(&[u8]) -> Option<Vec<u8>>,
        is_dropped: impl Fn(Faults) -> bool,
    ) {
        let mut buffer = vec![0; 16_384];
        loop {
            let Ok(count) = from.read(&mut buffer).await else {
                return;
            };
            let faults = self.faults.get();
            if !faults.delay.is_zero() {
                sleep(faults.delay).await;
            }
            if is_dropped(faults) {
                if count == 0 {
                    return std::future::pending().await;
                }
                continue;
            }
            if count == 0 {
                let _ = to.shutdown().await;
                return;
            }
            // Also if the receiver has closed the connection meanwhile.
            if let Some(copy) = on_bytes(&buffer[..count])
                && to.write_all(&copy).await.is_err()
            {
                return;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// Listens at an address so that connections to it are neither accepted nor refused: the operating system
/// ignores those beyond a full queue. Ends only if the address cannot be bound.
async fn ignore_connections(address: SocketAddr) {
    let Some(_listener) = TcpSocket::new_v4().ok().and_then(|socket| {
        socket.set_reuseaddr(true).ok()?;
        socket.bind(address).ok()?;
        socket.listen(0).ok()
    }) else {
        return;
    };
    let fill_queue = futures_util::future::join_all((0..2).map(|_| async move {
        let _connection = TcpStream::connect(address).await;
        std::future::pending::<()>().await;
    }));
    fill_queue.await;
}
