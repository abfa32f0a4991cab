//! Prometheus metrics of a hosted instance, and the HTTP listener that serves them.
//!
//! Label values come from fixed sets or from the services and models of the configuration, never from
//! callers, so their number is bounded.

use super::{config::Config, crashes::CrashTracker, process_metrics::ProcessMetrics};
use crate::{
    http::{self, Request, Response, Server},
    memory, objects,
};
use actix_http::{Method, StatusCode};
use pinereel_core::rollout::load_slots::Claim;
use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};
use std::{io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Upper bounds of the latency buckets, in seconds, close to the latency objectives of live requests
/// and of steps.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 7.5, 12.0, 30.0,
];
/// Upper bounds of the age buckets, in seconds.
const AGE_BUCKETS: [f64; 9] = [0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the list of requests that crash endpoints. A DELETE of the path, a slash and the identity of a
/// request allows that request to run again.
const CRASHES_PATH: &str = "/crashes";

/// All metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Live requests and scorings by `service` and `outcome` (`answer`, `failure`, `not_run`,
    /// `unknown`, `late`).
    pub requests: IntCounterVec,
    /// Seconds from arrival to the answer, by `service`.
    pub request_seconds: HistogramVec,
    /// Attempts by `result`: a status class or why there was no answer.
    pub attempts: IntCounterVec,
    /// Requests refused before any attempt, by `cause`.
    pub refusals: IntCounterVec,
    /// Age of the inputs of a decision, by `what`, in seconds: of the configuration and the endpoint list
    /// at each request, of data received over the broadcast tree, and of the data with which a
    /// configuration came.
    pub input_ages: HistogramVec,
    /// Calls of trainers by `call` and `outcome`.
    pub trainer_calls: IntCounterVec,
    /// Runs of items by `outcome`.
    pub item_runs: IntCounterVec,
    /// Decisions that follow from the speed of engines, by `event` (`first_event_timeout`: a run was
    /// ended before the longest wait for its first event; `move`: a run leaves an engine that reports its
    /// slowdown).
    pub engine_speed: IntCounterVec,
    /// Lots by `event` (`opened`, `ended`, `complete`, `removed`).
    pub lot_events: IntCounterVec,
    /// Seconds from the opening of a lot to its closing at this instance, by `why`.
    pub lot_seconds: HistogramVec,
    /// Results committed, by `whose` (`own`, `found`).
    pub committed_results: IntCounterVec,
    /// Orders to engines by `outcome`.
    pub orders: IntCounterVec,
    /// Starts of runs at services that several models share, by `engine` (`assigned` to the model of
    /// the run, or `other`).
    pub run_starts: IntCounterVec,
    load_slots: IntGaugeVec,
    /// Calls that lease holders make to the platform, by `call` and `status`.
    pub platform_calls: IntCounterVec,
    /// Leases by `event` (`taken`, `lost`).
    pub lease_events: IntCounterVec,
    /// Entries of the endpoint list by `event` (`refused`: it names no endpoint to use;
    /// `invalid_slowdown`: the endpoint reports an invalid slowdown).
    pub endpoint_entries: IntCounterVec,
    /// Probes of ejected endpoints, by `outcome` (`reached`, `unreachable`).
    pub endpoint_probes: IntCounterVec,
    /// Events of requests that crash endpoints, by `event` (`crash`, `doubt`, `verdict`, `refusal`,
    /// `acquitted`, `cleared`).
    pub crash_events: IntCounterVec,
    /// Store calls between a child and its parent in the broadcast tree, by `role` of the other side
    /// (`parent`: sent to it, `child`: received from it) and `outcome` (`answered`, `not_sent`,
    /// `unknown`).
    pub relayed_store_calls: IntCounterVec,
    /// Reads of results by trainers, by `from` (`memory`, `watch`, `list`): how they were answered.
    pub result_reads: IntCounterVec,
    /// Outages of the store whose end was reported by the parent in the broadcast tree.
    pub reported_recoveries: IntCounterVec,
    crash_suspects: IntGaugeVec,
    scorings: IntGaugeVec,
    lot_load: IntGaugeVec,
    store_calls: IntCounterVec,
    connections_opened: IntGauge,
    config_number: IntGauge,
    config_data_age: Gauge,
    memory: IntGaugeVec,
    memory_given_up: IntGauge,
    process: ProcessMetrics,
}

/// Sources of the values that are read at each scrape.
pub struct Sources {
    /// Register of requests that crash endpoints.
    pub crashes: Rc<CrashTracker>,
    /// Client of the object store, which counts its calls.
    pub store: objects::Client,
    /// Number of connections opened to endpoints since the start.
    pub connections_opened: Box<dyn Fn() -> u64>,
    /// Memory of connections and bodies.
    pub memory_usage: Box<dyn Fn() -> memory::Usage>,
    /// Load of the lots that this instance runs.
    pub lot_load: Box<dyn Fn() -> LotLoad>,
    /// The configuration in force.
    pub config: Rc<Config>,
}

/// Load of the lots that an instance runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LotLoad {
    /// Engine slots that are counted as used by runs. Each belongs to a task, so there are never more.
    pub used_slots: u64,
    /// Tasks of items that are run or scored.
    pub tasks: u64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, with the value 0.
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counter_vec(&r, "requests_total", "Requests.", &["service", "outcome"]),
            request_seconds: histogram_vec(
                &r,
                "request_seconds",
                "To the answer.",
                "service",
                &LATENCY_BUCKETS,
            ),
            attempts: counter_vec(&r, "attempts_total", "Attempts.", &["result"]),
            refusals: counter_vec(&r, "refused_total", "Refused unsent.", &["cause"]),
            input_ages: histogram_vec(
                &r,
                "decided_by_age_seconds",
                "Age of inputs.",
                "what",
                &AGE_BUCKETS,
            ),
            trainer_calls: counter_vec(&r, "trainer_calls_total", "Calls.", &["call", "outcome"]),
            item_runs: counter_vec(&r, "item_runs_total", "Runs of items.", &["outcome"]),
            engine_speed: counter_vec(&r, "engine_speed_total", "Decisions.", &["event"]),
            lot_events: counter_vec(&r, "lots_total", "Lots.", &["event"]),
            lot_seconds: histogram_vec(
                &r,
                "lot_seconds",
                "Open to close.",
                "why",
                &LATENCY_BUCKETS,
            ),
            committed_results: counter_vec(&r, "results_total", "Committed results.", &["whose"]),
            orders: counter_vec(&r, "orders_total", "Orders to engines.", &["outcome"]),
            run_starts: counter_vec(&r, "run_starts_total", "Starts of runs.", &["engine"]),
            load_slots: register(
                &r,
                IntGaugeVec::new(
                    Opts::new(full_name("load_slots"), "Load slots of a model."),
                    &["model", "state"],
                ),
            ),
            platform_calls: counter_vec(&r, "duty_calls_total", "Calls.", &["call", "status"]),
            lease_events: counter_vec(&r, "leases_total", "Leases.", &["event"]),
            endpoint_entries: counter_vec(&r, "endpoint_entries_total", "Entries.", &["event"]),
            endpoint_probes: counter_vec(
                &r,
                "endpoint_probes_total",
                "Probes of ejected endpoints.",
                &["outcome"],
            ),
            crash_events: counter_vec(&r, "crashes_total", "Crashes under requests.", &["event"]),
            relayed_store_calls: counter_vec(
                &r,
                "relayed_store_calls_total",
                "Store calls over links.",
                &["role", "outcome"],
            ),
            result_reads: counter_vec(&r, "result_reads_total", "Reads of results.", &["from"]),
            reported_recoveries: counter_vec(
                &r,
                "store_recoveries_reported_total",
                "By parents.",
                &[],
            ),
            crash_suspects: gauge_vec(&r, "crash_suspects", "Requests known.", "standing"),
            scorings: gauge_vec(&r, "scorings", "Scorings of lots.", "what"),
            lot_load: gauge_vec(&r, "lot_load", "Runs of lots.", "what"),
            store_calls: counter_vec(&r, "store_calls_total", "Calls.", &["purpose", "access"]),
            connections_opened: int_gauge(&r, "endpoint_connections_opened", "Since the start."),
            config_number: int_gauge(&r, "config_number", "Configuration in force."),
            config_data_age: float_gauge(
                &r,
                "config_data_age_seconds",
                "All older changes are in force; infinite before the first.",
            ),
            memory: gauge_vec(&r, "memory_bytes", "Connections and bodies.", "what"),
            memory_given_up: int_gauge(&r, "memory_given_up", "Bodies and connections."),
            process: ProcessMetrics::new(&r),
            registry: r,
        }
    }

    /// Serves the metrics and the list of crashing requests at `listener`.
    ///
    /// # Errors
    /// If the listener cannot be served.
    pub async fn serve(&self, listener: TcpListener, sources: Sources) -> io::Result<()> {
        let (metrics, sources) = (self.clone(), Rc::new(sources));
        Server::start(listener, http::Options::internal(), move |request| {
            let response = metrics.answer(&request, &sources);
            async move { response }
        })
        .await?;
        Ok(())
    }

    fn answer(&self, request: &Request, sources: &Sources) -> Response {
        match (request.method(), request.path()) {
            (_, METRICS_PATH) => http::text(StatusCode::OK, self.render(sources)),
            (&Method::GET, CRASHES_PATH) => http::json(StatusCode::OK, &sources.crashes.reports()),
            (&Method::DELETE, path) => clear_crashing_request(&sources.crashes, path),
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    fn render(&self, sources: &Sources) -> String {
        for ((purpose, access), count) in sources.store.call_counts() {
            let calls = self
                .store_calls
                .with_label_values(&[purpose.as_str(), access]);
            calls.inc_by(count.saturating_sub(calls.get()));
        }
        self.connections_opened
            .set(gauge_value((sources.connections_opened)()));
        let load = (sources.lot_load)();
        for (what, count) in [("used_slots", load.used_slots), ("tasks", load.tasks)] {
            let gauge = self.lot_load.with_label_values(&[what]);
            gauge.set(gauge_value(count));
        }
        let memory = (sources.memory_usage)();
        let used = [
            ("connections", memory.connections),
            ("receiving", memory.receiving),
            ("held", memory.held),
            ("limit", memory.max),
        ];
        for (what, bytes) in used {
            let gauge = self.memory.with_label_values(&[what]);
            gauge.set(gauge_value(bytes as u64));
        }
        self.memory_given_up.set(gauge_value(memory.given_up));
        let number = sources.config.table().map_or(0, |table| table.number());
        self.config_number.set(gauge_value(number));
        let data_age = sources.config.data_age();
        self.config_data_age
            .set(data_age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        self.process.update();
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.expect("families without samples are not gathered, and the rest encode")
    }

    /// Increments a counter by one.
    pub fn count(&self, metric: &IntCounterVec, labels: &[&str]) {
        metric.with_label_values(labels).inc();
    }

    /// Sets the number of requests that are known to have crashed endpoints, and how many of them are
    /// refused.
    pub fn set_crash_suspects(&self, known: usize, refused: usize) {
        let not_refused = known.saturating_sub(refused);
        for (standing, count) in [("doubted", not_refused), ("refused", refused)] {
            let gauge = self.crash_suspects.with_label_values(&[standing]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets a model's limit of concurrent loads, and the loads that it is based on.
    pub fn set_load_slots(&self, model: &str, limit: usize, claim: &Claim) {
        let states = [
            ("limit", limit),
            ("pending", claim.pending),
            ("loading", claim.loading),
        ];
        for (state, count) in states {
            let gauge = self.load_slots.with_label_values(&[model, state]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets the limit of concurrent scorings, and the numbers of scorings in flight and waiting.
    pub fn set_scorings(&self, limit: u32, in_flight: u32, waiting: usize) {
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        let values = [
            ("limit", i64::from(limit)),
            ("in_flight", i64::from(in_flight)),
            ("waiting", waiting),
        ];
        for (what, value) in values {
            self.scorings.with_label_values(&[what]).set(value);
        }
    }

    /// Records a duration in a histogram.
    pub fn observe(&self, metric: &HistogramVec, label: &str, duration: Duration) {
        metric
            .with_label_values(&[label])
            .observe(duration.as_secs_f64());
    }
}

/// Handles an operator's call to let a request run again.
fn clear_crashing_request(crashes: &CrashTracker, path: &str) -> Response {
    let id_text = path
        .strip_prefix(CRASHES_PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    let Some(identity) = id_text.and_then(|text| text.parse().ok()) else {
        return http::empty(StatusCode::NOT_FOUND);
    };
    match crashes.clear(identity) {
        true => http::empty(StatusCode::OK),
        false => http::empty(StatusCode::NOT_FOUND),
    }
}

pub(super) fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn full_name(name: &str) -> String {
    format!("pinereel_hosted_{name}")
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(
        registry,
        IntCounterVec::new(Opts::new(full_name(name), help), labels),
    )
}

fn histogram_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    buckets: &[f64],
) -> HistogramVec {
    let opts = HistogramOpts::new(full_name(name), help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, &[label]))
}

fn gauge_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    register(
        registry,
        IntGaugeVec::new(Opts::new(full_name(name), help), &[label]),
    )
}

pub(super) fn int_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(full_name(name), help))
}

pub(super) fn float_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    register(registry, Gauge::new(full_name(name), help))
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
