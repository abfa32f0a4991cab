//! Metrics of the process itself: its start, its use of the machine, and the faults that it survived.

use super::metrics::{float_gauge, gauge_value, int_gauge};
use crate::{
    logging,
    metrics::{cpu_seconds, resident_bytes},
    restart::restart_count,
};
use prometheus::{Gauge, IntGauge, Registry};
use std::time::{SystemTime, UNIX_EPOCH};

/// Metrics of this process.
#[derive(Clone, Debug)]
pub(super) struct ProcessMetrics {
    cpu: Gauge,
    resident_memory: Gauge,
    task_restarts: IntGauge,
    log_lines_dropped: IntGauge,
}

impl ProcessMetrics {
    /// Registers the metrics. To be called at the start of the process, which is taken as its start time.
    pub(super) fn new(r: &Registry) -> Self {
        let started_at = float_gauge(r, "process_start_time_seconds", "Since the start of 1970.");
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        started_at.set(elapsed.unwrap_or_default().as_secs_f64());
        Self {
            cpu: float_gauge(r, "process_cpu_seconds", "CPU time of the process."),
            resident_memory: float_gauge(r, "process_resident_bytes", "Resident memory."),
            task_restarts: int_gauge(r, "task_restarts", "Restarts after panics."),
            log_lines_dropped: int_gauge(r, "log_lines_dropped", "Lines not written."),
        }
    }

    /// Reads the current values.
    pub(super) fn update(&self) {
        self.cpu.set(cpu_seconds().unwrap_or_default());
        self.resident_memory
            .set(resident_bytes().unwrap_or_default());
        self.task_restarts.set(gauge_value(restart_count()));
        self.log_lines_dropped.set(gauge_value(logging::dropped()));
    }
}
