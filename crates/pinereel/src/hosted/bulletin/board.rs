//! What this instance has been told, and whom it tells.

use super::{Feed, Frame, HEARTBEAT, Topic, known::Known, topics::Link};
use crate::hosted::{
    crashes::CrashTracker, duty::Duties, metrics::Metrics, store::Store, usage::Usage,
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::{
    Time,
    tree::{
        ChildKey, Children, Heartbeat, MAX_AGE, MAX_AGE_PER_LEVEL, Peer, RankRange, RetryPacer,
        StoreStatus, Uplink,
    },
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
    sync::{broadcast, watch},
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
    pub crashes: Rc<CrashTracker>,
    /// Counts of requests that began to run.
    pub usage: Rc<Usage>,
    /// Figures.
    pub metrics: Metrics,
    /// Longest wait of a watch.
    pub watch: Duration,
    /// Time after a change of the endpoint list within which it must be in force.
    pub leave_after: Duration,
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
    pub(super) topics: BTreeMap<Topic, Known>,
    /// Topics beyond the base that this instance or one below it wants.
    pub(super) subscribed: BTreeSet<Topic>,
    /// Topics that were listed since this instance began to read the store.
    pub(super) listed: BTreeSet<Topic>,
    pub(super) branch: Children,
    pub(super) gate: RetryPacer,
    pub(super) links: BTreeMap<ChildKey, Link>,
}

impl State {
    /// The revision as of which a topic is known; 0 if it is not.
    pub(super) fn revision(&self, topic: Topic) -> u64 {
        self.topics.get(&topic).map_or(0, |known| known.revision)
    }
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
        let subscribing = Rc::clone(&bulletin);
        actix_rt::spawn(async move {
            subscribing.parts.feed.engines_subscribed().await;
            subscribing.subscribe(Topic::Engines);
            subscribing.resume();
        });
        let linking = Rc::clone(&bulletin);
        actix_rt::spawn(async move { linking.run().await });
        bulletin
    }

    /// Sends all children to other parents, before this instance ends.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
        if self.uplink.borrow().reads_store() {
            // Until its end it hears and tells as a child of whoever stands in.
            let deputies = self.deputies();
            self.uplink.borrow_mut().set_parent_candidates(deputies);
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
    pub(super) fn own(&self) -> StoreStatus {
        let listed = self.state.borrow().listed.len() == Topic::ALL.len();
        let store = &self.parts.store;
        let answered_ago = store.answered_ago();
        StoreStatus {
            age: answered_ago.filter(|_| listed),
            is_answering: answered_ago.is_some_and(|ago| ago < MAX_AGE),
            store_uptime: store.calm(),
        }
    }

    /// Whether the news here are fresh enough to be passed on.
    pub(super) fn is_fresh(&self) -> bool {
        let (now, own) = (self.now(), self.own());
        let mut uplink = self.uplink.borrow_mut();
        uplink.observe(now, own);
        uplink.is_fresh(now, own)
    }

    /// Whether children may be kept although the news here are not fresh.
    pub(super) fn is_recovering(&self) -> bool {
        let (now, own) = (self.now(), self.own());
        self.uplink.borrow().is_recovering(now, own, self.spare())
    }

    /// How much longer this instance stays with a parent whose news are not fresh.
    pub(super) fn patience(&self) -> Duration {
        self.uplink
            .borrow()
            .remaining_grace(self.now(), self.spare())
    }

    /// Half of what the bound on a change leaves beyond the usual age of news; the other half is for finding another parent.
    fn spare(&self) -> Duration {
        self.parts
            .leave_after
            .saturating_sub(MAX_AGE + MAX_AGE_PER_LEVEL)
            / 2
    }

    /// This instance begins to read the store itself.
    pub(super) fn begin_to_read(&self) {
        self.state.borrow_mut().listed.clear();
        self.uplink.borrow_mut().set_reads_store(true);
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
            .retain(|_, link| link.frames.try_send(bytes.clone()).is_ok());
    }

    /// A child is linked.
    pub(super) fn linked(&self, key: ChildKey, link: Link) {
        let topics: Vec<Topic> = link.topics.keys().copied().collect();
        self.state.borrow_mut().links.insert(key, link);
        topics.into_iter().for_each(|topic| self.subscribe(topic));
        self.catch_up();
    }

    /// A child is gone.
    pub(super) fn unlinked(&self, key: ChildKey) {
        let mut state = self.state.borrow_mut();
        state.links.remove(&key);
        state.branch.remove(key);
    }

    /// Tells from time to time that this instance lives, and how old its news are.
    async fn beat(&self) {
        loop {
            self.tell_alive();
            self.catch_up();
            sleep(HEARTBEAT).await;
        }
    }

    /// Tells each child that this instance lives, with its place, and this process its own.
    pub(super) fn tell_alive(&self) {
        let preferred = self.parts.peer.preferred;
        let ranks = self.ranks();
        if let Some(ranks) = ranks {
            self.parts.feed.place(ranks.rank(preferred));
        }
        let ranks = ranks.unwrap_or_default();
        if self.uplink.borrow().reads_store() {
            self.parts.feed.set_calm(self.own().store_uptime);
        }
        let Some(alive) = self.alive(ranks) else {
            return;
        };
        let places = self.state.borrow().branch.child_ranks(ranks, preferred);
        for (key, ranks) in places {
            let alive = Heartbeat {
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
                .map(|link| link.frames.try_send(bytes.into()));
            if matches!(sent, Some(Err(_))) {
                state.links.remove(&key);
            }
        }
    }

    /// The heartbeat for children; none while there are no news, and none to be expected.
    pub(super) fn alive(&self, ranks: RankRange) -> Option<Heartbeat> {
        let (now, own) = (self.now(), self.own());
        let has_news = self.uplink.borrow().age(now, own).is_some();
        if !has_news && !self.is_fresh() && !self.is_recovering() {
            return None;
        }
        let uplink = self.uplink.borrow();
        let deputies = match uplink.reads_store() {
            true => self.deputies(),
            false => Vec::new(),
        };
        Some(uplink.heartbeat(now, own, ranks, deputies))
    }

    fn deputies(&self) -> Vec<CompactString> {
        let state = self.state.borrow();
        state.branch.standbys(&self.parts.peer.zone)
    }

    /// The places of this instance and all below it; none without news.
    fn ranks(&self) -> Option<RankRange> {
        let ranks = self.find_ranks()?;
        self.parts
            .usage
            .note_instances(ranks.total.count() as usize);
        Some(ranks)
    }

    fn find_ranks(&self) -> Option<RankRange> {
        let uplink = self.uplink.borrow();
        if !uplink.reads_store() {
            return uplink.ranks();
        }
        let preferred = self.parts.peer.preferred;
        Some(RankRange {
            total: self.state.borrow().branch.subtree_size(preferred),
            ..RankRange::default()
        })
    }

    /// Whom this instance may turn to for news.
    pub(super) fn targets(&self) -> Vec<CompactString> {
        let holder = self.parts.duties.address(super::DUTY);
        self.uplink.borrow().link_targets(holder)
    }
}
