//! The trainers' client: talks to whichever entry answers.
//!
//! Submit, collect and publish are all safe to repeat, so a lost answer is asked for again at the
//! next entry. A refusal's `Retry-After` is honoured.

use super::Collection;
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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer, beyond the wait that a collect asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before the next entry is tried when nothing says how long.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause, whatever an answer says.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Why a call failed for good.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no entry to talk to.
    #[error("no entry address is given")]
    NoEntry,
    /// No entry answered in time; the last reason.
    #[error("no entry answered within the patience: {0}")]
    Patience(String),
    /// An entry refused; repeating does not help.
    #[error("refused: {0:?}")]
    Refused(Problem),
}

/// Why one attempt failed.
enum Failure {
    /// Refused for good.
    Final(Problem),
    /// Worth another try after the pause.
    Again(Duration, String),
}

/// A client of a list of entries.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    entries: Vec<String>,
    /// Index of the entry that is asked next.
    at: usize,
    /// How long a call is repeated before it fails.
    patience: Duration,
    /// Attempts that were repeated.
    pub retries: u64,
}

impl Client {
    /// A client of `entries` (`HOST:PORT` each) that repeats a call for up to `patience`.
    pub fn new(entries: Vec<String>, patience: Duration) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .finish();
        Self {
            http,
            entries,
            at: 0,
            patience,
            retries: 0,
        }
    }

    /// Submits a lot. Safe to repeat.
    ///
    /// # Errors
    /// Refused for good, or no entry answered in time.
    pub async fn submit(&mut self, lot: Lot) -> Result<Collection, Error> {
        let submitted: Submitted = self.call("/v1/lots", &lot, CALL_TIMEOUT).await?;
        Ok(Collection::new(lot, submitted.token))
    }

    /// Asks for samples that `collection` lacks, for a trainer at `version`. May return none.
    ///
    /// An entry that lacks the lot gets it again; the token held stays.
    ///
    /// # Errors
    /// Refused for good, or no entry answered in time.
    pub async fn collect(
        &mut self,
        collection: &mut Collection,
        version: Version,
        max: u32,
        wait: Duration,
    ) -> Result<Vec<Sample>, Error> {
        let path = format!("/v1/lots/{}/collect", collection.lot.id);
        let ask = Collect {
            token: collection.token.clone(),
            version,
            max,
            wait_ms: wait.as_millis() as u64,
        };
        let answer: Collected = match self.call(&path, &ask, wait + CALL_TIMEOUT).await {
            Err(Error::Refused(problem)) if problem.code == Code::LotUnknown => {
                collection.resubmits += 1;
                let lot = &collection.lot;
                let _: Submitted = self.call("/v1/lots", lot, CALL_TIMEOUT).await?;
                // An entry that forgets lots at once must not make the two calls spin.
                tokio::time::sleep(PAUSE).await;
                return Ok(Vec::new());
            }
            answer => answer?,
        };
        Ok(collection.take(answer))
    }

    /// Announces new weights. Safe to repeat.
    ///
    /// # Errors
    /// Refused for good, or no entry answered in time.
    pub async fn publish(&mut self, trainer: &str, version: Version) -> Result<Published, Error> {
        let path = format!("/v1/trainers/{trainer}/versions");
        self.call(&path, &Publish { version }, CALL_TIMEOUT).await
    }

    /// Repeats a call, at the next entry each time, until it is answered or patience ends.
    async fn call<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let end = Instant::now() + self.patience;
        loop {
            let entry = self.entries.get(self.at).ok_or(Error::NoEntry)?;
            let url = format!("http://{entry}{path}");
            let (pause, reason) = match self.attempt(&url, body, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(problem)) => return Err(Error::Refused(problem)),
                Err(Failure::Again(pause, reason)) => (pause, reason),
            };
            if Instant::now() + pause >= end {
                return Err(Error::Patience(reason));
            }
            self.retries += 1;
            self.at = (self.at + 1) % self.entries.len();
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Failure> {
        let call = self.http.post(url).timeout(timeout).send_json(body);
        let mut answer = call.await.map_err(lost)?;
        let read = async {
            if answer.status() == StatusCode::OK {
                // A body that was cut is not JSON, so it is never taken for an answer.
                return answer.json().limit(MAX_ANSWER).await.map_err(broken);
            }
            let header = retry_after(&answer);
            let problem = answer.json().limit(MAX_ANSWER).await.map_err(broken)?;
            Err(judge(problem, header))
        };
        let late = |_| Failure::Again(PAUSE, "answer was not complete in time".into());
        tokio::time::timeout(timeout, read).await.map_err(late)?
    }
}

/// Which refusals are worth another try.
fn judge(problem: Problem, header: Option<Duration>) -> Failure {
    let pause = match problem.code {
        Code::Unavailable
        | Code::Overloaded
        | Code::NoEndpoint
        | Code::NotConfirmed
        | Code::ObjectApi
        | Code::SlowSender
        | Code::Unknown
        | Code::Deadline => problem.retry_after_ms.map(Duration::from_millis),
        _ => return Failure::Final(problem),
    };
    let pause = pause.or(header).unwrap_or(PAUSE).min(MAX_PAUSE);
    Failure::Again(pause, problem.message.into())
}

fn retry_after<S>(answer: &ClientResponse<S>) -> Option<Duration> {
    let value = answer.headers().get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

fn lost(error: SendRequestError) -> Failure {
    Failure::Again(PAUSE, error.to_string())
}

fn broken(error: JsonPayloadError) -> Failure {
    Failure::Again(PAUSE, error.to_string())
}
