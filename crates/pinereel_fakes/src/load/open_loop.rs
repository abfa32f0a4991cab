//! Open-loop load generator: sends requests at a fixed rate, independent of the responses.
//!
//! Latency is measured from the intended time of a request. If the server falls behind, it thus
//! includes the time for which requests wait for a free connection.

use super::target::Target;
use hdrhistogram::Histogram;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{
    sync::Mutex,
    sync::mpsc,
    task::yield_now,
    time::{Instant, sleep_until},
};

/// Timeout for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before a request at which the generator stops sleeping and yields instead, as the resolution
/// of the runtime's timer is a millisecond.
const YIELD_DURATION: Duration = Duration::from_millis(2);
/// Maximum idle time and lifetime of a connection that is reused.
const REUSE_DURATION: Duration = Duration::from_secs(60);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum latency of the histogram, in microseconds; higher ones are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latency and failures of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Time from the intended time of a request to the end of its response, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests without a complete response of status 200.
    pub failed: u64,
    /// Time from the first intended time to the end of the last response.
    pub duration: Duration,
}

impl Default for Outcome {
    fn default() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid");
        Self {
            latency,
            failed: 0,
            duration: Duration::ZERO,
        }
    }
}

impl Outcome {
    /// Latency at `quantile`, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    /// Successful responses per second.
    pub fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.duration.as_secs_f64().max(f64::EPSILON)
    }

    /// Adds the outcome of another run with the same target.
    pub fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so this cannot fail.
        let _ = self.latency.add(&other.latency);
        self.failed += other.failed;
        self.duration += other.duration;
    }
}

/// Load generator for one target. Its connections are kept between runs.
pub struct Generator {
    target: Target,
    clients: Vec<awc::Client>,
}

impl Generator {
    /// A generator with up to `connections` connections, which are opened on first use.
    pub fn new(target: Target, connections: usize) -> Self {
        Self::build(target, connections, REUSE_DURATION)
    }

    /// Like [`Generator::new`], but each request opens a new connection.
    pub fn without_reuse(target: Target, connections: usize) -> Self {
        Self::build(target, connections, Duration::ZERO)
    }

    fn build(target: Target, connections: usize, reuse: Duration) -> Self {
        let client = || {
            let connector = awc::Connector::new()
                .limit(1)
                .conn_keep_alive(reuse)
                .conn_lifetime(reuse);
            awc::Client::builder()
                .connector(connector)
                .timeout(RESPONSE_TIMEOUT)
                .disable_redirects()
                .finish()
        };
        Self {
            target,
            clients: (0..connections).map(|_| client()).collect(),
        }
    }

    /// Sends `rate` requests per second for `duration`, and waits for the responses.
    pub async fn run(&self, rate: u32, duration: Duration) -> Outcome {
        let count = (f64::from(rate) * duration.as_secs_f64()) as u64;
        let (sender, receiver) = mpsc::unbounded_channel();
        let receiver = Rc::new(Mutex::new(receiver));
        let outcome = Rc::new(RefCell::new(Outcome::default()));
        let start = Instant::now();
        let tasks: Vec<_> = self
            .clients
            .iter()
            .map(|client| {
                let task = run_connection(
                    client.clone(),
                    self.target.clone(),
                    Rc::clone(&receiver),
                    Rc::clone(&outcome),
                );
                actix_rt::spawn(task)
            })
            .collect();
        for number in 0..count {
            let intended = start + Duration::from_secs_f64(number as f64 / f64::from(rate));
            wait_until(intended).await;
            // The receiver still exists, as the tasks of the connections outlive the sender.
            let _ = sender.send((number, intended));
        }
        drop(sender);
        for task in tasks {
            let _ = task.await;
        }
        let mut outcome = outcome.take();
        outcome.duration = start.elapsed();
        outcome
    }
}

/// Waits until `time`, with a finer resolution than that of the runtime's timer.
async fn wait_until(time: Instant) {
    sleep_until(time - YIELD_DURATION).await;
    while Instant::now() < time {
        yield_now().await;
    }
}

/// Number and intended time of each request to send, shared by the connections.
type Requests = Rc<Mutex<mpsc::UnboundedReceiver<(u64, Instant)>>>;

/// Sends requests over one connection, one after the other, until the channel is closed.
async fn run_connection(
    client: awc::Client,
    target: Target,
    requests: Requests,
    outcome: Rc<RefCell<Outcome>>,
) {
    let url = target.url();
    loop {
        let next = requests.lock().await.recv().await;
        let Some((number, intended)) = next else {
            return;
        };
        let succeeded = send_request(&client, &url, target.body(number)).await;
        let mut outcome = outcome.borrow_mut();
        if succeeded {
            let micros = intended.elapsed().as_micros() as u64;
            outcome.latency.saturating_record(micros);
        } else {
            outcome.failed += 1;
        }
    }
}

/// Sends a request. Returns whether there was a complete response of status 200.
async fn send_request(client: &awc::Client, url: &str, body: Option<String>) -> bool {
    let result = match body {
        Some(body) => client.post(url).send_body(body).await,
        None => client.get(url).send().await,
    };
    let Ok(mut response) = result else {
        return false;
    };
    let read = response.body().limit(MAX_RESPONSE_BYTES).await;
    response.status() == 200 && read.is_ok()
}
