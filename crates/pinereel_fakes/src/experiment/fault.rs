//! Begins and ends the faults that a scenario injects into a run.

use super::{entry::Entry, event::Event, scenario::FaultKind, simulation::Simulation};
use crate::engine::fault::Faults;
use std::time::Duration;

/// Factor by which the steps of a slow engine take longer.
const SLOW_FACTOR: f64 = 4.0;

impl Simulation {
    /// Begins the scenario's fault with this index, and schedules its end.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let target = fault.target;
        match fault.kind {
            FaultKind::Crash => self.crash_engine(target),
            FaultKind::PartialSwap => self.set_faults(target, |f| f.swap_partway = true),
            FaultKind::Slow => self.set_faults(target, |f| f.slow_factor = SLOW_FACTOR),
            FaultKind::Lag => self.report_lag = Duration::from_millis(target as u64),
            FaultKind::Outage => self.object_api_down = true,
            FaultKind::Entry => self.crash_entry(target),
        }
        let duration = self.duration.mul_f64(fault.duration_share);
        self.queue
            .schedule(self.now, duration, Event::FaultEnd(index));
    }

    /// Ends the scenario's fault with this index.
    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let target = fault.target;
        match fault.kind {
            FaultKind::Crash => self.engines[target].up = true,
            FaultKind::PartialSwap => self.set_faults(target, |f| f.swap_partway = false),
            FaultKind::Slow => self.set_faults(target, |f| f.slow_factor = 1.0),
            FaultKind::Lag => self.report_lag = self.scenario.report_lag,
            FaultKind::Outage => self.object_api_down = false,
            FaultKind::Entry => self.restart_entry(target),
        }
    }

    fn set_faults(&mut self, target: usize, change: impl FnOnce(&mut Faults)) {
        self.advance_engine(target);
        let engine = &mut self.engines[target];
        let mut faults = engine.batch.faults().clone();
        change(&mut faults);
        engine.batch.set_faults(self.now, faults);
        self.advance_engine(target);
    }

    fn crash_entry(&mut self, index: usize) {
        let id = self.entries[index].id;
        self.entries[index].up = false;
        self.close_connections(id);
        self.abort_collects(id);
        self.drop_live_requests(index);
        // The next incarnation starts without the lots and samples of this one.
        let zones = self.scenario.zones.len();
        let incarnation = id.incarnation + 1;
        let mut entry = Entry::new(index, incarnation, zones, &self.policy);
        entry.up = false;
        self.entries[index] = entry;
    }

    fn restart_entry(&mut self, index: usize) {
        self.entries[index].up = true;
        self.start_entry(index);
    }
}
