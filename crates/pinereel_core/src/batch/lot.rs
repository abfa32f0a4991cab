//! Item states of one lot, from the queue to the commit.
//!
//! The scheduler takes the next item with [`Lot::start`], reports its end with [`Lot::finish`] or
//! [`Lot::run_failed`], writes [`Lot::uncommitted`] samples to the store and feeds each segment
//! that it finds there back through [`Lot::add_segment`].

use super::{CommitLog, Gap};
use compact_str::CompactString;
use pinereel_port::lot::{Sample, Submission};
use std::collections::{BTreeMap, BTreeSet};

/// Why a run of an item gave no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint answered with a failure; counts as an attempt.
    Failed,
    /// The endpoint answered that the item can never succeed; it is not retried.
    Impossible,
    /// The run broke off or found no slot; does not count as an attempt of the item.
    Interrupted,
}

/// Whether an item is retried after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The item runs again.
    Retry,
    /// The item is committed without a result.
    GiveUp,
}

/// Lifecycle of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Running,
    /// It has a result, or is given up, and is not committed yet.
    Finished,
    Committed,
}

#[derive(Clone, Debug)]
struct Item {
    group: usize,
    phase: Phase,
    /// Runs that ended in [`Failure::Failed`].
    failed_runs: u32,
    /// Endpoints that have failed on its scoring.
    failed_scorings: u32,
    /// Order of starts, smallest first: resubmitted groups, then longest items, then input order.
    priority: (bool, u32, usize),
}

#[derive(Clone, Debug, Default)]
struct Group {
    items: usize,
    /// Items with a result or given up, committed or not.
    finished_items: usize,
    committed_items: usize,
    /// Whether it has items of an earlier lot, so that the trainer waits for this group in any case.
    resubmitted: bool,
}

/// One lot on the instance that runs it.
#[derive(Clone, Debug)]
pub struct Lot {
    items: Vec<Item>,
    index_by_id: BTreeMap<CompactString, usize>,
    groups: Vec<Group>,
    required_groups: usize,
    commit_log: CommitLog,
    /// Finished samples that are not committed, in the order in which they finished.
    uncommitted: Vec<Sample>,
}

/// Assumed output tokens of an item without a length hint; near the middle of the usual lengths.
pub const DEFAULT_LENGTH_TOKENS: u32 = 500;

impl Lot {
    /// Creates a lot with all items queued. `known_items` are the ids of items of earlier lots.
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
                failed_scorings: 0,
                priority: (true, 0, index),
            });
        }
        for (item, submitted) in items.iter_mut().zip(&submission.items) {
            // Longest first, so that the items that start last are short.
            let length = submitted
                .output_tokens_hint
                .unwrap_or(DEFAULT_LENGTH_TOKENS);
            item.priority.0 = !groups[item.group].resubmitted;
            item.priority.1 = u32::MAX - length;
        }
        Self {
            items,
            index_by_id,
            groups,
            required_groups: submission.required_groups,
            commit_log: CommitLog::default(),
            uncommitted: Vec::new(),
        }
    }

    /// Number of items of the lot.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// The committed results.
    pub const fn commit_log(&self) -> &CommitLog {
        &self.commit_log
    }

    /// Number of items that wait for an engine.
    pub fn queued(&self) -> usize {
        let queued = self.items.iter().filter(|i| i.phase == Phase::Queued);
        queued.count()
    }

    /// Takes the next item from the queue and marks it as running. Returns its index.
    pub fn start(&mut self) -> Option<usize> {
        let queued = self.items.iter().enumerate();
        let (index, _) = queued
            .filter(|(_, item)| item.phase == Phase::Queued)
            .min_by_key(|(_, item)| item.priority)?;
        self.items[index].phase = Phase::Running;
        Some(index)
    }

    /// Records that a run ended without a result, and queues the item again.
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

    /// Number of endpoints that have failed on the scoring of an item.
    pub fn failed_scorings(&self, index: usize) -> u32 {
        self.items[index].failed_scorings
    }

    /// Records that a scoring ended without a score, after `failures` endpoints had failed on it;
    /// the caller scores the same text again. One scoring is sent to several endpoints, and each
    /// of them is an attempt: counting scorings instead ran a scoring that always fails on
    /// `max_attempts` squared endpoints, and its group was listed seconds later.
    pub fn scorings_failed(
        &mut self,
        index: usize,
        failures: u32,
        max_attempts: u32,
    ) -> RetryDecision {
        let item = &mut self.items[index];
        item.failed_scorings += failures;
        give_up_after(item.failed_scorings, max_attempts)
    }

    /// Records the result of an item, or that it is given up. The first result of an item stays.
    pub fn finish(&mut self, index: usize, sample: Sample) {
        let item = &mut self.items[index];
        if matches!(item.phase, Phase::Finished | Phase::Committed) {
            return;
        }
        item.phase = Phase::Finished;
        self.groups[item.group].finished_items += 1;
        self.uncommitted.push(sample);
    }

    /// Number of items of the group of an item that have no result yet.
    pub fn unfinished_in_group(&self, index: usize) -> usize {
        let group = &self.groups[self.items[index].group];
        group.items - group.finished_items
    }

    /// Finished samples for the next segments.
    pub fn uncommitted(&self) -> &[Sample] {
        &self.uncommitted
    }

    /// Applies a segment read from the store, written by this instance or by another one.
    ///
    /// # Errors
    /// [`Gap`] if a segment before it is missing.
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
            let group = &mut self.groups[item.group];
            group.finished_items += usize::from(item.phase != Phase::Finished);
            group.committed_items += 1;
            item.phase = Phase::Committed;
        }
    }

    /// Whether the item needs no more work: it is committed or waits only for its commit.
    pub fn is_finished(&self, index: usize) -> bool {
        matches!(self.items[index].phase, Phase::Finished | Phase::Committed)
    }

    /// Whether every item is committed.
    pub fn is_complete(&self) -> bool {
        self.commit_log.samples().len() >= self.items.len()
    }

    /// Whether the trainer has all that it waits for once the uncommitted samples are committed. If
    /// so, they are committed immediately rather than held back for a larger segment.
    pub fn will_satisfy_trainer(&self) -> bool {
        let mut finished_items: Vec<_> = self
            .groups
            .iter()
            .map(|group| group.committed_items)
            .collect();
        for sample in &self.uncommitted {
            if let Some(index) = self.index_by_id.get(&sample.item) {
                finished_items[self.items[*index].group] += 1;
            }
        }
        let is_complete = |(group, finished): &(&Group, &usize)| **finished >= group.items;
        let groups = || self.groups.iter().zip(&finished_items);
        let resubmitted = groups()
            .filter(|(group, _)| group.resubmitted)
            .all(|g| is_complete(&g));
        resubmitted && groups().filter(is_complete).count() >= self.required_groups
    }
}

const fn retry_decision(failure: Failure, failures: u32, max_attempts: u32) -> RetryDecision {
    match failure {
        Failure::Impossible => RetryDecision::GiveUp,
        Failure::Failed => give_up_after(failures, max_attempts),
        Failure::Interrupted => RetryDecision::Retry,
    }
}

const fn give_up_after(failures: u32, max_attempts: u32) -> RetryDecision {
    if failures >= max_attempts {
        RetryDecision::GiveUp
    } else {
        RetryDecision::Retry
    }
}
