//! A loopback proxy whose connections can be delayed, cut one way, silenced and reset.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep},
};

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Holds every part for so long.
    pub delay: Duration,
    /// Drops what clients send; connections stay open.
    pub drop_requests: bool,
    /// Drops what servers send; connections stay open.
    pub drop_answers: bool,
    /// Refuses new connections by closing them at once.
    pub refuse_connections: bool,
}

impl Faults {
    /// Nothing passes, and nobody is told.
    pub const DROP_ALL: Self = Self {
        delay: Duration::ZERO,
        drop_requests: true,
        drop_answers: true,
        refuse_connections: false,
    };
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    faults: Rc<Cell<Faults>>,
    /// Grows when all open connections are to be reset.
    resets: Rc<watch::Sender<u64>>,
    target: SocketAddr,
    /// When the server ended a connection whose request it had been given and not answered.
    cuts: Rc<RefCell<Vec<Instant>>>,
}

impl Proxy {
    /// A proxy to `target`, on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            faults: Rc::default(),
            resets: Rc::new(watch::channel(0).0),
            target,
            cuts: Rc::default(),
        };
        let state = proxy.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if state.faults.get().refuse_connections {
                    continue;
                }
                let state = state.clone();
                actix_rt::spawn(async move { state.carry(client).await });
            }
        });
        Ok(proxy)
    }

    /// Applies a fault to all connections, open ones too.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// The fault in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// When the server ended connections without an answer to what it had been given.
    pub fn cuts(&self) -> Vec<Instant> {
        self.cuts.borrow().clone()
    }

    async fn carry(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let mut resets = self.resets.subscribe();
        // Small parts must not wait for more.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        let (asked, answered) = (Cell::new(0), Cell::new(0));
        let requests = self.pump(from_client, to_server, &asked, |faults| faults.drop_requests);
        let answers = self.pump(from_server, to_client, &answered, |faults| {
            faults.drop_answers
        });
        tokio::select! {
            // An end of the answers ends the connection; a client that closes its side is passed on.
            () = answers => {
                if asked.get() > 0 && answered.get() == 0 {
                    self.cuts.borrow_mut().push(Instant::now());
                }
            }
            () = async {
                requests.await;
                std::future::pending::<()>().await;
            } => {}
            _ = resets.changed() => {}
        }
    }

    async fn pump(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        passed: &Cell<usize>,
        mute: impl Fn(Faults) -> bool,
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
            if mute(faults) {
                if count == 0 {
                    return std::future::pending().await;
                }
                continue;
            }
            if count == 0 {
                let _ = to.shutdown().await;
                return;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            passed.set(passed.get() + count);
        }
    }
}
