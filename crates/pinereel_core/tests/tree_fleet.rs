//! Simulation of a fleet in virtual time: instances that start together, and failures of inner nodes
//! and of the root of the broadcast tree.
//!
//! The decisions are those of the daemon ([`Children`], [`Uplink`]). Links are function calls, and the
//! data of a root that reaches the store are always [`ROOT_DATA_AGE`] old.

use pinereel_core::{
    Time,
    tree::{
        Admission, ChildKey, Children, Heartbeat, MAX_CHILDREN, Peer, RankRange, RetryPacer,
        StoreStatus, Uplink,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const ROOT_DATA_AGE: Duration = Duration::from_millis(20);
const STANDBY_DELAY: Duration = Duration::from_millis(500);
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

struct Node {
    peer: Peer,
    branch: Children,
    uplink: Uplink,
    parent: Option<(String, ChildKey)>,
    children: BTreeMap<ChildKey, String>,
    without_parent_since: Option<Time>,
    alive: bool,
    /// Whether the instance can reach the store.
    reaches_store: bool,
    /// Since when the instance has been reading the store.
    reads_since: Option<Time>,
    /// Earliest time of the next link attempt, after a rejection.
    retry_at: Time,
    retry_pacer: RetryPacer,
}

struct Fleet {
    now: Time,
    nodes: BTreeMap<String, Node>,
    holder: Option<String>,
    /// Number of link attempts, by target.
    link_attempts: BTreeMap<String, u32>,
    /// Number of steps in which an instance read the store itself, by instance.
    reader_steps: BTreeMap<String, u32>,
    /// Time that it takes to read all data from the store.
    loading_time: Duration,
    /// Slack between the usual age of the data and the bound on the removal of an endpoint.
    slack: Duration,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let nodes = (0..count).map(|number| {
            let name = format!("i-{number:04}");
            let peer = Peer {
                address: name.as_str().into(),
                zone: ZONES[number % ZONES.len()].into(),
                preferred: number % 9 == 0,
            };
            let node = Node {
                uplink: Uplink::new(peer.address.clone()),
                peer,
                branch: Children::default(),
                parent: None,
                children: BTreeMap::new(),
                without_parent_since: None,
                alive: true,
                reaches_store: true,
                reads_since: None,
                retry_at: Time::ZERO,
                retry_pacer: RetryPacer::default(),
            };
            (name, node)
        });
        Self {
            now: Time::ZERO,
            nodes: nodes.collect(),
            holder: Some("i-0000".into()),
            link_attempts: BTreeMap::new(),
            reader_steps: BTreeMap::new(),
            loading_time: Duration::ZERO,
            slack: Duration::ZERO,
        }
    }

    fn store_status(&self, name: &str) -> StoreStatus {
        let node = &self.nodes[name];
        let age = if node.reaches_store {
            ROOT_DATA_AGE
        } else {
            Duration::from_secs(60)
        };
        let reads_since = node.reads_since.unwrap_or(Time::ZERO);
        let has_read = self.now.since(reads_since) >= self.loading_time;
        StoreStatus {
            age: has_read.then_some(age),
            is_answering: node.reaches_store,
            is_unreachable: !node.reaches_store,
            store_uptime: Duration::ZERO,
        }
    }

    fn start_reading(&mut self, name: &str) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("known");
        if !node.uplink.reads_store() {
            node.uplink.set_reads_store(true);
        }
        node.reads_since.get_or_insert(now);
    }

    /// Whether the instance has data for its children, or will have them soon.
    fn sends_heartbeats(&self, name: &str) -> bool {
        let age = self.nodes[name]
            .uplink
            .age(self.now, self.store_status(name));
        self.nodes[name].alive && age.is_some() || self.accepts_children(name)
    }

    /// Whether the instance accepts new children.
    fn accepts_children(&self, name: &str) -> bool {
        let node = &self.nodes[name];
        let is_recovering =
            node.uplink
                .is_recovering(self.now, self.store_status(name), self.slack);
        node.alive && (self.is_fresh(name) || is_recovering)
    }

    fn is_fresh(&self, name: &str) -> bool {
        let node = &self.nodes[name];
        node.alive && node.uplink.is_fresh(self.now, self.store_status(name))
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            self.now = self.now + STEP;
        }
    }

    fn step(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            if !self.nodes[name].alive {
                continue;
            }
            if self.holder.as_ref() == Some(name) {
                self.unlink(name);
                self.start_reading(name);
            } else if !self.keeps_parent(name) && self.now >= self.nodes[name].retry_at {
                self.find_parent(name);
            }
            let status = self.store_status(name);
            let now = self.now;
            let node = self.nodes.get_mut(name).expect("known");
            node.uplink.observe(now, status);
            if self.nodes[name].uplink.reads_store() {
                *self.reader_steps.entry(name.clone()).or_default() += 1;
            }
        }
        if self
            .now
            .since(Time::ZERO)
            .as_millis()
            .is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
        {
            let roots: Vec<_> = names
                .iter()
                .filter(|name| self.nodes[*name].parent.is_none() && self.sends_heartbeats(name))
                .cloned()
                .collect();
            for root in roots {
                let node = &self.nodes[&root];
                let total = node.branch.subtree_size(node.peer.preferred);
                let ranks = RankRange {
                    total,
                    ..RankRange::default()
                };
                self.send_heartbeats(&root, ranks);
            }
        }
    }

    fn keeps_parent(&self, name: &str) -> bool {
        let node = &self.nodes[name];
        let parent = node.parent.as_ref();
        let waits = !node.uplink.remaining_grace(self.now, self.slack).is_zero();
        let has_parent = parent.is_some_and(|(parent, _)| self.nodes[parent].alive);
        has_parent && (self.is_fresh(name) || waits)
    }

    /// Sends heartbeats down the subtree of `name`; on the way back the children report their sizes.
    fn send_heartbeats(&mut self, name: &str, ranks: RankRange) {
        let status = self.store_status(name);
        let node = &self.nodes[name];
        let standbys = node.branch.standbys(&node.peer.zone);
        let child_ranks = node.branch.child_ranks(ranks, node.peer.preferred);
        for (key, ranks) in child_ranks {
            let node = &self.nodes[name];
            let heartbeat: Heartbeat =
                node.uplink
                    .heartbeat(self.now, status, ranks, standbys.clone());
            let Some(child) = node.children.get(&key).cloned() else {
                continue;
            };
            if !self.nodes[&child].alive {
                continue;
            }
            let is_accepted = {
                let child = self.nodes.get_mut(&child).expect("known");
                child.uplink.on_heartbeat(self.now, heartbeat)
            };
            if !is_accepted {
                self.unlink(&child);
                continue;
            }
            self.send_heartbeats(&child, ranks);
            let child = &self.nodes[&child];
            let size = child.branch.subtree_size(child.peer.preferred);
            let parent = self.nodes.get_mut(name).expect("known");
            parent.branch.set_size(key, size);
        }
    }

    /// Ends the link to the parent.
    fn unlink(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("known");
        node.uplink.on_parent_lost();
        if let Some((parent, key)) = node.parent.take() {
            let parent = self.nodes.get_mut(&parent).expect("known");
            parent.branch.remove(key);
            parent.children.remove(&key);
        }
    }

    fn find_parent(&mut self, name: &str) {
        let now = self.now;
        let holder = self.holder.as_deref().map(Into::into);
        let targets = self.nodes[name].uplink.link_targets(holder);
        for target in targets {
            if self.link(name, &target) {
                let node = self.nodes.get_mut(name).expect("known");
                node.uplink.set_reads_store(false);
                node.reads_since = None;
                node.without_parent_since = None;
                return;
            }
        }
        let node = self.nodes.get_mut(name).expect("known");
        let since = *node.without_parent_since.get_or_insert(now);
        let needed = !node.branch.is_empty() || node.uplink.is_standby();
        let delay = if node.uplink.is_first_standby() {
            Duration::ZERO
        } else {
            STANDBY_DELAY
        };
        if needed && now.since(since) >= delay && self.nodes[name].reaches_store {
            self.unlink(name);
            self.start_reading(name);
        }
    }

    /// Tries a target and the instances to which it refers, until one accepts `name`.
    fn link(&mut self, name: &str, target: &str) -> bool {
        let mut targets = vec![target.to_owned()];
        for _ in 0..12 {
            let Some(target) = targets.pop() else {
                return false;
            };
            *self.link_attempts.entry(target.clone()).or_default() += 1;
            let reads = self.nodes[name].uplink.reads_store();
            let is_candidate = self.nodes[&target].alive && (!reads || self.is_fresh(&target));
            if target == name || !is_candidate {
                continue;
            }
            if !self.accepts_children(&target) {
                let now = self.now;
                let wait = self
                    .nodes
                    .get_mut(&target)
                    .expect("known")
                    .retry_pacer
                    .retry_after(now);
                let node = self.nodes.get_mut(name).expect("known");
                node.retry_at = node.retry_at.max(now + wait);
                continue;
            }
            let peer = self.nodes[name].peer.clone();
            let parent = self.nodes.get_mut(&target).expect("known");
            match parent.branch.admit(peer) {
                Admission::Child(key) => {
                    let status = self.store_status(&target);
                    let parent = &self.nodes[&target];
                    let heartbeat =
                        parent
                            .uplink
                            .heartbeat(self.now, status, RankRange::default(), Vec::new());
                    let node = self.nodes.get_mut(name).expect("known");
                    let previous = node.uplink.clone();
                    if !node.uplink.on_heartbeat(self.now, heartbeat) {
                        node.uplink = previous;
                        let parent = self.nodes.get_mut(&target).expect("known");
                        parent.branch.remove(key);
                        continue;
                    }
                    let linked = node.uplink.clone();
                    self.unlink(name);
                    let node = self.nodes.get_mut(name).expect("known");
                    node.uplink = linked;
                    node.parent = Some((target.clone(), key));
                    let parent = self.nodes.get_mut(&target).expect("known");
                    parent.children.insert(key, name.to_owned());
                    return true;
                }
                Admission::Referred(addresses) => {
                    targets.extend(addresses.iter().rev().map(ToString::to_string));
                }
            }
        }
        false
    }

    fn kill(&mut self, name: &str) {
        self.unlink(name);
        let node = self.nodes.get_mut(name).expect("known");
        node.alive = false;
        // The links to its children end.
        for child in std::mem::take(&mut node.children).into_values() {
            let child = self.nodes.get_mut(&child).expect("known");
            child.uplink.on_parent_lost();
            child.parent = None;
        }
    }

    fn live_nodes(&self) -> impl Iterator<Item = (&String, &Node)> {
        self.nodes.iter().filter(|(_, node)| node.alive)
    }

    /// Instances whose data are not fresh.
    fn stale_nodes(&self) -> Vec<&String> {
        let stale = self.live_nodes().filter(|(name, _)| !self.is_fresh(name));
        stale.map(|(name, _)| name).collect()
    }

    fn max_children(&self) -> usize {
        let children = self.live_nodes().map(|(_, node)| node.branch.len());
        children.max().unwrap_or_default()
    }

    fn max_level(&self) -> u32 {
        let levels = self.live_nodes().map(|(_, node)| node.uplink.level());
        levels.max().unwrap_or_default()
    }

    fn take_readers(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.reader_steps).into_keys().collect()
    }
}

const FLEET_SIZES: [usize; 5] = [9, 30, 165, 350, 1_000];

#[test]
fn all_instances_get_fresh_data_with_few_links_each_at_any_fleet_size() {
    for size in FLEET_SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.stale_nodes(), Vec::<&String>::new(), "of {size}");
        assert!(fleet.max_children() <= MAX_CHILDREN);
        assert!(
            fleet.max_level() <= 2,
            "{} levels of {size}",
            fleet.max_level()
        );
        assert_eq!(
            fleet.take_readers().len(),
            1,
            "one instance reads the store, of {size}"
        );
        // One attempt at the root, and one at a child to which it was referred.
        let link_attempts: u32 = fleet.link_attempts.values().sum();
        assert!(
            link_attempts as usize <= 2 * size,
            "{link_attempts} link attempts of {size}"
        );
    }
}

#[test]
fn each_instance_has_a_unique_rank() {
    let mut fleet = Fleet::new(165);
    fleet.run(Duration::from_secs(3));
    let ranks = fleet.live_nodes().filter_map(|(name, node)| {
        let ranks = node.uplink.ranks()?;
        let rank = ranks.rank(node.peer.preferred);
        assert_eq!((rank.preferred, rank.total), (19, 165), "{name}");
        assert_eq!(rank.number < 19, node.peer.preferred);
        Some(rank.number)
    });
    // The root has the remaining rank, which is the first one.
    assert_eq!(ranks.collect::<BTreeSet<_>>().len(), 164);
}

/// An instance that forwards data is killed or cut off. The instances below it must neither have stale
/// data nor read the store.
#[test]
fn the_loss_of_an_inner_node_leaves_no_stale_data_and_no_additional_reader() {
    for size in [165, 350, 1_000] {
        let mut fleet = Fleet::new(size);
        fleet.run(Duration::from_secs(3));
        fleet.take_readers();
        let inner_node = fleet.nodes["i-0000"].children.values().next().cloned();
        fleet.kill(&inner_node.expect("the root has children"));
        fleet.run(STEP * 4);
        assert_eq!(fleet.stale_nodes(), Vec::<&String>::new(), "of {size}");
        assert_eq!(fleet.take_readers().len(), 1);
        assert!(fleet.max_children() <= MAX_CHILDREN);
    }
}

/// The root is killed. In a star, each of 165 instances would list and watch the store.
#[test]
fn after_the_loss_of_the_root_only_its_standbys_read_the_store() {
    for size in FLEET_SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(Duration::from_secs(3));
        fleet.take_readers();
        fleet.kill("i-0000");
        fleet.run(Duration::from_secs(2));
        let stale = fleet.stale_nodes();
        assert_eq!(stale, Vec::<&String>::new(), "of {size}");
        let readers = fleet.take_readers();
        assert!(readers.len() <= 3, "{readers:?} read the store, of {size}");
        // Any instance may be the next holder. All instances get data again, and only one reads the
        // store.
        fleet.holder = Some("i-0009".into())
            .filter(|_| size > 9)
            .or(Some("i-0004".into()));
        fleet.run(Duration::from_secs(2));
        fleet.take_readers();
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.stale_nodes(), Vec::<&String>::new(), "of {size}");
        assert_eq!(fleet.take_readers().len(), 1, "of {size}");
        assert!(fleet.max_children() <= MAX_CHILDREN);
    }
}

/// The root is cut off from the store and keeps its links. Its data become stale, and instances that
/// reach the store take over within two seconds.
#[test]
fn a_root_cut_off_from_the_store_is_replaced() {
    for size in FLEET_SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(Duration::from_secs(3));
        fleet.nodes.get_mut("i-0000").expect("known").reaches_store = false;
        fleet.run(Duration::from_millis(2_500));
        let stale: Vec<_> = fleet.stale_nodes().into_iter().cloned().collect();
        // The old root keeps the duty until its lease ends.
        assert_eq!(stale, vec!["i-0000".to_owned()], "of {size}");
    }
}

/// Instances are stopped and started again one after another, as in a rolling restart.
#[test]
fn a_rolling_restart_leaves_no_instance_stale() {
    let mut fleet = Fleet::new(165);
    fleet.run(Duration::from_secs(3));
    for number in 1..60 {
        let name = format!("i-{number:04}");
        fleet.kill(&name);
        fleet.run(STEP * 2);
        let node = fleet.nodes.get_mut(&name).expect("known");
        let address = node.peer.address.clone();
        node.uplink = Uplink::new(address);
        node.branch = Children::default();
        node.alive = true;
        fleet.run(STEP * 2);
    }
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.stale_nodes(), Vec::<&String>::new());
    assert!(fleet.max_children() <= MAX_CHILDREN);
    assert!(fleet.max_level() <= 3, "{} levels", fleet.max_level());
}

/// A root that shuts down must know a parent to link to. Without one, the crashes that it observed
/// reached no other instance for up to 2.5 s, and the others counted from zero for a request that had
/// crashed three endpoints.
#[test]
fn a_root_that_shuts_down_links_to_its_standbys() {
    let mut uplink = Uplink::new("root".into());
    uplink.set_reads_store(true);
    assert_eq!(
        uplink.link_targets(Some("root".into())),
        Vec::<compact_str::CompactString>::new()
    );
    uplink.set_parent_candidates(vec!["first".into(), "second".into()]);
    uplink.set_reads_store(false);
    assert_eq!(
        uplink.link_targets(Some("root".into())),
        ["first", "second"]
    );
}

/// All instances start, and the root reads thousands of endpoints before it has data to send. When it
/// rejected newcomers until then, each of them tried four times a second.
#[test]
fn link_attempts_at_startup_are_bounded_however_long_the_root_loads() {
    for size in [420, 841, 1_682] {
        let mut fleet = Fleet::new(size);
        fleet.loading_time = Duration::from_millis(1_500);
        fleet.slack = Duration::from_millis(1_500);
        fleet.run(Duration::from_secs(4));
        assert_eq!(fleet.stale_nodes(), Vec::<&String>::new(), "of {size}");
        let link_attempts: u32 = fleet.link_attempts.values().sum();
        assert!(
            link_attempts as usize <= 3 * size,
            "{link_attempts} link attempts of {size}"
        );
        assert_eq!(
            fleet.take_readers().len(),
            1,
            "one instance reads the store, of {size}"
        );
    }
}

/// The root is killed, and its successor first reads thousands of endpoints. Only the root's children
/// look for the successor. When all instances below them did as well, the number of link attempts grew
/// with the fleet.
#[test]
fn link_attempts_after_the_loss_of_a_root_do_not_grow_with_the_fleet() {
    for size in [420, 841, 1_682] {
        let mut fleet = Fleet::new(size);
        fleet.loading_time = Duration::from_millis(1_000);
        fleet.slack = Duration::from_millis(1_500);
        fleet.run(Duration::from_secs(4));
        fleet.link_attempts.clear();
        fleet.kill("i-0000");
        fleet.run(Duration::from_secs(4));
        assert_eq!(fleet.stale_nodes(), Vec::<&String>::new(), "of {size}");
        let link_attempts: u32 = fleet.link_attempts.values().sum();
        assert!(
            link_attempts as usize <= 8 * MAX_CHILDREN,
            "{link_attempts} link attempts of {size}"
        );
    }
}

/// Hundreds of instances try to link to one that has no data yet. The attempts per second that it has
/// to reject are bounded whatever their number.
#[test]
fn rejected_children_get_distinct_retry_times() {
    for newcomers in [400, 800, 1_600] {
        let mut pacer = RetryPacer::default();
        let now = Time::ZERO + Duration::from_secs(1);
        let mut returns: Vec<_> = (0..newcomers).map(|_| pacer.retry_after(now)).collect();
        returns.dedup();
        assert_eq!(returns.len(), newcomers, "each has a distinct retry time");
        let max_returns = (0..20)
            .map(|second| {
                let second = Duration::from_secs(second);
                let within = second..second + Duration::from_secs(1);
                returns.iter().filter(|wait| within.contains(wait)).count()
            })
            .max();
        assert!(max_returns <= Some(501), "{max_returns:?} of {newcomers}");
    }
}

/// The store rejects the calls of half of the instances, the root among them, and serves the others.
/// An instance that gets no answers cannot read, so no child may wait for its data.
#[test]
fn an_instance_without_answers_from_the_store_accepts_no_children() {
    let now = Time::ZERO + Duration::from_secs(10);
    let status = |is_answering| StoreStatus {
        age: None,
        store_uptime: Duration::ZERO,
        is_answering,
        is_unreachable: !is_answering,
    };
    let mut uplink = Uplink::new("turned-away".into());
    uplink.set_reads_store(true);
    uplink.observe(now, status(false));
    assert!(!uplink.is_recovering(now, status(false), Duration::ZERO));
    assert!(uplink.is_recovering(now, status(true), Duration::ZERO));
    let heartbeat =
        |answers| uplink.heartbeat(now, status(answers), RankRange::default(), Vec::new());
    assert!(!heartbeat(false).is_loading());
    assert!(heartbeat(true).is_loading());
    assert!(
        !heartbeat(true).is_fresh(),
        "its data give a child no reason to stop reading the store"
    );
}

/// The data of a whole subtree become stale. A new child in that subtree would receive a change later
/// than the bound allows.
#[test]
fn an_instance_with_stale_data_accepts_no_children() {
    let slack = Duration::from_millis(1_500);
    let status = StoreStatus::default();
    let mut uplink = Uplink::new("relay".into());
    let now = Time::ZERO + Duration::from_secs(10);
    let heartbeat = Heartbeat {
        ancestors: vec!["root".into(), "parent".into()],
        standbys: Vec::new(),
        age: Some(Duration::from_secs(3)),
        reads_store: false,
        store_uptime: Duration::ZERO,
        ranks: RankRange::default(),
        store_calls: false,
        store_answers: None,
        backup_readers: Vec::new(),
    };
    assert!(uplink.on_heartbeat(now, heartbeat));
    uplink.observe(now, status);
    assert!(
        !uplink.remaining_grace(now, slack).is_zero(),
        "the instance stays with its parent"
    );
    assert!(!uplink.is_recovering(now, status, slack));
}

/// The store rejects a part of the instances while a configuration changes. When a child with stale
/// data waited 1.6 s more for a parent that had begun to read, it got the change after 3.1 s, where
/// 3 s are allowed.
#[test]
fn a_child_with_stale_data_waits_for_a_loading_parent_only_within_the_bound() {
    let now = Time::ZERO + Duration::from_secs(10);
    let slack = Duration::from_millis(500);
    let heartbeat = |age| Heartbeat {
        ancestors: vec!["root".into()],
        standbys: Vec::new(),
        age,
        reads_store: true,
        store_uptime: Duration::ZERO,
        ranks: RankRange::default(),
        store_calls: false,
        store_answers: None,
        backup_readers: Vec::new(),
    };
    let mut newcomer = Uplink::new("newcomer".into());
    assert!(newcomer.on_heartbeat(now, heartbeat(None)));
    newcomer.observe(now, StoreStatus::default());
    assert!(
        newcomer.remaining_grace(now, slack) > slack,
        "the newcomer has no data that could become stale"
    );
    let mut child = Uplink::new("child".into());
    assert!(child.on_heartbeat(now, heartbeat(Some(ROOT_DATA_AGE))));
    child.observe(now, StoreStatus::default());
    assert!(child.on_heartbeat(now, heartbeat(None)));
    child.observe(now, StoreStatus::default());
    assert_eq!(child.remaining_grace(now, slack), slack);
    let later = now + slack;
    assert_eq!(child.remaining_grace(later, slack), Duration::ZERO);
}
