//! Randomized fault tests of the two-phase commit: an accepted patch is in force at every instance
//! within 5 s and never reverts, and a refused patch never comes into force.

use config_sim::{Op, Sim};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use std::collections::BTreeMap;

mod config_sim;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (50u64..4_000).prop_map(Op::Run),
        5 => (0usize..9, 0u64..24, any::<prop::sample::Index>()).prop_map(propose),
        1 => (0usize..9).prop_map(Op::Kill),
        2 => (0usize..9).prop_map(Op::Restart),
        2 => (0usize..9, 100u64..9_000).prop_map(|(e, t)| Op::Pause(e, t)),
        1 => any::<u16>().prop_map(Op::PartitionPeers),
        1 => any::<u16>().prop_map(Op::PartitionApi),
        1 => any::<bool>().prop_map(Op::ApiOutage),
        1 => (0u32..40).prop_map(Op::LossPercent),
        1 => (0u64..1_500).prop_map(Op::MaxExtraDelayMs),
        1 => Just(Op::Join),
        1 => (0usize..9).prop_map(Op::RemoveWrongly),
        4 => Just(Op::EndFaults),
    ]
}

/// Single operations, and two sequences that are rare among random operations: a fault within a few
/// message delays of a patch, and a patch after an instance was wrongly removed from the members.
fn ops() -> impl Strategy<Value = Vec<Op>> {
    let patch = || (0usize..9, 0u64..24, any::<prop::sample::Index>()).prop_map(propose);
    let fault = prop_oneof![
        (any::<u16>(), any::<u16>())
            .prop_map(|(a, b)| vec![Op::PartitionPeers(a), Op::PartitionApi(b)]),
        any::<u16>().prop_map(|mask| vec![Op::PartitionPeers(mask), Op::PartitionApi(mask)]),
        (0usize..9).prop_map(|e| vec![Op::Kill(e)]),
        (0usize..9, 1_500u64..9_000).prop_map(|(e, t)| vec![Op::Pause(e, t)]),
        Just(vec![Op::ApiOutage(true)]),
        Just(vec![Op::Join]),
    ];
    let patch_then_fault =
        (patch(), 1u64..150, fault, 2_000u64..9_000).prop_map(|(patch, gap, fault, t)| {
            [
                vec![Op::EndFaults, Op::Run(500), patch, Op::Run(gap)],
                fault,
                vec![Op::Run(t)],
            ]
            .concat()
        });
    let patch_after_removal = (0usize..9, patch(), 1u64..3_000).prop_map(|(instance, patch, t)| {
        vec![
            Op::EndFaults,
            Op::RemoveWrongly(instance),
            Op::Run(10_500),
            patch,
            Op::Run(t),
            Op::Run(6_000),
        ]
    });
    let part = prop_oneof![
        12 => op().prop_map(|op| vec![op]),
        3 => patch_then_fault,
        1 => patch_after_removal,
    ];
    prop::collection::vec(part, 5..40).prop_map(|parts| parts.concat())
}

/// Proposes a patch, mostly with the content that belongs to its id, sometimes with other content
/// or a wrong base.
fn propose((instance, patch, variant): (usize, u64, prop::sample::Index)) -> Op {
    let variant = variant.index(10);
    let content = if variant == 0 { patch + 100 } else { patch };
    Op::Propose {
        instance,
        patch,
        content,
        stale: variant == 1,
    }
}

fn run(instances: usize, seed: u64, ops: &[Op]) -> Sim {
    let mut sim = Sim::new(instances, seed);
    for op in ops {
        sim.apply(op);
    }
    sim.recover();
    sim.check_refused();
    let number = sim.stored.number;
    assert!(
        sim.admitted().iter().all(|n| *n == Some(number)),
        "{:?}",
        sim.admitted()
    );
    // After any faults, the next patch is accepted and comes into force at all instances.
    let before = sim.count("accepted");
    sim.propose(0, 1_000, 1_000, false);
    sim.run(12_000);
    assert_eq!(
        sim.count("accepted"),
        before + 1,
        "{:?}",
        sim.oracle.answers
    );
    let next = Some(number + 1);
    assert!(
        sim.admitted().iter().all(|n| *n == next),
        "{next:?}: {:?}",
        sim.admitted()
    );
    sim.check_refused();
    sim
}

#[test]
fn accepted_patches_come_into_force_and_refused_ones_never_do_under_random_faults() {
    let cases = std::env::var("CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(300);
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(9);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let totals = std::cell::RefCell::new(BTreeMap::<&str, u64>::new());
    let input = (3usize..8, any::<u64>(), ops());
    let outcome = TestRunner::new(config).run(&input, |(instances, seed, ops)| {
        let sim = run(instances, seed, &ops);
        let mut totals = totals.borrow_mut();
        *totals.entry("cases").or_default() += 1;
        *totals.entry("operations").or_default() += ops.len() as u64;
        *totals.entry("events").or_default() += sim.events;
        *totals.entry("admission checks").or_default() += sim.oracle.checks;
        for (kind, count) in sim.oracle.answers {
            *totals.entry(kind).or_default() += count;
        }
        Ok(())
    });
    println!("{:#?}", totals.borrow());
    if let Err(error) = outcome {
        panic!("{error}");
    }
    for kind in [
        "accepted",
        "not confirmed",
        "conflict",
        "reused",
        "taken back",
        "late",
    ] {
        assert!(
            totals.borrow().contains_key(kind),
            "no case with the answer `{kind}`"
        );
    }
}

/// The proposer is killed right after its patch is accepted, and the patch is repeated at an
/// instance that is partitioned from its peers and the object API. The repeat must not be answered
/// as refused.
#[test]
fn regression_a_repeat_at_a_partitioned_instance_is_not_refused() {
    let patch = |instance| Op::Propose {
        instance,
        patch: 8,
        content: 8,
        stale: false,
    };
    // The time of the acceptance differs by seed, so the kill is tried at many times.
    for seed in 0..60 {
        let ops = [
            patch(2),
            Op::Run(100 + 4 * seed),
            Op::Kill(2),
            Op::Run(7_747),
            Op::RemoveWrongly(0),
            patch(0),
            Op::Run(10_500),
        ];
        run(3, seed, &ops);
    }
}
