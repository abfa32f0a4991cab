//! The running stand-in and the handle to it.

use super::{Bucket, Condition, Options, Record, Refusal, Store, serve};
use compact_str::CompactString;
use pinereel::http::{Options as Listener, Server};
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

/// State that the connections share on the one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) started: Instant,
    pub(super) store: RefCell<Store>,
    pub(super) records: RefCell<VecDeque<Record>>,
    pub(super) stats: RefCell<Stats>,
    pub(super) reads: Bucket,
    pub(super) writes: Bucket,
    /// Bumped whenever a waiting watch must look again.
    pub(super) wake: watch::Sender<()>,
    /// Truths about instances that are not in the list yet, oldest first.
    pending: RefCell<VecDeque<(CompactString, Option<Instance>)>>,
    pub(super) outage_until: Cell<Instant>,
    pub(super) delay: Cell<Duration>,
    pub(super) lose: Cell<u32>,
    pub(super) lose_kind: RefCell<Option<CompactString>>,
    /// How often watches were ended on request.
    pub(super) ended: Cell<u64>,
    /// Up to which of these each kind has answered 410.
    pub(super) ended_seen: RefCell<BTreeMap<CompactString, u64>>,
    pub(super) cut: RefCell<Vec<CompactString>>,
}

impl State {
    fn new(options: Options) -> Self {
        let now = Instant::now();
        Self {
            options,
            started: now,
            store: RefCell::new(Store::new(options.history)),
            records: RefCell::default(),
            stats: RefCell::default(),
            reads: Bucket::new(options.reads_per_second),
            writes: Bucket::new(options.writes_per_second),
            wake: watch::Sender::new(()),
            pending: RefCell::default(),
            outage_until: Cell::new(now),
            delay: Cell::default(),
            lose: Cell::default(),
            lose_kind: RefCell::default(),
            ended: Cell::default(),
            ended_seen: RefCell::default(),
            cut: RefCell::default(),
        }
    }

    /// Whether an outage is on.
    pub(super) fn down(&self) -> bool {
        Instant::now() < self.outage_until.get()
    }

    /// Sets the faults that are present in `faults`.
    pub(super) fn set_faults(&self, faults: Faults) {
        if let Some(millis) = faults.outage_ms {
            self.outage_until
                .set(Instant::now() + Duration::from_millis(millis));
        }
        if let Some(millis) = faults.delay_ms {
            self.delay.set(Duration::from_millis(millis));
        }
        if let Some(writes) = faults.lose_write_answers {
            self.lose.set(writes);
            // Named together with the count: a count without a kind is of any kind.
            self.lose_kind.replace(faults.lose_kind);
        }
        if faults.end_watches == Some(true) {
            self.ended.set(self.ended.get() + 1);
        }
        if let Some(agents) = faults.cut_agents {
            self.cut.replace(agents);
        }
        self.wake.send_replace(());
    }

    /// Writes an object under a condition; a value of none deletes.
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
        self.record(kind, change.clone(), agent);
        Ok(change)
    }

    fn record(&self, kind: &str, change: Change, agent: &str) {
        let mut records = self.records.borrow_mut();
        records.push_back(Record {
            kind: kind.into(),
            change,
            at_ms: self.started.elapsed().as_millis() as u64,
            agent: agent.into(),
        });
        while records.len() > self.options.records {
            records.pop_front();
        }
        self.wake.send_replace(());
    }

    /// Takes what is now true of an instance; the list shows it after the lag.
    pub(super) fn set_instance(self: &Rc<Self>, name: &str, instance: Option<Instance>) {
        self.pending.borrow_mut().push_back((name.into(), instance));
        let state = Rc::clone(self);
        let due = Instant::now() + self.options.lag;
        actix_rt::spawn(async move {
            tokio::time::sleep_until(due).await;
            // The lag is the same for all, so the oldest is due whichever task wakes first.
            state.show_instance();
        });
    }

    /// Puts the oldest pending truth into the list; false if there is none.
    fn show_instance(&self) -> bool {
        let Some((name, instance)) = self.pending.borrow_mut().pop_front() else {
            return false;
        };
        let value = instance.map(|i| {
            serde_json::to_value(i).expect("an instance has only text, numbers and enums")
        });
        let change = self.store.borrow_mut().force(INSTANCES, &name, value);
        self.record(INSTANCES, change, "platform");
        true
    }

    /// The kept accepted writes of `kind`, or of all kinds.
    pub(super) fn history(&self, kind: Option<&str>) -> Vec<Record> {
        let records = self.records.borrow();
        let chosen = records.iter().filter(|r| kind.is_none_or(|k| r.kind == k));
        chosen.cloned().collect()
    }
}

/// Starts the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Api;

impl Api {
    /// Starts on loopback, on the current thread's local tasks.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(options: Options) -> io::Result<Handle> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, options.port)).await?;
        let state = Rc::new(State::new(options));
        let shared = Rc::clone(&state);
        let bounds = Listener {
            // A watch must not count as waiting once its client is gone.
            allow_half_closed: false,
            ..Listener::default()
        };
        let server = Server::start(listener, bounds, move |request| {
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

/// A running stand-in. Dropping the handle does not stop it; [`Handle::stop`] does.
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

    /// Calls answered so far.
    pub fn stats(&self) -> Stats {
        self.state.stats.borrow().clone()
    }

    /// Says what is now true of an instance; the list shows it after the lag.
    pub fn put_instance(&self, name: &str, instance: Instance) {
        self.state.set_instance(name, Some(instance));
    }

    /// Says that an instance is gone; the list shows it after the lag.
    pub fn remove_instance(&self, name: &str) {
        self.state.set_instance(name, None);
    }

    /// Shows every pending truth in the list of instances now, without waiting for the lag.
    pub fn settle_instances(&self) {
        while self.state.show_instance() {}
    }

    /// The objects of a kind as they stand; no call, neither limited nor counted.
    pub fn objects(&self, kind: &str) -> List {
        self.state.store.borrow().list(kind, "")
    }

    /// The kept accepted writes of `kind`, or of all kinds, oldest first.
    pub fn history(&self, kind: Option<&str>) -> Vec<Record> {
        self.state.history(kind)
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.close();
    }
}
