//! Weights of a run: publication at the object API, entries that list it, and the rollout.

use super::{
    entry::LIST_PAUSE,
    job::{Job, Life},
    world::World,
};
use pinereel_core::{
    Version,
    rollout::{Action, Event, Lease, Settings, Status},
};
use std::time::Duration;

/// Fencing token of the only holder.
pub(super) const FENCE: u64 = 1;
/// The entry that holds the rollout's lease; no trainer calls it at first, and no fault hits it.
pub(super) const HOLDER: usize = 8;
/// Pause between ticks of the rollout.
const TICK: Duration = Duration::from_millis(50);
/// Time for which the lease is held after each renewal.
const LEASE: Duration = Duration::from_millis(1_000);
/// Pause between renewals.
const RENEWAL: Duration = Duration::from_millis(300);
/// Time that a call of the object API takes, there and back.
const CALL: Duration = Duration::from_millis(4);
/// Pause of a trainer whose publication was refused.
const RETRY: Duration = Duration::from_millis(500);

/// The rollout's settings, scaled to steps of about a second.
pub(super) fn settings(waves: bool, swap: Duration) -> Settings {
    let all = Settings {
        max_loads: usize::MAX,
        min_serving_share: 0.0,
        initial_load_time: swap,
        load_timeout: Duration::from_secs(2),
        answer_timeout: Duration::from_millis(300),
        poll_interval: Duration::from_millis(25),
        recheck_interval: Duration::from_secs(1),
        initial_backoff: Duration::from_millis(100),
        initial_quarantine: Duration::from_secs(1),
        max_quarantine: Duration::from_secs(4),
        ..Settings::default()
    };
    if waves {
        return Settings {
            max_loads: 4,
            min_serving_share: 0.5,
            ..all
        };
    }
    all
}

impl World {
    /// A trainer's publication arrives at its entry.
    pub(super) fn publish(&mut self, index: usize, version: Version) {
        self.tally.calls.weights += 1;
        if self.outage || !self.entries[self.front(index)].up {
            self.queue
                .send(self.now, RETRY, Job::Publish(index, version));
            return;
        }
        self.tally.calls.weights += 1;
        self.newest = self.newest.max(version);
        let life = self.entries[self.front(index)].life;
        // A read and a conditional update.
        self.queue
            .send(self.now, 2 * CALL, Job::Known(life, version));
        if self.policy.eager {
            self.tell(life, version);
        }
        if self.policy.bulk {
            // The trainer goes on when its call is answered.
            self.resume(index, 2 * CALL + self.scenario.client);
        }
    }

    /// Tells all other entries of a version.
    fn tell(&mut self, life: Life, version: Version) {
        let from = self.entries[life.entry].zone;
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let after = 2 * CALL + self.between(from, entry.zone);
            let job = Job::Known(entry.life, version);
            self.queue.send(self.now, after, job);
        }
    }

    /// Tells the rollout of a version that its entry learned.
    pub(super) fn target(&mut self, life: Life, version: Version) {
        if life.entry == HOLDER {
            self.rollout_step(Event::Published(version));
        }
    }

    /// An entry lists the weights; the same again later.
    pub(super) fn list(&mut self, life: Life) {
        if !self.lives(life) {
            return;
        }
        self.tally.calls.weights += 1;
        self.tally.calls.instances += 1;
        if !self.outage {
            let job = Job::Known(life, self.newest);
            self.queue.send(self.now, CALL, job);
        }
        self.queue
            .send(self.now, LIST_PAUSE + CALL, Job::List(life));
    }

    /// The rollout's regular tick: the lease is renewed while the object API answers.
    pub(super) fn rollout_tick(&mut self) {
        let due = self.renewed.is_none_or(|at| self.now.since(at) >= RENEWAL);
        if due {
            self.tally.calls.lease += 1;
            self.renewed = Some(self.now);
            if !self.outage {
                let lease = Lease {
                    fence: FENCE,
                    expires_at: self.now + LEASE,
                };
                self.rollout_step(Event::Lease(Some(lease)));
            }
        }
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let found = self.entries[HOLDER].set.find(&engine.name);
            let event = Event::Listed {
                name: engine.name.clone(),
                zone: self.scenario.zones[engine.zone].clone(),
                outstanding: found.map_or(0, |(_, e)| e.load(self.now) as u32),
                leaving: false,
            };
            self.rollout_step(event);
        }
        let known = self.entries[HOLDER].known;
        if known > Version(0) {
            self.rollout_step(Event::Published(known));
        }
        self.rollout_step(Event::Tick);
        self.queue.send(self.now, TICK, Job::Rollout);
    }

    /// What an engine shows arrives at the rollout.
    pub(super) fn status(&mut self, index: usize, fence: Option<u64>, status: Option<Status>) {
        let name = self.engines[index].name.clone();
        let event = match (status, fence) {
            (None, _) => Event::NoAnswer { name },
            (Some(status), None) => Event::Observed { name, status },
            (Some(status), Some(fence)) => Event::Accepted {
                name,
                fence,
                status,
            },
        };
        self.rollout_step(event);
    }

    fn rollout_step(&mut self, event: Event) {
        for action in self.rollout.step(self.now, event) {
            let (name, version) = match action {
                Action::Read { name } => (name, None),
                Action::Order { name, version, .. } => (name, Some(version)),
                _ => continue,
            };
            let found = self.engines.iter().position(|e| e.name == name);
            let Some(index) = found else { continue };
            let after = self.between(self.entries[HOLDER].zone, self.engines[index].zone);
            let job = match version {
                Some(version) => Job::Order(index, version),
                None => Job::Read(index),
            };
            self.queue.send(self.now, after, job);
        }
    }
}
