//! What is still to be done of a lot.

use super::{Committed, Gap};
use compact_str::CompactString;
use pinereel_port::lot::{Sample, Submission};
use std::collections::{BTreeMap, BTreeSet};

/// Why an item's run or its scoring brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint answered that this can never be done.
    Impossible,
    /// It broke off, or there was no place for it: says nothing about the item.
    Interrupted,
}

/// What becomes of an item after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is tried again.
    Retry,
    /// It is given up and listed so.
    GiveUp,
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    /// Waits, and is not to be started now.
    Held,
    Running,
    /// Finished, not committed yet.
    Made,
    Listed,
}

#[derive(Clone, Debug)]
struct Item {
    group: usize,
    phase: Phase,
    /// Runs that ended in a failure of the engine.
    failed_runs: u32,
    /// Scorings that ended in a failure of the scorer.
    failed_scores: u32,
    /// The smaller, the sooner.
    rank: (bool, u32, usize),
}

#[derive(Clone, Debug, Default)]
struct Group {
    items: usize,
    listed: usize,
    /// Came again from an earlier step: the trainer waits for it in any case.
    carried: bool,
}

/// One lot as its runner sees it.
#[derive(Clone, Debug)]
pub struct Lot {
    items: Vec<Item>,
    index: BTreeMap<CompactString, usize>,
    groups: Vec<Group>,
    wanted_groups: usize,
    committed: Committed,
    /// Finished and not committed, in order of their ends.
    unlisted: Vec<Sample>,
}

/// Tokens of an item without an estimate of its length: about the middle.
pub const USUAL_LENGTH: u32 = 500;

impl Lot {
    /// A lot of which nothing is done. `known` are ids of items of earlier lots.
    pub fn new(submission: &Submission, known: &BTreeSet<CompactString>) -> Self {
        let mut names: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut items = Vec::new();
        let mut index = BTreeMap::new();
        for (at, item) in submission.items.iter().enumerate() {
            let group = *names.entry(&item.group).or_insert_with(|| {
                groups.push(Group::default());
                groups.len() - 1
            });
            groups[group].items += 1;
            groups[group].carried |= known.contains(&item.id);
            index.insert(item.id.clone(), at);
            items.push(Item {
                group,
                phase: Phase::Waiting,
                failed_runs: 0,
                failed_scores: 0,
                rank: (true, 0, at),
            });
        }
        for (item, sent) in items.iter_mut().zip(&submission.items) {
            // The longest first: what begins last should be short.
            let length = sent.length_hint.unwrap_or(USUAL_LENGTH);
            item.rank.0 = !groups[item.group].carried;
            item.rank.1 = u32::MAX - length;
        }
        Self {
            items,
            index,
            groups,
            wanted_groups: submission.wanted_groups,
            committed: Committed::default(),
            unlisted: Vec::new(),
        }
    }

    /// Items of the lot.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// What is committed.
    pub const fn committed(&self) -> &Committed {
        &self.committed
    }

    /// Items that wait for an engine.
    pub fn waiting(&self) -> usize {
        let waiting = self.items.iter().filter(|i| i.phase == Phase::Waiting);
        waiting.count()
    }

    /// The item to start next, which counts as running from now on.
    pub fn start(&mut self) -> Option<usize> {
        let waiting = self.items.iter().enumerate();
        let (at, _) = waiting
            .filter(|(_, item)| item.phase == Phase::Waiting)
            .min_by_key(|(_, item)| item.rank)?;
        self.items[at].phase = Phase::Running;
        Some(at)
    }

    /// An item that was to be started must wait until [`Lot::release`]: others go first.
    pub fn hold(&mut self, at: usize) {
        self.items[at].phase = Phase::Held;
    }

    /// Items that had to wait may be started again.
    pub fn release(&mut self) {
        let held = self.items.iter_mut().filter(|i| i.phase == Phase::Held);
        held.for_each(|item| item.phase = Phase::Waiting);
    }

    /// A run ended without a result.
    pub fn run_failed(&mut self, at: usize, failure: Failure, max_attempts: u32) -> RetryDecision {
        let item = &mut self.items[at];
        if item.phase != Phase::Running {
            return RetryDecision::Retry;
        }
        item.failed_runs += u32::from(failure == Failure::Failed);
        item.phase = Phase::Waiting;
        retry_decision(failure, item.failed_runs, max_attempts)
    }

    /// A scoring ended without a score.
    pub fn score_failed(
        &mut self,
        at: usize,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let item = &mut self.items[at];
        item.failed_scores += u32::from(failure == Failure::Failed);
        retry_decision(failure, item.failed_scores, max_attempts)
    }

    /// An item is done, with a text or given up.
    pub fn finish(&mut self, at: usize, sample: Sample) {
        let item = &mut self.items[at];
        if matches!(item.phase, Phase::Made | Phase::Listed) {
            return;
        }
        item.phase = Phase::Made;
        self.unlisted.push(sample);
    }

    /// What the next segment should hold.
    pub fn unlisted(&self) -> &[Sample] {
        &self.unlisted
    }

    /// Takes over a segment that stands in the store, of this runner or of another one.
    ///
    /// # Errors
    /// A segment before it is missing.
    pub fn list(&mut self, from: usize, samples: Vec<Sample>) -> Result<(), Gap> {
        let known = from < self.committed.next_position();
        let ids: Vec<_> = samples.iter().map(|s| s.item.clone()).collect();
        self.committed.append(from, samples)?;
        if known {
            return Ok(());
        }
        for id in ids {
            self.note_listed(&id);
        }
        let committed = &self.committed;
        self.unlisted
            .retain(|sample| !committed.contains(&sample.item));
        Ok(())
    }

    fn note_listed(&mut self, id: &str) {
        let Some(at) = self.index.get(id) else {
            return;
        };
        let item = &mut self.items[*at];
        if item.phase != Phase::Listed {
            item.phase = Phase::Listed;
            self.groups[item.group].listed += 1;
        }
    }

    /// Whether the item is listed or waits only for its commit.
    pub fn is_done(&self, at: usize) -> bool {
        matches!(self.items[at].phase, Phase::Made | Phase::Listed)
    }

    /// Whether every item is listed.
    pub fn is_complete(&self) -> bool {
        self.committed.samples().len() >= self.items.len()
    }

    /// Whether the trainer has all that it waits for once `unlisted` is committed: then it should
    /// not wait for more to be committed together.
    pub fn satisfies(&self) -> bool {
        let mut done: Vec<_> = self.groups.iter().map(|group| group.listed).collect();
        for sample in &self.unlisted {
            if let Some(at) = self.index.get(&sample.item) {
                done[self.items[*at].group] += 1;
            }
        }
        let whole = |(group, done): &(&Group, &usize)| **done >= group.items;
        let groups = || self.groups.iter().zip(&done);
        let carried = groups()
            .filter(|(group, _)| group.carried)
            .all(|g| whole(&g));
        carried && groups().filter(whole).count() >= self.wanted_groups
    }
}

const fn retry_decision(failure: Failure, failures: u32, max_attempts: u32) -> RetryDecision {
    match failure {
        Failure::Impossible => RetryDecision::GiveUp,
        Failure::Failed if failures >= max_attempts => RetryDecision::GiveUp,
        Failure::Failed | Failure::Interrupted => RetryDecision::Retry,
    }
}
