//! Admission of lots and groups, takeover from a draining runner, and removal of old lots.

use super::{
    Action, Group, Lot, Refusal, Runner, Sample, Spec,
    state::{GroupState, SampleState},
};
use crate::{Time, cursor::MAX_SAMPLES};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

impl Runner {
    pub(super) fn assign(&mut self, now: Time, spec: Spec) {
        let lot = spec.lot.clone();
        match self.try_assign(now, spec) {
            Ok(()) => self.actions.push(Action::Assigned { lot }),
            Err(reason) => self.actions.push(Action::Refused { lot, reason }),
        }
    }

    fn try_assign(&mut self, now: Time, spec: Spec) -> Result<(), Refusal> {
        self.validate(&spec)?;
        self.drop_superseded(&spec);
        let is_new = !self.lots.contains_key(&spec.lot);
        let groups = self.new_groups(&spec);
        let samples = groups.iter().map(|g| g.samples as usize).sum::<usize>();
        if is_new && self.lots.len() >= self.limits.max_lots {
            return Err(Refusal::Full);
        }
        if self.samples.len() + samples > self.limits.max_samples {
            return Err(Refusal::Full);
        }
        if samples > 0 && self.finished_text_bytes() >= self.limits.max_text_bytes {
            return Err(Refusal::Full);
        }
        if is_new {
            self.insert_lot(now, &spec);
        }
        let id = spec.lot.clone();
        let lot = self.lots.get_mut(&id).expect("inserted above if absent");
        lot.last_activity = now;
        lot.spec.version = lot.spec.version.max(spec.version);
        for group in groups {
            self.insert_group(&id, group);
        }
        Ok(())
    }

    /// Total bytes of finished text not yet acknowledged by a collect.
    fn finished_text_bytes(&self) -> usize {
        let finished = self.samples.values().filter_map(|e| e.finished.as_ref());
        finished.map(|f| f.sample.text.len()).sum()
    }

    /// Checks an assign against the state of this runner, without changing it.
    fn validate(&self, spec: &Spec) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::Draining);
        }
        let known = self.lots.get(&spec.lot);
        if known.is_some_and(|lot| lot.spec.digest != spec.digest) {
            return Err(Refusal::Conflict);
        }
        let lots_of_trainer = self
            .lots
            .values()
            .filter(|l| l.spec.trainer == spec.trainer);
        let newest = lots_of_trainer.map(Lot::step).max().unwrap_or(0);
        if spec.step.saturating_add(self.limits.max_steps_ahead) < newest {
            return Err(Refusal::Superseded);
        }
        let known = known.map(|lot| &lot.groups);
        if are_ranges_valid(&spec.groups, known) {
            Ok(())
        } else {
            Err(Refusal::Malformed)
        }
    }

    /// Drops the trainer's lots that are more than [`Limits::max_steps_ahead`](super::Limits) behind.
    fn drop_superseded(&mut self, spec: &Spec) {
        let ahead = self.limits.max_steps_ahead;
        let lots_of_trainer = self
            .lots
            .values()
            .filter(|l| l.spec.trainer == spec.trainer);
        let superseded = lots_of_trainer.filter(|lot| lot.step().saturating_add(ahead) < spec.step);
        let superseded: Vec<_> = superseded.map(|lot| lot.spec.lot.clone()).collect();
        for lot in superseded {
            self.drop_lot(&lot, Refusal::Superseded);
        }
    }

    /// Groups of `spec` that this runner does not hold yet.
    fn new_groups(&self, spec: &Spec) -> Vec<Group> {
        let known = self.lots.get(&spec.lot);
        let groups = spec.groups.iter();
        let new = groups.filter(|g| known.is_none_or(|l| !l.groups.contains_key(&g.index)));
        new.cloned().collect()
    }

    fn insert_lot(&mut self, now: Time, spec: &Spec) {
        self.next_arrival += 1;
        let lot = Lot {
            spec: Spec {
                groups: Vec::new(),
                ..spec.clone()
            },
            arrival: self.next_arrival,
            last_activity: now,
            requested: false,
            groups: BTreeMap::new(),
            samples: BTreeMap::new(),
            queue: BTreeSet::new(),
        };
        self.lots.insert(spec.lot.clone(), lot);
    }

    fn insert_group(&mut self, id: &CompactString, group: Group) {
        let lot = self.lots.get_mut(id).expect("only called for a lot held");
        let group_index = group.index;
        let range = group.first..group.first + group.samples;
        let group_state = GroupState {
            group,
            finished_samples: 0,
            finished_tokens: 0,
            cached_prefixes: BTreeMap::new(),
        };
        lot.groups.insert(group_index, group_state);
        for index in range {
            let key = self.samples.insert(SampleState {
                lot: id.clone(),
                group: group_index,
                index,
                queue_key: None,
                awaiting_retry: false,
                was_started: false,
                saved_progress: None,
                attempts: Vec::new(),
                finished: None,
                delivered: false,
            });
            let lot = self.lots.get_mut(id).expect("only called for a lot held");
            lot.samples.insert(index, key);
            self.enqueue(key);
        }
    }

    /// Takes over groups and finished samples of a draining runner.
    pub(super) fn take_over(&mut self, now: Time, spec: Spec, samples: Vec<Sample>) {
        let id = spec.lot.clone();
        let digest = spec.digest;
        self.assign(now, spec);
        for sample in samples {
            let Some(lot) = self.lots.get(&id).filter(|l| l.spec.digest == digest) else {
                return;
            };
            let Some(key) = lot.samples.get(&sample.index).copied() else {
                continue;
            };
            let sample_state = &self.samples[key];
            let is_usable = !sample.spans.is_empty() && sample.group == sample_state.group;
            if is_usable && sample_state.needs_work() {
                self.store_finished(key, sample);
            }
        }
        self.abort_stale();
    }

    /// Drops lots without an assign or a collect for longer than the idle timeout.
    pub(super) fn drop_idle_lots(&mut self, now: Time) {
        let idle_timeout = self.limits.idle_timeout;
        let lots = self.lots.values();
        let idle_lots =
            lots.filter(|lot| now >= lot.spec.deadline.max(lot.last_activity) + idle_timeout);
        let idle_lots: Vec<_> = idle_lots.map(|lot| lot.spec.lot.clone()).collect();
        for lot in idle_lots {
            self.drop_lot(&lot, Refusal::Idle);
        }
    }

    fn drop_lot(&mut self, id: &CompactString, reason: Refusal) {
        let Some(lot) = self.lots.get(id) else { return };
        let keys: Vec<_> = lot.samples.values().copied().collect();
        for key in keys {
            self.cancel_attempts(key);
            self.discard_finished(key);
            self.samples.remove(key);
        }
        self.lots.remove(id);
        let samples = &self.samples;
        self.retry_queue.retain(|key| samples.contains_key(*key));
        let lot = id.clone();
        self.actions.push(Action::Dropped { lot, reason });
    }
}

/// Whether the sample ranges of all groups, new and known, are disjoint, within [`MAX_SAMPLES`] and
/// unchanged for known groups.
fn are_ranges_valid(groups: &[Group], known: Option<&BTreeMap<u32, GroupState>>) -> bool {
    let mut ranges_by_group = BTreeMap::new();
    let known = known
        .into_iter()
        .flatten()
        .map(|(_, group_state)| &group_state.group);
    for group in known.chain(groups) {
        let range = (group.first, group.samples);
        if *ranges_by_group.entry(group.index).or_insert(range) != range {
            return false;
        }
    }
    let mut ranges: Vec<_> = ranges_by_group.into_values().collect();
    ranges.sort_unstable();
    let mut end = 0;
    ranges.into_iter().all(|(first, samples)| {
        let is_valid = first >= end && samples <= MAX_SAMPLES && first <= MAX_SAMPLES - samples;
        end = first.saturating_add(samples);
        is_valid
    })
}
