//! The platform's object store, in typed calls.

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

/// Pause between two probes while the store is away; each costs a tenth of a call, 0.7 calls a second.
/// Instances so find it within 0.15 s of its return; behind the breaker's back-off it takes up to 0.7 s
/// (times in the logs of nine instances), and lots are refused whose trainers offer them for the last time.
const PROBE: Duration = Duration::from_millis(150);

/// The same for an instance that another one tells of all changes: its news do not wait for the store, and
/// of 165 instances that are told 7 a second each would look for nothing.
const TOLD_PROBE: Duration = Duration::from_millis(1_000);

/// After so long without an answer only probes and lots' writes go out; all else waits for a probe's
/// success. A quarter of the instances may be turned away while the others are served, and each call
/// is paid for, a refused one as well.
const ONLY_PROBES: Duration = Duration::from_millis(1_000);
/// One probe of so many is a linearizable read, for a store that answers those alone.
const FULL_PROBE: u32 = 10;

/// The store's calls; clones share budget and contact.
#[derive(Clone)]
pub struct Store {
    client: Client,
    dialect: Codec,
    contact: Rc<Contact>,
}

/// What this process knows of its contact with the store.
struct Contact {
    /// Since when every call has failed; none while calls are answered.
    away_since: Cell<Option<Instant>>,
    /// When this process began to make calls.
    began_at: Instant,
    /// When a call last failed.
    failed_at: Cell<Option<Instant>>,
    /// When a call was last answered.
    answered_at: Cell<Option<Instant>>,
    /// When the contact was last back.
    returned_at: Cell<Option<Instant>>,
    /// Grows each time that the contact is back: whoever waits for news asks anew.
    returns: watch::Sender<u64>,
    /// Whether probes are sent while the store is away.
    probed: Cell<bool>,
}

impl Store {
    /// The store behind `client`, in `dialect`.
    pub fn new(client: Client, dialect: Codec) -> Self {
        let contact = Contact {
            away_since: Cell::new(None),
            began_at: Instant::now(),
            failed_at: Cell::new(None),
            answered_at: Cell::new(None),
            returned_at: Cell::new(None),
            returns: watch::channel(0).0,
            probed: Cell::new(false),
        };
        Self {
            client,
            dialect,
            contact: Rc::new(contact),
        }
    }

    /// Since when every call has failed; none while calls are answered.
    pub fn away_since(&self) -> Option<Instant> {
        self.contact.away_since.get()
    }

    /// Whether calls wait for a probe's success. Decided here and not by the client's breaker, which
    /// takes a refusal for its rate for an answer; an instance that is turned away gets just these.
    fn holds_back(&self) -> bool {
        let away = self.away_since();
        self.contact.probed.get() && away.is_some_and(|since| since.elapsed() >= ONLY_PROBES)
    }

    /// How long ago the contact was last back after failures.
    pub fn returned_ago(&self) -> Option<Duration> {
        self.contact.returned_at.get().map(|at| at.elapsed())
    }

    /// Whether a call failed within the last `span`.
    pub fn was_away_within(&self, span: Duration) -> bool {
        let failed = self.contact.failed_at.get();
        failed.is_some_and(|at| at.elapsed() < span)
    }

    /// For how long no call has failed; since the start if none ever did.
    pub fn calm(&self) -> Duration {
        let since = self.contact.failed_at.get();
        since.unwrap_or(self.contact.began_at).elapsed()
    }

    /// Time since a call was last answered; none if none ever was.
    pub fn answered_ago(&self) -> Option<Duration> {
        self.contact.answered_at.get().map(|at| at.elapsed())
    }

    /// Tells each time that the contact is back after failures.
    pub fn returns(&self) -> watch::Receiver<u64> {
        self.contact.returns.subscribe()
    }

    /// While the store is away, looks whether it is back: an instance that the bulletin tells of all
    /// changes may have no other call to make for a long time. `is_told` says whether it is told now.
    /// Never returns.
    pub async fn look_out(
        &self,
        kind: &'static str,
        name: &'static str,
        is_told: impl Fn() -> bool,
    ) {
        self.contact.probed.set(true);
        let mut probes = 0_u32;
        let mut last = Instant::now();
        loop {
            sleep(PROBE).await;
            let pause = if is_told() { TOLD_PROBE } else { PROBE };
            if self.away_since().is_some() && last.elapsed() >= pause {
                last = Instant::now();
                probes = probes.wrapping_add(1);
                let freshness = match probes % FULL_PROBE {
                    0 => Consistency::Linearizable,
                    _ => Consistency::Stale,
                };
                // A store that is silent holds a probe until it times out: the next one goes out
                // meanwhile.
                let store = self.clone();
                actix_rt::spawn(async move { store.probe(kind, name, freshness).await });
            }
        }
    }

    /// Looks whether the store answers this instance, past the breaker.
    pub async fn probe(&self, kind: &str, name: &str, freshness: Consistency) -> bool {
        // What it reads is of no interest, and may be old; `judge` notes the contact.
        let call = (self.dialect.read)(kind, name, freshness);
        let client = &self.client;
        let probe = client.exchange(Purpose::Config, Access::Probe, call, Duration::ZERO);
        self.judge(probe.await).is_ok()
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
        freshness: Consistency,
    ) -> Result<Option<Object>, Error> {
        let call = (self.dialect.read)(kind, name, freshness);
        match self.ask(purpose, access(freshness), call).await {
            Ok(body) => decode(self.dialect.decode_object, &body).map(Some),
            Err(Error::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// One page of a kind, of the names after `after`.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn page(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
        freshness: Consistency,
    ) -> Result<Page, Error> {
        let call = (self.dialect.list)(kind, after, freshness);
        let body = self.ask(purpose, access(freshness), call).await?;
        decode(self.dialect.decode_page, &body)
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
            .page(purpose, kind, after, Consistency::Linearizable)
            .await?;
        // Changes during the list are told by a watch from its first page on.
        let revision = page.revision;
        let mut objects = std::mem::take(&mut page.objects);
        while page.more {
            let Some(last) = objects.last().map(|object| object.name.clone()) else {
                break;
            };
            page = self
                .page(purpose, kind, Some(&last), Consistency::Linearizable)
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
    ) -> Result<WatchResponse, Error> {
        let call = (self.dialect.watch)(kind, after, wait);
        let body = self.exchange(purpose, Access::Watch, call, wait).await?;
        decode(self.dialect.decode_changes, &body)
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
        let body = self.ask(purpose, Access::Write, call).await?;
        decode(self.dialect.decode_object, &body)
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
        let body = self.ask(purpose, Access::Write, call).await?;
        decode(self.dialect.decode_object, &body)
    }

    /// Replaces the status of an object.
    ///
    /// # Errors
    /// [`Error::NotFound`] if there is no such object.
    pub async fn report(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        status: &Value,
    ) -> Result<(), Error> {
        let call = (self.dialect.update_status)(kind, name, status);
        self.ask(purpose, Access::Write, call).await.map(drop)
    }

    /// Deletes an object; one that does not exist is no error.
    ///
    /// # Errors
    /// If the store did not answer so.
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), Error> {
        let call = (self.dialect.delete)(kind, name);
        match self.ask(purpose, Access::Write, call).await {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn ask(&self, purpose: Purpose, access: Access, call: Request) -> Result<Bytes, Error> {
        self.exchange(purpose, access, call, Duration::ZERO).await
    }

    async fn exchange(
        &self,
        purpose: Purpose,
        access: Access,
        call: Request,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        if !purpose.is_urgent(access) && self.holds_back() {
            return Err(Error::NotSent("the store is away".into()));
        }
        let answer = self.client.exchange(purpose, access, call, wait).await;
        self.judge(answer)
    }

    /// Notes whether the store is in contact, and what the status means.
    fn judge(&self, answer: Result<(StatusCode, Bytes), Error>) -> Result<Bytes, Error> {
        let result = answer.and_then(|(status, body)| meaning(status).map(|()| body));
        match &result {
            Err(Error::NotSent(_) | Error::Refused(_) | Error::Unknown(_)) => self.contact.failed(),
            _ => self.contact.answered(),
        }
        result
    }
}

impl Contact {
    fn failed(&self) {
        let now = Instant::now();
        self.failed_at.set(Some(now));
        if self.away_since.get().is_none() {
            self.away_since.set(Some(now));
            log::warn!("object store: contact lost");
        }
    }

    fn answered(&self) {
        self.answered_at.set(Some(Instant::now()));
        if let Some(since) = self.away_since.take() {
            let millis = since.elapsed().as_millis() as u64;
            log::info!(away_ms = millis; "object store: contact regained");
            self.returned_at.set(Some(Instant::now()));
            self.returns.send_modify(|returns| *returns += 1);
        }
    }
}

/// Only 429 and 503 promise that nothing was done.
fn meaning(status: StatusCode) -> Result<(), Error> {
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

fn decode<T>(decode: fn(&[u8]) -> Result<T, DecodeError>, body: &[u8]) -> Result<T, Error> {
    decode(body).map_err(|fault| {
        log::error!("object store: {fault}");
        Error::Malformed(fault.to_string())
    })
}

const fn access(freshness: Consistency) -> Access {
    match freshness {
        Consistency::Linearizable => Access::Read,
        Consistency::Stale => Access::Probe,
    }
}
