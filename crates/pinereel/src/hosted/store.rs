//! Typed calls to the platform's object store, and whether the store is reachable.

use crate::objects::{Access, Client, Error, Purpose};
use actix_http::StatusCode;
use bytes::Bytes;
use pinereel_port::{
    DecodeError,
    store::{Codec, Consistency, Object, Page, Request, WatchResponse},
};
use serde_json::Value;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Interval between two probes while the store is unreachable. Each probe costs a tenth of a call,
/// which makes 0.7 calls a second. With probes, instances notice the recovery within 0.15 s. Behind
/// the back-off of the circuit breaker that takes up to 0.7 s, and lots are refused whose trainers
/// submit them for the last time.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between two probes of an instance that gets all changes over the broadcast tree, or to
/// which the tree reports the end of an outage. Its data do not wait for its own probes, and 165
/// such instances would each send 7 probes a second to no purpose. It bounds the delay if the report
/// is lost, and if the store rejects only this instance.
const RARE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without an answer after which only probes and writes of lots are sent; all other calls wait
/// for the success of a probe. A quarter of the instances may be refused while the others are
/// served, and each call is paid for, also a refused one.
const URGENT_ONLY_AFTER: Duration = Duration::from_millis(1_000);
/// One in this many probes is a linearizable read, for a store that answers only those.
const LINEARIZABLE_PROBE_PERIOD: u32 = 10;

/// Client of the object store; clones share the call budget and the health of the store.
#[derive(Clone)]
pub struct Store {
    client: Client,
    codec: Codec,
    health: Rc<Health>,
}

/// Health of the store, as the calls of this process show it.
struct Health {
    /// Since when every call has failed; `None` while calls are answered.
    unreachable_since: Cell<Option<Instant>>,
    /// When this process began to make calls.
    started_at: Instant,
    /// When a call last failed.
    last_failure_at: Cell<Option<Instant>>,
    /// When a call was last answered.
    last_answer_at: Cell<Option<Instant>>,
    /// When the store last became reachable again.
    recovered_at: Cell<Option<Instant>>,
    /// When the end of an outage was last reported to this process.
    reported_at: Cell<Option<Instant>>,
    /// When a probe was last sent.
    last_probe_at: Cell<Option<Instant>>,
    /// Number of probes sent so far.
    probe_count: Cell<u32>,
    /// Number of probes sent before the current outage.
    probes_before_outage: Cell<u32>,
    /// Number of recoveries. Waiting readers repeat their calls at each.
    recoveries: watch::Sender<u64>,
    /// Whether probes are sent while the store is unreachable.
    is_probing: Cell<bool>,
}

impl Store {
    /// The store behind `client`, whose calls are encoded by `codec`.
    pub fn new(client: Client, codec: Codec) -> Self {
        let health = Health {
            unreachable_since: Cell::new(None),
            started_at: Instant::now(),
            last_failure_at: Cell::new(None),
            last_answer_at: Cell::new(None),
            recovered_at: Cell::new(None),
            reported_at: Cell::new(None),
            last_probe_at: Cell::new(None),
            probe_count: Cell::new(0),
            probes_before_outage: Cell::new(0),
            recoveries: watch::channel(0).0,
            is_probing: Cell::new(false),
        };
        Self {
            client,
            codec,
            health: Rc::new(health),
        }
    }

    /// Since when every call has failed; `None` while calls are answered.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.health.unreachable_since.get()
    }

    /// Whether only urgent calls are sent, until a probe succeeds. The circuit breaker of the
    /// client cannot decide this: it counts a refusal by the rate limit as an answer, and an
    /// instance beyond its rate limit gets nothing but such refusals.
    fn sends_urgent_only(&self) -> bool {
        let unreachable_since = self.unreachable_since();
        self.health.is_probing.get()
            && unreachable_since.is_some_and(|since| since.elapsed() >= URGENT_ONLY_AFTER)
    }

    /// How long ago the store last became reachable again; `None` if it never was unreachable.
    pub fn recovered_ago(&self) -> Option<Duration> {
        self.health.recovered_at.get().map(|at| at.elapsed())
    }

    /// Whether a call failed within the last `span`.
    pub fn has_failed_within(&self, span: Duration) -> bool {
        let last_failure_at = self.health.last_failure_at.get();
        last_failure_at.is_some_and(|at| at.elapsed() < span)
    }

    /// Time since a call last failed; since the start if none has.
    pub fn uptime(&self) -> Duration {
        let since = self.health.last_failure_at.get();
        since.unwrap_or(self.health.started_at).elapsed()
    }

    /// Time since a call was last answered; `None` if none has been.
    pub fn last_answer_ago(&self) -> Option<Duration> {
        self.health.last_answer_at.get().map(|at| at.elapsed())
    }

    /// Notifies each time that the store becomes reachable again.
    pub fn recoveries(&self) -> watch::Receiver<u64> {
        self.health.recoveries.subscribe()
    }

    /// Probes the store while it is unreachable, by reads of the object `name`. An instance that
    /// gets all changes over the broadcast tree may have no other call to make for a long time;
    /// `probes_rarely` returns whether the end of an outage need not be found by these probes. Never
    /// returns.
    pub async fn probe_in_outages(
        &self,
        kind: &'static str,
        name: &'static str,
        probes_rarely: impl Fn() -> bool,
    ) {
        self.health.is_probing.set(true);
        loop {
            sleep(PROBE_INTERVAL).await;
            let interval = if probes_rarely() {
                RARE_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            if self.unreachable_since().is_some() && self.health.next_probe_in(interval).is_zero() {
                // A store that does not answer holds a probe until its timeout; the next one is
                // sent meanwhile.
                let store = self.clone();
                actix_rt::spawn(async move { store.next_probe(kind, name).await });
            }
        }
    }

    /// Probes the store until it answers, at most once every `interval` together with the probes of
    /// [`Store::probe_in_outages`].
    pub async fn until_answered(&self, kind: &str, name: &str, interval: Duration) {
        loop {
            let wait = self.health.next_probe_in(interval);
            if !wait.is_zero() {
                sleep(wait).await;
            } else if self.next_probe(kind, name).await {
                return;
            }
        }
    }

    /// Records that the store is available again, as another instance has found. Returns whether
    /// that ends an outage here. Calls that wait for the end continue; if the store rejects only
    /// this instance, the first of them begins a new outage.
    pub fn end_outage(&self) -> bool {
        let Some(since) = self.unreachable_since() else {
            return false;
        };
        let outage_ms = since.elapsed().as_millis() as u64;
        let probes = self.health.probes_in_outage();
        log::info!(away_ms = outage_ms, probes; "object store: reachable again for the root");
        self.client.close_breaker();
        self.health.reported_at.set(Some(Instant::now()));
        self.health.on_recovery();
        true
    }

    /// Sends the next probe; one in [`LINEARIZABLE_PROBE_PERIOD`] is linearizable.
    async fn next_probe(&self, kind: &str, name: &str) -> bool {
        let count = self.health.probe_count.get().wrapping_add(1);
        self.health.probe_count.set(count);
        self.health.last_probe_at.set(Some(Instant::now()));
        let freshness = match count % LINEARIZABLE_PROBE_PERIOD {
            0 => Consistency::Linearizable,
            _ => Consistency::Stale,
        };
        self.probe(kind, name, freshness).await
    }

    /// Sends one probe past the circuit breaker; returns whether the store answered it.
    pub async fn probe(&self, kind: &str, name: &str, freshness: Consistency) -> bool {
        // The object itself is not used and may be old; `record_outcome` records the answer.
        let call = (self.codec.read)(kind, name, freshness);
        let client = &self.client;
        let started_at = Instant::now();
        let probe = client.exchange(Purpose::Config, Access::Probe, call, Duration::ZERO);
        self.record_outcome(started_at, probe.await).is_ok()
    }

    /// The underlying client, which counts the calls.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    /// If the store did not answer, or not with an object.
    pub async fn read(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        freshness: Consistency,
    ) -> Result<Option<Object>, Error> {
        let call = (self.codec.read)(kind, name, freshness);
        match self.request(purpose, read_access(freshness), call).await {
            Ok(body) => decode_body(self.codec.decode_object, &body).map(Some),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads one page of the objects of a kind, beginning after the name `after`.
    ///
    /// # Errors
    /// If the store did not answer, or not with a page.
    pub async fn list_page(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
        freshness: Consistency,
    ) -> Result<Page, Error> {
        let call = (self.codec.list)(kind, after, freshness);
        let body = self.request(purpose, read_access(freshness), call).await?;
        decode_body(self.codec.decode_page, &body)
    }

    /// Lists all objects of a kind after the name `after`, and the revision to watch from.
    ///
    /// # Errors
    /// If the store did not answer, or not with a page.
    pub async fn list(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
    ) -> Result<(Vec<Object>, u64), Error> {
        let mut page = self
            .list_page(purpose, kind, after, Consistency::Linearizable)
            .await?;
        // A watch from the revision of the first page also returns the changes made during the
        // list.
        let revision = page.revision;
        let mut objects = std::mem::take(&mut page.objects);
        while page.more {
            let Some(last) = objects.last().map(|object| object.name.clone()) else {
                break;
            };
            page = self
                .list_page(purpose, kind, Some(&last), Consistency::Linearizable)
                .await?;
            objects.append(&mut page.objects);
        }
        Ok((objects, revision))
    }

    /// Waits up to `wait` for changes of a kind after the revision `after`.
    ///
    /// # Errors
    /// [`Error::Gone`] if the store no longer has the history since that revision.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResponse, Error> {
        let call = (self.codec.watch)(kind, after, wait);
        let body = self.exchange(purpose, Access::Watch, call, wait).await?;
        decode_body(self.codec.decode_changes, &body)
    }

    /// Creates an object; `spec` is JSON text.
    ///
    /// # Errors
    /// [`Error::Conflict`] if the object exists.
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        spec: &str,
    ) -> Result<Object, Error> {
        let call = (self.codec.create)(kind, name, spec);
        let body = self.request(purpose, Access::Write, call).await?;
        decode_body(self.codec.decode_object, &body)
    }

    /// Replaces the spec of an object whose current revision is `revision`.
    ///
    /// # Errors
    /// [`Error::Conflict`] if the object has another revision.
    pub async fn update(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        revision: u64,
        spec: &Value,
    ) -> Result<Object, Error> {
        let call = (self.codec.update)(kind, name, revision, spec);
        let body = self.request(purpose, Access::Write, call).await?;
        decode_body(self.codec.decode_object, &body)
    }

    /// Replaces the status of an object.
    ///
    /// # Errors
    /// [`Error::NotFound`] if there is no such object.
    pub async fn update_status(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        status: &Value,
    ) -> Result<(), Error> {
        let call = (self.codec.update_status)(kind, name, status);
        self.request(purpose, Access::Write, call).await.map(drop)
    }

    /// Deletes an object; succeeds if it does not exist.
    ///
    /// # Errors
    /// If the store did not answer, or refused the call.
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), Error> {
        let call = (self.codec.delete)(kind, name);
        match self.request(purpose, Access::Write, call).await {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn request(
        &self,
        purpose: Purpose,
        access: Access,
        call: Request,
    ) -> Result<Bytes, Error> {
        self.exchange(purpose, access, call, Duration::ZERO).await
    }

    async fn exchange(
        &self,
        purpose: Purpose,
        access: Access,
        call: Request,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        if !purpose.is_urgent(access) && self.sends_urgent_only() {
            return Err(Error::NotSent("the object store is unreachable".into()));
        }
        let started_at = Instant::now();
        let answer = self.client.exchange(purpose, access, call, wait).await;
        self.record_outcome(started_at, answer)
    }

    /// Records whether the store answered, and turns the HTTP status into a result.
    fn record_outcome(
        &self,
        started_at: Instant,
        answer: Result<(StatusCode, Bytes), Error>,
    ) -> Result<Bytes, Error> {
        let result = answer.and_then(|(status, body)| check_status(status).map(|()| body));
        match &result {
            Err(Error::NotSent(_) | Error::Refused(_) | Error::Unknown(_)) => {
                self.health.on_fail(started_at);
            }
            _ => self.health.on_answer(),
        }
        result
    }
}

impl Health {
    /// Records that a call failed that was started at `started_at`. A call that was started before
    /// the reported end of an outage does not begin another one: a store that does not answer holds
    /// calls until their timeouts.
    fn on_fail(&self, started_at: Instant) {
        let now = Instant::now();
        self.last_failure_at.set(Some(now));
        if self.reported_at.get().is_some_and(|at| started_at < at) {
            return;
        }
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(now));
            self.probes_before_outage.set(self.probe_count.get());
            log::warn!("object store: unreachable");
        }
    }

    /// Records that a call was answered, and notifies if that ends an outage.
    fn on_answer(&self) {
        self.last_answer_at.set(Some(Instant::now()));
        if let Some(since) = self.unreachable_since.get() {
            let outage_ms = since.elapsed().as_millis() as u64;
            log::info!(away_ms = outage_ms; "object store: reachable again");
            self.on_recovery();
        }
    }

    /// Ends the outage and wakes those that wait for its end.
    fn on_recovery(&self) {
        self.unreachable_since.set(None);
        self.recovered_at.set(Some(Instant::now()));
        self.recoveries.send_modify(|count| *count += 1);
    }

    /// Time until `interval` has passed since the last probe.
    fn next_probe_in(&self, interval: Duration) -> Duration {
        let last_probe_at = self.last_probe_at.get();
        last_probe_at.map_or(Duration::ZERO, |at| interval.saturating_sub(at.elapsed()))
    }

    /// Number of probes sent since the current outage began.
    fn probes_in_outage(&self) -> u32 {
        let before = self.probes_before_outage.get();
        self.probe_count.get().wrapping_sub(before)
    }
}

/// Only 429 and 503 guarantee that the call had no effect.
fn check_status(status: StatusCode) -> Result<(), Error> {
    match status {
        StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::CONFLICT => Err(Error::Conflict),
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Refused(status.to_string()))
        }
        status if status.is_server_error() => Err(Error::Unknown(status.to_string())),
        status => Err(Error::Malformed(status.to_string())),
    }
}

fn decode_body<T>(decode: fn(&[u8]) -> Result<T, DecodeError>, body: &[u8]) -> Result<T, Error> {
    decode(body).map_err(|fault| {
        log::error!("object store: {fault}");
        Error::Malformed(fault.to_string())
    })
}

/// How a read of this freshness is counted and limited by the client.
const fn read_access(freshness: Consistency) -> Access {
    match freshness {
        Consistency::Linearizable => Access::Read,
        Consistency::Stale => Access::Probe,
    }
}
