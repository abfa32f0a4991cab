//! Publishes the data of the tree to the other modules of this process, by topic.
//!
//! After [`FeedEvent::Lost`], a subscriber reads the store itself until all objects are published again.

use super::Topic;
use crate::hosted::list_watch::Update;
use compact_str::CompactString;
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

/// Most events queued for a subscriber. One that lags further behind reads the store itself.
const FEED_QUEUE_EVENTS: usize = 64;

/// An event for the subscribers of a topic.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// All objects of the topic or changes to them, and the revision of the store after them.
    Update(Rc<Update>, u64),
    /// The rank of this instance among all. Sent to subscribers of the leases.
    Rank(Rank),
    /// The first update is expected by this time.
    ExpectedBy(Instant),
    /// There is no source of updates any more.
    Lost,
}

/// Publishes updates to the subscribers in this process, by topic.
pub struct Feed {
    topics: BTreeMap<Topic, broadcast::Sender<FeedEvent>>,
    /// For how long the store had answered all calls of the root, as of its last frame.
    store_uptime: Cell<Duration>,
    /// Topics whose subscribers have all data: a snapshot and each change since.
    current: RefCell<BTreeSet<Topic>>,
    /// Whether this process has subscribed to [`Topic::Engines`].
    engines_subscribed: watch::Sender<bool>,
    /// Address of the parent, if there is one.
    parent: RefCell<Option<CompactString>>,
    /// All changes that the store had made by then have been published here; `None` without data.
    complete_until: Cell<Option<Instant>>,
    /// Whether an unavailable store is probed rarely, see [`probes_rarely`](pinereel_core::tree::Uplink::probes_rarely).
    probes_rarely: Cell<bool>,
}

impl Default for Feed {
    fn default() -> Self {
        let topics = Topic::ALL.map(|topic| (topic, broadcast::channel(FEED_QUEUE_EVENTS).0));
        Self {
            topics: topics.into(),
            store_uptime: Cell::default(),
            current: RefCell::default(),
            engines_subscribed: watch::channel(false).0,
            parent: RefCell::default(),
            complete_until: Cell::default(),
            probes_rarely: Cell::default(),
        }
    }
}

impl Feed {
    /// Subscribes to a topic. Engines need [`Feed::subscribe_to_engines`] in addition.
    pub fn subscribe(&self, topic: Topic) -> broadcast::Receiver<FeedEvent> {
        self.topics[&topic].subscribe()
    }

    /// For how long the store had answered all calls of the root, as of its last frame; zero if that is
    /// unknown or there is no source of updates.
    pub fn store_uptime(&self) -> Duration {
        self.store_uptime.get()
    }

    /// Address of the parent, if there is one.
    pub fn parent(&self) -> Option<CompactString> {
        self.parent.borrow().clone()
    }

    pub(super) fn set_parent(&self, parent: Option<CompactString>) {
        self.parent.replace(parent);
    }

    /// How old the published data are at most: all changes before that have been published. `None` without
    /// data.
    pub fn data_age(&self) -> Option<Duration> {
        self.complete_until.get().map(|until| until.elapsed())
    }

    /// Records how old the data are now. A new parent may lag behind the previous one, whose data stay.
    pub(super) fn observe_data_age(&self, age: Duration) {
        let until = Instant::now().checked_sub(age);
        self.complete_until
            .set(self.complete_until.get().max(until));
    }

    /// Whether this instance probes an unavailable store rarely, see [`probes_rarely`](pinereel_core::tree::Uplink::probes_rarely).
    pub fn probes_rarely(&self) -> bool {
        self.probes_rarely.get()
    }

    pub(super) fn set_probes_rarely(&self, probes_rarely: bool) {
        self.probes_rarely.set(probes_rarely);
    }

    pub(super) fn set_store_uptime(&self, store_uptime: Duration) {
        self.store_uptime.set(store_uptime);
    }

    /// Subscribes this process to [`Topic::Engines`], for good.
    pub fn subscribe_to_engines(&self) {
        self.engines_subscribed
            .send_if_modified(|subscribed| !std::mem::replace(subscribed, true));
    }

    /// Whether this process has subscribed to [`Topic::Engines`].
    pub fn is_subscribed_to_engines(&self) -> bool {
        *self.engines_subscribed.borrow()
    }

    /// Waits until this process has subscribed to [`Topic::Engines`].
    pub async fn until_subscribed_to_engines(&self) {
        // This cannot fail: `self` owns the sender.
        let _ = self
            .engines_subscribed
            .subscribe()
            .wait_for(|subscribed| *subscribed)
            .await;
    }

    /// Whether this process needs a topic.
    pub(super) fn is_subscribed(&self, topic: Topic) -> bool {
        topic != Topic::Engines || self.is_subscribed_to_engines()
    }

    /// Whether the subscribers have all data of a topic, so that changes alone suffice.
    pub(super) fn is_current(&self, topic: Topic) -> bool {
        self.current.borrow().contains(&topic)
    }

    /// Requests that all objects of a topic are published again. Called by a subscriber that has missed an
    /// event.
    pub fn request_snapshot(&self, topic: Topic) {
        self.current.borrow_mut().remove(&topic);
    }

    /// Publishes all objects of a topic or changes to them, as of a revision of the store.
    pub(super) fn publish(&self, topic: Topic, update: Update, revision: u64) {
        self.current.borrow_mut().insert(topic);
        self.send(topic, FeedEvent::Update(Rc::new(update), revision));
    }

    /// Announces that the first data are expected within `wait`; does nothing once there are data.
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

    /// Announces that there is no source of updates any more; does nothing if that has been announced.
    pub(super) fn publish_lost(&self) {
        if std::mem::take(&mut *self.current.borrow_mut()).is_empty() {
            return;
        }
        log::info!("broadcast tree: no source of updates");
        self.store_uptime.set(Duration::ZERO);
        for topic in Topic::ALL {
            self.send(topic, FeedEvent::Lost);
        }
    }

    fn send(&self, topic: Topic, event: FeedEvent) {
        // Without subscribers the event is dropped; a module that starts later reads the store itself.
        let _ = self.topics[&topic].send(event);
    }
}
