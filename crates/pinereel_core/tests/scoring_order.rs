//! Order of waiting scorings.
//!
//! Guards against steps that wait for scorings which no trainer needs yet. Processed first in, first
//! out, the scorings of a newer step delay the last group of an older one.

use compact_str::format_compact;
use pinereel_core::{
    Time,
    batch::Lot,
    scoring::{self, Rank},
};
use pinereel_port::lot::{Item, Sample, Submission};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

const GROUPS: usize = 10;
const GROUP_SIZE: usize = 16;
const REQUIRED_GROUPS: usize = 9;
/// Time of a scoring in ms.
const SCORING_TIME: u64 = 200;
/// Time in ms of one attempt of a scoring that fails at every endpoint.
const FAILING_ATTEMPT_TIME: u64 = 330;
/// One scoring in this many fails at every endpoint.
const FAILING_ONE_IN: u32 = 100;
/// Time from one step to the next, in ms.
const STEP_INTERVAL: u64 = 2_000;
const STEPS: usize = 3;

const fn rank(step_satisfied: bool, opened_at: u64, unfinished_in_group: usize) -> Rank {
    Rank {
        step_satisfied,
        opened_at: Time::from_millis(opened_at),
        unfinished_in_group,
    }
}

#[test]
fn the_scoring_that_lets_a_trainer_continue_soonest_is_first() {
    let waiting = [
        rank(true, 0, 1),
        rank(false, 4_000, 1),
        rank(false, 1_000, 5),
        rank(false, 1_000, 2),
        rank(false, 1_000, 2),
    ];
    assert_eq!(scoring::next(waiting, true), Some(3));
    assert_eq!(scoring::next(waiting[..3].to_vec(), true), Some(2));
    assert_eq!(scoring::next(waiting[..2].to_vec(), true), Some(1));
    assert_eq!(scoring::next([], true), None);
}

/// Without load reports the order stays first in, first out.
#[test]
fn without_load_reports_the_first_arrival_is_first() {
    let waiting = [rank(true, 9, 9), rank(false, 0, 1)];
    assert_eq!(scoring::next(waiting, false), Some(0));
}

fn lot() -> Lot {
    let items = (0..GROUPS * GROUP_SIZE).map(|at| Item {
        id: format_compact!("item-{at}"),
        path: "/x/".into(),
        headers: Vec::new(),
        body: Default::default(),
        group: format_compact!("group-{}", at / GROUP_SIZE),
        output_tokens_hint: None,
        scorer: None,
    });
    let submission = Submission {
        model: "m".into(),
        min_version: 1,
        required_groups: REQUIRED_GROUPS,
        items: items.collect(),
    };
    Lot::new(&submission, &BTreeSet::new())
}

fn sample(index: usize) -> Sample {
    Sample {
        item: format_compact!("item-{index}"),
        output: None,
    }
}

#[test]
fn items_of_a_group_count_as_finished_once_before_and_after_their_commit() {
    let mut lot = lot();
    assert_eq!(lot.unfinished_in_group(0), GROUP_SIZE);
    lot.finish(0, sample(0));
    lot.finish(0, sample(0));
    assert_eq!(lot.unfinished_in_group(1), GROUP_SIZE - 1);
    // One sample that this runner finished, and one that another runner committed.
    lot.add_segment(0, vec![sample(0), sample(1)]).unwrap();
    lot.add_segment(0, vec![sample(0), sample(1)]).unwrap();
    assert_eq!(lot.unfinished_in_group(2), GROUP_SIZE - 2);
    assert_eq!(lot.unfinished_in_group(GROUP_SIZE), GROUP_SIZE);
}

/// What a simulation depends on.
#[derive(Clone, Copy)]
struct Case {
    ordered: bool,
    /// Concurrent scorings of the runner.
    permits: usize,
    /// Time in ms of a scoring that fails at every endpoint.
    failing_time: u64,
}

/// Time in ms from the opening of each lot until its trainer has the groups that it waits for. The
/// texts of a lot are complete at random times within a step interval.
fn step_times(case: Case, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut lots: Vec<_> = (0..STEPS).map(|_| lot()).collect();
    let mut times = vec![None; STEPS];
    // Time, whether a scoring ends (otherwise a text is complete), lot and item.
    let mut events = BinaryHeap::new();
    for step in 0..STEPS {
        for item in 0..GROUPS * GROUP_SIZE {
            let at = step as u64 * STEP_INTERVAL + rng.random_range(0..STEP_INTERVAL);
            events.push(Reverse((at, false, step, item)));
        }
    }
    let (mut waiting, mut free): (Vec<(usize, usize)>, _) = (Vec::new(), case.permits);
    while let Some(Reverse((now, is_end, step, item))) = events.pop() {
        if is_end {
            free += 1;
            lots[step].finish(item, sample(item));
            if lots[step].will_satisfy_trainer() {
                times[step].get_or_insert(now - step as u64 * STEP_INTERVAL);
            }
        } else {
            waiting.push((step, item));
        }
        while free > 0 {
            let satisfied: Vec<_> = lots.iter().map(Lot::will_satisfy_trainer).collect();
            let ranks = waiting.iter().map(|(step, item)| Rank {
                step_satisfied: satisfied[*step],
                opened_at: Time::from_millis(*step as u64 * STEP_INTERVAL),
                unfinished_in_group: lots[*step].unfinished_in_group(*item),
            });
            let Some(position) = scoring::next(ranks, case.ordered) else {
                break;
            };
            let (step, item) = waiting.remove(position);
            free -= 1;
            let mut chance = ChaCha8Rng::seed_from_u64(seed ^ ((step * 1_000 + item) as u64) << 8);
            let fails = chance.random_ratio(1, FAILING_ONE_IN);
            let took = if fails {
                case.failing_time
            } else {
                SCORING_TIME
            };
            events.push(Reverse((now + took, true, step, item)));
        }
    }
    times.into_iter().map(Option::unwrap).collect()
}

/// Two steps of a trainer overlap, and more scorings are ready than may run.
#[test]
fn steps_are_complete_sooner_than_first_in_first_out() {
    let case = |ordered| Case {
        ordered,
        permits: 10,
        failing_time: SCORING_TIME,
    };
    for seed in 1..=5 {
        let (former, new) = (step_times(case(false), seed), step_times(case(true), seed));
        println!("seed {seed}: first in, first out {former:?} ms, ordered {new:?} ms");
        for (former, new) in former.iter().zip(&new) {
            assert!(new < former, "seed {seed}: {former} ms, {new} ms");
        }
    }
}

/// A scoring that fails at four endpoints one after the other delays its group by 1.3 s. With the
/// attempts after the first one at the same time, it takes two attempts. There are more permits than
/// scorings here, because attempts run together only while endpoints report free slots.
#[test]
fn steps_are_complete_sooner_if_the_attempts_of_failing_scorings_run_together() {
    let case = |failing_time| Case {
        ordered: true,
        permits: 60,
        failing_time,
    };
    let mut sums = (0, 0);
    for seed in 1..=10 {
        let former = step_times(case(4 * FAILING_ATTEMPT_TIME), seed);
        let new = step_times(case(2 * FAILING_ATTEMPT_TIME), seed);
        for (former, new) in former.iter().zip(&new) {
            assert!(new <= former, "seed {seed}: {former} ms, {new} ms");
            sums = (sums.0 + former, sums.1 + new);
        }
    }
    let steps = 10 * STEPS as u64;
    println!(
        "mean step {} ms, together {} ms",
        sums.0 / steps,
        sums.1 / steps
    );
    assert!(sums.1 < sums.0);
}
