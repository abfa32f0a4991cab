//! What the parts of this process hear.

use super::Topic;
use crate::hosted::follow::Update;
use pinereel_core::lease::Rank;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{broadcast, watch},
    time::Instant,
};

/// Updates that may wait for a part of this process; one that lags further follows the store again.
const FEED_QUEUE_EVENTS: usize = 64;

/// What a part of this process hears.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// What was told, as of a revision.
    Update(Rc<Update>, u64),
    /// The place of this instance among all; told to those who hear of leases.
    Rank(Rank),
    /// Something will be told until then, as far as can be seen.
    ExpectedBy(Instant),
    /// Nothing is told any more.
    Lost,
}

/// What this process is told, by topic.
pub struct Feed {
    topics: BTreeMap<Topic, broadcast::Sender<FeedEvent>>,
    /// For how long the store had answered the root when it last told something.
    store_uptime: Cell<Duration>,
    /// Topics that were told since nothing was told any more.
    current: RefCell<BTreeSet<Topic>>,
    /// Whether this process wants to know of engines.
    engines_subscribed: watch::Sender<bool>,
    /// Whether a parent tells, and its news are fresh.
    has_parent: Cell<bool>,
}

impl Default for Feed {
    fn default() -> Self {
        let topics = Topic::ALL.map(|topic| (topic, broadcast::channel(FEED_QUEUE_EVENTS).0));
        Self {
            topics: topics.into(),
            store_uptime: Cell::default(),
            current: RefCell::default(),
            engines_subscribed: watch::channel(false).0,
            has_parent: Cell::default(),
        }
    }
}

impl Feed {
    /// Hears what is told of a topic.
    pub fn subscribe(&self, topic: Topic) -> broadcast::Receiver<FeedEvent> {
        self.topics[&topic].subscribe()
    }

    /// For how long the store had answered all calls of the root when it last told something; zero
    /// if that is not known, or nothing is told any more.
    pub fn store_uptime(&self) -> Duration {
        self.store_uptime.get()
    }

    /// Whether another instance tells this one all that changes.
    pub fn has_parent(&self) -> bool {
        self.has_parent.get()
    }

    pub(super) fn set_has_parent(&self, has_parent: bool) {
        self.has_parent.set(has_parent);
    }

    pub(super) fn set_store_uptime(&self, store_uptime: Duration) {
        self.store_uptime.set(store_uptime);
    }

    /// This process wants to know of engines from now on.
    pub fn subscribe_to_engines(&self) {
        self.engines_subscribed
            .send_if_modified(|subscribed| !std::mem::replace(subscribed, true));
    }

    /// Whether this process wants to know of engines.
    pub fn is_subscribed_to_engines(&self) -> bool {
        *self.engines_subscribed.borrow()
    }

    /// Waits until this process wants to know of engines.
    pub async fn until_subscribed_to_engines(&self) {
        // The sender lives as long as this.
        let _ = self
            .engines_subscribed
            .subscribe()
            .wait_for(|subscribed| *subscribed)
            .await;
    }

    /// Whether a part of this process wants to know of a topic.
    pub(super) fn is_subscribed(&self, topic: Topic) -> bool {
        topic != Topic::Engines || self.is_subscribed_to_engines()
    }

    /// Whether a topic is told to the parts of this process.
    pub(super) fn is_current(&self, topic: Topic) -> bool {
        self.current.borrow().contains(&topic)
    }

    /// A part of this process has missed something of a topic: it is told all again.
    pub fn request_snapshot(&self, topic: Topic) {
        self.current.borrow_mut().remove(&topic);
    }

    pub(super) fn publish(&self, topic: Topic, update: Update, revision: u64) {
        self.current.borrow_mut().insert(topic);
        self.send(topic, FeedEvent::Update(Rc::new(update), revision));
    }

    /// A parent will have news within `wait`; said before the first ones only.
    pub(super) fn publish_expected(&self, wait: Duration) {
        if self.is_current(Topic::Config) {
            return;
        }
        for topic in [Topic::Config, Topic::Endpoints] {
            self.send(topic, FeedEvent::ExpectedBy(Instant::now() + wait));
        }
    }

    pub(super) fn publish_rank(&self, rank: Rank) {
        self.send(Topic::Leases, FeedEvent::Rank(rank));
    }

    /// Nothing is told any more; said once only.
    pub(super) fn publish_lost(&self) {
        if std::mem::take(&mut *self.current.borrow_mut()).is_empty() {
            return;
        }
        log::info!("bulletin: no news");
        self.store_uptime.set(Duration::ZERO);
        for topic in Topic::ALL {
            self.send(topic, FeedEvent::Lost);
        }
    }

    fn send(&self, topic: Topic, event: FeedEvent) {
        // Nobody hears it if that part has not started yet; it asks the store itself.
        let _ = self.topics[&topic].send(event);
    }
}
