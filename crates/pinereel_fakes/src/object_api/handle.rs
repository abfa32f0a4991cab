//! State of a running fake object API, and the handle with which tests and the demo
//! control it.

use super::{Condition, Options, Refusal, Store, TokenBucket, WriteRecord, serve};
use compact_str::CompactString;
use pinereel::http::{Options as ServerOptions, Server};
use pinereel_api::object::{Change, Faults, INSTANCES, Instance, List, Stats};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, time::Instant};

/// State shared by the request handlers, all on one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) started_at: Instant,
    pub(super) store: RefCell<Store>,
    pub(super) records: RefCell<VecDeque<WriteRecord>>,
    pub(super) stats: RefCell<Stats>,
    /// Rate limit of reads and watches.
    pub(super) reads: TokenBucket,
    /// Rate limit of writes.
    pub(super) writes: TokenBucket,
    /// Wakes the pending watches after a change of the objects or of the faults.
    pub(super) watch_wake: watch::Sender<()>,
    /// Changes of instances that the list does not show yet, oldest first. `None` is a removal.
    unlisted_instances: RefCell<VecDeque<(CompactString, Option<Instance>)>>,
    pub(super) outage_until: Cell<Instant>,
    pub(super) response_delay: Cell<Duration>,
    /// Number of next writes that are applied but not answered.
    pub(super) writes_to_lose: Cell<u32>,
    pub(super) lose_kind: RefCell<Option<CompactString>>,
    /// Number of times that a fault ended all watches.
    pub(super) watch_ends: Cell<u64>,
    /// Value of `watch_ends` at the last watch of each kind. A watch that finds a lower value is
    /// answered with 410.
    pub(super) watch_ends_seen: RefCell<BTreeMap<CompactString, u64>>,
    pub(super) cut_agents: RefCell<Vec<CompactString>>,
}

impl State {
    fn new(options: Options) -> Self {
        let now = Instant::now();
        Self {
            options,
            started_at: now,
            store: RefCell::new(Store::new(options.max_watch_changes)),
            records: RefCell::default(),
            stats: RefCell::default(),
            reads: TokenBucket::new(options.reads_per_second),
            writes: TokenBucket::new(options.writes_per_second),
            watch_wake: watch::Sender::new(()),
            unlisted_instances: RefCell::default(),
            outage_until: Cell::new(now),
            response_delay: Cell::default(),
            writes_to_lose: Cell::default(),
            lose_kind: RefCell::default(),
            watch_ends: Cell::default(),
            watch_ends_seen: RefCell::default(),
            cut_agents: RefCell::default(),
        }
    }

    /// Whether an injected outage is in progress.
    pub(super) fn has_outage(&self) -> bool {
        Instant::now() < self.outage_until.get()
    }

    /// Sets the faults of the fields that are present, and wakes the pending watches.
    pub(super) fn set_faults(&self, faults: Faults) {
        if let Some(millis) = faults.outage_ms {
            self.outage_until
                .set(Instant::now() + Duration::from_millis(millis));
        }
        if let Some(millis) = faults.delay_ms {
            self.response_delay.set(Duration::from_millis(millis));
        }
        if let Some(writes) = faults.lose_write_answers {
            self.writes_to_lose.set(writes);
            // The kind is set together with the count: a count without a kind applies to all kinds.
            self.lose_kind.replace(faults.lose_kind);
        }
        if faults.end_watches == Some(true) {
            self.watch_ends.set(self.watch_ends.get() + 1);
        }
        if let Some(agents) = faults.cut_agents {
            self.cut_agents.replace(agents);
        }
        self.watch_wake.send_replace(());
    }

    /// Writes an object if `condition` is met, and records the write; a value of `None` deletes it.
    pub(super) fn write(
        &self,
        kind: &str,
        name: &str,
        value: Option<serde_json::Value>,
        condition: Condition,
        agent: &str,
    ) -> Result<Change, Refusal> {
        let change = self
            .store
            .borrow_mut()
            .write(kind, name, value, condition)?;
        self.record_write(kind, change.clone(), agent);
        Ok(change)
    }

    fn record_write(&self, kind: &str, change: Change, agent: &str) {
        let mut records = self.records.borrow_mut();
        records.push_back(WriteRecord {
            kind: kind.into(),
            change,
            at_ms: self.started_at.elapsed().as_millis() as u64,
            agent: agent.into(),
        });
        while records.len() > self.options.max_records {
            records.pop_front();
        }
        self.watch_wake.send_replace(());
    }

    /// Changes an instance, or removes it with `None`. The list shows the change after the lag.
    pub(super) fn set_instance(self: &Rc<Self>, name: &str, instance: Option<Instance>) {
        self.unlisted_instances
            .borrow_mut()
            .push_back((name.into(), instance));
        let state = Rc::clone(self);
        let due = Instant::now() + self.options.lag;
        actix_rt::spawn(async move {
            tokio::time::sleep_until(due).await;
            // All changes have the same lag, so the oldest one is due, whichever task runs first.
            state.list_oldest_change();
        });
    }

    /// Applies the oldest change that the list does not show yet; returns false if there is none.
    fn list_oldest_change(&self) -> bool {
        let Some((name, instance)) = self.unlisted_instances.borrow_mut().pop_front() else {
            return false;
        };
        let value = instance
            .map(|i| serde_json::to_value(i).expect("an instance can be serialized as JSON"));
        let change = self.store.borrow_mut().apply(INSTANCES, &name, value);
        self.record_write(INSTANCES, change, "platform");
        true
    }

    /// Accepted writes of `kind`, or of all kinds, oldest first.
    pub(super) fn history(&self, kind: Option<&str>) -> Vec<WriteRecord> {
        let records = self.records.borrow();
        let matching = records.iter().filter(|r| kind.is_none_or(|k| r.kind == k));
        matching.cloned().collect()
    }
}

/// Starts the fake API.
#[derive(Clone, Copy, Debug)]
pub struct Api;

impl Api {
    /// Starts a fake API on the loopback address, on the current thread.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State::new(options));
        let shared = Rc::clone(&state);
        let server_options = ServerOptions {
            // A watch must not count as pending once its client has disconnected.
            allow_half_closed: false,
            ..ServerOptions::default()
        };
        let server = Server::start(listener, server_options, move |request| {
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

/// Handle of a running fake API. Dropping it does not stop the API; [`Handle::stop`] does.
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

    /// Calls since the start.
    pub fn stats(&self) -> Stats {
        self.state.stats.borrow().clone()
    }

    /// Adds or changes an instance. The list shows the change after the lag.
    pub fn put_instance(&self, name: &str, instance: Instance) {
        self.state.set_instance(name, Some(instance));
    }

    /// Removes an instance. The list shows the change after the lag.
    pub fn remove_instance(&self, name: &str) {
        self.state.set_instance(name, None);
    }

    /// Shows all changes of instances in the list at once, without waiting for the lag.
    pub fn list_pending_instances(&self) {
        while self.state.list_oldest_change() {}
    }

    /// Current objects of a kind. Not a call of the API: neither rate-limited nor counted.
    pub fn objects(&self, kind: &str) -> List {
        self.state.store.borrow().list(kind, "")
    }

    /// Accepted writes of `kind`, or of all kinds, oldest first.
    pub fn history(&self, kind: Option<&str>) -> Vec<WriteRecord> {
        self.state.history(kind)
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}
