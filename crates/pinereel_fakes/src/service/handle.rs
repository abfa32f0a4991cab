//! State of a running fake service, and the handle with which tests and the demo
//! control it.

use super::{Execution, Faults, serve};
use pinereel::http::{Options as ServerOptions, Server};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tokio::{net::TcpListener, time::Instant};

/// Options of the fake service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on the loopback address; with 0 the system chooses one.
    pub port: u16,
    /// Incarnation in the `x-incarnation` header of each response.
    pub incarnation: u64,
    /// Maximum number of executions that are kept.
    pub max_executions: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            incarnation: 1,
            max_executions: 100_000,
        }
    }
}

/// State shared by the request handlers, all on one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) started_at: Instant,
    /// The newest executions, oldest first.
    pub(super) executions: RefCell<VecDeque<Execution>>,
    /// Number of orders and quotes so far; the id of the last one.
    pub(super) order_count: Cell<u64>,
    /// Faults without those that count requests.
    pub(super) faults: Cell<Faults>,
    /// Number of next requests whose connection is closed after the execution.
    pub(super) drop_after_run: Cell<u32>,
    /// Number of next requests whose connection is closed before the execution.
    pub(super) drop_before_run: Cell<u32>,
}

impl State {
    /// Sets the faults of the fields that are present.
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

/// Starts the fake service.
#[derive(Clone, Copy, Debug)]
pub struct Service;

impl Service {
    /// Starts a fake service on the loopback address, on the current thread.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State {
            options,
            started_at: Instant::now(),
            executions: RefCell::default(),
            order_count: Cell::default(),
            faults: Cell::default(),
            drop_after_run: Cell::default(),
            drop_before_run: Cell::default(),
        });
        let shared = Rc::clone(&state);
        let server = Server::start(listener, ServerOptions::default(), move |request| {
            serve::handle_request(Rc::clone(&shared), request)
        })
        .await?;
        Ok(Handle {
            address: server.address,
            server,
            state,
        })
    }
}

/// Handle of a running service. Dropping it does not stop the service; [`Handle::stop`] does.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Local address of the listening socket.
    pub address: SocketAddr,
    server: Server,
    state: Rc<State>,
}

impl Handle {
    /// Sets the faults of the fields that are present.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// The newest executions, oldest first.
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.borrow().iter().cloned().collect()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}
