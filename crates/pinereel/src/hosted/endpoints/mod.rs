//! The endpoints, as the platform lists them and as this instance has found them.

mod listing;

use super::{
    bulletin::{Fed, Feed, Topic},
    follow::{Manner, Origin, follow_from},
    metrics::Metrics,
    store::Store,
};
use crate::{
    objects::Purpose,
    settings::{self, Instance},
    state::Clock,
    upstream::pool::Pool,
};
use compact_str::CompactString;
use log::Level;
use pinereel_core::{
    crash::EndpointStart,
    endpoint::{self, AttemptEnd, Event, Key, ServiceIndex, Set, State},
    hash,
    route::{self, Policy, Priority, Reason, Refusal, Request},
};
use pinereel_port::{Adapter, endpoint::Entry, live::Load};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{broadcast::error::RecvError, watch},
    time::Instant,
};

/// Pause after changes of the list, so that those that come together cost one call: with many
/// engines their versions change all the time. A part of the time after which an endpoint that
/// leaves must get no request; the rest is for the watch's own way and for requests under way.
const BATCH_DELAY_FRACTION: f64 = 0.45;
/// The same at an instance that runs lots or gives orders.
const PROMPT_BATCH_DELAY: Duration = Duration::from_millis(80);
/// Endpoints say themselves when they are full, so that no limit of this instance's own refuses.
const ROUTING_POLICY: Policy = Policy {
    adaptive_limits: false,
    ..Policy::FULL
};

/// What the endpoint list is kept with.
pub struct Parts {
    /// Translates.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// What the bulletin tells.
    pub feed: Rc<Feed>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Figures.
    pub metrics: Metrics,
    /// The clock.
    pub clock: Clock,
}

/// The endpoint list and the view of live requests.
pub struct Endpoints {
    parts: Parts,
    zone: CompactString,
    /// Requests of one instance prefer the same endpoints, whose connections lie idle.
    affinity: u64,
    entries: RefCell<BTreeMap<CompactString, ListedEntry>>,
    /// Those of the entries that take work.
    index: RefCell<ServiceIndex>,
    /// Revision at which an entry was refused last, by id: each is told of once.
    rejected: RefCell<BTreeMap<CompactString, u64>>,
    set: RefCell<Set>,
    /// When the list last changed here.
    updated_at: RefCell<Option<Instant>>,
    change_count: watch::Sender<u64>,
}

/// The endpoints that a list speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// All.
    All,
    /// Engines alone.
    Engines,
    /// All but engines.
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

struct ListedEntry {
    entry: Entry,
    /// Removed from the list at this moment, and maybe back soon.
    missing_since: Option<Instant>,
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct SelectedEndpoint {
    /// Its key in the view.
    pub key: Key,
    /// Its id.
    pub id: CompactString,
    /// Which start of it.
    pub start: EndpointStart,
    /// Where it serves.
    pub address: SocketAddr,
    /// Why this one.
    pub reason: route::Reason,
}

impl Endpoints {
    /// Follows the list in the store from now on; `hurried` tells whether this instance has duties
    /// that need every change at once.
    pub fn start(
        parts: Parts,
        instance: &Instance,
        settings: &settings::Store,
        needs_prompt_updates: impl Fn() -> bool + 'static,
    ) -> Rc<Self> {
        let (wait, gather) = (
            settings.watch,
            settings.leave_after.mul_f64(BATCH_DELAY_FRACTION),
        );
        let (adapter, store) = (parts.adapter, parts.store.clone());
        let fed = Some(parts.feed.hear(Topic::Endpoints));
        let endpoints = Rc::new(Self {
            parts,
            zone: instance.zone.clone(),
            affinity: hash::stable(instance.name.as_bytes()),
            entries: RefCell::default(),
            index: RefCell::default(),
            rejected: RefCell::default(),
            set: RefCell::default(),
            updated_at: RefCell::default(),
            change_count: watch::channel(0).0,
        });
        let state = Rc::clone(&endpoints);
        actix_rt::spawn(async move {
            let kind = adapter.places.endpoints;
            let manner = || Manner {
                wait,
                gather: if needs_prompt_updates() {
                    PROMPT_BATCH_DELAY
                } else {
                    gather
                },
            };
            let apply = move |update, _, origin| state.apply_update(update, Self::scope(origin));
            follow_from(&store, Purpose::Instances, kind, manner, fed, apply).await;
        });
        let state = Rc::clone(&endpoints);
        actix_rt::spawn(async move { state.follow_engines().await });
        endpoints
    }

    /// This instance has to do with engines from now on.
    pub fn subscribe_engines(&self) {
        self.parts.feed.subscribe_engines();
    }

    /// What a list of that origin speaks of; it says nothing of the rest.
    const fn scope(origin: Origin) -> Scope {
        match origin {
            Origin::Bulletin => Scope::Others,
            Origin::Store => Scope::All,
        }
    }

    /// Hears of engines from the bulletin, once this instance has to do with them.
    async fn follow_engines(self: Rc<Self>) {
        let feed = &self.parts.feed;
        let mut updates = feed.hear(Topic::Engines);
        loop {
            match updates.recv().await {
                Ok(Fed::Told(update, _)) => self.apply_update((*update).clone(), Scope::Engines),
                // While nothing is told the whole list is read.
                Ok(Fed::Lost | Fed::Expected(_) | Fed::Place(_)) => {}
                Err(RecvError::Lagged(_)) => feed.miss(Topic::Engines),
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// Whether a list was read.
    pub fn is_loaded(&self) -> bool {
        self.updated_at.borrow().is_some()
    }

    /// Time since the list last changed here.
    pub fn age(&self) -> Option<Duration> {
        self.updated_at.borrow().map(|at| at.elapsed())
    }

    /// Tells each change of the list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Number of the last change of the list.
    pub fn change_count(&self) -> u64 {
        *self.change_count.borrow()
    }

    /// The listed endpoints of a service.
    pub fn of_service(&self, service: &str) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let of_service = entries.values().filter(|l| l.entry.service == service);
        of_service.map(|listed| listed.entry.clone()).collect()
    }

    /// The entry of an endpoint.
    pub fn entry(&self, id: &str) -> Option<Entry> {
        let entries = self.entries.borrow();
        entries.get(id).map(|listed| listed.entry.clone())
    }

    /// Number of endpoints of a service that take work.
    pub fn available_count(&self, service: &str) -> usize {
        self.index.borrow().count(service)
    }

    /// Slots of the endpoints of a service that take work.
    pub fn available_slots(&self, service: &str) -> u64 {
        self.index.borrow().slots(service)
    }

    /// The first `count` endpoints of a service that take work, in an order that all instances share, and those of
    /// `others` that are not among them; each as `read` sees it.
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
    /// Why none may get it.
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
        let choice = route::choose(&set, &request, self.parts.clock.now(), &ROUTING_POLICY)?;
        self.selected(&set, choice.key, choice.reason)
            .ok_or(Refusal::NoEndpoint)
    }

    /// The endpoints of a service that may be chosen for a request in doubt, however busy.
    pub fn open(&self, service: &str) -> Vec<(Key, EndpointStart)> {
        let set = self.set.borrow();
        let listed = set
            .pool(service)
            .filter(|(_, endpoint)| matches!(endpoint.state, State::Live | State::Ejected { .. }));
        let starts = listed.map(|(key, endpoint)| (key, EndpointStart::from(endpoint)));
        starts.filter(|(_, start)| self.is_current(start)).collect()
    }

    /// That endpoint, for a request in doubt.
    pub fn select(&self, key: Key) -> Option<SelectedEndpoint> {
        self.selected(&self.set.borrow(), key, Reason::InDoubt)
    }

    /// Whether a start of an endpoint is listed, and not leaving.
    pub fn is_current(&self, start: &EndpointStart) -> bool {
        let entries = self.entries.borrow();
        entries.get(&start.endpoint).is_some_and(|listed| {
            let entry = &listed.entry;
            let same = entry.incarnation == start.incarnation;
            same && !entry.leaving && listed.missing_since.is_none()
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

    /// An attempt begins there.
    pub fn record_start(&self, key: Key) {
        self.apply_event(Event::Started { key, tokens: 0 });
    }

    /// An attempt ended there.
    pub fn record_end(&self, key: Key, took: Duration, end: AttemptEnd) {
        self.apply_event(Event::Finished {
            key,
            tokens: 0,
            took,
            end,
        });
    }

    /// An answer told the endpoint's load.
    pub fn record_load(&self, key: Key, load: Load) {
        let report = endpoint::LoadReport {
            at: self.parts.clock.now(),
            running: load.running,
            waiting: load.waiting,
            version: None,
            loading: None,
            leaving: false,
        };
        let incarnation = self.set.borrow().get(key).map(|e| e.incarnation);
        if let Some(incarnation) = incarnation {
            self.apply_event(Event::Reported {
                key,
                incarnation,
                report,
            });
        }
    }

    fn apply_event(&self, event: Event) {
        self.apply_event_at(Level::Info, event);
    }

    /// Takes an event in; what it changes is logged at `level`.
    fn apply_event_at(&self, level: Level, event: Event) {
        let now = self.parts.clock.now();
        let changes = self.set.borrow_mut().step(now, event);
        for change in changes {
            let endpoint = change.name.as_str();
            log::log!(level, endpoint, what:serde = change.kind; "endpoint changed");
        }
    }

    fn notify_changed(&self) {
        self.updated_at.replace(Some(Instant::now()));
        self.change_count.send_modify(|changes| *changes += 1);
    }
}
