//! The faults of a run begin and end.

use super::{entry::Entry, job::Job, scenario::Kind, world::World};
use crate::engine::fault::Faults;
use std::time::Duration;

/// How much slower a slow engine is.
const SLOWER: f64 = 4.0;

impl World {
    /// A fault begins; its end is planned.
    pub(super) fn fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let target = fault.target;
        match fault.kind {
            Kind::Crash => self.crash(target),
            Kind::PartialSwap => self.set_faults(target, |f| f.swap_partway = true),
            Kind::Slow => self.set_faults(target, |f| f.slow_factor = SLOWER),
            Kind::Lag => self.lag = Duration::from_millis(target as u64),
            Kind::Outage => self.outage = true,
            Kind::Entry => self.lose_entry(target),
        }
        let length = self.length.mul_f64(fault.length);
        self.queue.send(self.now, length, Job::Heal(index));
    }

    /// A fault ends.
    pub(super) fn heal(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let target = fault.target;
        match fault.kind {
            Kind::Crash => self.engines[target].up = true,
            Kind::PartialSwap => self.set_faults(target, |f| f.swap_partway = false),
            Kind::Slow => self.set_faults(target, |f| f.slow_factor = 1.0),
            Kind::Lag => self.lag = self.scenario.lag,
            Kind::Outage => self.outage = false,
            Kind::Entry => self.replace_entry(target),
        }
    }

    fn set_faults(&mut self, target: usize, change: impl FnOnce(&mut Faults)) {
        self.run_engine(target);
        let engine = &mut self.engines[target];
        let mut faults = engine.batch.faults().clone();
        change(&mut faults);
        engine.batch.set_faults(self.now, faults);
        self.run_engine(target);
    }

    fn lose_entry(&mut self, index: usize) {
        let life = self.entries[index].life;
        self.entries[index].up = false;
        self.close_all(life);
        self.break_collects(life);
        self.lose_live(index);
        // Its runner's memory is gone.
        let zones = self.scenario.zones.len();
        let number = life.number + 1;
        let mut entry = Entry::new(index, number, zones, &self.policy);
        entry.up = false;
        self.entries[index] = entry;
    }

    fn replace_entry(&mut self, index: usize) {
        self.entries[index].up = true;
        self.start_entry(index);
    }
}
