//! The membership view: leaving is final for an incarnation, few links connect all entries, and relays
//! reach each receiver once.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time,
    hash::stable,
    member::{MAX_FULL_MESH_SIZE, MAX_RELAY_LEAVES, Object, PlatformStatus, State, View},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::collections::{BTreeMap, BTreeSet};

fn object(index: usize, zones: usize, incarnation: u64) -> Object {
    Object {
        name: format_compact!("e{index}"),
        incarnation,
        address: format_compact!("10.0.0.{index}:7000"),
        zone: format_compact!("z{}", index % zones),
    }
}

fn view(count: usize, zones: usize) -> View {
    let mut view = View::new();
    view.replace_all((0..count).map(|i| object(i, zones, 1)));
    view
}

fn config(cases: u32) -> Config {
    let rng_seed = RngSeed::Fixed(4);
    Config {
        cases,
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut view = view(3, 3);
    view.mark_leaving("e1", 1);
    let live = BTreeMap::from([("e1".into(), PlatformStatus::Live)]);
    view.apply_platform_list(Time::ZERO, &live);
    view.insert(object(1, 3, 1));
    view.replace_all((0..3).map(|i| object(i, 3, 1)));
    assert_eq!(view.members()["e1"].state, State::Leaving);
    view.insert(object(1, 3, 2));
    view.mark_leaving("e1", 1);
    assert_eq!(view.members()["e1"].state, State::Live);
    view.insert(object(1, 3, 1));
    assert_eq!(view.members()["e1"].object.incarnation, 2);
}

#[test]
fn removal_needs_an_uninterrupted_grace_period() {
    let mut view = view(2, 2);
    let both = BTreeMap::from([
        ("e0".into(), PlatformStatus::Live),
        ("e1".into(), PlatformStatus::Live),
    ]);
    let without_e1 = BTreeMap::from([("e0".into(), PlatformStatus::Live)]);
    view.apply_platform_list(Time::from_millis(0), &without_e1);
    assert_eq!(view.removable(Time::from_millis(9_999)), []);
    view.apply_platform_list(Time::from_millis(9_000), &both);
    view.apply_platform_list(Time::from_millis(9_500), &without_e1);
    assert_eq!(view.removable(Time::from_millis(19_499)), []);
    assert_eq!(
        view.removable(Time::from_millis(19_500)),
        [("e1".into(), 1)]
    );
}

#[test]
fn links_at_the_target_size() {
    let view = view(350, 9);
    let links: Vec<_> = view
        .members()
        .keys()
        .map(|name| view.links(name, 4, 4))
        .collect();
    let mut taken = BTreeMap::<&CompactString, usize>::new();
    links
        .iter()
        .flatten()
        .for_each(|name| *taken.entry(name).or_default() += 1);
    let opened = links.iter().map(BTreeSet::len).max();
    let graph = graph(&view);
    let hops = graph.keys().map(|from| hops(&graph, from)).max();
    let groups = view.relay_groups(&view.members().keys().cloned().collect(), 0);
    let report = format!(
        "opened {opened:?}, taken {:?}, hops {hops:?}, branches {}",
        taken.values().max(),
        groups.len()
    );
    insta::assert_snapshot!(report, @"opened Some(8), taken Some(12), hops Some(4), branches 18");
}

type Graph = BTreeMap<CompactString, BTreeSet<CompactString>>;

/// The links of all entries, in both directions.
fn graph(view: &View) -> Graph {
    let mut graph = Graph::new();
    for name in view.members().keys() {
        for peer in view.links(name, 4, 4) {
            graph.entry(peer.clone()).or_default().insert(name.clone());
            graph.entry(name.clone()).or_default().insert(peer);
        }
    }
    graph
}

/// The largest number of hops from an entry to any other.
fn hops(graph: &Graph, from: &CompactString) -> usize {
    let mut reached = BTreeSet::from([from.clone()]);
    let mut edge = reached.clone();
    let mut count = 0;
    while reached.len() < graph.len() {
        let next: BTreeSet<_> = edge.iter().flat_map(|name| &graph[name]).cloned().collect();
        edge = next.difference(&reached).cloned().collect();
        assert!(!edge.is_empty(), "the links do not connect all entries");
        reached.extend(edge.iter().cloned());
        count += 1;
    }
    count
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn links_connect_all(count in 2usize..60, zones in 1usize..9) {
        let graph = graph(&view(count, zones));
        prop_assert_eq!(graph.len(), count);
        hops(&graph, &"e0".into());
    }

    #[test]
    fn a_new_entry_moves_only_the_keys_that_it_owns(count in 1usize..40, key: u64, n in 1usize..6) {
        let (small, large) = (view(count, 3), view(count + 1, 3));
        let name = format_compact!("e{count}");
        let owner = large.owner(key).cloned();
        prop_assert!(owner == Some(name.clone()) || owner.as_ref() == small.owner(key));
        let (old, new) = (small.subset(key, n), large.subset(key, n));
        prop_assert_eq!(new.first().copied(), owner.as_ref());
        prop_assert!(new.iter().all(|e| old.contains(e) || **e == name));
    }

    #[test]
    fn relay_groups_reach_each_receiver_once(count in 1usize..200, zones in 1usize..9, attempt: u64) {
        let view = view(count, zones);
        let mut to: BTreeSet<CompactString> = view.members().keys().cloned().collect();
        to.insert("unknown".into());
        let groups = view.relay_groups(&to, attempt);
        let leaves = groups.iter().flat_map(|group| &group.leaves);
        let all: Vec<_> = groups.iter().map(|group| &group.relay).chain(leaves).collect();
        prop_assert_eq!(all.len(), to.len());
        prop_assert!(all.iter().all(|name| to.contains(*name)));
        prop_assert!(groups.iter().all(|group| group.leaves.len() <= MAX_RELAY_LEAVES));
        prop_assert!(to.len() > MAX_FULL_MESH_SIZE || groups.len() == to.len());
    }
}

#[test]
fn keys_are_spread_evenly_over_entries_that_are_not_leaving() {
    let mut view = view(9, 3);
    view.mark_leaving("e4", 1);
    let mut owned = BTreeMap::<CompactString, usize>::new();
    for key in 0..9_000u64 {
        let owner = view
            .owner(stable(&key.to_le_bytes()))
            .expect("there is a live entry");
        *owned.entry(owner.clone()).or_default() += 1;
    }
    assert_eq!(owned.len(), 8);
    assert!(!owned.contains_key("e4"));
    assert!(
        owned.values().all(|n| (1_000..1_250).contains(n)),
        "{owned:?}"
    );
}
