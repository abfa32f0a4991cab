//! What the parts of this process hear.

use super::Topic;
use crate::hosted::follow::Update;
use pinereel_core::lease::Place;
use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::sync::broadcast;

/// Updates that may wait for a part of this process; one that lags further follows the store again.
const QUEUE: usize = 64;

/// What a part of this process hears.
#[derive(Clone, Debug)]
pub enum Fed {
    /// What was told, as of a revision.
    Told(Rc<Update>, u64),
    /// The place of this instance among all; told to those who hear of leases.
    Place(Place),
    /// Nothing is told any more.
    Lost,
}

/// What this process is told, by topic.
pub struct Feed {
    topics: BTreeMap<Topic, broadcast::Sender<Fed>>,
    /// For how long the store had answered the root when it last told something.
    calm: Cell<Duration>,
    /// Whether something was told since nothing was told any more.
    told: Cell<bool>,
    /// Whether a parent tells, and its news are fresh.
    has_parent: Cell<bool>,
}

impl Default for Feed {
    fn default() -> Self {
        let topics = Topic::ALL.map(|topic| (topic, broadcast::channel(QUEUE).0));
        Self {
            topics: topics.into(),
            calm: Cell::default(),
            told: Cell::default(),
            has_parent: Cell::default(),
        }
    }
}

impl Feed {
    /// Hears what is told of a topic.
    pub fn hear(&self, topic: Topic) -> broadcast::Receiver<Fed> {
        self.topics[&topic].subscribe()
    }

    /// For how long the store had answered all calls of the root when it last told something; zero
    /// if that is not known, or nothing is told any more.
    pub fn calm(&self) -> Duration {
        self.calm.get()
    }

    /// Whether another instance tells this one all that changes.
    pub fn has_parent(&self) -> bool {
        self.has_parent.get()
    }

    pub(super) fn set_has_parent(&self, has_parent: bool) {
        self.has_parent.set(has_parent);
    }

    pub(super) fn set_calm(&self, calm: Duration) {
        self.calm.set(calm);
    }

    pub(super) fn is_told(&self) -> bool {
        self.told.get()
    }

    pub(super) fn tell(&self, topic: Topic, update: Update, revision: u64) {
        self.told.set(true);
        self.send(topic, Fed::Told(Rc::new(update), revision));
    }

    pub(super) fn place(&self, place: Place) {
        self.send(Topic::Leases, Fed::Place(place));
    }

    /// Nothing is told any more; said once only.
    pub(super) fn lose(&self) {
        if !self.told.replace(false) {
            return;
        }
        log::info!("bulletin: no news");
        self.calm.set(Duration::ZERO);
        for topic in Topic::ALL {
            self.send(topic, Fed::Lost);
        }
    }

    fn send(&self, topic: Topic, fed: Fed) {
        // Nobody hears it if that part has not started yet; it asks the store itself.
        let _ = self.topics[&topic].send(fed);
    }
}
