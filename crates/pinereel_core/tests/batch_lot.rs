//! Items of a lot from the queue to their committed positions, with one runner and with several.

use compact_str::{CompactString, format_compact};
use pinereel_core::batch::{CommitLog, Failure, Lot, RetryDecision};
use pinereel_port::lot::{Item, Output, Sample, Submission};
use proptest::{prelude::*, test_runner::Config};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

fn submission(groups: usize, size: usize, required_groups: usize) -> Submission {
    let items = (0..groups * size).map(|at| Item {
        id: format_compact!("item-{at}"),
        path: "/x/".into(),
        headers: Vec::new(),
        body: Default::default(),
        group: format_compact!("group-{}", at / size),
        output_tokens_hint: None,
        scorer: None,
    });
    Submission {
        model: "m".into(),
        min_version: 1,
        required_groups,
        items: items.collect(),
    }
}

fn sample(item: &str, text: &str) -> Sample {
    Sample {
        item: item.into(),
        output: Some(Output {
            text: text.into(),
            versions: vec![1],
            score: None,
        }),
    }
}

#[test]
fn resubmitted_groups_start_first_then_long_items() {
    let mut submission = submission(3, 2, 2);
    for (item, hint) in submission.items.iter_mut().zip([10, 900, 50, 60, 5, 7]) {
        item.output_tokens_hint = Some(hint);
    }
    let known = BTreeSet::from([CompactString::from("item-5")]);
    let mut lot = Lot::new(&submission, &known);
    let order: Vec<_> = std::iter::from_fn(|| lot.start()).collect();
    assert_eq!(order, [5, 4, 1, 3, 2, 0]);
}

#[test]
fn an_item_is_given_up_only_after_its_allowed_failures() {
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

/// Guards against counting requests instead of endpoints: a scoring that always fails ran on 16
/// endpoints one after the other, and held back its group for 5 s, where four attempts are allowed.
#[test]
fn a_scoring_that_always_fails_is_given_up_after_its_allowed_endpoints() {
    const MAX_ATTEMPTS: u32 = 4;
    let mut lot = Lot::new(&submission(1, 1, 1), &BTreeSet::new());
    let index = lot.start().expect("one item is queued");
    assert_eq!(
        lot.scorings_failed(index, MAX_ATTEMPTS, MAX_ATTEMPTS),
        RetryDecision::GiveUp
    );
    let mut lot = Lot::new(&submission(1, 1, 1), &BTreeSet::new());
    let index = lot.start().expect("one item is queued");
    // Lost answers and rejections are no attempts.
    for (failures, expected) in [
        (3, RetryDecision::Retry),
        (0, RetryDecision::Retry),
        (1, RetryDecision::GiveUp),
    ] {
        assert_eq!(lot.scorings_failed(index, failures, MAX_ATTEMPTS), expected);
    }
}

#[test]
fn a_trainer_is_satisfied_by_complete_groups_including_resubmitted_ones() {
    let submission = submission(3, 2, 2);
    let known = BTreeSet::from([CompactString::from("item-4")]);
    let mut lot = Lot::new(&submission, &known);
    while lot.start().is_some() {}
    for at in 0..4 {
        lot.finish(at, sample(&format!("item-{at}"), "x"));
    }
    assert!(
        !lot.will_satisfy_trainer(),
        "the resubmitted group is missing"
    );
    lot.finish(4, sample("item-4", "x"));
    assert!(!lot.will_satisfy_trainer());
    lot.finish(5, sample("item-5", "x"));
    assert!(lot.will_satisfy_trainer());
}

#[test]
fn results_committed_by_another_runner_are_not_committed_again() {
    let mut lot = Lot::new(&submission(1, 4, 1), &BTreeSet::new());
    while lot.start().is_some() {}
    for at in 0..3 {
        lot.finish(at, sample(&format!("item-{at}"), "mine"));
    }
    let theirs = vec![sample("item-1", "theirs"), sample("item-3", "theirs")];
    lot.add_segment(0, theirs).unwrap();
    let uncommitted: Vec<_> = lot.uncommitted().iter().map(|s| s.item.as_str()).collect();
    assert_eq!(uncommitted, ["item-0", "item-2"]);
    assert!(lot.is_finished(3));
}

#[test]
fn a_segment_that_leaves_a_gap_is_refused() {
    let mut commit_log = CommitLog::default();
    commit_log.append(0, vec![sample("a", "x")]).unwrap();
    assert!(commit_log.append(2, vec![sample("b", "x")]).is_err());
    // A segment that is known already changes nothing.
    commit_log.append(0, vec![sample("c", "x")]).unwrap();
    assert_eq!(
        (commit_log.next_position(), commit_log.contains("c")),
        (1, false)
    );
}

/// Fake object store that creates a segment only if it is absent.
#[derive(Default)]
struct Store {
    segments: BTreeMap<usize, Vec<Sample>>,
    /// Create calls without an answer that may still take effect.
    pending_creates: Vec<(usize, Vec<Sample>)>,
}

impl Store {
    fn create(&mut self, from: usize, samples: &[Sample]) -> bool {
        let absent = !self.segments.contains_key(&from);
        if absent {
            self.segments.insert(from, samples.to_vec());
        }
        absent
    }

    /// All committed samples in the order of their positions, as a reader sees them.
    fn committed_samples(&self) -> Vec<Sample> {
        let mut all = Vec::new();
        while let Some(segment) = self.segments.get(&all.len()) {
            all.extend(segment.iter().cloned());
        }
        all
    }
}

/// One of several instances that run the same lot at the same time.
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
            // The call is lost, or takes effect later.
            0 => {}
            1 => store.pending_creates.push((from, samples)),
            // The call takes effect, and its answer is lost: the runner reads the segment.
            2 => {
                store.create(from, &samples);
                self.read_next_segment(store);
            }
            _ if store.create(from, &samples) => {
                self.lot
                    .add_segment(from, samples)
                    .expect("the segment is the next one");
            }
            _ => self.read_next_segment(store),
        }
    }

    fn read_next_segment(&mut self, store: &Store) {
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
                    // Two runners produce different texts for one item.
                    let text = format!("{}-{}", self.name, rng.random::<u32>());
                    self.lot.finish(at, sample(&format!("item-{at}"), &text));
                }
            }
            2 => self.read_next_segment(store),
            _ => self.commit(rng, store),
        }
    }
}

/// Drives several runners and checks after each step that no committed position changes, disappears
/// or repeats an item.
fn run_simulation(seed: u64, steps: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let submission = submission(4, 5, 3);
    let mut store = Store::default();
    let mut runners: Vec<_> = (0..3)
        .map(|n| Runner::new(n, &submission, &store))
        .collect();
    let mut committed: Vec<Sample> = Vec::new();
    for step in 0..steps {
        let index = rng.random_range(0..runners.len());
        runners[index].step(&mut rng, &mut store);
        if rng.random_bool(0.05) && !store.pending_creates.is_empty() {
            let at = rng.random_range(0..store.pending_creates.len());
            let (from, samples) = store.pending_creates.swap_remove(at);
            store.create(from, &samples);
        }
        if rng.random_bool(0.01) {
            // The runner crashes and restarts from the segments in the store.
            runners[index] = Runner::new(step, &submission, &store);
        }
        let now = store.committed_samples();
        assert!(
            now.len() >= committed.len(),
            "a committed position disappeared"
        );
        assert_eq!(
            now[..committed.len()],
            committed[..],
            "a committed position changed"
        );
        committed = now;
        let items: BTreeSet<_> = committed.iter().map(|s| &s.item).collect();
        assert_eq!(items.len(), committed.len(), "an item has two positions");
    }
    committed.len()
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Config::default() })]
    #[test]
    fn positions_never_change_with_concurrent_runners(seed in any::<u64>()) {
        // 64 cases of 2,000 transitions each; PINEREEL_TRANSITIONS sets the transitions per case.
        let steps = std::env::var("PINEREEL_TRANSITIONS");
        let steps = steps.ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
        prop_assert_eq!(run_simulation(seed, steps), 20);
    }
}
