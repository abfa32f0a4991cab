//! Time until every instance of a fleet knows of a crash, in virtual time.
//!
//! The broadcast tree is built by [`Children`], and the register is the one of the daemon. A link
//! takes [`LINK_DELAY`], far more than the 5 ms of a link without load. An instance waits for
//! [`FLUSH_INTERVAL`] between two messages, as the daemon does.

use pinereel_core::{
    Time,
    crash::{
        Content, EndpointStart, Identity, MAX_CRASHES, Register, Report, RequestParts,
        RequestStatus,
    },
    tree::{Admission, Children, Peer},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

const LINK_DELAY: Duration = Duration::from_millis(50);
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);
const MAX_BATCH_REPORTS: usize = 128;
/// Bound for instances that are connected.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Time after which an instance that has lost its parent has a new one.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

fn request(number: usize) -> Identity {
    Identity::of(RequestParts {
        caller: b"",
        method: "GET",
        host: "site.example",
        target: &format!("/live/{number}"),
        content: Content::Body(b""),
    })
}

struct Node {
    register: Register,
    links: BTreeSet<usize>,
    /// Earliest time of the next message.
    next_flush_at: Time,
    alive: bool,
}

/// Event of the simulation.
enum Event {
    Arrive(usize, Vec<Report>),
    Flush(usize),
    Link(usize, usize),
}

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    parents: BTreeMap<usize, usize>,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    messages: u64,
    largest_batch: usize,
}

impl Fleet {
    /// A tree of `count` instances that all joined at the first one.
    fn new(count: usize) -> Self {
        let peer = |number: usize| Peer {
            address: number.to_string().into(),
            zone: format!("z{}", number % 6).into(),
            preferred: number.is_multiple_of(9),
        };
        let mut branches: Vec<_> = (0..count).map(|_| Children::default()).collect();
        let mut parents = BTreeMap::new();
        for number in 1..count {
            let mut targets = VecDeque::from([0]);
            while let Some(target) = targets.pop_front() {
                match branches[target].admit(peer(number)) {
                    Admission::Child(_) => {
                        parents.insert(number, target);
                        break;
                    }
                    Admission::Referred(to) => {
                        let to = to
                            .iter()
                            .filter_map(|address| address.parse::<usize>().ok());
                        targets.extend(to);
                    }
                }
            }
        }
        let nodes = (0..count).map(|_| Node {
            register: Register::default(),
            links: BTreeSet::new(),
            next_flush_at: Time::ZERO,
            alive: true,
        });
        let mut fleet = Self {
            now: Time::from_millis(3_600_000),
            nodes: nodes.collect(),
            parents: parents.clone(),
            queue: BTreeMap::new(),
            sequence: 0,
            messages: 0,
            largest_batch: 0,
        };
        for (child, parent) in parents {
            fleet.link(child, parent);
        }
        fleet
    }

    fn link(&mut self, child: usize, parent: usize) {
        self.nodes[child].links.insert(parent);
        self.nodes[parent].links.insert(child);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    fn crash(&mut self, node: usize, request: Identity, endpoint: usize) {
        let start = EndpointStart {
            endpoint: format!("e-{endpoint}").into(),
            incarnation: 0,
        };
        let now = self.now;
        self.nodes[node].register.crashed(now, request, start);
        self.schedule_flush(node);
    }

    fn schedule_flush(&mut self, node: usize) {
        let wait = self.nodes[node].next_flush_at.since(self.now);
        self.schedule(wait, Event::Flush(node));
    }

    /// Processes events in order of time until none is left.
    fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            match event {
                Event::Arrive(node, reports) if self.nodes[node].alive => {
                    self.nodes[node].register.merge(at, reports);
                    self.schedule_flush(node);
                }
                Event::Flush(node) if self.nodes[node].alive => self.flush(node),
                Event::Link(child, parent) => {
                    self.link(child, parent);
                    for (from, to) in [(child, parent), (parent, child)] {
                        let all = self.nodes[from].register.reports(at);
                        self.schedule(LINK_DELAY, Event::Arrive(to, all));
                    }
                }
                Event::Arrive(..) | Event::Flush(_) => {}
            }
        }
    }

    fn flush(&mut self, node: usize) {
        let now = self.now;
        if now < self.nodes[node].next_flush_at || !self.nodes[node].register.has_pending() {
            return;
        }
        let reports = self.nodes[node]
            .register
            .take_pending(now, MAX_BATCH_REPORTS);
        self.nodes[node].next_flush_at = now + FLUSH_INTERVAL;
        self.largest_batch = self.largest_batch.max(reports.len());
        for to in self.nodes[node].links.clone() {
            self.messages += 1;
            self.schedule(LINK_DELAY, Event::Arrive(to, reports.clone()));
        }
        self.schedule_flush(node);
    }

    fn stop(&mut self, node: usize) {
        self.nodes[node].alive = false;
        for other in std::mem::take(&mut self.nodes[node].links) {
            self.nodes[other].links.remove(&node);
        }
        let orphans: Vec<_> = self
            .parents
            .iter()
            .filter(|(_, parent)| **parent == node)
            .map(|(child, _)| *child)
            .collect();
        for orphan in orphans {
            self.schedule(RECONNECT_DELAY, Event::Link(orphan, 0));
        }
    }

    fn blocks(&self, node: usize, request: &Identity) -> bool {
        let status = self.nodes[node].register.status(self.now, request);
        matches!(status, RequestStatus::Blocked { .. })
    }

    fn all_block(&self, request: &Identity) -> bool {
        (0..self.nodes.len()).all(|node| !self.nodes[node].alive || self.blocks(node, request))
    }
}

/// Records the last crash before the limit at the instance that joined last; returns the time until
/// all block the request.
fn propagation_time(count: usize) -> Duration {
    let mut fleet = Fleet::new(count);
    let crasher = request(0);
    for endpoint in 1..MAX_CRASHES {
        fleet.crash(endpoint % count, crasher, endpoint);
        fleet.run();
    }
    let started_at = fleet.now;
    fleet.crash(count - 1, crasher, MAX_CRASHES);
    fleet.run();
    assert!(fleet.all_block(&crasher));
    // Reports that return to their sender are not sent again.
    assert!(fleet.messages <= 8 * count as u64, "{}", fleet.messages);
    fleet.now.since(started_at)
}

#[test]
fn all_instances_block_a_request_within_half_a_second_of_its_third_crash() {
    for count in [30, 165, 350] {
        let took = propagation_time(count);
        assert!(
            took <= MAX_PROPAGATION_TIME,
            "{took:?} at {count} instances"
        );
    }
}

#[test]
fn instances_below_a_lost_inner_node_block_the_request_once_they_have_another_parent() {
    let mut fleet = Fleet::new(165);
    let crasher = request(0);
    for endpoint in 1..MAX_CRASHES {
        fleet.crash(2, crasher, endpoint);
        fleet.run();
    }
    let inner_node = *fleet.parents.values().max().expect("there are two levels");
    fleet.stop(inner_node);
    let started_at = fleet.now;
    fleet.crash(2, crasher, MAX_CRASHES);
    fleet.run();
    assert!(fleet.all_block(&crasher));
    let took = fleet.now.since(started_at);
    // Upper bound for the smallest deployment.
    assert!(took <= Duration::from_secs(3), "{took:?}");
}

#[test]
fn a_thousand_crashes_per_second_take_bounded_messages() {
    let mut fleet = Fleet::new(165);
    let started_at = fleet.now;
    for number in 0..1_000 {
        let node = number % 165;
        fleet.crash(node, request(number), number);
        // Delivers the messages after every hundredth crash.
        if number % 100 == 99 {
            fleet.run();
        }
    }
    fleet.run();
    assert!(fleet.largest_batch <= MAX_BATCH_REPORTS);
    let known = fleet.nodes.iter().map(|node| node.register.counts().0);
    assert!(
        known.clone().all(|known| known == 1_000),
        "{:?}",
        known.min()
    );
    let seconds = fleet.now.since(started_at).as_secs_f64();
    let per_link = fleet.messages as f64 / seconds / (2.0 * 164.0);
    // At most one message every 20 ms.
    assert!(per_link <= 50.0, "{per_link} messages a second and link");
}
