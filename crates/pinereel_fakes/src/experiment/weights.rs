//! Weights of a run: publication at the object API, its propagation to the entries, and the rollout
//! to the engines.

use super::{
    entry::OBJECT_LIST_INTERVAL,
    event::{EntryId, Event},
    simulation::Simulation,
};
use pinereel_core::{
    Version,
    rollout::{self, Action, Lease, Settings, Status},
};
use std::time::Duration;

/// Fencing token of the rollout's lease. It never changes, since the lease has a single holder.
pub(super) const FENCING_TOKEN: u64 = 1;
/// Index of the entry that holds the rollout's lease. No trainer calls it at first, and no fault of
/// the built-in scenarios hits it.
pub(super) const ROLLOUT_ENTRY: usize = 8;
/// Interval between ticks of the rollout.
const ROLLOUT_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a renewal of the lease to its expiry.
const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// Interval between renewals of the lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Round-trip time of a call to the object API.
const OBJECT_API_ROUND_TRIP: Duration = Duration::from_millis(4);
/// Delay before a publication that failed is repeated.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Settings of the rollout, with times scaled to training steps of about a second. Without waves,
/// all engines may load at the same time.
pub(super) fn rollout_settings(in_waves: bool, initial_load_time: Duration) -> Settings {
    let all_at_once = Settings {
        max_loads: usize::MAX,
        min_serving_share: 0.0,
        initial_load_time,
        load_timeout: Duration::from_secs(2),
        answer_timeout: Duration::from_millis(300),
        poll_interval: Duration::from_millis(25),
        recheck_interval: Duration::from_secs(1),
        initial_backoff: Duration::from_millis(100),
        initial_quarantine: Duration::from_secs(1),
        max_quarantine: Duration::from_secs(4),
        ..Settings::default()
    };
    if in_waves {
        return Settings {
            max_loads: 4,
            min_serving_share: 0.5,
            ..all_at_once
        };
    }
    all_at_once
}

impl Simulation {
    /// Handles a trainer's publication at the entry that the trainer calls.
    pub(super) fn publish(&mut self, trainer: usize, version: Version) {
        self.recorder.object_api_calls.weights += 1;
        if self.object_api_down || !self.entries[self.entry_of_trainer(trainer)].up {
            self.queue.schedule(
                self.now,
                PUBLISH_RETRY_DELAY,
                Event::Publish(trainer, version),
            );
            return;
        }
        self.recorder.object_api_calls.weights += 1;
        self.newest_version = self.newest_version.max(version);
        let entry_id = self.entries[self.entry_of_trainer(trainer)].id;
        // A publication reads the object and then updates it conditionally.
        self.queue.schedule(
            self.now,
            2 * OBJECT_API_ROUND_TRIP,
            Event::VersionKnown(entry_id, version),
        );
        if self.policy.eager_propagation {
            self.announce_version(entry_id, version);
        }
        if self.policy.run_trainers {
            // The trainer begins its next step when it has the answer.
            let delay = 2 * OBJECT_API_ROUND_TRIP + self.scenario.client_latency;
            self.schedule_next_step(trainer, delay);
        }
    }

    /// Sends a published version from one entry to all entries.
    fn announce_version(&mut self, sender: EntryId, version: Version) {
        let sender_zone = self.entries[sender.index].zone;
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let delay = 2 * OBJECT_API_ROUND_TRIP + self.latency(sender_zone, entry.zone);
            let event = Event::VersionKnown(entry.id, version);
            self.queue.schedule(self.now, delay, event);
        }
    }

    /// Passes a version that an entry has learned to the rollout, if that entry holds its lease.
    pub(super) fn set_rollout_target(&mut self, entry_id: EntryId, version: Version) {
        if entry_id.index == ROLLOUT_ENTRY {
            self.step_rollout(rollout::Event::Published(version));
        }
    }

    /// Lists the weights and the instances for an entry, and schedules the next list.
    pub(super) fn list_objects(&mut self, entry_id: EntryId) {
        if !self.is_running(entry_id) {
            return;
        }
        self.recorder.object_api_calls.weights += 1;
        self.recorder.object_api_calls.instances += 1;
        if !self.object_api_down {
            let event = Event::VersionKnown(entry_id, self.newest_version);
            self.queue.schedule(self.now, OBJECT_API_ROUND_TRIP, event);
        }
        self.queue.schedule(
            self.now,
            OBJECT_LIST_INTERVAL + OBJECT_API_ROUND_TRIP,
            Event::ListObjects(entry_id),
        );
    }

    /// Periodic tick of the rollout: renews its lease if that is due, and updates its engines and
    /// its target.
    pub(super) fn rollout_tick(&mut self) {
        let renewal_due = self
            .lease_renewal_tried_at
            .is_none_or(|at| self.now.since(at) >= LEASE_RENEWAL_INTERVAL);
        if renewal_due {
            self.recorder.object_api_calls.lease += 1;
            self.lease_renewal_tried_at = Some(self.now);
            if !self.object_api_down {
                let lease = Lease {
                    fence: FENCING_TOKEN,
                    expires_at: self.now + LEASE_TTL,
                };
                self.step_rollout(rollout::Event::Lease(Some(lease)));
            }
        }
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let found = self.entries[ROLLOUT_ENTRY].endpoints.find(&engine.name);
            let event = rollout::Event::Listed {
                name: engine.name.clone(),
                zone: self.scenario.zones[engine.zone].clone(),
                outstanding: found.map_or(0, |(_, e)| e.load(self.now) as u32),
                leaving: false,
            };
            self.step_rollout(event);
        }
        let known_version = self.entries[ROLLOUT_ENTRY].known_version;
        if known_version > Version(0) {
            self.step_rollout(rollout::Event::Published(known_version));
        }
        self.step_rollout(rollout::Event::Tick);
        self.queue
            .schedule(self.now, ROLLOUT_TICK_INTERVAL, Event::RolloutTick);
    }

    /// Handles an engine's answer to the rollout. `fence` is the fencing token of the order that it
    /// answers, or `None` if it answers a read.
    pub(super) fn receive_status(
        &mut self,
        engine: usize,
        fence: Option<u64>,
        status: Option<Status>,
    ) {
        let name = self.engines[engine].name.clone();
        let event = match (status, fence) {
            (None, _) => rollout::Event::NoAnswer { name },
            (Some(status), None) => rollout::Event::Observed { name, status },
            (Some(status), Some(fence)) => rollout::Event::Accepted {
                name,
                fence,
                status,
            },
        };
        self.step_rollout(event);
    }

    /// Feeds an event to the rollout and sends the resulting orders and reads.
    fn step_rollout(&mut self, event: rollout::Event) {
        for action in self.rollout.step(self.now, event) {
            let (name, version) = match action {
                Action::Read { name } => (name, None),
                Action::Order { name, version, .. } => (name, Some(version)),
                _ => continue,
            };
            let found = self.engines.iter().position(|e| e.name == name);
            let Some(index) = found else { continue };
            let latency = self.latency(self.entries[ROLLOUT_ENTRY].zone, self.engines[index].zone);
            let event = match version {
                Some(version) => Event::Order(index, version),
                None => Event::ReadStatus(index),
            };
            self.queue.schedule(self.now, latency, event);
        }
    }
}
