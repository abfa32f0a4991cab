//! The trainers' client, which fails over between entries.
//!
//! Submit, collect and publish are idempotent, so the client repeats a failed call at the next entry
//! until the retry timeout. It honours the retry delay of a refusal.

use super::PartialLot;
use awc::{
    ClientResponse,
    error::{JsonPayloadError, SendRequestError},
    http::{StatusCode, header::RETRY_AFTER},
};
use pinereel_api::{
    Problem,
    problem::Code,
    trainer::{Collect, Collected, Lot, Publish, Published, Sample, Submitted},
};
use pinereel_core::Version;
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a response, in addition to the wait that a collect call asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a retry if the response names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound on the delay that a response names.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a call failed, after retries where they can help.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The client was built without entries.
    #[error("no entry address is given")]
    NoEntry,
    /// No entry answered within the retry timeout. Holds the last failure.
    #[error("no entry answered within the retry timeout: {0}")]
    RetryTimeout(String),
    /// An entry refused the call for a reason that a retry can't change.
    #[error("refused: {0:?}")]
    Refused(Problem),
}

/// Why one attempt failed.
enum Failure {
    /// The entry refused the call for a reason that a retry can't change.
    Permanent(Problem),
    /// A retry may succeed after the delay. The text names the reason.
    Temporary(Duration, String),
}

/// A client of a list of entries.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    entries: Vec<String>,
    /// Index of the entry that gets the next attempt.
    entry_index: usize,
    /// How long a call is retried before it fails.
    retry_timeout: Duration,
    /// Number of retries over all calls.
    pub retries: u64,
}

impl Client {
    /// Builds a client of `entries` (`HOST:PORT` each) that retries each call for `retry_timeout`.
    pub fn new(entries: Vec<String>, retry_timeout: Duration) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .finish();
        Self {
            http,
            entries,
            entry_index: 0,
            retry_timeout,
            retries: 0,
        }
    }

    /// Submits a lot. The call is idempotent.
    ///
    /// # Errors
    /// An entry refused the lot, or no entry answered within the retry timeout.
    pub async fn submit(&mut self, lot: Lot) -> Result<PartialLot, Error> {
        let submitted: Submitted = self.call("/v1/lots", &lot, CALL_TIMEOUT).await?;
        Ok(PartialLot::new(lot, submitted.token))
    }

    /// Collects up to `max_samples` missing samples of `partial_lot` for a trainer at `version`. The
    /// entry waits up to `wait` for samples, and the result may be empty.
    ///
    /// An entry that does not know the lot gets it again, and the collection token is kept.
    ///
    /// # Errors
    /// An entry refused the call, or no entry answered within the retry timeout.
    pub async fn collect(
        &mut self,
        partial_lot: &mut PartialLot,
        version: Version,
        max_samples: u32,
        wait: Duration,
    ) -> Result<Vec<Sample>, Error> {
        let path = format!("/v1/lots/{}/collect", partial_lot.lot.id);
        let request = Collect {
            token: partial_lot.token.clone(),
            version,
            max: max_samples,
            wait_ms: wait.as_millis() as u64,
        };
        let response: Collected = match self.call(&path, &request, wait + CALL_TIMEOUT).await {
            Err(Error::Refused(problem)) if problem.code == Code::LotUnknown => {
                partial_lot.resubmits += 1;
                let lot = &partial_lot.lot;
                let _: Submitted = self.call("/v1/lots", lot, CALL_TIMEOUT).await?;
                // Prevents a busy loop of collect and submit at an entry that keeps losing the lot.
                tokio::time::sleep(DEFAULT_RETRY_DELAY).await;
                return Ok(Vec::new());
            }
            response => response?,
        };
        Ok(partial_lot.accept(response))
    }

    /// Announces a new version of the trainer's weights. The call is idempotent.
    ///
    /// # Errors
    /// An entry refused the version, or no entry answered within the retry timeout.
    pub async fn publish(&mut self, trainer: &str, version: Version) -> Result<Published, Error> {
        let path = format!("/v1/trainers/{trainer}/versions");
        self.call(&path, &Publish { version }, CALL_TIMEOUT).await
    }

    /// Sends a call, and after a temporary failure sends it again to the next entry, until an entry
    /// answers or the retry timeout would pass.
    async fn call<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + self.retry_timeout;
        loop {
            let entry = self.entries.get(self.entry_index).ok_or(Error::NoEntry)?;
            let url = format!("http://{entry}{path}");
            let (delay, reason) = match self.attempt(&url, body, timeout).await {
                Ok(response) => return Ok(response),
                Err(Failure::Permanent(problem)) => return Err(Error::Refused(problem)),
                Err(Failure::Temporary(delay, reason)) => (delay, reason),
            };
            if Instant::now() + delay >= deadline {
                return Err(Error::RetryTimeout(reason));
            }
            self.retries += 1;
            self.entry_index = (self.entry_index + 1) % self.entries.len();
            tokio::time::sleep(delay).await;
        }
    }

    /// Sends a call once. `timeout` bounds the wait for the head of the response and then, once more,
    /// the wait for its body.
    async fn attempt<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Failure> {
        let call = self.http.post(url).timeout(timeout).send_json(body);
        let mut response = call.await.map_err(send_failure)?;
        let read = async {
            if response.status() == StatusCode::OK {
                // A truncated body is not valid JSON, so it counts as a failure.
                let json = response.json().limit(MAX_RESPONSE_BYTES);
                return json.await.map_err(body_failure);
            }
            let retry_after = retry_after(&response);
            let json = response.json().limit(MAX_RESPONSE_BYTES);
            let problem = json.await.map_err(body_failure)?;
            Err(refusal_failure(problem, retry_after))
        };
        let timed_out = |_| {
            let reason = "timeout while reading the response body";
            Failure::Temporary(DEFAULT_RETRY_DELAY, reason.into())
        };
        tokio::time::timeout(timeout, read)
            .await
            .map_err(timed_out)?
    }
}

/// Decides by the code of a refusal whether a retry can help, and after which delay. The delay of the
/// problem has precedence over that of the `Retry-After` header.
fn refusal_failure(problem: Problem, retry_after: Option<Duration>) -> Failure {
    let delay = match problem.code {
        Code::Unavailable
        | Code::Overloaded
        | Code::NoEndpoint
        | Code::NotConfirmed
        | Code::ObjectApi
        | Code::SlowSender
        | Code::Unknown
        | Code::Deadline => problem.retry_after_ms.map(Duration::from_millis),
        _ => return Failure::Permanent(problem),
    };
    let delay = delay.or(retry_after).unwrap_or(DEFAULT_RETRY_DELAY);
    Failure::Temporary(delay.min(MAX_RETRY_DELAY), problem.message.into())
}

/// The `Retry-After` header, if it gives a number of seconds.
fn retry_after<S>(response: &ClientResponse<S>) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

fn send_failure(error: SendRequestError) -> Failure {
    Failure::Temporary(DEFAULT_RETRY_DELAY, error.to_string())
}

fn body_failure(error: JsonPayloadError) -> Failure {
    Failure::Temporary(DEFAULT_RETRY_DELAY, error.to_string())
}
