//! What this instance has been told, and whom it tells.

use super::{Feed, Frame, HEARTBEAT, Topic, known::Known};
use crate::hosted::{
    crashes::Crashes, duty::Duties, follow::Update, metrics::Metrics, store::Store, usage::Usage,
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::{
    Time,
    tree::{Alive, Branch, Key, Own, Peer, Ranks, Uplink},
};
use pinereel_port::Adapter;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{broadcast, mpsc, watch},
    time::sleep,
};

/// What an instance in the tree works with.
pub struct Parts {
    /// The object store.
    pub store: Store,
    /// Translates.
    pub adapter: Adapter,
    /// Duties.
    pub duties: Rc<Duties>,
    /// What the parts of this process hear.
    pub feed: Rc<Feed>,
    /// Requests under which endpoints crash.
    pub crashes: Rc<Crashes>,
    /// Counts of requests that began to run.
    pub usage: Rc<Usage>,
    /// Figures.
    pub metrics: Metrics,
    /// Longest wait of a watch.
    pub watch: Duration,
    /// This instance, as others see it.
    pub peer: Peer,
}

/// One instance in the tree.
pub struct Bulletin {
    pub(super) parts: Parts,
    pub(super) state: RefCell<State>,
    pub(super) uplink: RefCell<Uplink>,
    /// Whether no child is taken any more.
    pub(super) leaving: watch::Sender<bool>,
    /// Frames for the parent.
    pub(super) up: broadcast::Sender<Bytes>,
}

/// Frames that may wait for a slow link to the parent; more are made up for by telling all.
const QUEUE_UP: usize = 64;

/// What is known, and the links to children.
#[derive(Default)]
pub(super) struct State {
    topics: BTreeMap<Topic, Known>,
    /// Topics that were listed since this instance began to read the store.
    listed: BTreeSet<Topic>,
    pub(super) branch: Branch,
    links: BTreeMap<Key, mpsc::Sender<Bytes>>,
}

impl Bulletin {
    /// Takes part in the tree from now on; children link to `listener`.
    pub fn start(parts: Parts, listener: TcpListener) -> Rc<Self> {
        let own = parts.peer.address.clone();
        let bulletin = Rc::new(Self {
            parts,
            state: RefCell::default(),
            uplink: RefCell::new(Uplink::new(own)),
            leaving: watch::channel(false).0,
            up: broadcast::channel(QUEUE_UP).0,
        });
        let accepting = Rc::clone(&bulletin);
        actix_rt::spawn(async move { accepting.accept(listener).await });
        let beating = Rc::clone(&bulletin);
        actix_rt::spawn(async move { beating.beat().await });
        let telling = Rc::clone(&bulletin);
        actix_rt::spawn(async move { telling.tell_crashes().await });
        let counting = Rc::clone(&bulletin);
        actix_rt::spawn(async move { counting.tell_usage().await });
        let linking = Rc::clone(&bulletin);
        actix_rt::spawn(async move { linking.run().await });
        bulletin
    }

    /// Sends all children to other parents, before this instance ends.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
        if self.uplink.borrow().leads() {
            // Until its end it hears and tells as a child of whoever stands in.
            let deputies = self.deputies();
            self.uplink.borrow_mut().turn_to(deputies);
        }
        let refer = Frame::Refer(self.targets());
        self.tell(&refer);
        self.state.borrow_mut().links.clear();
    }

    pub(super) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    pub(super) fn now(&self) -> Time {
        self.parts.duties.now()
    }

    /// What this instance knows of the store itself: nothing before it has read every topic.
    pub(super) fn own(&self) -> Own {
        let listed = self.state.borrow().listed.len() == Topic::ALL.len();
        let store = &self.parts.store;
        Own {
            age: store.answered_ago().filter(|_| listed),
            calm: store.calm(),
        }
    }

    /// Whether the news here are fresh enough to be passed on.
    pub(super) fn is_fresh(&self) -> bool {
        self.uplink.borrow().is_fresh(self.now(), self.own())
    }

    /// This instance begins to read the store itself.
    pub(super) fn begin_to_read(&self) {
        self.state.borrow_mut().listed.clear();
        self.uplink.borrow_mut().lead(true);
    }

    /// The store has told of a topic.
    pub(super) fn read(&self, topic: Topic, update: Update, revision: u64) {
        if matches!(update, Update::All(_)) {
            self.state.borrow_mut().listed.insert(topic);
        }
        let calm = self.parts.store.calm();
        if !self.state.borrow().links.is_empty() {
            self.tell(&frame(topic, update.clone(), revision, calm));
        }
        self.take(topic, update, revision, calm);
    }

    /// The parent has told of a topic; `bytes` is how it did, and how children are told.
    pub(super) fn hear(
        &self,
        topic: Topic,
        update: Update,
        (revision, calm): (u64, Duration),
        bytes: Bytes,
    ) {
        // Another parent may lag behind the one before.
        let known = {
            let state = self.state.borrow();
            state.topics.get(&topic).map_or(0, |known| known.revision)
        };
        if revision >= known {
            self.send(&bytes);
            self.take(topic, update, revision, calm);
        }
    }

    /// Takes news in.
    fn take(&self, topic: Topic, update: Update, revision: u64, calm: Duration) {
        self.state
            .borrow_mut()
            .topics
            .entry(topic)
            .or_default()
            .take(&update, revision);
        self.parts.feed.set_calm(calm);
        self.parts.feed.tell(topic, update, revision);
    }

    /// The parts of this process are told all again, if they were told nothing for a while.
    pub(super) fn resume(&self) {
        let feed = &self.parts.feed;
        if feed.is_told() {
            return;
        }
        let state = self.state.borrow();
        for (topic, known) in &state.topics {
            feed.tell(*topic, Update::All(known.objects()), known.revision);
        }
        log::info!("bulletin: news again");
    }

    /// All that is known, as frames.
    pub(super) fn known(&self) -> Vec<Frame> {
        let calm = self.parts.feed.calm();
        let state = self.state.borrow();
        let frames = state.topics.iter().map(|(topic, known)| Frame::All {
            topic: *topic,
            revision: known.revision,
            objects: known.objects(),
            calm,
        });
        frames.collect()
    }

    /// Sends a frame to all children; one that cannot take it is cut.
    pub(super) fn tell(&self, frame: &Frame) {
        if let Some(bytes) = frame.encode() {
            self.send(&bytes.into());
        }
    }

    /// Sends an encoded frame to all children; one that cannot take it is cut.
    pub(super) fn send(&self, bytes: &Bytes) {
        let mut state = self.state.borrow_mut();
        state
            .links
            .retain(|_, link| link.try_send(bytes.clone()).is_ok());
    }

    /// A child is linked.
    pub(super) fn linked(&self, key: Key, frames: mpsc::Sender<Bytes>) {
        self.state.borrow_mut().links.insert(key, frames);
    }

    /// A child is gone.
    pub(super) fn unlinked(&self, key: Key) {
        let mut state = self.state.borrow_mut();
        state.links.remove(&key);
        state.branch.remove(key);
    }

    /// Tells from time to time that this instance lives, and how old its news are.
    async fn beat(&self) {
        loop {
            self.tell_alive();
            sleep(HEARTBEAT).await;
        }
    }

    /// Tells each child that this instance lives, with its place, and this process its own.
    pub(super) fn tell_alive(&self) {
        let Some(ranks) = self.ranks() else {
            return;
        };
        let preferred = self.parts.peer.preferred;
        self.parts.feed.place(ranks.place(preferred));
        if self.uplink.borrow().leads() {
            self.parts.feed.set_calm(self.own().calm);
        }
        let Some(alive) = self.alive(ranks) else {
            return;
        };
        let places = self.state.borrow().branch.ranks(ranks, preferred);
        for (key, ranks) in places {
            let alive = Alive {
                ranks,
                ..alive.clone()
            };
            let Some(bytes) = Frame::Alive(alive).encode() else {
                continue;
            };
            let mut state = self.state.borrow_mut();
            let sent = state
                .links
                .get(&key)
                .map(|link| link.try_send(bytes.into()));
            if matches!(sent, Some(Err(_))) {
                state.links.remove(&key);
            }
        }
    }

    /// The sign of life for children; none while there are no news.
    pub(super) fn alive(&self, ranks: Ranks) -> Option<Alive> {
        let (now, own) = (self.now(), self.own());
        let uplink = self.uplink.borrow();
        uplink.age(now, own)?;
        let deputies = match uplink.leads() {
            true => self.deputies(),
            false => Vec::new(),
        };
        Some(uplink.alive(now, own, ranks, deputies))
    }

    fn deputies(&self) -> Vec<CompactString> {
        let state = self.state.borrow();
        state.branch.deputies(&self.parts.peer.zone)
    }

    /// The places of this instance and all below it; none without news.
    fn ranks(&self) -> Option<Ranks> {
        let ranks = self.find_ranks()?;
        self.parts.usage.note_instances(ranks.of.all() as usize);
        Some(ranks)
    }

    fn find_ranks(&self) -> Option<Ranks> {
        let uplink = self.uplink.borrow();
        if !uplink.leads() {
            return uplink.ranks();
        }
        let preferred = self.parts.peer.preferred;
        Some(Ranks {
            of: self.state.borrow().branch.census(preferred),
            ..Ranks::default()
        })
    }

    /// Whom this instance may turn to for news.
    pub(super) fn targets(&self) -> Vec<CompactString> {
        let holder = self.parts.duties.address(super::DUTY);
        self.uplink.borrow().targets(holder)
    }
}

fn frame(topic: Topic, update: Update, revision: u64, calm: Duration) -> Frame {
    match update {
        Update::All(objects) => Frame::All {
            topic,
            revision,
            objects,
            calm,
        },
        Update::Changes(changes) => Frame::Changes {
            topic,
            revision,
            changes,
            calm,
        },
    }
}
