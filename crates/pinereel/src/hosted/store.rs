//! The platform's object store, in typed calls.

use crate::objects::{Access, Client, Error, Purpose};
use actix_http::StatusCode;
use bytes::Bytes;
use pinereel_port::{
    Fault,
    store::{Call, Changes, Dialect, Freshness, Object, Page},
};
use serde_json::Value;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Pause between two probes while the store is away; each costs a tenth of a call, 0.7 calls a second.
/// Instances so find it within 0.15 s of its return; behind the breaker's back-off it takes up to 0.7 s
/// (times in the logs of nine instances), and lots are refused whose trainers offer them for the last time.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The same for an instance that another one tells of all changes: its news do not wait for the store, and
/// of 165 instances that are told 7 a second each would look for nothing.
const FED_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// After so long without an answer only probes and lots' writes go out; all else waits for a probe's
/// success. A quarter of the instances may be turned away while the others are served, and each call
/// is paid for, a refused one as well.
const URGENT_ONLY_AFTER: Duration = Duration::from_millis(1_000);
/// One probe of so many is a linearizable read, for a store that answers those alone.
const LINEARIZABLE_PROBE_PERIOD: u32 = 10;

/// The store's calls; clones share budget and contact.
#[derive(Clone)]
pub struct Store {
    client: Client,
    dialect: Dialect,
    health: Rc<Health>,
}

/// What this process knows of its contact with the store.
struct Health {
    /// Since when every call has failed; none while calls are answered.
    unreachable_since: Cell<Option<Instant>>,
    /// When this process began to make calls.
    started_at: Instant,
    /// When a call last failed.
    last_failure_at: Cell<Option<Instant>>,
    /// When a call was last answered.
    last_answer_at: Cell<Option<Instant>>,
    /// When the contact was last back.
    recovered_at: Cell<Option<Instant>>,
    /// Grows each time that the contact is back: whoever waits for news asks anew.
    recoveries: watch::Sender<u64>,
    /// Whether probes are sent while the store is away.
    is_probing: Cell<bool>,
}

impl Store {
    /// The store behind `client`, in `dialect`.
    pub fn new(client: Client, dialect: Dialect) -> Self {
        let health = Health {
            unreachable_since: Cell::new(None),
            started_at: Instant::now(),
            last_failure_at: Cell::new(None),
            last_answer_at: Cell::new(None),
            recovered_at: Cell::new(None),
            recoveries: watch::channel(0).0,
            is_probing: Cell::new(false),
        };
        Self {
            client,
            dialect,
            health: Rc::new(health),
        }
    }

    /// Since when every call has failed; none while calls are answered.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.health.unreachable_since.get()
    }

    /// Whether calls wait for a probe's success. Decided here and not by the client's breaker, which
    /// takes a refusal for its rate for an answer; an instance that is turned away gets just these.
    fn sends_urgent_only(&self) -> bool {
        let unreachable_since = self.unreachable_since();
        self.health.is_probing.get()
            && unreachable_since.is_some_and(|since| since.elapsed() >= URGENT_ONLY_AFTER)
    }

    /// How long ago the contact was last back after failures.
    pub fn recovered_ago(&self) -> Option<Duration> {
        self.health.recovered_at.get().map(|at| at.elapsed())
    }

    /// Whether a call failed within the last `span`.
    pub fn has_failed_within(&self, span: Duration) -> bool {
        let last_failure_at = self.health.last_failure_at.get();
        last_failure_at.is_some_and(|at| at.elapsed() < span)
    }

    /// For how long no call has failed; since the start if none ever did.
    pub fn uptime(&self) -> Duration {
        let since = self.health.last_failure_at.get();
        since.unwrap_or(self.health.started_at).elapsed()
    }

    /// Time since a call was last answered; none if none ever was.
    pub fn last_answer_ago(&self) -> Option<Duration> {
        self.health.last_answer_at.get().map(|at| at.elapsed())
    }

    /// Tells each time that the contact is back after failures.
    pub fn recoveries(&self) -> watch::Receiver<u64> {
        self.health.recoveries.subscribe()
    }

    /// While the store is away, looks whether it is back: an instance that the bulletin tells of all
    /// changes may have no other call to make for a long time. `is_told` says whether it is told now.
    /// Never returns.
    pub async fn probe_in_outages(
        &self,
        kind: &'static str,
        name: &'static str,
        is_fed: impl Fn() -> bool,
    ) {
        self.health.is_probing.set(true);
        let mut probe_count = 0_u32;
        let mut last_probe_at = Instant::now();
        loop {
            sleep(PROBE_INTERVAL).await;
            let interval = if is_fed() {
                FED_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            if self.unreachable_since().is_some() && last_probe_at.elapsed() >= interval {
                last_probe_at = Instant::now();
                probe_count = probe_count.wrapping_add(1);
                let freshness = match probe_count % LINEARIZABLE_PROBE_PERIOD {
                    0 => Freshness::Current,
                    _ => Freshness::Stale,
                };
                // A store that is silent holds a probe until it times out: the next one goes out
                // meanwhile.
                let store = self.clone();
                actix_rt::spawn(async move { store.probe(kind, name, freshness).await });
            }
        }
    }

    /// Looks whether the store answers this instance, past the breaker.
    pub async fn probe(&self, kind: &str, name: &str, freshness: Freshness) -> bool {
        // What it reads is of no interest, and may be old; `judge` notes the contact.
        let call = (self.dialect.read)(kind, name, freshness);
        let client = &self.client;
        let probe = client.exchange(Purpose::Config, Access::Probe, call, Duration::ZERO);
        self.record_outcome(probe.await).is_ok()
    }

    /// Calls since the start.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn read(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, Error> {
        let call = (self.dialect.read)(kind, name, freshness);
        match self.request(purpose, read_access(freshness), call).await {
            Ok(body) => decode_body(self.dialect.object, &body).map(Some),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// One page of a kind, of the names after `after`.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn list_page(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let call = (self.dialect.list)(kind, after, freshness);
        let body = self.request(purpose, read_access(freshness), call).await?;
        decode_body(self.dialect.page, &body)
    }

    /// All objects of a kind of the names after `after`, and the revision to watch from.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn list(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
    ) -> Result<(Vec<Object>, u64), Error> {
        let mut page = self
            .list_page(purpose, kind, after, Freshness::Current)
            .await?;
        // Changes during the list are told by a watch from its first page on.
        let revision = page.revision;
        let mut objects = std::mem::take(&mut page.objects);
        while page.more {
            let Some(last) = objects.last().map(|object| object.name.clone()) else {
                break;
            };
            page = self
                .list_page(purpose, kind, Some(&last), Freshness::Current)
                .await?;
            objects.append(&mut page.objects);
        }
        Ok((objects, revision))
    }

    /// Waits for changes of a kind after a revision.
    ///
    /// # Errors
    /// [`Error::Gone`] if the store does not know that history any more.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let call = (self.dialect.watch)(kind, after, wait);
        let body = self.exchange(purpose, Access::Watch, call, wait).await?;
        decode_body(self.dialect.changes, &body)
    }

    /// Creates an object that must not exist; `spec` is JSON text.
    ///
    /// # Errors
    /// [`Error::Conflict`] if it exists.
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        spec: &str,
    ) -> Result<Object, Error> {
        let call = (self.dialect.create)(kind, name, spec);
        let body = self.request(purpose, Access::Write, call).await?;
        decode_body(self.dialect.object, &body)
    }

    /// Replaces the spec of an object that must have `revision`.
    ///
    /// # Errors
    /// [`Error::Conflict`] if it has another one.
    pub async fn update(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        revision: u64,
        spec: &Value,
    ) -> Result<Object, Error> {
        let call = (self.dialect.update)(kind, name, revision, spec);
        let body = self.request(purpose, Access::Write, call).await?;
        decode_body(self.dialect.object, &body)
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
        let call = (self.dialect.report)(kind, name, status);
        self.request(purpose, Access::Write, call).await.map(drop)
    }

    /// Deletes an object; one that does not exist is no error.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), Error> {
        let call = (self.dialect.delete)(kind, name);
        match self.request(purpose, Access::Write, call).await {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn request(&self, purpose: Purpose, access: Access, call: Call) -> Result<Bytes, Error> {
        self.exchange(purpose, access, call, Duration::ZERO).await
    }

    async fn exchange(
        &self,
        purpose: Purpose,
        access: Access,
        call: Call,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        if !purpose.is_urgent(access) && self.sends_urgent_only() {
            return Err(Error::NotSent("the store is away".into()));
        }
        let answer = self.client.exchange(purpose, access, call, wait).await;
        self.record_outcome(answer)
    }

    /// Notes whether the store is in contact, and what the status means.
    fn record_outcome(&self, answer: Result<(StatusCode, Bytes), Error>) -> Result<Bytes, Error> {
        let result = answer.and_then(|(status, body)| check_status(status).map(|()| body));
        match &result {
            Err(Error::NotSent(_) | Error::Refused(_) | Error::Unknown(_)) => self.health.on_fail(),
            _ => self.health.on_answer(),
        }
        result
    }
}

impl Health {
    fn on_fail(&self) {
        let now = Instant::now();
        self.last_failure_at.set(Some(now));
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(now));
            log::warn!("object store: contact lost");
        }
    }

    fn on_answer(&self) {
        self.last_answer_at.set(Some(Instant::now()));
        if let Some(since) = self.unreachable_since.take() {
            let outage_ms = since.elapsed().as_millis() as u64;
            log::info!(away_ms = outage_ms; "object store: contact regained");
            self.recovered_at.set(Some(Instant::now()));
            self.recoveries.send_modify(|count| *count += 1);
        }
    }
}

/// Only 429 and 503 promise that nothing was done.
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

fn decode_body<T>(decode: fn(&[u8]) -> Result<T, Fault>, body: &[u8]) -> Result<T, Error> {
    decode(body).map_err(|fault| {
        log::error!("object store: {fault}");
        Error::Malformed(fault.to_string())
    })
}

const fn read_access(freshness: Freshness) -> Access {
    match freshness {
        Freshness::Current => Access::Read,
        Freshness::Stale => Access::Probe,
    }
}
