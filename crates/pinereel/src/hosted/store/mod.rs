//! Typed calls to the platform's object store, and whether the store is reachable (`health`).

mod health;
mod large_objects;
mod listing;

use super::{metrics::Metrics, parent_calls::ParentCalls, tree::StoreOutcome};
use crate::objects::{Access, Client, Error, Purpose};
use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use health::{Health, Reachability, is_answered, may_be_repeated};
use large_objects::{log_oversized, max_object_bytes};
use listing::Listing;
use pinereel_core::tree::{
    StoreCallKind, StoreCallParent, StoreRoute, store_route, takes_store_calls,
};
use pinereel_port::{
    DecodeError,
    store::{Codec, Consistency, Object, Page, Request, WatchResponse},
};
use serde_json::Value;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout},
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
/// Longest wait for a direct answer about a lease while the parent takes calls. A holder renews 0.7 s
/// after its last renewal, and others may take the lease 2.2 s after that one. With the timeout of
/// other calls, 1.5 s, the repetition through the parent came too late if the store was silent. A slow
/// store takes 0.3 s.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// One in this many probes is a linearizable read, for a store that answers only those.
const LINEARIZABLE_PROBE_PERIOD: u32 = 10;

/// Client of the object store; clones share the call budget and the health of the store.
///
/// While the store does not answer this instance, calls are sent through the parent in the broadcast
/// tree if that is enabled and the parent takes them. The store counts as reachable then, except by
/// [`Store::direct`].
#[derive(Clone)]
pub struct Store {
    client: Client,
    codec: Codec,
    health: Rc<Health>,
    /// Whether calls are sent, and the health is observed, over the own connection alone.
    is_direct: bool,
}

/// A call to the store, of this or of another instance.
pub(super) struct Call {
    /// Purpose under which the call is counted here.
    pub(super) purpose: Purpose,
    /// Kind of access, under whose limits the call is made here.
    pub(super) access: Access,
    /// The encoded request.
    pub(super) request: Request,
    /// How long the store may wait before it answers.
    pub(super) wait: Duration,
    /// Number of links that the call has taken; 0 for an instance's own calls.
    pub(super) hops: u32,
}

impl Store {
    /// The store behind `client`, whose calls are encoded by `codec`.
    pub fn new(client: Client, codec: Codec) -> Self {
        Self {
            client,
            codec,
            health: Rc::new(Health::new(None)),
            is_direct: false,
        }
    }

    /// Enables calls through the parent. Must be called before the store is cloned.
    #[must_use]
    pub fn with_calls_through_parent(self, metrics: &Metrics) -> Self {
        let parent_calls = ParentCalls::new(metrics.clone());
        Self {
            health: Rc::new(Health::new(Some(parent_calls))),
            ..self
        }
    }

    /// The same store, but calls are sent over the own connection alone, and only its health counts.
    #[must_use]
    pub fn direct(&self) -> Self {
        Self {
            is_direct: true,
            ..self.clone()
        }
    }

    fn reachability(&self) -> &Reachability {
        if self.is_direct {
            &self.health.own
        } else {
            &self.health.either
        }
    }

    /// Since when every call has failed; `None` while calls are answered.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.reachability().unreachable_since.get()
    }

    /// Whether the store does not answer over the own connection: a call has failed since the last answer, or
    /// has waited for its answer for `late_after`.
    pub(super) fn lacks_answers(&self, late_after: Duration) -> bool {
        let longest_wait = self.client.longest_wait();
        longest_wait.is_some_and(|wait| wait >= late_after)
            || self.health.own.unreachable_since.get().is_some()
    }

    /// How long ago the store last became reachable again; `None` if it never was unreachable.
    pub fn recovered_ago(&self) -> Option<Duration> {
        self.reachability()
            .recovered_at
            .get()
            .map(|at| at.elapsed())
    }

    /// Whether a call failed within the last `span`.
    pub fn has_failed_within(&self, span: Duration) -> bool {
        let last_failure_at = self.reachability().last_failure_at.get();
        last_failure_at.is_some_and(|at| at.elapsed() < span)
    }

    /// Time since a call last failed; since the start if none has.
    pub fn uptime(&self) -> Duration {
        let since = self.reachability().last_failure_at.get();
        since.unwrap_or(self.health.started_at).elapsed()
    }

    /// Time since a call was last answered; `None` if none has been.
    pub fn last_answer_ago(&self) -> Option<Duration> {
        let last_answer_at = self.reachability().last_answer_at.get();
        last_answer_at.map(|at| at.elapsed())
    }

    /// Notifies each time that the store becomes reachable again, or calls begin to take another way.
    pub fn recoveries(&self) -> watch::Receiver<u64> {
        self.reachability().recoveries.subscribe()
    }

    /// Whether calls through the parent are enabled.
    pub(super) fn sends_calls_through_parent(&self) -> bool {
        self.health.parent_calls.is_some()
    }

    /// Opens the queue of a new link to a parent. The frames that are received from it must be sent to
    /// the parent; there are none unless calls through the parent are enabled.
    pub(super) fn open_parent_link(&self) -> mpsc::Receiver<Bytes> {
        match &self.health.parent_calls {
            Some(calls) => calls.open_link(),
            None => mpsc::channel(1).1,
        }
    }

    /// Records that the link to the parent has ended. Calls in progress end as unknown.
    pub(super) fn close_parent_link(&self) {
        if let Some(calls) = &self.health.parent_calls {
            calls.close_link();
        }
    }

    /// Records the parent as it is now. If it has begun to accept calls and the own connection fails,
    /// waiting calls are repeated.
    pub(super) fn observe_parent(&self, parent: Option<StoreCallParent>) {
        let calls = self.health.parent_calls.as_ref();
        let has_begun = calls.is_some_and(|calls| calls.observe_parent(parent));
        if has_begun && self.health.own.unreachable_since.get().is_some() {
            self.health.either.notify();
        }
    }

    /// Handles a part of the body of the parent's answer to a call.
    pub(super) fn on_parent_answer_part(&self, id: u64, body: Bytes) {
        if let Some(calls) = &self.health.parent_calls {
            calls.on_answer_part(id, body);
        }
    }

    /// Handles the parent's answer to a call.
    pub(super) fn on_parent_answer(&self, id: u64, outcome: StoreOutcome) {
        if let Some(calls) = &self.health.parent_calls {
            calls.on_answer(id, outcome);
        }
    }

    /// Whether this instance currently gets calls of children answered. `is_fresh` is whether its data
    /// are fresh.
    pub(super) fn takes_calls_of_children(&self, is_fresh: bool) -> bool {
        let health = &self.health;
        let has_answered = health.own.last_answer_at.get().is_some();
        health.parent_calls.is_some()
            && takes_store_calls(
                health.own_connection(),
                has_answered,
                is_fresh,
                health.parent(),
            )
    }

    /// Sends a call of another instance to the store, or through the parent.
    ///
    /// # Errors
    /// [`Error::NotSent`] if nothing was sent, [`Error::Unknown`] if the response was lost. A response
    /// of any status is no error.
    pub(super) async fn forward(&self, call: Call) -> Result<(StatusCode, Bytes), Error> {
        if !self.sends_calls_through_parent() {
            return Err(Error::NotSent("calls of others are not enabled".into()));
        }
        self.send(call.purpose.may_be_relayed(), call).await
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
            let unreachable_since = self.health.own.unreachable_since.get();
            if unreachable_since.is_some() && self.health.next_probe_in(interval).is_zero() {
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
        let health = &self.health;
        let Some(since) = health.own.unreachable_since.get() else {
            return false;
        };
        // Calls that the parent gets answered show already that the store rejects only this instance.
        if health.relaying_since.get().is_some() {
            return false;
        }
        let outage_ms = since.elapsed().as_millis() as u64;
        let probes = health.probes_in_outage();
        log::info!(away_ms = outage_ms, probes; "object store: reachable again for the root");
        self.client.close_breaker();
        for reachability in [&health.own, &health.either] {
            reachability.reported_at.set(Some(Instant::now()));
            reachability.end_outage();
        }
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
        // The object itself is not used and may be old; only whether there is an answer is recorded.
        let call = (self.codec.read)(kind, name, freshness);
        let client = &self.client;
        let started_at = Instant::now();
        let probe = client.exchange(Purpose::Config, Access::Probe, call, Duration::ZERO);
        let answer = probe.await;
        self.health.record_direct(started_at, &answer);
        if !is_answered(&answer) && !self.health.parent_accepts_calls() {
            self.health.either.on_failure(started_at);
        }
        answer.is_ok_and(|(status, _)| check_status(status).is_ok())
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
        let decode = |body: &[u8]| (self.codec.decode_page)(body, max_object_bytes(purpose));
        let page = decode_body(decode, &body)?;
        log_oversized(purpose, kind, page.oversized);
        Ok(page)
    }

    /// Lists all objects of a kind after the name `after`, and the revision to watch from.
    ///
    /// # Errors
    /// If the store did not answer, or not with a page; [`Error::Malformed`] if the list has no end.
    pub async fn list(
        &self,
        purpose: Purpose,
        kind: &str,
        after: Option<&str>,
    ) -> Result<(Vec<Object>, u64), Error> {
        let mut listing = Listing::default();
        let mut cursor = after.map(CompactString::from);
        loop {
            let consistency = Consistency::Linearizable;
            let page = self.list_page(purpose, kind, cursor.as_deref(), consistency);
            cursor = listing.add(page.await?).map_err(|fault| {
                log::error!(kind, fault:% = fault; "object store: list given up");
                Error::Malformed(fault.to_string())
            })?;
            if cursor.is_none() {
                return Ok(listing.into_parts());
            }
        }
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
        let decode = |body: &[u8]| (self.codec.decode_changes)(body, max_object_bytes(purpose));
        let answer = decode_body(decode, &body)?;
        log_oversized(purpose, kind, answer.oversized);
        Ok(answer)
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

    /// Deletes an object whose current revision is `revision`; succeeds if it does not exist.
    ///
    /// # Errors
    /// [`Error::Conflict`] if the object has another revision.
    pub async fn delete_at(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<(), Error> {
        let call = (self.codec.delete_at)(kind, name, revision);
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
        request: Request,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        let call = Call {
            purpose,
            access,
            request,
            wait,
            hops: 0,
        };
        let may_be_relayed = !self.is_direct && purpose.may_be_relayed();
        let (status, body) = self.send(may_be_relayed, call).await?;
        check_status(status).map(|()| body)
    }

    /// Sends a call on the way that is open, and records the health that it shows. A call that failed
    /// on the own connection without any effect is repeated through the parent at once.
    async fn send(&self, may_be_relayed: bool, call: Call) -> Result<(StatusCode, Bytes), Error> {
        let health = &self.health;
        let started_at = Instant::now();
        let kind = StoreCallKind {
            may_be_relayed,
            is_urgent: call.purpose.is_urgent(call.access),
            hops: call.hops,
        };
        let route = || store_route(health.own_connection(), health.parent(), kind);
        let answer = match (route(), &health.parent_calls) {
            (StoreRoute::Refused, _) => {
                return Err(Error::NotSent("the object store is unreachable".into()));
            }
            (StoreRoute::Parent, Some(parent)) => parent.call(call).await,
            (StoreRoute::Parent, None) | (StoreRoute::Direct, _) => {
                let direct = self.send_directly(may_be_relayed, &call).await;
                health.record_direct(started_at, &direct);
                match &health.parent_calls {
                    Some(parent) if may_be_repeated(&direct) && route() == StoreRoute::Parent => {
                        match parent.call(call).await {
                            Err(Error::NotSent(_)) => direct,
                            relayed => relayed,
                        }
                    }
                    _ => direct,
                }
            }
        };
        if matches!(answer, Err(Error::Invalid(_))) {
            return answer;
        }
        if is_answered(&answer) {
            health.on_answer();
        } else if may_be_relayed || !health.parent_accepts_calls() {
            health.either.on_failure(started_at);
        }
        answer
    }

    /// Sends a call over the own connection; a call about a lease that may be repeated through the
    /// parent is given up sooner than others.
    async fn send_directly(
        &self,
        may_be_relayed: bool,
        call: &Call,
    ) -> Result<(StatusCode, Bytes), Error> {
        let (client, request) = (&self.client, call.request.clone());
        let exchange = client.exchange(call.purpose, call.access, request, call.wait);
        let is_short = call.purpose == Purpose::Leases && may_be_relayed && call.wait.is_zero();
        if !is_short || !self.health.parent_accepts_calls() {
            return exchange.await;
        }
        let lost = "timeout while the parent takes calls";
        let answer = timeout(LEASE_CALL_TIMEOUT, exchange).await;
        answer.unwrap_or_else(|_| Err(Error::Unknown(lost.into())))
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

fn decode_body<T>(
    decode: impl FnOnce(&[u8]) -> Result<T, DecodeError>,
    body: &[u8],
) -> Result<T, Error> {
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
