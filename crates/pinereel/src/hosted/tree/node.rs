//! This instance as a node of the tree: its state, its heartbeats, and the frames to its children.

use super::{
    Feed, Frame, HEARTBEAT_INTERVAL, Topic, store_calls::MAX_CALLS_OF_CHILDREN,
    topic_cache::TopicCache, topics::ChildLink,
};
use crate::{
    hosted::{crashes::CrashTracker, duty::Duties, metrics::Metrics, store::Store, usage::Meter},
    restart::spawn_restarted,
};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _};
use pinereel_core::{
    Time,
    tree::{
        BackupReaders, ChildKey, Children, Heartbeat, LATE_CALL_TIME, MAX_AGE, MAX_AGE_PER_LEVEL,
        Peer, RankRange, RetryPacer, Seeds, StoreStatus, Uplink,
    },
};
use pinereel_port::Adapter;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore, broadcast, watch},
    time::sleep,
};

/// Dependencies of a [`Node`].
pub struct Dependencies {
    /// The object store over the own connection, as of [`Store::direct`].
    pub store: Store,
    /// Names and parses the objects of the platform.
    pub adapter: Adapter,
    /// Whether this instance holds the root duty, and the address of the holder.
    pub duties: Rc<Duties>,
    /// Receives the data on behalf of the other modules of this process.
    pub feed: Rc<Feed>,
    /// Requests under which endpoints crash, exchanged with the parent and the children.
    pub crashes: Rc<CrashTracker>,
    /// Counts of requests that began to run, sent up the tree.
    pub usage: Rc<Meter>,
    /// The age of the data is recorded here.
    pub metrics: Metrics,
    /// Longest duration of one watch at the store.
    pub max_watch_time: Duration,
    /// Longest time until a change of the endpoint list must be in force at all instances.
    pub max_propagation_time: Duration,
    /// Instances that are tried for a parent while the store does not answer this instance.
    pub seeds: Vec<SocketAddr>,
    /// Address, zone and preference of this instance, sent to its parent.
    pub peer: Peer,
}

/// This instance as a node of the broadcast tree.
pub struct Node {
    pub(super) deps: Dependencies,
    pub(super) state: RefCell<State>,
    pub(super) uplink: RefCell<Uplink>,
    pub(super) seeds: RefCell<Seeds>,
    /// Notified when a root has introduced itself.
    pub(super) introduced: Notify,
    /// Whether this instance is shutting down and accepts no children any more.
    pub(super) shutting_down: watch::Sender<bool>,
    /// Encoded frames for the parent; dropped while there is none.
    pub(super) to_parent: broadcast::Sender<Bytes>,
    /// Bounds the concurrent store calls of all children.
    pub(super) child_calls: Arc<Semaphore>,
    /// The children that read the store for this instance, if it gets no answers as a root or as a reader.
    pub(super) backups: RefCell<BackupReaders>,
    /// Whether the store did not answer this instance as a root or as a reader at the last check.
    pub(super) lacked_answers: Cell<bool>,
    /// Whether children have sent data since this instance began to read the store.
    pub(super) has_backup_data: Cell<bool>,
    /// Whether this instance reads the store for its parent.
    pub(super) is_backup: watch::Sender<bool>,
}

/// Most frames queued for the parent. If a slow link falls further behind, the initial frames are sent
/// again.
const PARENT_QUEUE_FRAMES: usize = 64;

/// The cached topics, and the links to children.
#[derive(Default)]
pub(super) struct State {
    pub(super) caches: BTreeMap<Topic, TopicCache>,
    /// Topics besides [`Topic::BASE`] that this instance or one below it has subscribed to.
    pub(super) subscribed: BTreeSet<Topic>,
    /// Topics that have been listed since this instance began to read the store.
    pub(super) listed: BTreeSet<Topic>,
    /// Topics of which this instance waits for all objects from an appointed child.
    pub(super) resend_requested: BTreeSet<(ChildKey, Topic)>,
    pub(super) children: Children,
    pub(super) retry_pacer: RetryPacer,
    /// Send queues of the children.
    pub(super) child_links: BTreeMap<ChildKey, ChildLink>,
}

impl State {
    /// The revision of the cached topic; 0 if it is not cached.
    pub(super) fn revision(&self, topic: Topic) -> u64 {
        self.caches.get(&topic).map_or(0, |cache| cache.revision)
    }
}

impl Node {
    /// Joins the tree and spawns the tasks of the node. Children connect to `listener`.
    pub fn start(deps: Dependencies, listener: TcpListener) -> Rc<Self> {
        let own_address = deps.peer.address.clone();
        let seeds = deps.seeds.iter().map(|seed| seed.to_compact_string());
        let seeds = Seeds::new(own_address.clone(), seeds);
        let node = Rc::new(Self {
            deps,
            state: RefCell::default(),
            uplink: RefCell::new(Uplink::new(own_address)),
            seeds: RefCell::new(seeds),
            introduced: Notify::new(),
            shutting_down: watch::channel(false).0,
            to_parent: broadcast::channel(PARENT_QUEUE_FRAMES).0,
            child_calls: Arc::new(Semaphore::new(MAX_CALLS_OF_CHILDREN)),
            backups: RefCell::default(),
            lacked_answers: Cell::default(),
            has_backup_data: Cell::default(),
            is_backup: watch::channel(false).0,
        });
        let accept_task = Rc::clone(&node);
        spawn_restarted("links of children", async move || {
            Rc::clone(&accept_task).accept_links(&listener).await;
        });
        let heartbeat_task = Rc::clone(&node);
        spawn_restarted("heartbeats", async move || {
            heartbeat_task.send_heartbeats().await;
        });
        let backup_task = Rc::clone(&node);
        spawn_restarted("backup readers", async move || {
            backup_task.appoint_backup_readers().await;
        });
        let crash_task = Rc::clone(&node);
        spawn_restarted("crash reports", async move || {
            crash_task.send_crash_reports().await;
        });
        let usage_task = Rc::clone(&node);
        spawn_restarted("counts for the parent", async move || {
            usage_task.send_usage_reports().await;
        });
        let engines_task = Rc::clone(&node);
        spawn_restarted("subscription to engines", async move || {
            engines_task.deps.feed.until_subscribed_to_engines().await;
            engines_task.subscribe(Topic::Engines);
            engines_task.publish_missing();
        });
        let recovery_task = Rc::clone(&node);
        spawn_restarted("recoveries", async move || {
            recovery_task.report_recoveries().await;
        });
        let introduction_task = Rc::clone(&node);
        spawn_restarted("introductions", async move || {
            introduction_task.introduce_root().await;
        });
        let uplink_task = Rc::clone(&node);
        spawn_restarted("link to the parent", async move || {
            // After a panic, the state of the link that it cut.
            uplink_task.reset_uplink();
            Rc::clone(&uplink_task).run_uplink().await;
        });
        node
    }

    /// Refers all children to other parents. Called before this instance ends.
    pub fn shut_down(&self) {
        self.shutting_down.send_replace(true);
        if self.uplink.borrow().reads_store() {
            // Until it ends, it sends and receives as a child of the standby that takes over.
            self.follow_standbys();
        }
        let referral = Frame::Referral(self.link_targets());
        self.broadcast(&referral);
        self.state.borrow_mut().child_links.clear();
    }

    /// Makes the standbys of this root its own candidates for a parent.
    pub(super) fn follow_standbys(&self) {
        let standbys = self.standbys();
        self.uplink.borrow_mut().set_parent_candidates(standbys);
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    pub(super) fn now(&self) -> Time {
        self.deps.duties.now()
    }

    /// What this instance knows about the store from its own calls, and from the children that read it for this
    /// instance. Its own calls give no age before every topic has been listed.
    pub(super) fn store_status(&self) -> StoreStatus {
        let listed = self.state.borrow().listed.len() == Topic::ALL.len();
        let store = &self.deps.store;
        let answered_ago = store.last_answer_ago();
        let own_age = answered_ago.filter(|_| listed);
        let backup_age = self.backups.borrow().age(self.now());
        StoreStatus {
            age: own_age.into_iter().chain(backup_age).min(),
            is_answering: answered_ago.is_some_and(|ago| ago < MAX_AGE),
            is_unreachable: store.lacks_answers(LATE_CALL_TIME),
            store_uptime: store.uptime(),
        }
    }

    /// Whether the data are fresh enough to accept children.
    pub(super) fn is_fresh(&self) -> bool {
        let (now, status) = (self.now(), self.store_status());
        let mut uplink = self.uplink.borrow_mut();
        uplink.observe(now, status);
        uplink.is_fresh(now, status)
    }

    /// Whether children may be kept although the data are stale.
    pub(super) fn is_recovering(&self) -> bool {
        let (now, status) = (self.now(), self.store_status());
        self.uplink
            .borrow()
            .is_recovering(now, status, self.slack())
    }

    /// How much longer this instance stays with a parent whose data are stale.
    pub(super) fn remaining_grace(&self) -> Duration {
        self.uplink
            .borrow()
            .remaining_grace(self.now(), self.slack())
    }

    /// Half of the time that the bound on a change leaves beyond the usual age of the data. The other half
    /// is for finding another parent.
    fn slack(&self) -> Duration {
        self.deps
            .max_propagation_time
            .saturating_sub(MAX_AGE + MAX_AGE_PER_LEVEL)
            / 2
    }

    /// Makes this instance a root, which reads the store itself.
    pub(super) fn start_reading(&self) {
        let mut state = self.state.borrow_mut();
        state.listed.clear();
        state.resend_requested.clear();
        drop(state);
        self.has_backup_data.set(false);
        self.uplink.borrow_mut().set_reads_store(true);
        // The children learn at once that the store answers their new root.
        self.send_heartbeat();
    }

    /// Sends a frame to all children, and drops the link of a child whose queue is full.
    pub(super) fn broadcast(&self, frame: &Frame) {
        if let Some(bytes) = frame.encode() {
            self.broadcast_encoded(&bytes.into());
        }
    }

    /// Sends an encoded frame to all children, and drops the link of a child whose queue is full.
    pub(super) fn broadcast_encoded(&self, bytes: &Bytes) {
        let mut state = self.state.borrow_mut();
        state
            .child_links
            .retain(|_, link| link.frames.try_send(bytes.clone()).is_ok());
    }

    /// Sends a frame to the parent. It is dropped if there is none: a new one receives all subscriptions, and a
    /// root asks another child to read the store.
    pub(super) fn send_to_parent(&self, frame: &Frame) {
        if let Some(bytes) = frame.encode() {
            let _ = self.to_parent.send(bytes.into());
        }
    }

    /// Adds the link to a new child, and subscribes to its topics. The child is sent the data as soon as they
    /// are fresh.
    pub(super) fn add_child(&self, key: ChildKey, link: ChildLink) {
        let topics: Vec<Topic> = link.topics.keys().copied().collect();
        self.state.borrow_mut().child_links.insert(key, link);
        topics.into_iter().for_each(|topic| self.subscribe(topic));
        self.catch_up_children();
    }

    /// Removes a child whose link has ended.
    pub(super) fn remove_child(&self, key: ChildKey) {
        let mut state = self.state.borrow_mut();
        state.child_links.remove(&key);
        state.children.remove(key);
        state.resend_requested.retain(|(child, _)| *child != key);
    }

    /// Sends heartbeats to the children periodically.
    async fn send_heartbeats(&self) {
        loop {
            self.send_heartbeat();
            self.catch_up_children();
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends a heartbeat as soon as the store answers this instance again, if it is a root. The instances
    /// below it do not look for the end of an outage as often.
    async fn report_recoveries(&self) {
        let mut recoveries = self.deps.store.recoveries();
        while recoveries.changed().await.is_ok() {
            if self.uplink.borrow().reads_store() {
                self.send_heartbeat();
            }
        }
    }

    /// Sends a heartbeat with the ranks of its subtree to each child, and publishes the own rank.
    pub(super) fn send_heartbeat(&self) {
        self.observe_data_age();
        let preferred = self.deps.peer.preferred;
        let ranks = self.update_ranks();
        if let Some(ranks) = ranks {
            self.deps.feed.publish_rank(ranks.rank(preferred));
        }
        let ranks = ranks.unwrap_or_default();
        if self.uplink.borrow().reads_store() {
            self.deps
                .feed
                .set_store_uptime(self.store_status().store_uptime);
        }
        let Some(heartbeat) = self.heartbeat(ranks) else {
            return;
        };
        let child_ranks = self.state.borrow().children.child_ranks(ranks, preferred);
        for (key, ranks) in child_ranks {
            let heartbeat = Heartbeat {
                ranks,
                ..heartbeat.clone()
            };
            let Some(bytes) = Frame::Heartbeat(heartbeat).encode() else {
                continue;
            };
            let mut state = self.state.borrow_mut();
            let sent = state
                .child_links
                .get(&key)
                .map(|link| link.frames.try_send(bytes.into()));
            if matches!(sent, Some(Err(_))) {
                state.child_links.remove(&key);
            }
        }
    }

    /// Passes the age of the data on to the other modules of this process.
    pub(super) fn observe_data_age(&self) {
        let (now, status) = (self.now(), self.store_status());
        if let Some(age) = self.uplink.borrow().age(now, status) {
            self.deps.feed.observe_data_age(age);
        }
    }

    /// The heartbeat for the children; `None` while there are no data and none are expected, unless the
    /// reason is that the store does not answer the root. Without heartbeats, all links of the tree broke
    /// in an outage of more than 3 s, and each instance looked for its end by itself.
    pub(super) fn heartbeat(&self, ranks: RankRange) -> Option<Heartbeat> {
        let (now, status) = (self.now(), self.store_status());
        let has_data = self.uplink.borrow().age(now, status).is_some();
        let is_fresh = self.is_fresh();
        let reports_outage = self.uplink.borrow().reports_outage(status);
        if !has_data && !reports_outage && !is_fresh && !self.is_recovering() {
            return None;
        }
        let uplink = self.uplink.borrow();
        let standbys = match uplink.reads_store() {
            true => self.standbys(),
            false => Vec::new(),
        };
        Some(Heartbeat {
            store_calls: self.deps.store.takes_calls_of_children(is_fresh),
            backup_readers: self.backups.borrow().appointed().to_vec(),
            ..uplink.heartbeat(now, status, ranks, standbys)
        })
    }

    /// Addresses of the children that take over if this root fails.
    pub(super) fn standbys(&self) -> Vec<CompactString> {
        let state = self.state.borrow();
        state.children.standbys(&self.deps.peer.zone)
    }

    /// Passes the number of instances in the tree to the usage meter, and returns the ranks of this instance
    /// and all below it; `None` without data.
    fn update_ranks(&self) -> Option<RankRange> {
        let ranks = self.ranks()?;
        self.deps
            .usage
            .observe_instance_count(ranks.total.count() as usize);
        Some(ranks)
    }

    fn ranks(&self) -> Option<RankRange> {
        let uplink = self.uplink.borrow();
        if !uplink.reads_store() {
            return uplink.ranks();
        }
        let preferred = self.deps.peer.preferred;
        Some(RankRange {
            total: self.state.borrow().children.subtree_size(preferred),
            ..RankRange::default()
        })
    }

    /// Addresses to try for a parent, in this order.
    pub(super) fn link_targets(&self) -> Vec<CompactString> {
        let holder = self.deps.duties.holder_address(super::ROOT_DUTY);
        self.uplink.borrow().link_targets(holder)
    }
}
