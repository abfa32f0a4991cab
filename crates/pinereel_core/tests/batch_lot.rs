//! A lot's items on their way to fixed positions, with one runner and with several.

use compact_str::{CompactString, format_compact};
use pinereel_core::batch::{CommitLog, Failure, Lot, RetryDecision};
use pinereel_port::lot::{Item, Made, Sample, Submission};
use proptest::{prelude::*, test_runner::Config};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

fn submission(groups: usize, size: usize, wanted: usize) -> Submission {
    let items = (0..groups * size).map(|at| Item {
        id: format_compact!("item-{at}"),
        path: "/x/".into(),
        headers: Vec::new(),
        body: Default::default(),
        prompt: None,
        group: format_compact!("group-{}", at / size),
        length_hint: None,
        scorer: None,
    });
    Submission {
        model: "m".into(),
        oldest_version: 1,
        wanted_groups: wanted,
        items: items.collect(),
    }
}

fn sample(item: &str, text: &str) -> Sample {
    Sample {
        item: item.into(),
        made: Some(Made {
            text: text.into(),
            versions: vec![1],
            score: None,
        }),
    }
}

#[test]
fn long_items_start_first_and_groups_that_came_again_before_all() {
    let mut submission = submission(3, 2, 2);
    for (item, hint) in submission.items.iter_mut().zip([10, 900, 50, 60, 5, 7]) {
        item.length_hint = Some(hint);
    }
    let known = BTreeSet::from([CompactString::from("item-5")]);
    let mut lot = Lot::new(&submission, &known);
    let order: Vec<_> = std::iter::from_fn(|| lot.start()).collect();
    assert_eq!(order, [5, 4, 1, 3, 2, 0]);
}

#[test]
fn an_item_is_given_up_after_its_failures_and_only_then() {
    let mut lot = Lot::new(&submission(1, 3, 1), &BTreeSet::new());
    let at = lot.start().unwrap();
    for failure in [Failure::Interrupted, Failure::Failed, Failure::Interrupted] {
        assert_eq!(lot.run_failed(at, failure, 2), RetryDecision::Retry);
        assert_eq!(lot.start(), Some(at));
    }
    assert_eq!(
        lot.run_failed(at, Failure::Failed, 2),
        RetryDecision::GiveUp
    );
    let other = lot.start().unwrap();
    assert_eq!(
        lot.run_failed(other, Failure::Impossible, 2),
        RetryDecision::GiveUp
    );
}

#[test]
fn a_trainer_is_satisfied_by_whole_groups_with_those_that_came_again() {
    let submission = submission(3, 2, 2);
    let known = BTreeSet::from([CompactString::from("item-4")]);
    let mut lot = Lot::new(&submission, &known);
    while lot.start().is_some() {}
    for at in 0..4 {
        lot.finish(at, sample(&format!("item-{at}"), "x"));
    }
    assert!(
        !lot.will_satisfy_trainer(),
        "the group that came again is missing"
    );
    lot.finish(4, sample("item-4", "x"));
    assert!(!lot.will_satisfy_trainer());
    lot.finish(5, sample("item-5", "x"));
    assert!(lot.will_satisfy_trainer());
}

#[test]
fn what_another_runner_committed_is_not_committed_again() {
    let mut lot = Lot::new(&submission(1, 4, 1), &BTreeSet::new());
    while lot.start().is_some() {}
    for at in 0..3 {
        lot.finish(at, sample(&format!("item-{at}"), "mine"));
    }
    let theirs = vec![sample("item-1", "theirs"), sample("item-3", "theirs")];
    lot.add_segment(0, theirs).unwrap();
    let left: Vec<_> = lot.uncommitted().iter().map(|s| s.item.as_str()).collect();
    assert_eq!(left, ["item-0", "item-2"]);
    assert!(lot.is_finished(3));
}

#[test]
fn a_segment_that_leaves_a_gap_is_refused() {
    let mut commit_log = CommitLog::default();
    commit_log.append(0, vec![sample("a", "x")]).unwrap();
    assert!(commit_log.append(2, vec![sample("b", "x")]).is_err());
    // Seen again, it changes nothing.
    commit_log.append(0, vec![sample("c", "x")]).unwrap();
    assert_eq!(
        (commit_log.next_position(), commit_log.contains("c")),
        (1, false)
    );
}

/// The store's side of a lot: segments that are created only if they do not exist.
#[derive(Default)]
struct Store {
    segments: BTreeMap<usize, Vec<Sample>>,
    /// Creates whose answers were lost and that may still be carried out.
    delayed: Vec<(usize, Vec<Sample>)>,
}

impl Store {
    fn create(&mut self, from: usize, samples: &[Sample]) -> bool {
        let absent = !self.segments.contains_key(&from);
        if absent {
            self.segments.insert(from, samples.to_vec());
        }
        absent
    }

    /// All positions, as a reader of every segment sees them.
    fn positions(&self) -> Vec<Sample> {
        let mut all = Vec::new();
        while let Some(segment) = self.segments.get(&all.len()) {
            all.extend(segment.iter().cloned());
        }
        all
    }
}

/// One instance that believes that it runs the lot.
struct Runner {
    name: usize,
    lot: Lot,
    running: Vec<usize>,
}

impl Runner {
    fn new(name: usize, submission: &Submission, store: &Store) -> Self {
        let mut lot = Lot::new(submission, &BTreeSet::new());
        for (from, samples) in &store.segments {
            lot.add_segment(*from, samples.clone())
                .expect("segments come in order");
        }
        Self {
            name,
            lot,
            running: Vec::new(),
        }
    }

    fn commit(&mut self, rng: &mut ChaCha8Rng, store: &mut Store) {
        let uncommitted = self.lot.uncommitted();
        if uncommitted.is_empty() {
            return;
        }
        let count = rng.random_range(1..=uncommitted.len().min(4));
        let samples = uncommitted[..count].to_vec();
        let from = self.lot.commit_log().next_position();
        match rng.random_range(0..10) {
            // The request is lost, or carried out at some later time.
            0 => {}
            1 => store.delayed.push((from, samples)),
            // Carried out, and the answer is lost: the runner looks.
            2 => {
                store.create(from, &samples);
                self.look(store);
            }
            _ if store.create(from, &samples) => {
                self.lot
                    .add_segment(from, samples)
                    .expect("it is the next one");
            }
            _ => self.look(store),
        }
    }

    fn look(&mut self, store: &Store) {
        let from = self.lot.commit_log().next_position();
        if let Some(samples) = store.segments.get(&from) {
            self.lot
                .add_segment(from, samples.clone())
                .expect("segments come in order");
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, store: &mut Store) {
        match rng.random_range(0..4) {
            0 => self.running.extend(self.lot.start()),
            1 if !self.running.is_empty() => {
                let at = self
                    .running
                    .swap_remove(rng.random_range(0..self.running.len()));
                if rng.random_bool(0.2) {
                    self.lot.run_failed(at, Failure::Interrupted, 3);
                } else if !self.lot.is_finished(at) {
                    // Two runners make different texts of one item.
                    let text = format!("{}-{}", self.name, rng.random::<u32>());
                    self.lot.finish(at, sample(&format!("item-{at}"), &text));
                }
            }
            2 => self.look(store),
            _ => self.commit(rng, store),
        }
    }
}

/// Runs several runners until the lot is whole; the oracle knows only the positions shown.
fn play(seed: u64, steps: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let submission = submission(4, 5, 3);
    let mut store = Store::default();
    let mut runners: Vec<_> = (0..3)
        .map(|n| Runner::new(n, &submission, &store))
        .collect();
    let mut shown: Vec<Sample> = Vec::new();
    for step in 0..steps {
        let index = rng.random_range(0..runners.len());
        runners[index].step(&mut rng, &mut store);
        if rng.random_bool(0.05) && !store.delayed.is_empty() {
            let at = rng.random_range(0..store.delayed.len());
            let (from, samples) = store.delayed.swap_remove(at);
            store.create(from, &samples);
        }
        if rng.random_bool(0.01) {
            // Killed, and started again with what the store holds.
            runners[index] = Runner::new(step, &submission, &store);
        }
        let now = store.positions();
        assert!(now.len() >= shown.len(), "a position went away");
        assert_eq!(now[..shown.len()], shown[..], "a position changed");
        shown = now;
        let items: BTreeSet<_> = shown.iter().map(|s| &s.item).collect();
        assert_eq!(items.len(), shown.len(), "an item has two positions");
    }
    shown.len()
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Config::default() })]
    #[test]
    fn positions_never_change_however_many_run_the_lot(seed in any::<u64>()) {
        // 64 cases of 2,000 transitions; PINEREEL_TRANSITIONS asks for more of them a case.
        let steps = std::env::var("PINEREEL_TRANSITIONS");
        let steps = steps.ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
        prop_assert_eq!(play(seed, steps), 20);
    }
}
