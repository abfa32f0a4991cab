//! The figures of a hosted instance, on the metrics address.
//!
//! Labels come from fixed sets or from the configuration's services and models, never from callers.

use super::crashes::Crashes;
use crate::{
    http::{self, Request, Response, Server},
    logging,
    metrics::{cpu_seconds, resident_bytes},
    objects,
};
use actix_http::{Method, StatusCode};
use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};
use std::{io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Upper bounds of the latency buckets, in seconds: around the objectives of live requests and of
/// steps.
const LATENCY: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 7.5, 12.0, 30.0,
];
/// Upper bounds of the age buckets, in seconds.
const AGE: [f64; 9] = [0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// Path at which the figures are read.
const PATH: &str = "/metrics";
/// Path at which the requests under which endpoints crash are read, and one of them is cleared.
const CRASHES: &str = "/crashes";

/// All figures of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Live requests and scorings by `service` and `outcome` (`answer`, `failure`, `not_run`,
    /// `unknown`, `late`).
    pub requests: IntCounterVec,
    /// Seconds from arrival to the answer, by `service`.
    pub latency: HistogramVec,
    /// Attempts by `result`: a status class or why there was no answer.
    pub attempts: IntCounterVec,
    /// Refusals before any attempt, by `cause`.
    pub refused: IntCounterVec,
    /// Seconds since the configuration came in force or the endpoint list changed, by `what`, at
    /// each request.
    pub ages: HistogramVec,
    /// Trainers' calls by `call` and `outcome`.
    pub trainer_calls: IntCounterVec,
    /// Runs of items by `outcome`.
    pub runs: IntCounterVec,
    /// Lots by `event` (`opened`, `ended`, `complete`, `removed`).
    pub lots: IntCounterVec,
    /// Seconds from a lot's opening to its end here.
    pub lot_seconds: HistogramVec,
    /// Results committed, by `whose` (`own`, `found`).
    pub committed: IntCounterVec,
    /// Orders to engines by `outcome`.
    pub orders: IntCounterVec,
    /// Calls toward the platform that are a duty, by `call` and `status`.
    pub duty_calls: IntCounterVec,
    /// Leases by `event` (`taken`, `lost`).
    pub leases: IntCounterVec,
    /// Entries of the endpoint list by `event` (`refused`: it names no endpoint to use).
    pub entries: IntCounterVec,
    /// Requests under which endpoints crash, by `event` (`crash`, `doubt`, `verdict`, `refusal`,
    /// `acquitted`, `cleared`).
    pub crashes: IntCounterVec,
    suspects: IntGaugeVec,
    store_calls: IntCounterVec,
    connections: IntGauge,
    config_number: IntGauge,
    dropped: IntGauge,
    cpu: Gauge,
    memory: Gauge,
}

/// What is read only when the figures are asked for.
pub struct Sources {
    /// Requests under which endpoints crash.
    pub crashes: Rc<Crashes>,
    /// Calls to the object store.
    pub store: objects::Client,
    /// Connections opened to endpoints.
    pub connections: Box<dyn Fn() -> u64>,
    /// Number of the configuration in force; 0 before the first.
    pub config: Box<dyn Fn() -> u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All figures at zero.
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counters(&r, "requests_total", "Requests.", &["service", "outcome"]),
            latency: histograms(&r, "request_seconds", "To the answer.", "service", &LATENCY),
            attempts: counters(&r, "attempts_total", "Attempts.", &["result"]),
            refused: counters(&r, "refused_total", "Refused unsent.", &["cause"]),
            ages: histograms(&r, "decided_by_age_seconds", "Age of inputs.", "what", &AGE),
            trainer_calls: counters(&r, "trainer_calls_total", "Calls.", &["call", "outcome"]),
            runs: counters(&r, "item_runs_total", "Runs of items.", &["outcome"]),
            lots: counters(&r, "lots_total", "Lots.", &["event"]),
            lot_seconds: histograms(&r, "lot_seconds", "Open to close.", "why", &LATENCY),
            committed: counters(&r, "results_total", "Committed results.", &["whose"]),
            orders: counters(&r, "orders_total", "Orders to engines.", &["outcome"]),
            duty_calls: counters(&r, "duty_calls_total", "Calls.", &["call", "status"]),
            leases: counters(&r, "leases_total", "Leases.", &["event"]),
            entries: counters(&r, "endpoint_entries_total", "Entries.", &["event"]),
            crashes: counters(&r, "crashes_total", "Crashes under requests.", &["event"]),
            suspects: gauges(&r, "crash_suspects", "Requests known.", "standing"),
            store_calls: counters(&r, "store_calls_total", "Calls.", &["purpose", "access"]),
            connections: gauge(&r, "endpoint_connections_opened", "Since the start."),
            config_number: gauge(&r, "config_number", "Configuration in force."),
            dropped: gauge(&r, "log_lines_dropped", "Lines not written."),
            cpu: float(&r, "process_cpu_seconds", "CPU time of the process."),
            memory: float(&r, "process_resident_bytes", "Resident memory."),
            registry: r,
        }
    }

    /// Serves the figures at `listener`.
    ///
    /// # Errors
    /// If the listener cannot be served.
    pub async fn serve(&self, listener: TcpListener, sources: Sources) -> io::Result<()> {
        let (metrics, sources) = (self.clone(), Rc::new(sources));
        Server::start(listener, http::Options::default(), move |request| {
            let response = metrics.answer(&request, &sources);
            async move { response }
        })
        .await?;
        Ok(())
    }

    fn answer(&self, request: &Request, sources: &Sources) -> Response {
        match (request.method(), request.path()) {
            (_, PATH) => http::text(StatusCode::OK, self.render(sources)),
            (&Method::GET, CRASHES) => http::json(StatusCode::OK, &sources.crashes.all()),
            (&Method::DELETE, path) => clear(&sources.crashes, path),
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
        self.connections.set(whole((sources.connections)()));
        self.config_number.set(whole((sources.config)()));
        self.dropped.set(whole(logging::dropped()));
        self.cpu.set(cpu_seconds().unwrap_or_default());
        self.memory.set(resident_bytes().unwrap_or_default());
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.expect("families without samples are not gathered, and the rest encode")
    }

    /// Counts one event.
    pub fn count(&self, family: &IntCounterVec, labels: &[&str]) {
        family.with_label_values(labels).inc();
    }

    /// Notes how many requests are known under which endpoints crashed, and how many are refused.
    pub fn note_suspects(&self, known: usize, refused: usize) {
        let doubted = known.saturating_sub(refused);
        for (standing, count) in [("doubted", doubted), ("refused", refused)] {
            let gauge = self.suspects.with_label_values(&[standing]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Notes a time.
    pub fn observe(&self, family: &HistogramVec, label: &str, time: Duration) {
        family
            .with_label_values(&[label])
            .observe(time.as_secs_f64());
    }
}

/// An operator lets a request run again.
fn clear(crashes: &Crashes, path: &str) -> Response {
    let named = path
        .strip_prefix(CRASHES)
        .and_then(|rest| rest.strip_prefix('/'));
    let Some(identity) = named.and_then(|text| text.parse().ok()) else {
        return http::empty(StatusCode::NOT_FOUND);
    };
    match crashes.clear(identity) {
        true => http::empty(StatusCode::OK),
        false => http::empty(StatusCode::NOT_FOUND),
    }
}

fn whole(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn full(name: &str) -> String {
    format!("pinereel_hosted_{name}")
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(
        registry,
        IntCounterVec::new(Opts::new(full(name), help), labels),
    )
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

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    register(
        registry,
        IntGaugeVec::new(Opts::new(full(name), help), &[label]),
    )
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(full(name), help))
}

fn float(registry: &Registry, name: &str, help: &str) -> Gauge {
    register(registry, Gauge::new(full(name), help))
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
