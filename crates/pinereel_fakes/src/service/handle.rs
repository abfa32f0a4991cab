//! The running service and the handle to it.

use super::{Execution, Faults, serve};
use pinereel::http::{Options as Listener, Server};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tokio::{net::TcpListener, time::Instant};

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on loopback; 0 lets the system choose.
    pub port: u16,
    /// Incarnation that it names on each answer.
    pub incarnation: u64,
    /// Executions kept, the newest.
    pub records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            incarnation: 1,
            records: 100_000,
        }
    }
}

/// State that the connections share on the one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) started: Instant,
    pub(super) executions: RefCell<VecDeque<Execution>>,
    /// Orders and quotes so far.
    pub(super) orders: Cell<u64>,
    pub(super) faults: Cell<Faults>,
    pub(super) drop_after_run: Cell<u32>,
    pub(super) drop_before_run: Cell<u32>,
}

impl State {
    /// Sets the faults that are present in `new`.
    pub(super) fn set_faults(&self, new: Faults) {
        let old = self.faults.get();
        self.faults.set(Faults {
            delay_ms: new.delay_ms.or(old.delay_ms),
            refuse: new.refuse.or(old.refuse),
            leaving: new.leaving.or(old.leaving),
            drop_after_run: None,
            drop_before_run: None,
            fail_status: new.fail_status.or(old.fail_status),
        });
        if let Some(requests) = new.drop_after_run {
            self.drop_after_run.set(requests);
        }
        if let Some(requests) = new.drop_before_run {
            self.drop_before_run.set(requests);
        }
    }
}

/// Starts the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Service;

impl Service {
    /// Starts on loopback, on the current thread's local tasks.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State {
            options,
            started: Instant::now(),
            executions: RefCell::default(),
            orders: Cell::default(),
            faults: Cell::default(),
            drop_after_run: Cell::default(),
            drop_before_run: Cell::default(),
        });
        let shared = Rc::clone(&state);
        let server = Server::start(listener, Listener::default(), move |request| {
            serve::answer(Rc::clone(&shared), request)
        })
        .await?;
        Ok(Handle {
            address: server.address,
            server,
            state,
        })
    }
}

/// A running service. Dropping the handle does not stop it; [`Handle::stop`] does.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    server: Server,
    state: Rc<State>,
}

impl Handle {
    /// Sets faults; absent fields leave a fault as it is.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// The kept executions, oldest first.
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.borrow().iter().cloned().collect()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}
