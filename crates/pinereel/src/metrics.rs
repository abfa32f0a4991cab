//! Prometheus metrics, in a registry per entry.
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

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0,
];
/// Upper bounds of the staleness histogram's buckets, in versions.
const STALENESS_BUCKETS: [f64; 8] = [0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0];
/// Clock ticks per second in `/proc`, fixed by Linux's ABI.
const TICKS_PER_SECOND: f64 = 100.0;

/// All metrics of one entry.
///
/// Each field's description names the labels of its family, in their order.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by `pool` and `outcome` (`answer`, `not_run`, `unknown`).
    pub requests: IntCounterVec,
    /// Seconds from receipt to the end of the response, by `pool`.
    pub latency: HistogramVec,
    /// Attempts by `pool` and `result`: `whole` for a complete answer, or how the attempt failed.
    pub attempts: IntCounterVec,
    /// Attempts after the first, by `pool`.
    pub retries: IntCounterVec,
    /// Refusals by `code`; see [`Metrics::count_refusal`].
    pub refused: IntCounterVec,
    /// Requests currently at endpoints, by `pool`.
    pub in_flight: IntGaugeVec,
    /// Requests currently waiting in the queue, by `pool`.
    pub waiting: IntGaugeVec,
    /// Decisions by `what`; see [`Metrics::count_decision`].
    pub decisions: IntCounterVec,
    /// Dropped chunks: duplicates, and those of another or ended attempt.
    pub late_chunks: IntCounter,
    /// Lots by `trainer` (empty) and `event` (`assigned`, `refused`, `dropped`).
    pub lots: IntCounterVec,
    /// Samples by `trainer` and `event` (`delivered`, `stale`).
    pub samples: IntCounterVec,
    /// Staleness of samples at delivery, in versions behind the newest, by `trainer`.
    pub staleness: HistogramVec,
    /// Calls to the object API by `purpose` and `kind` (`read`, `probe`, `watch`, `write`).
    pub object_calls: IntCounterVec,
    /// Number of the configuration in force.
    pub config_number: IntGauge,
    /// Frames on links between entries, by `direction` (`in`, `out`).
    pub peer_frames: IntCounterVec,
    /// Bytes on links between entries, by `direction` (`in`, `out`).
    pub peer_bytes: IntCounterVec,
    /// Open links to other entries.
    pub links_up: IntGauge,
    /// Endpoints known to this entry, including leaving ones.
    pub endpoints_known: IntGauge,
    /// Events of samples in this entry's lot runner, by `event`.
    pub runner: IntCounterVec,
    /// Claims of idempotency keys by `verdict`.
    pub claims: IntCounterVec,
    /// Longest delay of this process's tasks of late, in milliseconds.
    pub scheduling_delay_millis: IntGauge,
    log_dropped: IntCounter,
    cpu_seconds: Counter,
    resident_bytes: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates all metrics, with zero values, in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let trainer_event = ["trainer", "event"];
        Self {
            requests: counter_vec(r, "requests_total", "Requests.", &["pool", "outcome"]),
            latency: histogram_vec(
                r,
                "request_seconds",
                "Time to the answer's end.",
                "pool",
                &LATENCY_BUCKETS,
            ),
            attempts: counter_vec(r, "attempts_total", "Attempts.", &["pool", "result"]),
            retries: counter_vec(r, "retries_total", "Attempts after the first.", &["pool"]),
            refused: counter_vec(r, "refused_total", "Refused requests.", &["code"]),
            in_flight: gauge_vec(r, "requests_in_flight", "Requests at endpoints.", "pool"),
            waiting: gauge_vec(r, "requests_waiting", "Requests that wait.", "pool"),
            decisions: counter_vec(r, "decisions_total", "Decisions.", &["what"]),
            late_chunks: counter(r, "late_chunks_dropped_total", "Chunks after the end."),
            lots: counter_vec(r, "lots_total", "Lots.", &trainer_event),
            samples: counter_vec(r, "samples_total", "Samples.", &trainer_event),
            staleness: histogram_vec(
                r,
                "staleness_versions",
                "Versions behind the newest at delivery.",
                "trainer",
                &STALENESS_BUCKETS,
            ),
            object_calls: counter_vec(
                r,
                "object_api_calls_total",
                "Calls to the object API.",
                &["purpose", "kind"],
            ),
            config_number: gauge(r, "config_number", "Configuration in force."),
            peer_frames: counter_vec(r, "peer_frames_total", "Frames of links.", &["direction"]),
            peer_bytes: counter_vec(r, "peer_bytes_total", "Bytes of links.", &["direction"]),
            links_up: gauge(r, "peer_links_up", "Links that are up."),
            endpoints_known: gauge(r, "endpoints_known", "Endpoints known here."),
            runner: counter_vec(r, "runner_total", "Work on samples here.", &["event"]),
            claims: counter_vec(
                r,
                "claims_total",
                "Claims of idempotency keys.",
                &["verdict"],
            ),
            scheduling_delay_millis: gauge(
                r,
                "scheduling_delay_milliseconds",
                "Longest delay of tasks in the last seconds.",
            ),
            log_dropped: counter(
                r,
                "log_lines_dropped_total",
                "Lines dropped by the process's log.",
            ),
            cpu_seconds: register(
                r,
                Counter::new(
                    "pinereel_process_cpu_seconds_total",
                    "CPU time of the process.",
                ),
            ),
            resident_bytes: register(
                r,
                Gauge::new(
                    "pinereel_process_resident_bytes",
                    "Resident memory of the process.",
                ),
            ),
            registry,
        }
    }

    /// Counts a refused request by its error code.
    pub fn count_refusal(&self, code: Code) {
        let name = serde_json::to_value(code).unwrap_or_default();
        let name = name.as_str().unwrap_or("unnamed");
        self.refused.with_label_values(&[name]).inc();
    }

    /// Counts a decision by its kind.
    pub fn count_decision(&self, kind: logging::DecisionKind) {
        self.decisions.with_label_values(&[kind.as_str()]).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.update_process_metrics();
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.expect("families without samples are not gathered, and the rest encode")
    }

    /// Updates the metrics of the process itself.
    fn update_process_metrics(&self) {
        let dropped = logging::dropped();
        self.log_dropped
            .inc_by(dropped.saturating_sub(self.log_dropped.get()));
        if let Some(seconds) = cpu_seconds() {
            self.cpu_seconds
                .inc_by((seconds - self.cpu_seconds.get()).max(0.0));
        }
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.set(bytes);
        }
    }
}

/// User and system CPU time of the process, in seconds.
pub(crate) fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field, the program's name, may contain spaces and ends with the last `)`.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Resident memory of the process, in bytes.
pub(crate) fn resident_bytes() -> Option<f64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * 1_024.0)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(prefixed(name), help))
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(prefixed(name), help);
    register(registry, IntCounterVec::new(opts, labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(prefixed(name), help))
}

fn gauge_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(prefixed(name), help);
    register(registry, IntGaugeVec::new(opts, &[label]))
}

fn histogram_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    buckets: &[f64],
) -> HistogramVec {
    let opts = HistogramOpts::new(prefixed(name), help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, &[label]))
}

fn prefixed(name: &str) -> String {
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
