//! The endpoint list: the platform's entries, and the load and health of each endpoint as this
//! instance observes them.
//!
//! [`Endpoints::start`] watches the list. The proxy chooses an endpoint with [`Endpoints::choose`]
//! and reports each attempt with [`Endpoints::record_start`] and [`Endpoints::record_end`].

mod listing;
mod load_report;

use super::{
    list_watch::{MAX_WAIT_FOR_REQUESTS, Origin, WatchOptions, list_and_watch_with_origin},
    metrics::Metrics,
    store::Store,
    tree::{Feed, FeedEvent, Topic},
};
use crate::{
    objects::Purpose,
    restart::spawn_restarted,
    settings::{self, Instance},
    state::Clock,
    upstream::{ejected::probe_ejected, pool::Pool},
};
use compact_str::CompactString;
use log::Level;
use pinereel_core::{
    crash::EndpointStart,
    endpoint::{AttemptEnd, ChangeKind, Event, Key, ServiceIndex, Set, State},
    hash,
    overload::{self, Demand, Rejection},
    route::{self, Policy, Priority, Reason, Refusal, Request},
};
use pinereel_port::{Adapter, endpoint::Entry};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, broadcast::error::RecvError, watch},
    time::Instant,
};

/// Delay before changes of the list are read, as a fraction of the time after which a leaving
/// endpoint must get no request. With the delay, several changes cost one call: with many engines,
/// their versions change all the time. The rest of the time is for the latency of the watch and for
/// requests in flight.
const BATCH_DELAY_FRACTION: f64 = 0.45;
/// The same delay at an instance that runs lots or sends orders to engines.
const PROMPT_BATCH_DELAY: Duration = Duration::from_millis(80);
/// The full policy without adaptive limits: endpoints refuse requests themselves when they are
/// full.
const ROUTING_POLICY: Policy = Policy {
    adaptive_limits: false,
    ..Policy::FULL
};

/// Dependencies of [`Endpoints`].
pub struct Dependencies {
    /// Translates between the platform's protocol and the types of this process.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// List changes that another instance forwards.
    pub feed: Rc<Feed>,
    /// Connection pool for endpoints.
    pub pool: Rc<Pool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Clock for the load and health figures.
    pub clock: Clock,
}

/// The endpoint list, and the load and health of each endpoint.
pub struct Endpoints {
    deps: Dependencies,
    zone: CompactString,
    /// Hash of the instance's name, used as routing prefix: an instance prefers the same endpoints,
    /// to which it has idle connections.
    affinity: u64,
    entries: RefCell<BTreeMap<CompactString, ListedEntry>>,
    /// Entries that are not leaving, by service.
    index: RefCell<ServiceIndex>,
    /// Revision of the last rejected entry by id, so that each is logged once.
    rejected: RefCell<BTreeMap<CompactString, u64>>,
    /// Endpoints whose invalid slowdowns were logged.
    malformed_slowdowns: load_report::MalformedSlowdowns,
    /// Load and health of the listed endpoints.
    set: RefCell<Set>,
    /// When the list was last updated here.
    updated_at: RefCell<Option<Instant>>,
    /// Revision of the engines that this instance has read from the store itself; 0 once they were removed.
    engines_revision: Cell<u64>,
    /// Notified when an endpoint is ejected.
    ejected: Notify,
    change_count: watch::Sender<u64>,
}

/// The endpoints that a list or its changes cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// All endpoints.
    All,
    /// Only engines: endpoints that serve models.
    Engines,
    /// All except engines.
    Others,
}

impl Scope {
    fn contains(self, entry: &Entry) -> bool {
        match self {
            Self::All => true,
            Self::Engines => !entry.models.is_empty(),
            Self::Others => entry.models.is_empty(),
        }
    }
}

/// An entry of the list.
struct ListedEntry {
    entry: Entry,
    /// Set while the entry is missing from the list but may reappear.
    missing_since: Option<Instant>,
}

/// An endpoint selected for an attempt.
#[derive(Clone, Debug)]
pub struct SelectedEndpoint {
    /// Key in the set of endpoints.
    pub key: Key,
    /// Id in the list.
    pub id: CompactString,
    /// The start (incarnation) of the endpoint.
    pub start: EndpointStart,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Why it was selected.
    pub reason: route::Reason,
}

impl Endpoints {
    /// Starts to watch the list. `needs_prompt_updates` returns whether this instance has duties
    /// that depend on recent changes; then changes are read after a shorter delay.
    pub fn start(
        deps: Dependencies,
        instance: &Instance,
        settings: &settings::Store,
        needs_prompt_updates: impl Fn() -> bool + 'static,
    ) -> Rc<Self> {
        let (max_wait, batch_delay) = (
            settings.watch,
            settings.leave_after.mul_f64(BATCH_DELAY_FRACTION),
        );
        let (adapter, store) = (deps.adapter, deps.store.clone());
        let endpoints = Rc::new(Self {
            deps,
            zone: instance.zone.clone(),
            affinity: hash::stable(instance.name.as_bytes()),
            entries: RefCell::default(),
            index: RefCell::default(),
            rejected: RefCell::default(),
            malformed_slowdowns: load_report::MalformedSlowdowns::default(),
            set: RefCell::default(),
            updated_at: RefCell::default(),
            engines_revision: Cell::default(),
            ejected: Notify::new(),
            change_count: watch::channel(0).0,
        });
        let state = Rc::clone(&endpoints);
        spawn_restarted("endpoint list", async move || {
            let feed_events = Some(state.deps.feed.subscribe(Topic::Endpoints));
            // This subscriber lacks what was published before.
            state.deps.feed.request_snapshot(Topic::Endpoints);
            let kind = adapter.object_kinds.endpoints;
            let options = || WatchOptions {
                max_wait: max_wait.min(MAX_WAIT_FOR_REQUESTS),
                batch_delay: if needs_prompt_updates() {
                    PROMPT_BATCH_DELAY
                } else {
                    batch_delay
                },
            };
            let apply = |update, revision, origin| {
                if origin == Origin::Store {
                    state.engines_revision.set(revision);
                }
                match update {
                    Some(update) => state.apply_update(update, Self::scope(origin)),
                    None => state.narrow_to(Self::scope(origin)),
                }
            };
            list_and_watch_with_origin(
                &store,
                Purpose::Instances,
                kind,
                options,
                feed_events,
                apply,
            )
            .await;
        });
        let state = Rc::clone(&endpoints);
        spawn_restarted("engine list", async move || {
            Rc::clone(&state).follow_engines().await;
        });
        let state = Rc::clone(&endpoints);
        spawn_restarted("endpoint probes", async move || state.probe_ejected().await);
        endpoints
    }

    /// Follows the changes of engines, too, from now on. Called by the modules that send requests to
    /// engines.
    pub fn subscribe_engines(&self) {
        self.deps.feed.subscribe_to_engines();
    }

    /// The endpoints that a list of this origin covers; the list leaves all others unchanged.
    const fn scope(origin: Origin) -> Scope {
        match origin {
            Origin::Tree => Scope::Others,
            Origin::Store => Scope::All,
        }
    }

    /// Probes ejected endpoints when that is due. Never ends.
    async fn probe_ejected(&self) {
        let Dependencies {
            clock,
            pool,
            metrics,
            ..
        } = &self.deps;
        let reaches = async |address: CompactString| {
            let reached = match address.parse() {
                Ok(address) => pool.reaches(address).await,
                Err(_) => false,
            };
            let outcome = if reached { "reached" } else { "unreachable" };
            metrics.count(&metrics.endpoint_probes, &[outcome]);
            reached
        };
        let apply = |event| self.apply_event(event);
        probe_ejected(&self.set, &self.ejected, || clock.now(), reaches, apply).await;
    }

    /// Applies the changes of engines that another instance forwards, once this instance has
    /// subscribed to them.
    async fn follow_engines(self: Rc<Self>) {
        let feed = &self.deps.feed;
        let mut updates = feed.subscribe(Topic::Engines);
        // This subscriber lacks what was published before.
        feed.request_snapshot(Topic::Engines);
        loop {
            match updates.recv().await {
                // The tree may lag behind what was read from the store.
                Ok(FeedEvent::Update(_, revision)) if revision < self.engines_revision.get() => {}
                Ok(FeedEvent::Update(update, _)) => {
                    self.apply_update((*update).clone(), Scope::Engines);
                }
                // Without forwarded changes the whole list is read from the store.
                Ok(FeedEvent::Lost | FeedEvent::ExpectedBy(_) | FeedEvent::Rank(_)) => {}
                Err(RecvError::Lagged(_)) => feed.request_snapshot(Topic::Engines),
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// Whether the list has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.updated_at.borrow().is_some()
    }

    /// Time since the list was last updated here; none before the first update.
    pub fn age(&self) -> Option<Duration> {
        self.updated_at.borrow().map(|at| at.elapsed())
    }

    /// Notifies of each update of the list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Number of updates of the list so far.
    pub fn change_count(&self) -> u64 {
        *self.change_count.borrow()
    }

    /// Entries of a service's endpoints, including leaving ones.
    pub fn of_service(&self, service: &str) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let of_service = entries.values().filter(|l| l.entry.service == service);
        of_service.map(|listed| listed.entry.clone()).collect()
    }

    /// Entry of the endpoint with this id.
    pub fn entry(&self, id: &str) -> Option<Entry> {
        let entries = self.entries.borrow();
        entries.get(id).map(|listed| listed.entry.clone())
    }

    /// Number of a service's endpoints that are not leaving.
    pub fn available_count(&self, service: &str) -> usize {
        self.index.borrow().count(service)
    }

    /// Total slots of a service's endpoints that are not leaving.
    pub fn available_slots(&self, service: &str) -> u64 {
        self.index.borrow().slots(service)
    }

    /// The first `count` endpoints of a service that are not leaving, in a ranking that is the same
    /// at all instances, together with those of `others` that are listed. `read` maps each entry.
    pub fn ranked<T>(
        &self,
        service: &str,
        count: usize,
        others: impl IntoIterator<Item = CompactString>,
        read: impl Fn(&Entry) -> T,
    ) -> Vec<T> {
        let (entries, index) = (self.entries.borrow(), self.index.borrow());
        let mut ids: BTreeSet<&CompactString> = index.ranked(service).take(count).collect();
        let others: Vec<CompactString> = others.into_iter().collect();
        ids.extend(&others);
        let listed = ids.into_iter().filter_map(|id| entries.get(id));
        listed.map(|listed| read(&listed.entry)).collect()
    }

    /// Chooses an endpoint of `service` for a live request.
    ///
    /// # Errors
    /// Why no endpoint may get it.
    pub fn choose(
        &self,
        service: &str,
        excluded: &[Key],
        repeatable: bool,
        seed: u64,
    ) -> Result<SelectedEndpoint, Refusal> {
        let request = Request {
            pool: service,
            prefix: Some(self.affinity),
            priority: Priority::Live,
            zone: &self.zone,
            versions: None,
            excluded,
            repeatable,
            seed,
        };
        let set = self.set.borrow();
        let choice = route::choose(&set, &request, self.deps.clock.now(), &ROUTING_POLICY)?;
        self.selected(&set, choice.key, choice.reason)
            .ok_or(Refusal::NoEndpoint)
    }

    /// Returns the rejection of a live request that cannot be answered in time according to the load
    /// reports of the service's endpoints.
    pub fn check_overload(&self, service: &str, demand: Demand) -> Option<Rejection> {
        overload::check(&self.set.borrow(), service, self.deps.clock.now(), demand)
    }

    /// Expected time until an endpoint of the service has a free slot; `None` if that is unknown.
    pub fn retry_after(&self, service: &str) -> Option<Duration> {
        overload::retry_after(&self.set.borrow(), service, self.deps.clock.now())
    }

    /// The endpoints of a service that may get a suspected request, regardless of their load.
    pub fn open_endpoints(&self, service: &str) -> Vec<(Key, EndpointStart)> {
        let set = self.set.borrow();
        let listed = set
            .pool(service)
            .filter(|(_, endpoint)| matches!(endpoint.state, State::Live | State::Ejected { .. }));
        let starts = listed.map(|(key, endpoint)| (key, EndpointStart::from(endpoint)));
        starts.filter(|(_, start)| self.is_current(start)).collect()
    }

    /// Selects this endpoint for a suspected request; none if it is no longer listed.
    pub fn select(&self, key: Key) -> Option<SelectedEndpoint> {
        self.selected(&self.set.borrow(), key, Reason::InDoubt)
    }

    /// Whether this start of an endpoint is the listed one and is not leaving.
    pub fn is_current(&self, start: &EndpointStart) -> bool {
        let entries = self.entries.borrow();
        entries.get(&start.endpoint).is_some_and(|listed| {
            let entry = &listed.entry;
            let is_same_start = entry.incarnation == start.incarnation;
            is_same_start && !entry.draining && listed.missing_since.is_none()
        })
    }

    fn selected(&self, set: &Set, key: Key, reason: Reason) -> Option<SelectedEndpoint> {
        let endpoint = set.get(key)?;
        let entries = self.entries.borrow();
        Some(SelectedEndpoint {
            key,
            id: endpoint.name.clone(),
            start: endpoint.into(),
            address: entries.get(&endpoint.name)?.entry.address,
            reason,
        })
    }

    /// Records that an attempt starts at the endpoint.
    pub fn record_start(&self, key: Key) {
        self.apply_event(Event::Started { key, tokens: 0 });
    }

    /// Records that an attempt ended at the endpoint.
    pub fn record_end(&self, key: Key, took: Duration, end: AttemptEnd) {
        self.apply_event(Event::Finished {
            key,
            tokens: 0,
            took,
            end,
        });
    }

    fn apply_event(&self, event: Event) {
        self.apply_event_at(Level::Info, event);
    }

    /// Applies an event to the set and logs the resulting changes at `level`.
    fn apply_event_at(&self, level: Level, event: Event) {
        let now = self.deps.clock.now();
        let changes = self.set.borrow_mut().step(now, event);
        for change in changes {
            if matches!(change.kind, ChangeKind::Ejected { .. }) {
                self.ejected.notify_one();
            }
            let endpoint = change.name.as_str();
            log::log!(level, endpoint, what:serde = change.kind; "endpoint changed");
        }
    }

    /// Marks the list as updated now and wakes those that wait for [`Endpoints::changes`].
    fn notify_changed(&self) {
        self.updated_at.replace(Some(Instant::now()));
        self.change_count.send_modify(|changes| *changes += 1);
    }
}
