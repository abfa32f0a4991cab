//! HTTP client of the object API: rate and concurrency limits, circuit breaker, and the calls.

use super::{
    breaker::Breaker,
    call::{Access, Purpose},
    error::Error,
    token_bucket::TokenBucket,
};
use crate::{
    memory::{Kind, Memory, Reservation},
    state::Clock,
    upstream::{Attempt, Client as Http, Error as HttpError, Reuse, pool::Response},
};
use actix_http::{
    Method, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH, USER_AGENT},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_api::object::{Changes, List, MAX_VALUE_BYTES, Object, Write, Written};
use pinereel_core::hash;
use pinereel_port::{store::Request, uri};
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep},
};

/// Maximum size of a response body, in bytes: a list may contain many values.
const MAX_RESPONSE_BYTES: usize = 16 * MAX_VALUE_BYTES;

/// Maximum wait for a permit under the concurrency limit, and again under the rate limit; a call that
/// would wait longer fails.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Options of the client.
#[derive(Clone, Debug)]
pub struct Options {
    /// `IP:PORT` of the API.
    pub address: String,
    /// Value of the `user-agent` header; also the seed of the breaker's jitter.
    pub agent: CompactString,
    /// Maximum number of concurrent calls, not counting watches.
    pub max_concurrency: usize,
    /// Timeout of a call; a watch's own wait is added.
    pub timeout: Duration,
    /// Rate limit of reads and watches, per second.
    pub reads_per_second: f64,
    /// Rate limit of writes, per second.
    pub writes_per_second: f64,
}

/// Client of the object API. Clones share limits, breaker and counts.
#[derive(Clone)]
pub struct Client {
    http: Http,
    options: Rc<Options>,
    clock: Clock,
    permits: Arc<Semaphore>,
    memory: Memory,
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    breaker: Breaker,
    reads: TokenBucket,
    writes: TokenBucket,
    call_counts: BTreeMap<(Purpose, &'static str), u64>,
    /// When the calls were sent that have not been answered yet, by number. Watches are not included.
    unanswered: BTreeMap<u64, Instant>,
    last_number: u64,
}

/// A call that has not been answered yet; its entry is freed on drop.
struct Unanswered<'a> {
    inner: &'a RefCell<Inner>,
    number: u64,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.inner.borrow_mut().unanswered.remove(&self.number);
    }
}

impl Client {
    /// Creates a client for the current thread.
    pub fn new(options: Options, clock: Clock) -> Self {
        let now = clock.now();
        let seed = hash::stable(options.agent.as_bytes());
        let inner = Inner {
            breaker: Breaker::new(seed),
            reads: TokenBucket::new(options.reads_per_second, now),
            writes: TokenBucket::new(options.writes_per_second, now),
            call_counts: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            last_number: 0,
        };
        Self {
            http: Http::new(),
            permits: Arc::new(Semaphore::new(options.max_concurrency)),
            options: Rc::new(options),
            clock,
            memory: Memory::default(),
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Uses `memory` for the bodies of responses.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Self { memory, ..self }
    }

    /// Number of calls since the start, by purpose and access (`read`, `probe`, `watch`, `write`).
    pub fn call_counts(&self) -> BTreeMap<(Purpose, &'static str), u64> {
        self.inner.borrow().call_counts.clone()
    }

    /// How long the oldest call has waited for its answer; `None` if none waits. Watches and the time under
    /// the client's own limits are not included.
    pub fn longest_wait(&self) -> Option<Duration> {
        let inner = self.inner.borrow();
        let oldest = inner.unanswered.first_key_value();
        oldest.map(|(_, sent_at)| sent_at.elapsed())
    }

    /// Records that a call is sent now and waits for its answer until the result is dropped.
    fn begin_call(&self) -> Unanswered<'_> {
        let mut inner = self.inner.borrow_mut();
        inner.last_number += 1;
        let number = inner.last_number;
        inner.unanswered.insert(number, Instant::now());
        Unanswered {
            inner: &self.inner,
            number,
        }
    }

    /// Reads one object; `None` if it does not exist.
    pub async fn read(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, Error> {
        match self.get(purpose, object_path(kind, name)).await {
            Ok(object) => Ok(Some(object)),
            Err(Error::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Lists the objects of a kind whose names start with `prefix`.
    pub async fn list(&self, purpose: Purpose, kind: &str, prefix: &str) -> Result<List, Error> {
        let path = format!("{}?prefix={}", kind_path(kind), uri::encode(prefix));
        self.get(purpose, path).await
    }

    /// Waits at most `wait` for changes of a kind after a revision.
    ///
    /// # Errors
    /// [`Error::Gone`] if the revision is too old.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let (path, wait_ms) = (kind_path(kind), wait.as_millis());
        let path = format!("{path}?after={after}&wait_ms={wait_ms}");
        self.admit(purpose, Access::Watch).await?;
        let timeout = wait + self.options.timeout;
        let (status, body) = self
            .call(Method::GET, path, Vec::new(), Bytes::new(), timeout)
            .await?;
        parse(status, &body)
    }

    /// Creates an object that must not exist; returns its version.
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        value: &impl Serialize,
    ) -> Result<u64, Error> {
        let condition = (IF_NONE_MATCH, HeaderValue::from_static("*"));
        self.put(purpose, kind, name, condition, value).await
    }

    /// Updates an object that must have `version`; returns its new version.
    pub async fn update(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        version: u64,
        value: &impl Serialize,
    ) -> Result<u64, Error> {
        let condition = (IF_MATCH, HeaderValue::from(version));
        self.put(purpose, kind, name, condition, value).await
    }

    /// Deletes an object that must have `version`.
    pub async fn delete(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<(), Error> {
        let path = object_path(kind, name);
        let headers = vec![(IF_MATCH, HeaderValue::from(version))];
        let _permit = self.acquire_permit(purpose, Access::Write).await?;
        let timeout = self.options.timeout;
        let (status, _) = self
            .call(Method::DELETE, path, headers, Bytes::new(), timeout)
            .await?;
        check_status(status)
    }

    /// Records that the API is known to be available again without a call of this process, so that
    /// no call waits for the back-off after earlier failures.
    pub fn close_breaker(&self) {
        self.inner.borrow_mut().breaker.record_success();
    }

    /// Sends a call of another store protocol under this client's limits, and returns the response's
    /// status and body.
    ///
    /// # Errors
    /// [`Error::NotSent`] if nothing was sent, [`Error::Unknown`] if the response was lost. A
    /// response of any status is no error.
    pub async fn exchange(
        &self,
        purpose: Purpose,
        access: Access,
        call: Request,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let permit = match access {
            Access::Watch => {
                self.admit(purpose, access).await?;
                None
            }
            _ => Some(self.acquire_permit(purpose, access).await?),
        };
        let mut headers = Vec::new();
        if !call.body.is_empty() {
            headers.push((CONTENT_TYPE, HeaderValue::from_static("application/json")));
        }
        let timeout = wait + self.options.timeout;
        let unanswered = (access != Access::Watch).then(|| self.begin_call());
        let answer = self
            .send(call.method, call.path, headers, call.body, timeout)
            .await;
        drop(unanswered);
        drop(permit);
        // Probes fail throughout an outage; they must not extend the back-off of other calls.
        if access != Access::Probe || is_available(&answer) {
            self.record_result(&answer);
        }
        answer
    }

    async fn get<T: DeserializeOwned>(&self, purpose: Purpose, path: String) -> Result<T, Error> {
        let _permit = self.acquire_permit(purpose, Access::Read).await?;
        let timeout = self.options.timeout;
        let (status, body) = self
            .call(Method::GET, path, Vec::new(), Bytes::new(), timeout)
            .await?;
        parse(status, &body)
    }

    async fn put(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        condition: (HeaderName, HeaderValue),
        value: &impl Serialize,
    ) -> Result<u64, Error> {
        let value = serde_json::to_value(value).map_err(|e| Error::NotSent(e.to_string()))?;
        let body =
            serde_json::to_vec(&Write { value }).map_err(|e| Error::NotSent(e.to_string()))?;
        let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let path = object_path(kind, name);
        let _permit = self.acquire_permit(purpose, Access::Write).await?;
        let timeout = self.options.timeout;
        let (status, body) = self
            .call(
                Method::PUT,
                path,
                vec![condition, json],
                body.into(),
                timeout,
            )
            .await?;
        parse::<Written>(status, &body).map(|written| written.version)
    }

    /// Waits under the concurrency limit, then as [`Self::admit`].
    async fn acquire_permit(
        &self,
        purpose: Purpose,
        access: Access,
    ) -> Result<OwnedSemaphorePermit, Error> {
        let permits = Arc::clone(&self.permits);
        let permit = tokio::select! {
            permit = permits.acquire_owned() => permit.expect("the semaphore is never closed"),
            () = sleep(MAX_WAIT) => return Err(Error::Limited("too many calls at once")),
        };
        self.admit(purpose, access).await?;
        Ok(permit)
    }

    /// Checks the breaker, waits under the rate limit, and counts the call.
    async fn admit(&self, purpose: Purpose, access: Access) -> Result<(), Error> {
        let wait = {
            let now = self.clock.now();
            let mut inner = self.inner.borrow_mut();
            let urgent = purpose.is_urgent(access);
            if access != Access::Probe && !inner.breaker.allows(urgent, now) {
                return Err(Error::NotSent("the circuit breaker is open".into()));
            }
            match access {
                Access::Write => inner.writes.reserve(now),
                _ => inner.reads.reserve(now),
            }
        };
        if wait > MAX_WAIT {
            return Err(Error::Limited("the rate budget is spent"));
        }
        sleep(wait).await;
        *self
            .inner
            .borrow_mut()
            .call_counts
            .entry((purpose, access.as_str()))
            .or_default() += 1;
        Ok(())
    }

    /// Sends a call and records its result in the breaker.
    async fn call(
        &self,
        method: Method,
        path: String,
        headers: Vec<(HeaderName, HeaderValue)>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let answer = self.send(method, path, headers, body, timeout).await;
        self.record_result(&answer);
        answer
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        mut headers: Vec<(HeaderName, HeaderValue)>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        if let Ok(agent) = HeaderValue::from_str(&self.options.agent) {
            headers.push((USER_AGENT, agent));
        }
        let attempt = Attempt {
            method,
            address: self.options.address.clone(),
            path,
            headers,
            body,
            timeout,
            reuse: Reuse::Allowed,
        };
        let result = async {
            let response = self.http.send(attempt).await.map_err(|e| match e {
                HttpError::NotOpened(_) => Error::NotSent(e.to_string()),
                HttpError::Invalid(reason) => Error::Invalid(reason),
                HttpError::Lost(_) => Error::Unknown(e.to_string()),
            })?;
            self.read_body(response).await
        };
        // The timeout covers the body as well as the head.
        tokio::time::timeout(timeout, result)
            .await
            .unwrap_or_else(|_| Err(Error::Unknown("timeout".into())))
    }

    async fn read_body(&self, mut response: Response) -> Result<(StatusCode, Bytes), Error> {
        let too_long = |_| Error::Unknown("the response is too long".into());
        let reservation = self.memory.open_body(Kind::Control, MAX_RESPONSE_BYTES);
        let append_parts = async |body: &mut Reservation| {
            loop {
                let part = response.body.next_part().await;
                let Some(part) = part.map_err(|e| Error::Unknown(e.to_string()))? else {
                    return Ok(());
                };
                body.append(&part, 0).map_err(too_long)?;
            }
        };
        let body = reservation.receive(too_long, append_parts).await?;
        Ok((response.status, body))
    }

    /// Records a call's result in the breaker.
    fn record_result(&self, answer: &Result<(StatusCode, Bytes), Error>) {
        if matches!(answer, Err(Error::Invalid(_))) {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if is_available(answer) {
            inner.breaker.record_success();
        } else {
            inner.breaker.record_failure(self.clock.now());
        }
    }
}

fn kind_path(kind: &str) -> String {
    format!("/objects/{}", uri::encode(kind))
}

fn object_path(kind: &str, name: &str) -> String {
    format!("{}/{}", kind_path(kind), uri::encode(name))
}

/// Whether the API responded with a status other than 503.
fn is_available(answer: &Result<(StatusCode, Bytes), Error>) -> bool {
    matches!(answer, Ok((status, _)) if *status != StatusCode::SERVICE_UNAVAILABLE)
}

/// Only a status of the class 4xx and 503 promise that the call had no effect.
fn check_status(status: StatusCode) -> Result<(), Error> {
    match status {
        StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::CONFLICT => Err(Error::Conflict),
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Refused(status.to_string())),
        status if status.is_client_error() => Err(Error::Refused(status.to_string())),
        status if status.is_server_error() => Err(Error::Unknown(status.to_string())),
        status => Err(Error::Malformed(status.to_string())),
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    check_status(status)?;
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))
}
