//! Trainers of a run. For each step, a trainer submits a lot, collects its samples and trains on
//! them. Some trainers then publish new weights.

use super::{
    event::Event,
    policy::Lookahead,
    scenario::{self, Scenario},
    simulation::Simulation,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time, Version,
    cursor::{Cursor, Token},
    hash::Digest,
    lot::{Group, Sample},
    provenance,
};
use std::{collections::BTreeMap, time::Duration};

/// Number of recent spans of steps from which a trainer predicts how many versions are published.
const RECENT_SPANS: usize = 2;

/// A collect as its trainer sent it.
#[derive(Clone, Debug)]
pub(super) struct CollectCall {
    /// Index of the trainer.
    pub(super) trainer: usize,
    pub(super) step: u64,
    /// Id of the lot.
    pub(super) lot: CompactString,
    /// Index of the entry that is called.
    pub(super) entry: usize,
    pub(super) token: Token,
    /// The version that the trainer states.
    pub(super) version: Version,
}

/// A lot that a trainer has submitted.
pub(super) struct SubmittedLot {
    pub(super) id: CompactString,
    pub(super) digest: Digest,
    pub(super) groups: Vec<Group>,
    pub(super) cursor: Cursor,
    /// The version that the trainer was predicted to be at when it collects the lot.
    pub(super) version: Version,
    pub(super) submitted_at: Time,
    /// Number of undelivered samples of each group.
    missing_samples: Vec<u32>,
    /// Output tokens of the delivered samples.
    tokens: u64,
    /// Output tokens of the longest delivered sample.
    longest_sample: u32,
}

/// Sizes of the samples that a trainer collected for one step.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepSamples {
    /// Output tokens of all samples.
    pub(super) tokens: u64,
    /// Output tokens of the longest sample.
    pub(super) longest_sample: u32,
}

/// A trainer.
pub(super) struct Trainer {
    pub(super) options: scenario::Trainer,
    /// By step: the lots of the present step and of the steps ahead.
    pub(super) submitted_lots: BTreeMap<u64, SubmittedLot>,
    /// The steps whose samples are all collected.
    pub(super) collected_steps: Vec<StepSamples>,
    /// Total time of the finished training.
    pub(super) trained_time: Duration,
    /// Time when the running training began.
    pub(super) training_since: Option<Time>,
    /// The present step, counted from 1.
    step: u64,
    /// The version that it states in collects of this step.
    version: Version,
    /// The newest version at the begin of each step.
    versions_at_begin: Vec<Version>,
    /// Index of the entry that it calls.
    entry: usize,
}

impl Trainer {
    pub(super) fn new(index: usize, options: &scenario::Trainer) -> Self {
        Self {
            options: options.clone(),
            submitted_lots: BTreeMap::new(),
            collected_steps: Vec::new(),
            trained_time: Duration::ZERO,
            training_since: None,
            step: 1,
            version: Version(1),
            versions_at_begin: Vec::new(),
            entry: index,
        }
    }

    /// Predicts the version that the trainer will be at when it collects the lot of this step.
    fn predict_version(&self, step: u64) -> Version {
        let steps_ahead = step - self.step;
        let own_publications = |step: u64| (step - 1).checked_div(self.options.publish_every);
        let published = match (own_publications(step), own_publications(self.step)) {
            (Some(then), Some(now)) => then - now,
            _ if steps_ahead == 0 => 0,
            _ => self.max_recent_publications(steps_ahead as usize),
        };
        Version(self.version.0 + published)
    }

    /// Most versions, at least 1, that other trainers published during any of the last spans of
    /// this many steps. Too high a prediction only delays the start of samples; too low a one makes
    /// them too old.
    fn max_recent_publications(&self, steps: usize) -> u64 {
        let first = self
            .versions_at_begin
            .len()
            .saturating_sub(steps + RECENT_SPANS);
        let recent = &self.versions_at_begin[first..];
        let spans = recent.iter().zip(recent.iter().skip(steps));
        let most = spans.map(|(begin, end)| end.0 - begin.0).max();
        most.unwrap_or(1).max(1)
    }

    fn build_lot(&self, step: u64, seed: u64, now: Time, version: Version) -> SubmittedLot {
        let scenario::Trainer {
            name,
            groups,
            samples_per_group,
            max_tokens,
            ..
        } = &self.options;
        let group = |index| Group {
            index,
            first: index * samples_per_group,
            // The step comes first, so that no step reuses the cached prefix of an earlier one:
            // that would add the older version that computed the prefix to the sample.
            prompt: format!("step-{step}-{name} of run {seed} asks for case number {index}"),
            samples: *samples_per_group,
            max_tokens: *max_tokens,
        };
        let id = format_compact!("{name}-{seed}-{step}");
        let digest = Digest::of(id.as_bytes());
        SubmittedLot {
            id,
            digest,
            groups: (0..*groups).map(group).collect(),
            cursor: Cursor::new(Token::empty(digest, step, groups * samples_per_group)),
            version,
            submitted_at: now,
            missing_samples: vec![*samples_per_group; *groups as usize],
            tokens: 0,
            longest_sample: 0,
        }
    }
}

impl Simulation {
    /// Begins a trainer's next step: submits the lot, if that has not been done ahead, and the lots
    /// of later steps as the policy says, and starts to collect.
    pub(super) fn begin_step(&mut self, index: usize) {
        let newest_version = self.newest_version;
        let trainer = &mut self.trainers[index];
        trainer.versions_at_begin.push(newest_version);
        let step = trainer.step;
        // The trainer takes no weights newer than the version predicted for a lot submitted ahead:
        // the lot's samples may be too old for them.
        let predicted = trainer.submitted_lots.get(&step).map(|lot| lot.version);
        trainer.version = predicted.map_or(newest_version, |version| version.min(newest_version));
        trainer.submitted_lots.retain(|other, _| *other >= step);
        let is_new = !trainer.submitted_lots.contains_key(&step);
        if is_new {
            self.submit_lot(index, step);
        }
        if let Lookahead::Collect(steps) = self.policy.lookahead {
            for ahead in 1..=steps {
                self.submit_lot(index, step + ahead);
            }
        }
        let delay = if is_new {
            self.submit_round_trip()
        } else {
            Duration::ZERO
        };
        self.send_collect(index, delay);
    }

    /// Time from the submission of a lot until the trainer has the answer.
    fn submit_round_trip(&self) -> Duration {
        let Scenario {
            client_latency,
            cross_zone_latency,
            ..
        } = &self.scenario;
        2 * (*client_latency + *cross_zone_latency)
    }

    /// Submits the lot of a step, or submits it again with unchanged content.
    fn submit_lot(&mut self, index: usize, step: u64) {
        let (now, seed) = (self.now, self.seed);
        let trainer = &mut self.trainers[index];
        if !trainer.submitted_lots.contains_key(&step) {
            let version = trainer.predict_version(step);
            let lot = trainer.build_lot(step, seed, now, version);
            trainer.submitted_lots.insert(step, lot);
        }
        let event = Event::Submit(index, step, trainer.entry);
        self.queue
            .schedule(now, self.scenario.client_latency, event);
    }

    fn send_collect(&mut self, index: usize, delay: Duration) {
        let trainer = &self.trainers[index];
        let Some(lot) = trainer.submitted_lots.get(&trainer.step) else {
            return;
        };
        let call = CollectCall {
            trainer: index,
            step: trainer.step,
            lot: lot.id.clone(),
            entry: trainer.entry,
            token: lot.cursor.token().clone(),
            version: trainer.version,
        };
        let delay = delay + self.scenario.client_latency;
        self.queue.schedule(self.now, delay, Event::Collect(call));
    }

    /// Handles the answer to a collect; `None` if the call failed.
    pub(super) fn receive_collected(
        &mut self,
        call: CollectCall,
        answer: Option<(Token, Vec<Sample>)>,
    ) {
        let index = call.trainer;
        let Some((token, samples)) = answer else {
            self.switch_entry(index);
            return;
        };
        self.accept_samples(&call, &token, samples);
        let trainer = &self.trainers[index];
        let lot = trainer.submitted_lots.get(&trainer.step);
        if lot.is_some_and(|lot| lot.cursor.token().remaining() == 0) {
            self.begin_training(index);
        } else {
            self.send_collect(index, Duration::ZERO);
        }
    }

    /// Has a trainer call the next entry and submit all its lots there, since its former entry
    /// cannot be reached or has lost the lot.
    fn switch_entry(&mut self, index: usize) {
        let entries = self.entries.len();
        let trainer = &mut self.trainers[index];
        trainer.entry = (trainer.entry + 1) % entries;
        let steps: Vec<_> = trainer.submitted_lots.keys().copied().collect();
        for step in steps {
            self.submit_lot(index, step);
        }
        let delay = self.submit_round_trip();
        self.send_collect(index, delay);
    }

    /// Accepts the samples of an answer, unless it is not based on the trainer's current token.
    fn accept_samples(&mut self, call: &CollectCall, token: &Token, samples: Vec<Sample>) {
        let now = self.now;
        let trainer = &mut self.trainers[call.trainer];
        let Some(lot) = trainer.submitted_lots.get_mut(&call.step) else {
            return;
        };
        let indexes = samples.iter().map(|sample| sample.index);
        if lot.cursor.accept(&call.token, token, indexes).is_err() {
            self.recorder.rejected_answers += 1;
            return;
        }
        for sample in samples {
            let oldest = provenance::oldest_version(&sample.spans).unwrap_or_default();
            let staleness = oldest.versions_behind(call.version);
            self.recorder.record_delivery(&lot.id, &sample, staleness);
            if staleness > trainer.options.staleness_bound {
                self.recorder.over_bound += 1;
            }
            lot.tokens += u64::from(sample.tokens);
            lot.longest_sample = lot.longest_sample.max(sample.tokens);
            let missing = &mut lot.missing_samples[sample.group as usize];
            *missing -= 1;
            if *missing == 0 {
                let group_time = now.since(lot.submitted_at);
                self.recorder.group_times.push(group_time);
            }
        }
    }

    fn begin_training(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        let step = trainer.step;
        if let Some(lot) = trainer.submitted_lots.get(&step) {
            trainer.collected_steps.push(StepSamples {
                tokens: lot.tokens,
                longest_sample: lot.longest_sample,
            });
        }
        trainer.training_since = Some(self.now);
        let train_time = trainer.options.train_time;
        self.queue
            .schedule(self.now, train_time, Event::TrainingDone(index));
        if self.policy.lookahead == Lookahead::Train {
            self.submit_lot(index, step + 1);
        }
    }

    /// Ends a trainer's training: it publishes a version, or begins its next step at once.
    pub(super) fn training_done(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        trainer.training_since = None;
        trainer.trained_time += trainer.options.train_time;
        let publish_every = trainer.options.publish_every;
        let step = trainer.step;
        trainer.step += 1;
        if publish_every > 0 && step.is_multiple_of(publish_every) {
            let version = Version(self.newest_version.0 + 1);
            let event = Event::Publish(index, version);
            self.queue
                .schedule(self.now, self.scenario.client_latency, event);
        } else {
            self.begin_step(index);
        }
    }

    /// Index of the entry that a trainer calls.
    pub(super) fn entry_of_trainer(&self, index: usize) -> usize {
        self.trainers[index].entry
    }
}
