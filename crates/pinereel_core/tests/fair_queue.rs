//! Fair queueing: higher classes first, shares in proportion to weights, bounded length.

use pinereel_core::fair::{Class, Queue};
use proptest::{prelude::*, test_runner::RngSeed};

#[test]
fn classes_take_precedence_over_weights() {
    let mut queue = Queue::new(8);
    queue.push("heavy", Class::Bulk, 100, 1, "bulk").unwrap();
    queue
        .push("light", Class::Straggler, 1, 9, "straggler")
        .unwrap();
    queue.push("light", Class::Live, 1, 9, "live").unwrap();
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["live", "straggler", "bulk"]);
    assert!(queue.is_empty());
}

#[test]
fn a_full_queue_gives_the_item_back() {
    let mut queue = Queue::new(1);
    queue.push("a", Class::Bulk, 1, 1, 1).unwrap();
    assert_eq!(queue.push("a", Class::Bulk, 1, 1, 2), Err(2));
}

#[test]
fn an_idle_flow_accumulates_no_credit() {
    let mut queue = Queue::new(1_000);
    for _ in 0..100 {
        queue.push("busy", Class::Bulk, 1, 1, "busy").unwrap();
    }
    assert_eq!((0..50).filter_map(|_| queue.pop()).count(), 50);
    for _ in 0..100 {
        queue.push("late", Class::Bulk, 1, 1, "late").unwrap();
    }
    let next: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
    let late = next.iter().filter(|flow| **flow == "late").count();
    assert!((9..=11).contains(&late), "{late} of 20");
}

#[test]
fn backlogged_flows_share_by_weight() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        cases: 128,
        ..Default::default()
    };
    proptest!(config, |(wa in 1..6_u32, wb in 1..6_u32, ca in 1..9_u64, cb in 1..9_u64)| {
        let mut queue = Queue::new(2_000);
        for _ in 0..1_000 {
            queue.push("a", Class::Bulk, wa, ca, (0, ca)).unwrap();
            queue.push("b", Class::Bulk, wb, cb, (1, cb)).unwrap();
        }
        let mut served = [0_u64; 2];
        for _ in 0..400 {
            let (flow, cost) = queue.pop().unwrap();
            served[flow] += cost;
            // Weighted shares differ by at most the largest item of each flow.
            let a = served[0] as f64 / f64::from(wa);
            let b = served[1] as f64 / f64::from(wb);
            let max_difference = ca as f64 / f64::from(wa) + cb as f64 / f64::from(wb);
            prop_assert!((a - b).abs() <= max_difference + 0.5, "{a} {b}");
        }
    });
}
