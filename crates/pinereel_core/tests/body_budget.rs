//! Memory of response bodies, over orders of parts, ends and deliveries.

use pinereel_core::body_budget::{MIN_SHARE, Usage};
use proptest::prelude::*;

const MAX_BYTES: usize = 64 << 20;

#[derive(Clone, Debug)]
enum Action {
    /// A body of a reader gets a part of this length.
    Part(usize, usize),
    Ended(usize),
    /// The oldest complete body is delivered.
    Delivered,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        10 => (0..40_usize, 1..4_000_000_usize).prop_map(|(i, len)| Action::Part(i, len)),
        2 => (0..40_usize).prop_map(Action::Ended),
        1 => Just(Action::Delivered),
    ]
}

fn usage(bodies: &[Option<usize>], held: &[usize]) -> Usage {
    Usage {
        max_bytes: MAX_BYTES,
        reading: bodies.iter().flatten().count(),
        read_bytes: bodies.iter().flatten().sum(),
        held_bytes: held.iter().sum(),
    }
}

proptest! {
    /// Whatever endpoints send, all bodies together stay within twice the budget and the shares that are
    /// always granted, and a short body is always read.
    #[test]
    fn bodies_stay_within_their_memory(actions in prop::collection::vec(action(), 1..400)) {
        let mut bodies: Vec<Option<usize>> = vec![None; 40];
        let mut held: Vec<usize> = Vec::new();
        for action in actions {
            match action {
                Action::Part(index, part) => {
                    bodies[index].get_or_insert(0);
                    let usage = usage(&bodies, &held);
                    let length = bodies[index].unwrap_or_default() + part;
                    let admitted = usage.admits(length, part);
                    prop_assert!(admitted || length > MIN_SHARE);
                    bodies[index] = admitted.then_some(length);
                }
                Action::Ended(index) => held.extend(bodies[index].take()),
                Action::Delivered if !held.is_empty() => drop(held.remove(0)),
                Action::Delivered => {}
            }
            let usage = usage(&bodies, &held);
            let total = usage.read_bytes + usage.held_bytes;
            let always_granted = MIN_SHARE * (bodies.len() + held.len());
            prop_assert!(total <= 2 * MAX_BYTES + always_granted, "{usage:?}");
        }
    }
}

/// Short bodies are read to the end beside one without an end.
#[test]
fn the_longest_body_is_cut_first() {
    let usage = Usage {
        max_bytes: MAX_BYTES,
        reading: 9,
        read_bytes: MAX_BYTES,
        held_bytes: 0,
    };
    assert!(usage.admits(MAX_BYTES / 9, 1));
    assert!(!usage.admits(MAX_BYTES / 2, 1));
}
