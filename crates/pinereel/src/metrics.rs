//! The process's figures for `prometheus`, on a registry of each entry's own.
//!
//! Label values come from the configuration (pools, trainers) or from fixed sets, never from
//! callers, so that the number of series stays bounded.

use crate::logging;
use pinereel_api::problem::Code;
use prometheus::{
    Counter, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder, core::Collector,
};
use std::fs;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0,
];
/// Upper bounds of the staleness buckets, in versions.
const STALENESS: [f64; 8] = [0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0];
/// Ticks a second in `/proc`, fixed by Linux's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// All figures of one entry.
///
/// The labels of each family, in their order, stand in its description.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by `pool` and `outcome` (`answer`, `not_run`, `unknown`).
    pub requests: IntCounterVec,
    /// Seconds from receipt to the end of the answer, by `pool`.
    pub latency: HistogramVec,
    /// Attempts by `pool` and `result` (`answer`, `not_run`, `unknown`).
    pub attempts: IntCounterVec,
    /// Attempts after the first, by `pool`.
    pub retries: IntCounterVec,
    /// Refusals by `code`; see [`Metrics::refuse`].
    pub refused: IntCounterVec,
    /// Requests now at endpoints, by `pool`.
    pub in_flight: IntGaugeVec,
    /// Requests now waiting, by `pool`.
    pub queue: IntGaugeVec,
    /// Decisions by `what`; see [`Metrics::decide`].
    pub decisions: IntCounterVec,
    /// Chunks of an answer that came after its request had ended.
    pub late_chunks: IntCounter,
    /// Lots by `trainer` and `event` (`submitted`, `done`).
    pub lots: IntCounterVec,
    /// Samples by `trainer` and `event` (`delivered`, `voided`, `redone`).
    pub samples: IntCounterVec,
    /// Versions behind the newest at delivery, by `trainer`.
    pub staleness: HistogramVec,
    /// Calls to the object API by `purpose` and `kind` (`read`, `write`, `watch`).
    pub object_calls: IntCounterVec,
    /// Number of the configuration in force.
    pub config_number: IntGauge,
    /// Frames on links between entries, by `direction` (`in`, `out`).
    pub peer_frames: IntCounterVec,
    /// Bytes on links between entries, by `direction` (`in`, `out`).
    pub peer_bytes: IntCounterVec,
    /// Links to other entries that are up.
    pub links_up: IntGauge,
    /// Endpoints that are known here, leaving ones included.
    pub endpoints_known: IntGauge,
    /// What this entry's runner did with samples, by `event`.
    pub runner: IntCounterVec,
    /// Claims of idempotency keys by `verdict`.
    pub claims: IntCounterVec,
    log_dropped: IntCounter,
    cpu: Counter,
    memory: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All figures at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let trainer_event = ["trainer", "event"];
        Self {
            requests: counters(r, "requests_total", "Requests.", &["pool", "outcome"]),
            latency: histograms(
                r,
                "request_seconds",
                "Time to the answer's end.",
                "pool",
                &LATENCY,
            ),
            attempts: counters(r, "attempts_total", "Attempts.", &["pool", "result"]),
            retries: counters(r, "retries_total", "Attempts after the first.", &["pool"]),
            refused: counters(r, "refused_total", "Refused requests.", &["code"]),
            in_flight: gauges(r, "requests_in_flight", "Requests at endpoints.", "pool"),
            queue: gauges(r, "requests_waiting", "Requests that wait.", "pool"),
            decisions: counters(r, "decisions_total", "Decisions.", &["what"]),
            late_chunks: counter(r, "late_chunks_dropped_total", "Chunks after the end."),
            lots: counters(r, "lots_total", "Lots.", &trainer_event),
            samples: counters(r, "samples_total", "Samples.", &trainer_event),
            staleness: histograms(
                r,
                "staleness_versions",
                "Versions behind the newest at delivery.",
                "trainer",
                &STALENESS,
            ),
            object_calls: counters(
                r,
                "object_api_calls_total",
                "Calls to the object API.",
                &["purpose", "kind"],
            ),
            config_number: gauge(r, "config_number", "Configuration in force."),
            peer_frames: counters(r, "peer_frames_total", "Frames of links.", &["direction"]),
            peer_bytes: counters(r, "peer_bytes_total", "Bytes of links.", &["direction"]),
            links_up: gauge(r, "peer_links_up", "Links that are up."),
            endpoints_known: gauge(r, "endpoints_known", "Endpoints known here."),
            runner: counters(r, "runner_total", "Work on samples here.", &["event"]),
            claims: counters(
                r,
                "claims_total",
                "Claims of idempotency keys.",
                &["verdict"],
            ),
            log_dropped: counter(
                r,
                "log_lines_dropped_total",
                "Lines dropped by the process's log.",
            ),
            cpu: register(
                r,
                Counter::new(
                    "pinereel_process_cpu_seconds_total",
                    "CPU time of the process.",
                ),
            ),
            memory: register(
                r,
                Gauge::new(
                    "pinereel_process_resident_bytes",
                    "Resident memory of the process.",
                ),
            ),
            registry,
        }
    }

    /// Counts a refusal.
    pub fn refuse(&self, code: Code) {
        let name = serde_json::to_value(code).unwrap_or_default();
        let name = name.as_str().unwrap_or("unnamed");
        self.refused.with_label_values(&[name]).inc();
    }

    /// Counts a decision.
    pub fn decide(&self, what: logging::DecisionKind) {
        self.decisions.with_label_values(&[what.as_str()]).inc();
    }

    /// All figures in the text format of Prometheus.
    pub fn render(&self) -> String {
        self.refresh();
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.expect("families without samples are not gathered, and the rest encode")
    }

    /// Takes the process's own figures.
    fn refresh(&self) {
        let dropped = logging::dropped();
        self.log_dropped
            .inc_by(dropped.saturating_sub(self.log_dropped.get()));
        if let Some(seconds) = cpu_seconds() {
            self.cpu.inc_by((seconds - self.cpu.get()).max(0.0));
        }
        if let Some(bytes) = resident_bytes() {
            self.memory.set(bytes);
        }
    }
}

/// User and system time of the process so far.
pub(crate) fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field, the program's name, may hold spaces and ends with the last `)`.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

pub(crate) fn resident_bytes() -> Option<f64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * 1_024.0)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(full(name), help))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(full(name), help);
    register(registry, IntCounterVec::new(opts, labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(full(name), help))
}

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(full(name), help);
    register(registry, IntGaugeVec::new(opts, &[label]))
}

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    buckets: &[f64],
) -> HistogramVec {
    let opts = HistogramOpts::new(full(name), help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, &[label]))
}

fn full(name: &str) -> String {
    format!("pinereel_{name}")
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("the names are valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("the names are unique");
    metric
}
