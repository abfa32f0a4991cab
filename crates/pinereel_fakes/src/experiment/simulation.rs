//! State of one run, and the dispatch of its events to their handlers.

use super::{
    engine::Engine,
    entry::Entry,
    event::{Event, Origin, Queue},
    live::LiveRequests,
    lots::PendingCollect,
    metrics::Metrics,
    policy::Policy,
    recorder::Recorder,
    scenario::Scenario,
    trainer::Trainer,
    weights,
};
use pinereel_core::{Time, Version, rollout};
use std::{collections::BTreeMap, time::Duration};

/// A run of one scenario under one policy with one seed.
pub struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) policy: Policy,
    pub(super) seed: u64,
    /// Virtual time from the begin to the end of the run.
    pub(super) duration: Duration,
    pub(super) now: Time,
    pub(super) queue: Queue,
    pub(super) engines: Vec<Engine>,
    pub(super) entries: Vec<Entry>,
    pub(super) trainers: Vec<Trainer>,
    pub(super) live_requests: LiveRequests,
    /// Collects that entries are handling, by number.
    pub(super) pending_collects: BTreeMap<u64, PendingCollect>,
    /// Runner of each group whose first runner could not be reached; the key is trainer, step and
    /// group.
    pub(super) moved_groups: BTreeMap<(usize, u64, u32), usize>,
    pub(super) next_collect: u64,
    pub(super) next_query: u64,
    pub(super) rollout: rollout::Controller,
    /// Time of the last attempt to renew the rollout's lease.
    pub(super) lease_renewal_tried_at: Option<Time>,
    /// Newest published version.
    pub(super) newest_version: Version,
    pub(super) object_api_down: bool,
    /// Age of the figures in load reports.
    pub(super) report_lag: Duration,
    pub(super) recorder: Recorder,
}

impl Simulation {
    /// Prepares a run of `steps` times [`Scenario::step_time`].
    pub fn new(scenario: &Scenario, policy: Policy, seed: u64, steps: u32) -> Self {
        let zones = scenario.zones.len();
        let duration = scenario.step_time * steps;
        let engines = 0..scenario.engine_count;
        let entries = 0..scenario.entry_count;
        let trainers = scenario.trainers.iter().enumerate();
        Self {
            engines: engines
                .map(|index| Engine::new(index, zones, scenario.engine_options.clone()))
                .collect(),
            entries: entries
                .map(|index| Entry::new(index, 0, zones, &policy))
                .collect(),
            trainers: trainers
                .map(|(index, options)| Trainer::new(index, options))
                .collect(),
            live_requests: LiveRequests::new(scenario, seed, duration),
            rollout: rollout::Controller::new(weights::rollout_settings(
                policy.rollout_in_waves,
                scenario.engine_options.swap_time,
            )),
            policy,
            seed,
            duration,
            now: Time::ZERO,
            queue: Queue::default(),
            pending_collects: BTreeMap::new(),
            moved_groups: BTreeMap::new(),
            next_collect: 0,
            next_query: 0,
            lease_renewal_tried_at: None,
            newest_version: Version(1),
            object_api_down: false,
            report_lag: scenario.report_lag,
            recorder: Recorder::default(),
            scenario: scenario.clone(),
        }
    }

    /// Runs the simulation to its end and returns its metrics.
    pub fn run(mut self) -> Metrics {
        self.start();
        let end = Time::ZERO + self.duration;
        while let Some((time, event)) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.now = end;
        Metrics::of(&self)
    }

    /// Has the engines load the first version, and schedules the first events.
    fn start(&mut self) {
        for index in 0..self.engines.len() {
            self.engines[index]
                .batch
                .load(self.now, self.newest_version);
            self.advance_engine(index);
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        self.queue
            .schedule(self.now, Duration::ZERO, Event::RolloutTick);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let delay = self.duration.mul_f64(fault.begin_share);
            self.queue
                .schedule(self.now, delay, Event::FaultBegin(index));
        }
        for (number, arrival) in self.live_requests.arrivals().collect::<Vec<_>>() {
            self.queue.schedule(
                Time::ZERO,
                arrival.since(Time::ZERO),
                Event::LiveRequest(number),
            );
        }
        for index in 0..self.trainers.len() {
            self.schedule_next_step(index, Duration::ZERO);
        }
    }

    /// Schedules the begin of a trainer's next step.
    pub(super) fn schedule_next_step(&mut self, trainer: usize, delay: Duration) {
        self.queue
            .schedule(self.now, delay, Event::NextStep(trainer));
    }

    /// Begins a trainer's next step. Without [`Policy::run_trainers`], only publishes a version at
    /// the interval at which the trainer would.
    fn next_step(&mut self, trainer: usize) {
        if self.policy.run_trainers {
            self.begin_step(trainer);
            return;
        }
        let publish_every = self.trainers[trainer].options.publish_every;
        if publish_every > 0 {
            let interval = self.scenario.step_time * publish_every as u32;
            let version = Version(self.newest_version.0 + 1);
            let event = Event::Publish(trainer, version);
            self.queue.schedule(self.now, interval, event);
            self.schedule_next_step(trainer, interval);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::EngineDue(engine) => self.engine_due(engine),
            Event::Request(engine, origin, request) => {
                self.receive_request(engine, origin, request);
            }
            Event::Cancel(engine, id) => self.receive_cancel(engine, &id),
            Event::Chunk(Origin::Sample(entry_id, attempt), chunk) => {
                self.receive_sample_chunk(entry_id, attempt, chunk);
            }
            Event::Chunk(Origin::Live(number, attempt), chunk) => {
                self.receive_live_chunk(number, attempt, &chunk);
            }
            Event::AttemptFailed(Origin::Sample(entry_id, attempt), end, failure) => {
                self.sample_attempt_failed(entry_id, attempt, end, failure);
            }
            Event::AttemptFailed(Origin::Live(number, attempt), end, _) => {
                self.live_attempt_failed(number, attempt, end);
            }
            Event::PollEngine(entry_id, engine) => self.poll_engine(entry_id, engine),
            Event::Report(entry_id, engine, incarnation, report) => {
                self.receive_report(entry_id, engine, incarnation, report);
            }
            Event::RunnerTick(entry_id) => self.runner_tick(entry_id),
            Event::Submit(trainer, step, entry) => self.receive_lot(trainer, step, entry),
            Event::Assign(runner, spec) => self.receive_groups(runner, spec),
            Event::Collect(call) => self.receive_collect(call),
            Event::Query(number, runner, token, version) => {
                self.receive_query(number, runner, token, version);
            }
            Event::QueryTimeout(entry_id, query) => self.query_timed_out(entry_id, query),
            Event::Reply(number, runner, reply) => self.receive_reply(number, runner, reply),
            Event::GraceOver(number, generation) => self.grace_over(number, generation),
            Event::NextRound(number) => self.start_round(number),
            Event::Collected(call, answer) => self.receive_collected(call, answer),
            Event::TrainingDone(trainer) => self.training_done(trainer),
            Event::NextStep(trainer) => self.next_step(trainer),
            Event::Publish(trainer, version) => self.publish(trainer, version),
            Event::VersionKnown(entry_id, version) => self.learn_version(entry_id, version),
            Event::ListObjects(entry_id) => self.list_objects(entry_id),
            Event::RolloutTick => self.rollout_tick(),
            Event::Order(engine, version) => self.receive_order(engine, version),
            Event::ReadStatus(engine) => self.send_status(engine, None),
            Event::Status(engine, fence, status) => self.receive_status(engine, fence, status),
            Event::LiveRequest(number) => self.receive_live_request(number),
            Event::RouteWaiting(entry_id) => self.route_waiting(entry_id),
            Event::FaultBegin(index) => self.begin_fault(index),
            Event::FaultEnd(index) => self.end_fault(index),
        }
    }

    /// One-way latency between two zones, named by their indexes.
    pub(super) const fn latency(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.scenario.local_latency
        } else {
            self.scenario.cross_zone_latency
        }
    }
}
