//! What is still to be done of a lot.

use super::{CommitLog, Gap};
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
    Queued,
    /// Waits, and is not to be started now.
    Deferred,
    Running,
    /// Finished, not committed yet.
    Finished,
    Committed,
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
    priority: (bool, u32, usize),
}

#[derive(Clone, Debug, Default)]
struct Group {
    items: usize,
    committed_items: usize,
    /// Came again from an earlier step: the trainer waits for it in any case.
    resubmitted: bool,
}

/// One lot as its runner sees it.
#[derive(Clone, Debug)]
pub struct Lot {
    items: Vec<Item>,
    index_by_id: BTreeMap<CompactString, usize>,
    groups: Vec<Group>,
    wanted_groups: usize,
    commit_log: CommitLog,
    /// Finished and not committed, in order of their ends.
    uncommitted: Vec<Sample>,
}

/// Tokens of an item without an estimate of its length: about the middle.
pub const DEFAULT_LENGTH_TOKENS: u32 = 500;

impl Lot {
    /// A lot of which nothing is done. `known` are ids of items of earlier lots.
    pub fn new(submission: &Submission, known_items: &BTreeSet<CompactString>) -> Self {
        let mut group_by_name: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut items = Vec::new();
        let mut index_by_id = BTreeMap::new();
        for (index, item) in submission.items.iter().enumerate() {
            let group = *group_by_name.entry(&item.group).or_insert_with(|| {
                groups.push(Group::default());
                groups.len() - 1
            });
            groups[group].items += 1;
            groups[group].resubmitted |= known_items.contains(&item.id);
            index_by_id.insert(item.id.clone(), index);
            items.push(Item {
                group,
                phase: Phase::Queued,
                failed_runs: 0,
                failed_scores: 0,
                priority: (true, 0, index),
            });
        }
        for (item, submitted) in items.iter_mut().zip(&submission.items) {
            // The longest first: what begins last should be short.
            let length = submitted.length_hint.unwrap_or(DEFAULT_LENGTH_TOKENS);
            item.priority.0 = !groups[item.group].resubmitted;
            item.priority.1 = u32::MAX - length;
        }
        Self {
            items,
            index_by_id,
            groups,
            wanted_groups: submission.wanted_groups,
            commit_log: CommitLog::default(),
            uncommitted: Vec::new(),
        }
    }

    /// Items of the lot.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// What is committed.
    pub const fn commit_log(&self) -> &CommitLog {
        &self.commit_log
    }

    /// Items that wait for an engine.
    pub fn queued(&self) -> usize {
        let queued = self.items.iter().filter(|i| i.phase == Phase::Queued);
        queued.count()
    }

    /// The item to start next, which counts as running from now on.
    pub fn start(&mut self) -> Option<usize> {
        let queued = self.items.iter().enumerate();
        let (index, _) = queued
            .filter(|(_, item)| item.phase == Phase::Queued)
            .min_by_key(|(_, item)| item.priority)?;
        self.items[index].phase = Phase::Running;
        Some(index)
    }

    /// An item that was to be started must wait until [`Lot::release`]: others go first.
    pub fn defer(&mut self, index: usize) {
        self.items[index].phase = Phase::Deferred;
    }

    /// Items that had to wait may be started again.
    pub fn requeue_deferred(&mut self) {
        let deferred = self.items.iter_mut().filter(|i| i.phase == Phase::Deferred);
        deferred.for_each(|item| item.phase = Phase::Queued);
    }

    /// A run ended without a result.
    pub fn run_failed(
        &mut self,
        index: usize,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let item = &mut self.items[index];
        if item.phase != Phase::Running {
            return RetryDecision::Retry;
        }
        item.failed_runs += u32::from(failure == Failure::Failed);
        item.phase = Phase::Queued;
        retry_decision(failure, item.failed_runs, max_attempts)
    }

    /// A scoring ended without a score.
    pub fn score_failed(
        &mut self,
        index: usize,
        failure: Failure,
        max_attempts: u32,
    ) -> RetryDecision {
        let item = &mut self.items[index];
        item.failed_scores += u32::from(failure == Failure::Failed);
        retry_decision(failure, item.failed_scores, max_attempts)
    }

    /// An item is done, with a text or given up.
    pub fn finish(&mut self, index: usize, sample: Sample) {
        let item = &mut self.items[index];
        if matches!(item.phase, Phase::Finished | Phase::Committed) {
            return;
        }
        item.phase = Phase::Finished;
        self.uncommitted.push(sample);
    }

    /// What the next segment should hold.
    pub fn uncommitted(&self) -> &[Sample] {
        &self.uncommitted
    }

    /// Takes over a segment that stands in the store, of this runner or of another one.
    ///
    /// # Errors
    /// A segment before it is missing.
    pub fn add_segment(&mut self, from: usize, samples: Vec<Sample>) -> Result<(), Gap> {
        let is_known = from < self.commit_log.next_position();
        let ids: Vec<_> = samples.iter().map(|s| s.item.clone()).collect();
        self.commit_log.append(from, samples)?;
        if is_known {
            return Ok(());
        }
        for id in ids {
            self.mark_committed(&id);
        }
        let commit_log = &self.commit_log;
        self.uncommitted
            .retain(|sample| !commit_log.contains(&sample.item));
        Ok(())
    }

    fn mark_committed(&mut self, id: &str) {
        let Some(index) = self.index_by_id.get(id) else {
            return;
        };
        let item = &mut self.items[*index];
        if item.phase != Phase::Committed {
            item.phase = Phase::Committed;
            self.groups[item.group].committed_items += 1;
        }
    }

    /// Whether the item is listed or waits only for its commit.
    pub fn is_finished(&self, index: usize) -> bool {
        matches!(self.items[index].phase, Phase::Finished | Phase::Committed)
    }

    /// Whether every item is listed.
    pub fn is_complete(&self) -> bool {
        self.commit_log.samples().len() >= self.items.len()
    }

    /// Whether the trainer has all that it waits for once `unlisted` is committed: then it should
    /// not wait for more to be committed together.
    pub fn will_satisfy_trainer(&self) -> bool {
        let mut done: Vec<_> = self
            .groups
            .iter()
            .map(|group| group.committed_items)
            .collect();
        for sample in &self.uncommitted {
            if let Some(index) = self.index_by_id.get(&sample.item) {
                done[self.items[*index].group] += 1;
            }
        }
        let is_complete = |(group, done): &(&Group, &usize)| **done >= group.items;
        let groups = || self.groups.iter().zip(&done);
        let resubmitted = groups()
            .filter(|(group, _)| group.resubmitted)
            .all(|g| is_complete(&g));
        resubmitted && groups().filter(is_complete).count() >= self.wanted_groups
    }
}

const fn retry_decision(failure: Failure, failures: u32, max_attempts: u32) -> RetryDecision {
    match failure {
        Failure::Impossible => RetryDecision::GiveUp,
        Failure::Failed if failures >= max_attempts => RetryDecision::GiveUp,
        Failure::Failed | Failure::Interrupted => RetryDecision::Retry,
    }
}
