//! The active configuration: watches the configuration object in the store and activates each newer
//! version.

use super::{
    list_watch::{MAX_WAIT_FOR_REQUESTS, Origin, Update, WatchOptions, list_and_watch_with_origin},
    metrics::Metrics,
    store::Store,
    tree::{Feed, Topic},
};
use crate::{
    objects::Purpose,
    restart::{restart_on_panic, spawn_restarted},
};
use compact_str::CompactString;
use pinereel_core::{
    routing_table::RoutingTable,
    tree::{LATE_CALL_TIME, MAX_AGE},
};
use pinereel_port::{Adapter, store::Object};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// The configuration that is in force at this instance. Its number never decreases within one
/// process.
pub struct Config {
    active: RefCell<Option<ActiveConfig>>,
    number: watch::Sender<u64>,
    store: Store,
    feed: Rc<Feed>,
    metrics: Metrics,
    /// When this process began to watch the configuration.
    started_at: Instant,
    /// Where the last update came from; `None` before the first one.
    origin: Cell<Option<Origin>>,
}

/// A configuration, and when it was activated here.
#[derive(Clone)]
struct ActiveConfig {
    table: Rc<RoutingTable>,
    activated_at: Instant,
}

impl Config {
    /// Starts to watch the configuration in `store`. `wait` is the longest wait of one watch call;
    /// other instances may forward changes through `feed`.
    pub fn start(
        store: &Store,
        adapter: Adapter,
        wait: Duration,
        feed: &Rc<Feed>,
        metrics: &Metrics,
    ) -> Rc<Self> {
        let config = Rc::new(Self {
            active: RefCell::new(None),
            number: watch::channel(0).0,
            store: store.clone(),
            feed: Rc::clone(feed),
            metrics: metrics.clone(),
            started_at: Instant::now(),
            origin: Cell::default(),
        });
        let state = Rc::clone(&config);
        spawn_restarted("configuration", async move || {
            state.follow(adapter, wait).await;
        });
        config
    }

    /// Applies all changes of the configuration. Never ends.
    async fn follow(&self, adapter: Adapter, wait: Duration) {
        let feed_events = Some(self.feed.subscribe(Topic::Config));
        // This subscriber lacks what was published before.
        self.feed.request_snapshot(Topic::Config);
        let options = || WatchOptions {
            max_wait: wait.min(MAX_WAIT_FOR_REQUESTS),
            batch_delay: Duration::ZERO,
        };
        let kind = adapter.object_kinds.config;
        let on_update = |update, _, origin| {
            self.origin.set(Some(origin));
            if let Some(update) = update {
                self.apply_update(adapter, update);
            }
        };
        list_and_watch_with_origin(
            &self.store,
            Purpose::Config,
            kind,
            options,
            feed_events,
            on_update,
        )
        .await;
    }

    /// Routing table of the active configuration; none before the first one was read.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        let active = self.active.borrow();
        active.as_ref().map(|active| Rc::clone(&active.table))
    }

    /// Time since the active configuration was activated here.
    pub fn age(&self) -> Option<Duration> {
        let active = self.active.borrow();
        active.as_ref().map(|active| active.activated_at.elapsed())
    }

    /// How old the active configuration is at most: every change before that has been applied here. `None`
    /// before the first one was read.
    pub fn data_age(&self) -> Option<Duration> {
        match self.origin.get()? {
            Origin::Tree => self.feed.data_age(),
            Origin::Store => self.store.last_answer_ago(),
        }
    }

    /// Whether every change is in force here that was made more than [`MAX_AGE`] ago. If not, a route or key
    /// that is missing here may have been added.
    pub fn is_current(&self) -> bool {
        match self.origin.get() {
            Some(Origin::Tree) => self.feed.data_age().is_some_and(|age| age < MAX_AGE),
            // A watch waits for changes, and only other calls show that the store answers.
            Some(Origin::Store) => !self.store.lacks_answers(LATE_CALL_TIME),
            None => false,
        }
    }

    /// Notifies of each newly activated configuration, by its number.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.number.subscribe()
    }

    /// Calls `start` once for each name that `names` returns for the active configuration or a
    /// later one. Runs until the process ends.
    pub async fn for_each_new(
        &self,
        names: impl Fn(&RoutingTable) -> Vec<CompactString>,
        start: impl Fn(CompactString),
    ) {
        let started_names = RefCell::new(BTreeSet::new());
        let start_each = async || {
            let mut changes = self.changes();
            loop {
                let current_names = self.table().map(|table| names(&table)).unwrap_or_default();
                for name in current_names {
                    if started_names.borrow_mut().insert(name.clone()) {
                        start(name);
                    }
                }
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        restart_on_panic("configured names", start_each).await;
    }

    fn apply_update(&self, adapter: Adapter, update: Update) {
        let objects = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => {
                let present = changes.into_iter().filter(|change| !change.deleted);
                present.map(|change| change.object).collect()
            }
        };
        for object in objects {
            if object.name == adapter.object_kinds.config_object_name {
                self.activate(adapter, &object);
            }
        }
    }

    /// Activates a configuration unless it is invalid or not newer than the active one.
    fn activate(&self, adapter: Adapter, object: &Object) {
        let revision = object.revision;
        let document = match (adapter.decode_config)(&object.spec) {
            Ok(document) => document,
            Err(fault) => {
                let number = self.table().map(|table| table.number());
                log::error!(revision, in_force:serde = number; "configuration refused: {fault}");
                return;
            }
        };
        let number = document.version;
        let before = self.table().map(|table| table.number());
        if before.is_some_and(|before| number <= before) {
            log::debug!(revision, number; "configuration is not newer than the active one");
            return;
        }
        let table = Rc::new(RoutingTable::new(document));
        let activated_at = Instant::now();
        self.active.replace(Some(ActiveConfig {
            table,
            activated_at,
        }));
        let origin = self.origin.get().map(Origin::as_str).unwrap_or_default();
        let parent = self.feed.parent().unwrap_or_default();
        let data_age = self.data_age();
        if let Some(age) = data_age {
            let ages = &self.metrics.input_ages;
            self.metrics
                .observe(ages, "configuration at activation", age);
        }
        log::info!(
            revision,
            number,
            before:serde = before,
            origin,
            parent = parent.as_str(),
            data_age_ms:serde = data_age.map(|age| age.as_millis() as u64),
            process_ms = self.started_at.elapsed().as_millis() as u64;
            "configuration activated"
        );
        self.number.send_replace(number);
    }
}
