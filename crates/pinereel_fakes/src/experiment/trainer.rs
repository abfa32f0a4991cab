//! The trainers of a run: submit, collect, train, publish.

use super::{
    job::Job,
    policy::Ahead,
    scenario::{self, Scenario},
    world::World,
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

/// Spans of steps from which a trainer learns how fast others publish.
const RECENT: usize = 2;

/// A collect as its trainer sent it.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) trainer: usize,
    pub(super) step: u64,
    pub(super) lot: CompactString,
    pub(super) front: usize,
    pub(super) token: Token,
    pub(super) version: Version,
}

/// A lot that a trainer submitted.
pub(super) struct Held {
    pub(super) id: CompactString,
    pub(super) digest: Digest,
    pub(super) groups: Vec<Group>,
    pub(super) cursor: Cursor,
    pub(super) version: Version,
    pub(super) submitted: Time,
    /// Samples of each group that are missing.
    missing: Vec<u32>,
    tokens: u64,
    longest: u32,
}

/// What the samples of one step were.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) tokens: u64,
    pub(super) longest: u32,
}

/// One trainer.
pub(super) struct Trainer {
    pub(super) options: scenario::Trainer,
    pub(super) held: BTreeMap<u64, Held>,
    pub(super) steps: Vec<Step>,
    pub(super) trained: Duration,
    /// When the training under way began.
    pub(super) training: Option<Time>,
    step: u64,
    version: Version,
    /// The newest version at the begin of each step.
    seen: Vec<Version>,
    front: usize,
}

impl Trainer {
    pub(super) fn new(index: usize, options: &scenario::Trainer) -> Self {
        Self {
            options: options.clone(),
            held: BTreeMap::new(),
            steps: Vec::new(),
            trained: Duration::ZERO,
            training: None,
            step: 1,
            version: Version(1),
            seen: Vec::new(),
            front: index,
        }
    }

    /// The version that it will have when it collects this step's lot.
    fn expected(&self, step: u64) -> Version {
        let ahead = step - self.step;
        let own = |step: u64| (step - 1).checked_div(self.options.publish_every);
        let more = match (own(step), own(self.step)) {
            (Some(then), Some(now)) => then - now,
            _ if ahead == 0 => 0,
            _ => self.most_seen(ahead as usize),
        };
        Version(self.version.0 + more)
    }

    /// Most versions that others published during so many of its last steps, at least one:
    /// better to start late than to be too old.
    fn most_seen(&self, steps: usize) -> u64 {
        let last = &self.seen[self.seen.len().saturating_sub(steps + RECENT)..];
        let pairs = last.iter().zip(last.iter().skip(steps));
        let most = pairs.map(|(old, new)| new.0 - old.0).max();
        most.unwrap_or(1).max(1)
    }

    fn lot(&self, step: u64, seed: u64, now: Time, version: Version) -> Held {
        let scenario::Trainer {
            name,
            groups,
            samples,
            max_tokens,
            ..
        } = &self.options;
        let group = |index| Group {
            index,
            first: index * samples,
            // The step comes first: no prefix is shared with other steps, so that no cached
            // prefix drags old versions along.
            prompt: format!("step-{step}-{name} of run {seed} asks for case number {index}"),
            samples: *samples,
            max_tokens: *max_tokens,
        };
        let id = format_compact!("{name}-{seed}-{step}");
        let digest = Digest::of(id.as_bytes());
        Held {
            id,
            digest,
            groups: (0..*groups).map(group).collect(),
            cursor: Cursor::new(Token::empty(digest, step, groups * samples)),
            version,
            submitted: now,
            missing: vec![*samples; *groups as usize],
            tokens: 0,
            longest: 0,
        }
    }
}

impl World {
    /// A trainer needs its next step's samples.
    pub(super) fn want(&mut self, index: usize) {
        let newest = self.newest;
        let trainer = &mut self.trainers[index];
        trainer.seen.push(newest);
        let step = trainer.step;
        // It takes no newer weights than it declared for a lot sent ahead: those samples would
        // be too old for them.
        let declared = trainer.held.get(&step).map(|held| held.version);
        trainer.version = declared.map_or(newest, |declared| declared.min(newest));
        trainer.held.retain(|held, _| *held >= step);
        let fresh = !trainer.held.contains_key(&step);
        if fresh {
            self.send_lot(index, step);
        }
        if let Ahead::Collect(steps) = self.policy.ahead {
            for ahead in 1..=steps {
                self.send_lot(index, step + ahead);
            }
        }
        let reply = if fresh {
            self.submit_time()
        } else {
            Duration::ZERO
        };
        self.send_collect(index, reply);
    }

    /// From sending a lot to the answer.
    fn submit_time(&self) -> Duration {
        let Scenario { client, zone, .. } = &self.scenario;
        2 * (*client + *zone)
    }

    fn send_lot(&mut self, index: usize, step: u64) {
        let (now, seed) = (self.now, self.seed);
        let trainer = &mut self.trainers[index];
        if !trainer.held.contains_key(&step) {
            let version = trainer.expected(step);
            let lot = trainer.lot(step, seed, now, version);
            trainer.held.insert(step, lot);
        }
        let job = Job::Submit(index, step, trainer.front);
        self.queue.send(now, self.scenario.client, job);
    }

    fn send_collect(&mut self, index: usize, after: Duration) {
        let trainer = &self.trainers[index];
        let Some(held) = trainer.held.get(&trainer.step) else {
            return;
        };
        let asked = Asked {
            trainer: index,
            step: trainer.step,
            lot: held.id.clone(),
            front: trainer.front,
            token: held.cursor.token().clone(),
            version: trainer.version,
        };
        let after = after + self.scenario.client;
        self.queue.send(self.now, after, Job::Collect(asked));
    }

    /// The answer to a collect arrives.
    pub(super) fn collected(&mut self, asked: Asked, answer: Option<(Token, Vec<Sample>)>) {
        let index = asked.trainer;
        let Some((token, samples)) = answer else {
            self.next_front(index);
            return;
        };
        self.take(&asked, &token, samples);
        let trainer = &self.trainers[index];
        let held = trainer.held.get(&trainer.step);
        if held.is_some_and(|held| held.cursor.token().remaining() == 0) {
            self.train(index);
        } else {
            self.send_collect(index, Duration::ZERO);
        }
    }

    /// The front is gone or lost the lot: the next one gets all of it again.
    fn next_front(&mut self, index: usize) {
        let entries = self.entries.len();
        let trainer = &mut self.trainers[index];
        trainer.front = (trainer.front + 1) % entries;
        let steps: Vec<_> = trainer.held.keys().copied().collect();
        for step in steps {
            self.send_lot(index, step);
        }
        let reply = self.submit_time();
        self.send_collect(index, reply);
    }

    fn take(&mut self, asked: &Asked, token: &Token, samples: Vec<Sample>) {
        let now = self.now;
        let trainer = &mut self.trainers[asked.trainer];
        let Some(held) = trainer.held.get_mut(&asked.step) else {
            return;
        };
        let indexes = samples.iter().map(|sample| sample.index);
        if held.cursor.accept(&asked.token, token, indexes).is_err() {
            self.tally.repeats += 1;
            return;
        }
        for sample in samples {
            let oldest = provenance::oldest_version(&sample.spans).unwrap_or_default();
            let behind = oldest.versions_behind(asked.version);
            self.tally.delivered(&held.id, &sample, behind);
            if behind > trainer.options.bound {
                self.tally.beyond += 1;
            }
            held.tokens += u64::from(sample.tokens);
            held.longest = held.longest.max(sample.tokens);
            let missing = &mut held.missing[sample.group as usize];
            *missing -= 1;
            if *missing == 0 {
                self.tally.groups.push(now.since(held.submitted));
            }
        }
    }

    fn train(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        let step = trainer.step;
        if let Some(held) = trainer.held.get(&step) {
            trainer.steps.push(Step {
                tokens: held.tokens,
                longest: held.longest,
            });
        }
        trainer.training = Some(self.now);
        let time = trainer.options.train;
        self.queue.send(self.now, time, Job::Trained(index));
        if self.policy.ahead == Ahead::Train {
            self.send_lot(index, step + 1);
        }
    }

    /// A trainer finished training: it publishes, or goes on at once.
    pub(super) fn trained(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        trainer.training = None;
        trainer.trained += trainer.options.train;
        let every = trainer.options.publish_every;
        let step = trainer.step;
        trainer.step += 1;
        if every > 0 && step.is_multiple_of(every) {
            let version = Version(self.newest.0 + 1);
            self.queue
                .send(self.now, self.scenario.client, Job::Publish(index, version));
        } else {
            self.want(index);
        }
    }

    /// The entry through which a trainer calls.
    pub(super) fn front(&self, index: usize) -> usize {
        self.trainers[index].front
    }
}
