//! One run: the parties, the queue of events, and which party handles which event.

use super::{
    collect::Collect,
    engines::Engine,
    entry::Entry,
    figure::Figures,
    job::{Job, Origin, Queue},
    live::Live,
    policy::Policy,
    scenario::Scenario,
    tally::Tally,
    trainer::Trainer,
    weights,
};
use pinereel_core::{Time, Version, rollout};
use std::{collections::BTreeMap, time::Duration};

/// All state of one run.
pub struct World {
    pub(super) scenario: Scenario,
    pub(super) policy: Policy,
    pub(super) seed: u64,
    /// How long the run lasts.
    pub(super) length: Duration,
    pub(super) now: Time,
    pub(super) queue: Queue,
    pub(super) engines: Vec<Engine>,
    pub(super) entries: Vec<Entry>,
    pub(super) trainers: Vec<Trainer>,
    pub(super) live: Live,
    pub(super) collects: BTreeMap<u64, Collect>,
    /// Groups that went to another runner since theirs was lost: trainer, step, group.
    pub(super) moved: BTreeMap<(usize, u64, u32), usize>,
    pub(super) next_collect: u64,
    pub(super) next_call: u64,
    pub(super) rollout: rollout::Controller,
    /// When the lease was last to be renewed.
    pub(super) renewed: Option<Time>,
    /// The newest version published.
    pub(super) newest: Version,
    /// Whether the object API is down.
    pub(super) outage: bool,
    /// Age of load reports now.
    pub(super) lag: Duration,
    pub(super) tally: Tally,
}

impl World {
    /// A run that has not begun; it lasts `steps` times the scenario's pace.
    pub fn new(scenario: &Scenario, policy: Policy, seed: u64, steps: u32) -> Self {
        let zones = scenario.zones.len();
        let length = scenario.pace * steps;
        let engines = 0..scenario.engines;
        let entries = 0..scenario.entries;
        let trainers = scenario.trainers.iter().enumerate();
        Self {
            engines: engines
                .map(|index| Engine::new(index, zones, scenario.engine.clone()))
                .collect(),
            entries: entries
                .map(|index| Entry::new(index, 0, zones, &policy))
                .collect(),
            trainers: trainers.map(|(i, t)| Trainer::new(i, t)).collect(),
            live: Live::new(scenario, seed, length),
            rollout: rollout::Controller::new(weights::settings(
                policy.waves,
                scenario.engine.swap_time,
            )),
            policy,
            seed,
            length,
            now: Time::ZERO,
            queue: Queue::default(),
            collects: BTreeMap::new(),
            moved: BTreeMap::new(),
            next_collect: 0,
            next_call: 0,
            renewed: None,
            newest: Version(1),
            outage: false,
            lag: scenario.lag,
            tally: Tally::default(),
            scenario: scenario.clone(),
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Figures {
        self.begin();
        let end = Time::ZERO + self.length;
        while let Some((time, job)) = self.queue.next() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(job);
        }
        self.now = end;
        Figures::of(&self)
    }

    /// Engines have the first weights; all parties start.
    fn begin(&mut self) {
        for index in 0..self.engines.len() {
            self.engines[index].batch.load(self.now, self.newest);
            self.run_engine(index);
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        self.queue.send(self.now, Duration::ZERO, Job::Rollout);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let after = self.length.mul_f64(fault.at);
            self.queue.send(self.now, after, Job::Fault(index));
        }
        for (number, at) in self.live.arrivals().collect::<Vec<_>>() {
            self.queue
                .send(Time::ZERO, at.since(Time::ZERO), Job::Live(number));
        }
        for index in 0..self.trainers.len() {
            self.resume(index, Duration::ZERO);
        }
    }

    /// A trainer goes on after some time. Without bulk load it only publishes.
    pub(super) fn resume(&mut self, index: usize, after: Duration) {
        self.queue.send(self.now, after, Job::Resume(index));
    }

    fn resumed(&mut self, index: usize) {
        if self.policy.bulk {
            self.want(index);
            return;
        }
        let every = self.trainers[index].options.publish_every;
        if every > 0 {
            let pause = self.scenario.pace * every as u32;
            let version = Version(self.newest.0 + 1);
            self.queue
                .send(self.now, pause, Job::Publish(index, version));
            self.resume(index, pause);
        }
    }

    fn handle(&mut self, job: Job) {
        match job {
            Job::Wake(engine) => self.wake(engine),
            Job::Request(engine, origin, request) => self.request(engine, origin, request),
            Job::Cancel(engine, id) => self.cancel(engine, &id),
            Job::Chunk(Origin::Attempt(life, attempt), chunk) => {
                self.attempt_chunk(life, attempt, chunk);
            }
            Job::Chunk(Origin::Live(call, attempt), chunk) => {
                self.live_chunk(call, attempt, &chunk);
            }
            Job::Broken(Origin::Attempt(life, attempt), end, failure) => {
                self.attempt_broken(life, attempt, end, failure);
            }
            Job::Broken(Origin::Live(call, attempt), end, _) => {
                self.live_broken(call, attempt, end);
            }
            Job::Poll(life, engine) => self.poll(life, engine),
            Job::Report(life, engine, incarnation, report) => {
                self.report(life, engine, incarnation, report);
            }
            Job::Tick(life) => self.tick(life),
            Job::Submit(trainer, step, front) => self.submit(trainer, step, front),
            Job::Assign(entry, spec) => self.assign(entry, spec),
            Job::Collect(asked) => self.collect(asked),
            Job::Ask(number, entry, token, version) => self.ask(number, entry, token, version),
            Job::AskOver(life, call) => self.ask_over(life, call),
            Job::Reply(number, entry, reply) => self.replied(number, entry, reply),
            Job::Grace(number, turn) => self.grace(number, turn),
            Job::Round(number) => self.round(number),
            Job::Collected(asked, answer) => self.collected(asked, answer),
            Job::Trained(trainer) => self.trained(trainer),
            Job::Resume(trainer) => self.resumed(trainer),
            Job::Publish(trainer, version) => self.publish(trainer, version),
            Job::Known(life, version) => self.known(life, version),
            Job::List(life) => self.list(life),
            Job::Rollout => self.rollout_tick(),
            Job::Order(engine, version) => self.order(engine, version),
            Job::Read(engine) => self.answer_rollout(engine, None),
            Job::Status(engine, fence, status) => self.status(engine, fence, status),
            Job::Live(call) => self.live_arrived(call),
            Job::Room(life) => self.room(life),
            Job::Fault(index) => self.fault(index),
            Job::Heal(index) => self.heal(index),
        }
    }

    /// One-way latency between two zones.
    pub(super) const fn between(&self, one: usize, other: usize) -> Duration {
        if one == other {
            self.scenario.local
        } else {
            self.scenario.zone
        }
    }
}
