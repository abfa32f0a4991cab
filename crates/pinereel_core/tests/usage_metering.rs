//! Usage metering, from the counts of the instances to one report for each window.
//!
//! A window whose usage is not reported is lost; without any report, 0.20 to 0.27 of a day's worth
//! is lost. Two different reports of one window violate the platform's rules, so a stored sum is
//! never computed again.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time,
    usage::{
        Aggregator, Counts, InstanceCount, Ledger, Report, Timing, WallClock, WallTime, Window,
    },
};
use proptest::prelude::{Just, Strategy, prop, prop_assert_eq, prop_oneof, proptest};
use std::{collections::BTreeMap, time::Duration};

const LENGTH: Duration = Duration::from_secs(5);
const TIMING: Timing = Timing {
    window_length: LENGTH,
    min_delay: Duration::from_millis(700),
    max_delay: Duration::from_secs(5),
    max_age: Duration::from_secs(10),
};
/// The window of most tests, and its end in milliseconds.
const WINDOW: Window = Window(100);
const END: u64 = 505_000;

fn counts(pairs: &[(&str, u64)]) -> Counts {
    let pairs = pairs.iter();
    pairs
        .map(|(name, n)| (CompactString::from(*name), *n))
        .collect()
}

#[test]
fn the_counts_of_all_instances_are_summed() {
    let (mut a, mut b, mut root) = (Ledger::new("a"), Ledger::new("b"), Ledger::new("root"));
    a.add(WINDOW, "w", 2);
    b.add(WINDOW, "w", 1);
    b.add(WINDOW, "x", 1);
    root.add(WINDOW, "x", 3);
    // One request turns out not to have run.
    b.add(WINDOW, "x", -1);
    for ledger in [&mut a, &mut b, &mut root] {
        ledger.close(WINDOW);
    }
    b.merge(a.take_unsent(9));
    root.merge(b.take_unsent(9));
    assert_eq!(root.closed_count(WINDOW), 3);
    assert_eq!(root.total(WINDOW), counts(&[("w", 3), ("x", 3)]));
}

#[test]
fn an_empty_window_is_closed_and_a_late_request_counts_in_the_next() {
    let mut ledger = Ledger::new("a");
    ledger.close(Window(98));
    ledger.close(WINDOW);
    assert_eq!(ledger.closed_count(Window(99)), 1);
    assert_eq!(ledger.total(WINDOW), counts(&[]));
    ledger.add(WINDOW, "w", 1);
    assert_eq!(ledger.total(WINDOW), counts(&[]));
    assert_eq!(ledger.total(WINDOW.next()), counts(&[("w", 1)]));
}

#[test]
fn a_window_is_due_when_all_instances_closed_it_or_after_the_maximum_delay() {
    let (mut ledger, mut other) = (Ledger::new("root"), Ledger::new("a"));
    let mut aggregator = Aggregator::new(TIMING, WallTime(END - 1_000), &BTreeMap::new());
    ledger.add(WINDOW, "w", 1);
    ledger.close(WINDOW);
    let due =
        |aggregator: &mut Aggregator, ledger: &Ledger, at| aggregator.due(WallTime(at), ledger, 2);
    assert_eq!(
        due(&mut aggregator, &ledger, END + 4_000),
        None,
        "one instance is missing"
    );
    let mut late = aggregator.clone();
    let after_max_delay = due(&mut late, &ledger, END + 5_001);
    assert_eq!(after_max_delay, Some((WINDOW, counts(&[("w", 1)]))));
    other.add(WINDOW, "w", 1);
    other.close(WINDOW);
    ledger.merge(other.take_unsent(9));
    assert_eq!(due(&mut aggregator, &ledger, END + 600), None, "too soon");
    let all_closed = due(&mut aggregator, &ledger, END + 800);
    assert_eq!(all_closed, Some((WINDOW, counts(&[("w", 2)]))));
    aggregator.mark_finalized(WINDOW);
    assert_eq!(
        due(&mut aggregator, &ledger, END + 800),
        None,
        "not due twice"
    );
}

/// The lease holder stops after storing a sum and before sending it. Its successor reads the sum
/// from the store and continues with the next window.
#[test]
fn a_successor_does_not_sum_a_stored_window_again() {
    let finalized = BTreeMap::from([(WINDOW, counts(&[("w", 1)]))]);
    let mut aggregator = Aggregator::new(TIMING, WallTime(END + 2_000), &finalized);
    let mut ledger = Ledger::new("successor");
    ledger.add(WINDOW, "w", 7);
    assert_eq!(aggregator.due(WallTime(END + 9_000), &ledger, 1), None);
    let next = aggregator.due(WallTime(END + 5_000 + 5_001), &ledger, 1);
    assert_eq!(next, Some((WINDOW.next(), counts(&[]))));
    // After a long time without a lease holder, windows that are too old are skipped.
    let much_later = WallTime(END + 60_000);
    let mut aggregator = Aggregator::new(TIMING, much_later, &finalized);
    let first = aggregator
        .due(much_later, &ledger, 0)
        .map(|(window, _)| window);
    assert_eq!(first, Some(Window(WINDOW.0 + 10)));
}

/// The store is unavailable when the first sum is due. The window is summed up again when the store
/// is back.
#[test]
fn a_sum_that_was_not_stored_is_computed_again() {
    let mut ledger = Ledger::new("root");
    let mut aggregator = Aggregator::new(TIMING, WallTime(END - 1_000), &BTreeMap::new());
    ledger.add(WINDOW, "w", 1);
    assert!(aggregator.due(WallTime(END + 5_001), &ledger, 0).is_some());
    aggregator.resume(&BTreeMap::new());
    let again = aggregator.due(WallTime(END + 9_000), &ledger, 0);
    assert_eq!(again, Some((WINDOW, counts(&[("w", 1)]))));
    // Another lease holder has stored the sum.
    aggregator.resume(&BTreeMap::from([(WINDOW, counts(&[("w", 2)]))]));
    let next = aggregator.due(WallTime(END + 9_000), &ledger, 0);
    assert_eq!(next, None);
}

/// The root of the tree stops. Its successor first counts only itself, then the others as they link
/// to it. A sum over the few that have linked would be final.
#[test]
fn a_new_root_expects_the_instances_that_have_not_joined_it_yet() {
    let mut instance_count = InstanceCount::default();
    instance_count.observe(Time::from_millis(1_000), 67);
    for (millis, count) in [(3_000, 1), (3_300, 9), (3_600, 40)] {
        instance_count.observe(Time::from_millis(millis), count);
        assert_eq!(instance_count.expected(), 67);
    }
    instance_count.observe(Time::from_millis(16_000), 66);
    assert_eq!(
        instance_count.expected(),
        66,
        "one instance has left permanently"
    );
}

#[test]
fn reports_of_a_stopped_instance_survive_the_loss_of_the_root() {
    let (mut stopped, mut inner_node) = (Ledger::new("dead"), Ledger::new("relay"));
    stopped.add(WINDOW, "w", 2);
    inner_node.merge(stopped.take_unsent(9));
    // These reports were sent to a root that has stopped; the next root gets all reports again.
    inner_node.take_unsent(9);
    let mut root = Ledger::new("next root");
    root.merge(inner_node.all_reports());
    assert_eq!(root.total(WINDOW), counts(&[("w", 2)]));
}

#[test]
fn a_brief_jump_of_the_wall_clock_moves_no_window() {
    let at = |millis| Time::from_millis(millis);
    let mut clock = WallClock::new(at(1_000), 500_000);
    clock.observe(at(1_100), 500_105);
    clock.observe(at(2_000), 503_400);
    clock.observe(at(7_000), 508_400);
    let now = clock.wall_time(at(7_000)).0;
    assert!(now.abs_diff(506_000) <= 40, "{now}");
    clock.observe(at(8_000), 507_000);
    assert!(clock.wall_time(at(8_000)).0.abs_diff(507_000) <= 40);
    // A step that lasts is accepted.
    clock.observe(at(9_000), 518_000);
    clock.observe(at(130_000), 639_000);
    assert_eq!(clock.wall_time(at(130_000)).0, 639_000);
}

/// Operations on three instances and the messages between them.
#[derive(Clone, Debug)]
enum Event {
    Add {
        at: usize,
        window: u64,
        workspace: u8,
    },
    Subtract {
        at: usize,
        window: u64,
        workspace: u8,
    },
    /// Sends the unsent reports from one instance to another; they arrive never, once or twice.
    Send {
        from: usize,
        to: usize,
        times: usize,
    },
    SendAll {
        from: usize,
        to: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let (at, window, workspace) = (0..3_usize, 100..103_u64, 0..3_u8);
    prop_oneof![
        4 => (at.clone(), window.clone(), workspace.clone())
            .prop_map(|(at, window, workspace)| Event::Add { at, window, workspace }),
        1 => (at.clone(), window, workspace)
            .prop_map(|(at, window, workspace)| Event::Subtract { at, window, workspace }),
        3 => (at.clone(), at.clone(), 0..3_usize)
            .prop_map(|(from, to, times)| Event::Send { from, to, times }),
        1 => (at, Just(0_usize)).prop_map(|(from, to)| Event::SendAll { from, to }),
    ]
}

proptest! {
    /// Reports may be lost, duplicated and reordered. After all instances have exchanged all
    /// reports, each has the same correct sums.
    #[test]
    fn all_instances_compute_the_same_sums(events in prop::collection::vec(event(), 0..120)) {
        let mut ledgers = ["a", "b", "c"].map(Ledger::new);
        let mut expected_counts: BTreeMap<(u64, u8), [i64; 3]> = BTreeMap::new();
        let mut late: Vec<Report> = Vec::new();
        for event in events {
            match event {
                Event::Add { at, window, workspace } => {
                    let name = format_compact!("w{workspace}");
                    ledgers[at].add(Window(window), &name, 1);
                    expected_counts.entry((window, workspace)).or_default()[at] += 1;
                }
                Event::Subtract { at, window, workspace } => {
                    let known = expected_counts.entry((window, workspace)).or_default();
                    if known[at] > 0 {
                        known[at] -= 1;
                        let name = format_compact!("w{workspace}");
                        ledgers[at].add(Window(window), &name, -1);
                    }
                }
                Event::Send { from, to, times } => {
                    let sent = ledgers[from].take_unsent(2);
                    late.extend(sent.clone());
                    for _ in 0..times {
                        ledgers[to].merge(sent.clone());
                    }
                }
                Event::SendAll { from, to } => {
                    let all = ledgers[from].all_reports();
                    ledgers[to].merge(all);
                }
            }
        }
        // Old reports that arrive last change nothing.
        for from in 0..3 {
            for to in 0..3 {
                let all = ledgers[from].all_reports();
                ledgers[to].merge(all);
                ledgers[to].merge(late.clone());
            }
        }
        for window in 100..103 {
            let sum = |workspace| expected_counts.get(&(window, workspace)).map_or(0, |c| c.iter().sum::<i64>());
            let expected: Counts = (0..3_u8)
                .filter(|workspace| sum(*workspace) > 0)
                .map(|workspace| (format_compact!("w{workspace}"), sum(workspace) as u64))
                .collect();
            for ledger in &ledgers {
                prop_assert_eq!(ledger.total(Window(window)), expected.clone());
            }
        }
    }
}
