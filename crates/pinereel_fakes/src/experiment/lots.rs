//! Lots at an entry, as in the daemon: submission, assignment of groups to runners, and collects.

use super::{
    entry::WaitingQuery,
    event::{EntryId, Event, RunnerSamples},
    simulation::Simulation,
    trainer::CollectCall,
};
use pinereel_core::{
    Time, Version,
    cursor::{Merge, Token},
    hash,
    lot::{self, Sample, Spec},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Longest time that a collect waits for samples.
const COLLECT_WAIT: Duration = Duration::from_secs(1);
/// How long to wait for replies of other runners once the first samples have arrived.
const OTHER_RUNNERS_GRACE: Duration = Duration::from_millis(10);
/// Pause after a round of queries that found no samples to deliver.
const EMPTY_ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Most samples in the answer to a collect.
const MAX_SAMPLES_PER_ANSWER: usize = 256;

/// Groups of a lot by the index of the entry whose runner has them or is to run them.
type Placement = BTreeMap<usize, Vec<u32>>;

/// A collect that an entry is handling.
pub(super) struct PendingCollect {
    call: CollectCall,
    entry_id: EntryId,
    deadline: Time,
    /// Incremented by each reply and by the end of each round; an [`Event::GraceOver`] with an
    /// earlier value is ignored.
    generation: u32,
    /// Queried groups of the runners that have not replied in this round.
    pending: Placement,
    /// Samples found in this round.
    found: Vec<Sample>,
    /// Groups that are assigned to a runner at the end of the round.
    reassigned: Placement,
    /// Entries that could not be reached.
    excluded: BTreeSet<usize>,
}

impl Simulation {
    /// Handles the submission of a lot: assigns its groups to the runners, unless the entry already
    /// has the lot.
    pub(super) fn receive_lot(&mut self, trainer: usize, step: u64, entry: usize) {
        if !self.entries[entry].up {
            return;
        }
        let lots = &self.trainers[trainer].submitted_lots;
        let Some(lot) = lots.get(&step) else { return };
        let (id, token) = (lot.id.clone(), lot.cursor.token().clone());
        let previous = self.entries[entry]
            .submitted_lots
            .insert(id, (trainer, step));
        if previous.is_none() {
            let placed = self.place_missing_groups(trainer, step, &token, &BTreeSet::new());
            self.assign_groups(trainer, step, entry, placed);
        }
    }

    /// Maps runners to those groups of the lot that have samples missing from `token`.
    fn place_missing_groups(
        &self,
        trainer: usize,
        step: u64,
        token: &Token,
        excluded: &BTreeSet<usize>,
    ) -> Placement {
        let mut placed = Placement::new();
        let Some(lot) = self.trainers[trainer].submitted_lots.get(&step) else {
            return placed;
        };
        let lot_key = hash::stable(lot.id.as_bytes());
        let runners = self.entries.iter().enumerate();
        let runners: Vec<_> = runners.filter(|(i, _)| !excluded.contains(i)).collect();
        for group in &lot.groups {
            let mut samples = group.first..group.first + group.samples;
            if samples.all(|sample| token.contains(sample)) {
                continue;
            }
            let key = lot_key ^ u64::from(group.index);
            let preferred = runners
                .iter()
                .max_by_key(|(_, e)| hash::rendezvous(key, &e.name));
            let preferred = preferred.map(|(runner, _)| *runner);
            let moved = self
                .moved_groups
                .get(&(trainer, step, group.index))
                .copied();
            let moved =
                moved.filter(|runner| self.policy.sticky_groups && !excluded.contains(runner));
            if let Some(runner) = moved.or(preferred) {
                placed.entry(runner).or_default().push(group.index);
            }
        }
        placed
    }

    /// Sends groups from the entry that the trainer calls to their runners.
    fn assign_groups(&mut self, trainer: usize, step: u64, entry: usize, placed: Placement) {
        for (runner, groups) in placed {
            let Some(spec) = self.build_spec(trainer, step, &groups) else {
                return;
            };
            let latency = self.latency(self.entries[entry].zone, self.entries[runner].zone);
            self.queue
                .schedule(self.now, latency, Event::Assign(runner, spec));
        }
    }

    fn build_spec(&self, trainer: usize, step: u64, groups: &[u32]) -> Option<Spec> {
        let trainer = &self.trainers[trainer];
        let lot = trainer.submitted_lots.get(&step)?;
        let groups = groups.iter().map(|i| lot.groups[*i as usize].clone());
        Some(Spec {
            lot: lot.id.clone(),
            digest: lot.digest,
            trainer: trainer.options.name.clone(),
            weight: 1,
            model: self.scenario.model.clone(),
            step,
            version: lot.version,
            bound: trainer.options.staleness_bound,
            deadline: lot.submitted_at + Duration::from_secs(60),
            scored: false,
            groups: groups.collect(),
        })
    }

    /// Handles the arrival of assigned groups at a runner.
    pub(super) fn receive_groups(&mut self, runner: usize, spec: Spec) {
        let entry_id = self.entries[runner].id;
        if self.is_running(entry_id) {
            self.step_runner(entry_id, lot::Event::Assign(spec));
        }
    }

    /// Handles the arrival of a collect at the entry that the trainer calls.
    pub(super) fn receive_collect(&mut self, call: CollectCall) {
        let entry = &self.entries[call.entry];
        let known = entry.submitted_lots.contains_key(&call.lot);
        if !entry.up || !known {
            let latency = self.scenario.client_latency;
            self.queue
                .schedule(self.now, latency, Event::Collected(call, None));
            return;
        }
        let number = self.next_collect;
        self.next_collect += 1;
        let collect = PendingCollect {
            entry_id: entry.id,
            deadline: self.now + COLLECT_WAIT,
            generation: 0,
            pending: Placement::new(),
            found: Vec::new(),
            reassigned: Placement::new(),
            excluded: BTreeSet::new(),
            call,
        };
        self.pending_collects.insert(number, collect);
        self.start_round(number);
    }

    /// Queries each runner that has groups of the lot once.
    pub(super) fn start_round(&mut self, number: u64) {
        let Some(collect) = self.pending_collects.get(&number) else {
            return;
        };
        let call = collect.call.clone();
        let placed =
            self.place_missing_groups(call.trainer, call.step, &call.token, &collect.excluded);
        for runner in placed.keys().copied() {
            let latency = self.latency(self.entries[call.entry].zone, self.entries[runner].zone);
            let event = Event::Query(number, runner, call.token.clone(), call.version);
            self.queue.schedule(self.now, latency, event);
        }
        if let Some(collect) = self.pending_collects.get_mut(&number) {
            collect.pending = placed;
        }
    }

    /// Handles the arrival of a query at a runner.
    pub(super) fn receive_query(
        &mut self,
        number: u64,
        runner: usize,
        token: Token,
        version: Version,
    ) {
        let Some(collect) = self.pending_collects.get(&number) else {
            return;
        };
        let (entry, deadline) = (collect.call.entry, collect.deadline);
        let latency = self.latency(self.entries[entry].zone, self.entries[runner].zone);
        if !self.entries[runner].up {
            self.queue
                .schedule(self.now, latency, Event::Reply(number, runner, None));
            return;
        }
        let query = self.next_query;
        self.next_query += 1;
        let request = lot::CollectRequest {
            call: query,
            lot: collect.call.lot.clone(),
            groups: collect.pending.get(&runner).cloned().unwrap_or_default(),
            token,
            version,
            bound: self.trainers[collect.call.trainer].options.staleness_bound,
            max_samples: MAX_SAMPLES_PER_ANSWER,
        };
        let entry = &mut self.entries[runner];
        let entry_id = entry.id;
        let waiting = WaitingQuery {
            collect: number,
            request: request.clone(),
        };
        entry.waiting_queries.insert(query, waiting);
        let remaining = deadline.since(self.now);
        self.queue
            .schedule(self.now, remaining, Event::QueryTimeout(entry_id, query));
        self.step_runner(entry_id, lot::Event::Collect(request));
    }

    /// Sends a runner's answer to a query; an empty one is held back, so that the query waits.
    pub(super) fn answer_query(
        &mut self,
        entry_id: EntryId,
        query: u64,
        samples: Vec<Sample>,
        missing: Vec<u32>,
    ) {
        if !samples.is_empty() || !missing.is_empty() {
            self.send_reply(entry_id, query, samples, missing);
        }
    }

    fn send_reply(
        &mut self,
        entry_id: EntryId,
        query: u64,
        samples: Vec<Sample>,
        missing: Vec<u32>,
    ) {
        let runner = &mut self.entries[entry_id.index];
        let Some(waiting) = runner.waiting_queries.remove(&query) else {
            return;
        };
        let Some(collect) = self.pending_collects.get(&waiting.collect) else {
            return;
        };
        let entry = collect.call.entry;
        let latency = self.latency(self.entries[entry].zone, self.entries[entry_id.index].zone);
        let reply = Some((samples, missing));
        let event = Event::Reply(waiting.collect, entry_id.index, reply);
        self.queue.schedule(self.now, latency, event);
    }

    /// Repeats the waiting queries for a lot, since a sample of it has finished.
    pub(super) fn repeat_queries(&mut self, entry_id: EntryId, lot: &str) {
        let waiting = self.entries[entry_id.index].waiting_queries.values();
        let of_lot = waiting.filter(|query| query.request.lot == lot);
        let requests: Vec<_> = of_lot.map(|query| query.request.clone()).collect();
        for request in requests {
            self.step_runner(entry_id, lot::Event::Collect(request));
        }
    }

    /// Answers a query without samples, since its wait is over.
    pub(super) fn query_timed_out(&mut self, entry_id: EntryId, query: u64) {
        if self.is_running(entry_id) {
            self.send_reply(entry_id, query, Vec::new(), Vec::new());
        }
    }

    /// Handles the arrival of a runner's reply; `None` if the runner cannot be reached.
    pub(super) fn receive_reply(
        &mut self,
        number: u64,
        runner: usize,
        reply: Option<RunnerSamples>,
    ) {
        let Some(collect) = self.pending_collects.get_mut(&number) else {
            return;
        };
        let Some(groups) = collect.pending.remove(&runner) else {
            return;
        };
        collect.generation += 1;
        let generation = collect.generation;
        let Some((samples, missing)) = reply else {
            self.reassign_groups(number, runner, &groups);
            self.finish_round(number);
            return;
        };
        collect.found.extend(samples);
        let all_replied = collect.pending.is_empty();
        if !missing.is_empty() {
            collect.reassigned.insert(runner, missing);
            self.finish_round(number);
        } else if all_replied {
            self.finish_round(number);
        } else if !collect.found.is_empty() {
            self.queue.schedule(
                self.now,
                OTHER_RUNNERS_GRACE,
                Event::GraceOver(number, generation),
            );
        }
    }

    /// Excludes an unreachable runner from a collect, and moves its groups to the next in rank.
    fn reassign_groups(&mut self, number: u64, runner: usize, groups: &[u32]) {
        let Some(collect) = self.pending_collects.get_mut(&number) else {
            return;
        };
        collect.excluded.insert(runner);
        let (call, excluded) = (collect.call.clone(), collect.excluded.clone());
        let placed = self.place_missing_groups(call.trainer, call.step, &call.token, &excluded);
        let reassigned = placed.into_iter().filter_map(|(runner, placed)| {
            let moved: Vec<_> = placed.into_iter().filter(|g| groups.contains(g)).collect();
            (!moved.is_empty()).then_some((runner, moved))
        });
        let reassigned: Placement = reassigned.collect();
        for (runner, groups) in &reassigned {
            let keys = groups.iter().map(|g| (call.trainer, call.step, *g));
            self.moved_groups.extend(keys.map(|key| (key, *runner)));
        }
        if let Some(collect) = self.pending_collects.get_mut(&number) {
            collect.reassigned = reassigned;
        }
    }

    /// Ends the wait for further replies, unless something has happened since it began.
    pub(super) fn grace_over(&mut self, number: u64, generation: u32) {
        let collect = self.pending_collects.get(&number);
        if collect.is_some_and(|c| c.generation == generation) {
            self.finish_round(number);
        }
    }

    /// Merges the samples found in a round; answers the collect or schedules the next round.
    fn finish_round(&mut self, number: u64) {
        let Some(collect) = self.pending_collects.get_mut(&number) else {
            return;
        };
        collect.pending.clear();
        collect.generation += 1;
        let reassigned = std::mem::take(&mut collect.reassigned);
        let found = std::mem::take(&mut collect.found);
        let (call, deadline) = (collect.call.clone(), collect.deadline);
        self.assign_groups(call.trainer, call.step, call.entry, reassigned);
        let merge = Merge {
            token: call.token.clone(),
            version: call.version,
            bound: self.trainers[call.trainer].options.staleness_bound,
            max_samples: MAX_SAMPLES_PER_ANSWER,
        };
        let delivery = merge.deliver(found);
        self.recorder.stale_samples += u64::from(delivery.stale);
        let timed_out = self.now >= deadline;
        if delivery.samples.is_empty() && delivery.remaining > 0 && !timed_out {
            self.queue
                .schedule(self.now, EMPTY_ROUND_PAUSE, Event::NextRound(number));
            return;
        }
        self.pending_collects.remove(&number);
        let answer = Some((delivery.token, delivery.samples));
        self.queue.schedule(
            self.now,
            self.scenario.client_latency,
            Event::Collected(call, answer),
        );
    }

    /// Fails the pending collects of an entry that crashed.
    pub(super) fn abort_collects(&mut self, entry_id: EntryId) {
        let pending = self.pending_collects.iter();
        let lost = pending.filter(|(_, c)| c.entry_id == entry_id);
        let lost: Vec<_> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            if let Some(collect) = self.pending_collects.remove(&number) {
                let event = Event::Collected(collect.call, None);
                self.queue
                    .schedule(self.now, self.scenario.client_latency, event);
            }
        }
    }
}
