//! The configuration in force at this instance.

use super::{
    list_watch::{Update, WatchOptions, list_and_watch},
    store::Store,
    tree::{Feed, Topic},
};
use crate::objects::Purpose;
use compact_str::CompactString;
use pinereel_core::routing_table::RoutingTable;
use pinereel_port::{Adapter, store::Object};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};
use tokio::{sync::watch, time::Instant};

/// The configuration in force; it never goes back to an older number in one process.
pub struct Config {
    in_force: RefCell<Option<InForce>>,
    changed: watch::Sender<u64>,
    store: Store,
    feed: Rc<Feed>,
}

#[derive(Clone)]
struct InForce {
    table: Rc<RoutingTable>,
    since: Instant,
}

impl Config {
    /// Follows the configuration in `store` from now on.
    pub fn start(store: &Store, adapter: Adapter, wait: Duration, feed: &Rc<Feed>) -> Rc<Self> {
        let config = Rc::new(Self {
            in_force: RefCell::new(None),
            changed: watch::channel(0).0,
            store: store.clone(),
            feed: Rc::clone(feed),
        });
        let (state, store) = (Rc::clone(&config), store.clone());
        let fed = Some(feed.subscribe(Topic::Config));
        actix_rt::spawn(async move {
            let kind = adapter.object_kinds.config;
            let manner = || WatchOptions {
                max_wait: wait,
                batch_delay: Duration::ZERO,
            };
            list_and_watch(&store, Purpose::Config, kind, manner, fed, |update, _| {
                state.take(adapter, update);
            })
            .await;
        });
        config
    }

    /// The configuration in force; none before the first was read.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        let in_force = self.in_force.borrow();
        in_force.as_ref().map(|in_force| Rc::clone(&in_force.table))
    }

    /// For how long it has been in force here.
    pub fn age(&self) -> Option<Duration> {
        let in_force = self.in_force.borrow();
        in_force.as_ref().map(|in_force| in_force.since.elapsed())
    }

    /// Whether this instance hears of each change: from a parent with fresh news, or from the store itself.
    pub fn is_current(&self) -> bool {
        self.feed.has_parent() || self.store.unreachable_since().is_none()
    }

    /// Tells the number in force when it changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Calls `start` once for each name that `names` gives under this configuration or a later one.
    pub async fn for_each_new(
        &self,
        names: impl Fn(&RoutingTable) -> Vec<CompactString>,
        start: impl Fn(CompactString),
    ) {
        let mut changes = self.changes();
        let mut known = BTreeSet::new();
        loop {
            let now = self.table().map(|table| names(&table)).unwrap_or_default();
            for name in now {
                if known.insert(name.clone()) {
                    start(name);
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn take(&self, adapter: Adapter, update: Update) {
        let objects = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => {
                let present = changes.into_iter().filter(|change| !change.deleted);
                present.map(|change| change.object).collect()
            }
        };
        for object in objects {
            if object.name == adapter.object_kinds.config_object_name {
                self.put_in_force(adapter, &object);
            }
        }
    }

    fn put_in_force(&self, adapter: Adapter, object: &Object) {
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
            log::debug!(revision, number; "configuration is in force or older");
            return;
        }
        let table = Rc::new(RoutingTable::new(document));
        let since = Instant::now();
        self.in_force.replace(Some(InForce { table, since }));
        log::info!(revision, number, before:serde = before; "configuration in force");
        self.changed.send_replace(number);
    }
}
