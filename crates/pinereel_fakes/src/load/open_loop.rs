//! Requests at their intended times, whatever the answers do.
//!
//! Latency counts from the intended time, so a server that falls behind is charged for the requests
//! that had to wait for a free connection.

use super::target::Target;
use hdrhistogram::Histogram;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{
    sync::Mutex,
    sync::mpsc,
    task::yield_now,
    time::{Instant, sleep_until},
};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The runtime's timer is no finer than a millisecond; the rest is waited out by yielding.
const SPIN: Duration = Duration::from_millis(2);
/// How long a connection is used again.
const REUSE: Duration = Duration::from_secs(60);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// What came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Microseconds from the intended time to the end of the answer.
    pub latency: Histogram<u64>,
    /// Requests without a whole answer of status 200.
    pub failed: u64,
    /// Time from the first intended time to the last answer.
    pub took: Duration,
}

impl Default for Outcome {
    fn default() -> Self {
        let latency = Histogram::new_with_max(MAX_MICROS, 3).expect("bounds are valid");
        Self {
            latency,
            failed: 0,
            took: Duration::ZERO,
        }
    }
}

impl Outcome {
    /// Latency at `quantile`, in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    /// Answers a second.
    pub fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.took.as_secs_f64().max(f64::EPSILON)
    }

    /// Adds another outcome of the same target.
    pub fn add(&mut self, other: &Self) {
        // Both have the same bounds, so nothing is too large to add.
        let _ = self.latency.add(&other.latency);
        self.failed += other.failed;
        self.took += other.took;
    }
}

/// The connections of one target, kept between runs.
pub struct Source {
    target: Target,
    clients: Vec<awc::Client>,
}

impl Source {
    /// Connections to `target`, opened when first used.
    pub fn new(target: Target, connections: usize) -> Self {
        Self::build(target, connections, REUSE)
    }

    /// As [`Source::new`], but each request opens a connection of its own.
    pub fn fresh(target: Target, connections: usize) -> Self {
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
                .timeout(TIMEOUT)
                .disable_redirects()
                .finish()
        };
        Self {
            target,
            clients: (0..connections).map(|_| client()).collect(),
        }
    }

    /// Sends requests at `rate` a second for `time`, and waits for the answers.
    pub async fn run(&self, rate: u32, time: Duration) -> Outcome {
        let count = (f64::from(rate) * time.as_secs_f64()) as u64;
        let (sender, receiver) = mpsc::unbounded_channel();
        let receiver = Rc::new(Mutex::new(receiver));
        let outcome = Rc::new(RefCell::new(Outcome::default()));
        let start = Instant::now();
        let workers: Vec<_> = self
            .clients
            .iter()
            .map(|client| {
                let worker = work(
                    client.clone(),
                    self.target.clone(),
                    Rc::clone(&receiver),
                    Rc::clone(&outcome),
                );
                actix_rt::spawn(worker)
            })
            .collect();
        for number in 0..count {
            let intended = start + Duration::from_secs_f64(number as f64 / f64::from(rate));
            wait(intended).await;
            // The workers outlive the sender.
            let _ = sender.send((number, intended));
        }
        drop(sender);
        for worker in workers {
            let _ = worker.await;
        }
        let mut outcome = outcome.take();
        outcome.took = start.elapsed();
        outcome
    }
}

/// Waits until `time`, finer than the runtime's timer.
async fn wait(time: Instant) {
    sleep_until(time - SPIN).await;
    while Instant::now() < time {
        yield_now().await;
    }
}

type Requests = Rc<Mutex<mpsc::UnboundedReceiver<(u64, Instant)>>>;

/// One connection: one request after the other.
async fn work(
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
        let whole = ask(&client, &url, target.body(number)).await;
        let mut outcome = outcome.borrow_mut();
        if whole {
            let micros = intended.elapsed().as_micros() as u64;
            outcome.latency.saturating_record(micros);
        } else {
            outcome.failed += 1;
        }
    }
}

/// Whether a whole answer of status 200 came.
async fn ask(client: &awc::Client, url: &str, body: Option<String>) -> bool {
    let sent = match body {
        Some(body) => client.post(url).send_body(body).await,
        None => client.get(url).send().await,
    };
    let Ok(mut answer) = sent else { return false };
    let read = answer.body().limit(MAX_ANSWER).await;
    answer.status() == 200 && read.is_ok()
}
