//! One attempt: sends a request to one endpoint and classifies how the attempt ended.

use super::{
    Answer, Proxy, ProxyRequest, SelectedEndpoint, headers::end_to_end,
    request_log::log_connection_loss,
};
use crate::{
    hosted::{crashes::Occupancy, endpoints::Endpoints},
    upstream::pool::{Error, PooledRequest, Response},
};
use actix_http::{RequestHead, StatusCode, Uri};
use futures_util::future::LocalBoxFuture;
use pinereel_core::{
    endpoint::{AttemptEnd, Key},
    retry::Failure,
};
use pinereel_port::{config::RouteKind, headers::AttemptHeaders};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, timeout};

/// How one attempt ended.
pub(super) struct AttemptResult {
    pub(super) selected: SelectedEndpoint,
    /// Whether the request ran in isolation: at an endpoint where no other request may start.
    pub(super) isolated: bool,
    pub(super) duration: Duration,
    pub(super) result: Result<Answer, Failure>,
    /// Counts the attempt at its endpoint until its end is recorded.
    pub(super) in_flight: InFlight,
}

impl Proxy {
    /// Runs one attempt at the selected endpoint, until the request's deadline at most.
    ///
    /// `occupancy` is set for a suspected request and released when the attempt ends; `isolated` if
    /// the request runs in isolation. Dropping the future cancels the attempt.
    pub(super) fn run_attempt(
        self: &Rc<Self>,
        request: &Rc<ProxyRequest>,
        selected: SelectedEndpoint,
        occupancy: Option<Occupancy>,
        isolated: bool,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        let (proxy, request) = (Rc::clone(self), Rc::clone(request));
        Box::pin(async move {
            let started = Instant::now();
            let in_flight = InFlight::new(&proxy.deps.endpoints, selected.key, started);
            let wait = request.deadline.saturating_duration_since(started);
            let exchange = proxy.exchange(&request, &selected, wait);
            let result = timeout(wait, exchange).await;
            let result = result.unwrap_or(Err(Failure::Lost));
            drop(occupancy);
            AttemptResult {
                selected,
                isolated,
                duration: started.elapsed(),
                result,
                in_flight,
            }
        })
    }

    /// Sends the request and classifies the response. A repeatable request may reuse an idle
    /// connection; if that connection turns out to be closed, the request is sent once more over a
    /// fresh one.
    async fn exchange(
        &self,
        request: &ProxyRequest,
        selected: &SelectedEndpoint,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let head = self.head_builder(request, selected, wait);
        let started = Instant::now();
        let repeatable = request.route.kind == RouteKind::Idempotent;
        let mut reuse = repeatable;
        let mut resent = false;
        loop {
            let pooled_request = PooledRequest {
                address: selected.address,
                id: Some(request.id.clone()).filter(|id| !id.is_empty()),
                reads_state: false,
                head: head(),
                body: request.body.clone(),
                reuse,
            };
            match self.deps.pool.send(pooled_request).await {
                Ok(response) => {
                    let classified = self.classify_response(request, selected, response).await;
                    return match classified {
                        Err(Failure::Lost) => Err(self.loss_cause(selected).await),
                        classified => classified,
                    };
                }
                // The endpoint closed the idle connection: send the request again over a fresh one.
                Err(Error::Stale(reason)) => {
                    log_connection_loss(request, selected, started, &reason);
                    (reuse, resent) = (false, true);
                }
                // The request may have run over the first connection: an endpoint that had run it
                // for 88 ms and crashed refused the second connection, which looks like "not run".
                Err(Error::NotOpened(_)) if resent => return Err(self.loss_cause(selected).await),
                Err(Error::NotOpened(_)) => return Err(Failure::NotOpened),
                Err(Error::Foreign | Error::Undefined(_)) => return Err(Failure::InvalidAnswer),
                Err(Error::Lost(reason)) => {
                    log_connection_loss(request, selected, started, &reason);
                    return Err(self.loss_cause(selected).await);
                }
            }
        }
    }

    /// Distinguishes a crash of the endpoint from a lost connection: an endpoint that still accepts
    /// connections has not crashed.
    async fn loss_cause(&self, selected: &SelectedEndpoint) -> Failure {
        match self.deps.pool.has_no_listener(selected.address).await {
            true => Failure::Crashed,
            false => Failure::Lost,
        }
    }

    /// Returns a closure that builds the request head for each send of one attempt, with the time
    /// that remains at that send.
    fn head_builder<'a>(
        &'a self,
        request: &'a ProxyRequest,
        selected: &'a SelectedEndpoint,
        wait: Duration,
    ) -> impl Fn() -> RequestHead + 'a {
        let started = Instant::now();
        move || {
            let mut head = RequestHead::default();
            head.method = request.method.clone();
            head.uri = request.target.parse::<Uri>().unwrap_or_default();
            head.headers = end_to_end(&request.headers);
            let attempt = AttemptHeaders {
                request_id: &request.id,
                endpoint_id: &selected.id,
                timeout: Some(wait.saturating_sub(started.elapsed())),
                last_event_id: None,
                caller: &request.caller,
            };
            (self.deps.adapter.headers.encode_attempt)(&mut head.headers, attempt);
            head
        }
    }

    /// Reads the response: an answer that may be passed on, or the failure that it stands for. A
    /// successful answer without a signature is invalid.
    async fn classify_response(
        &self,
        request: &ProxyRequest,
        selected: &SelectedEndpoint,
        response: Response,
    ) -> Result<Answer, Failure> {
        let parsed =
            (self.deps.adapter.headers.decode_response)(response.status, &response.headers);
        if let Some(load) = parsed.load {
            self.deps.endpoints.record_load(selected.key, load);
            if let Some(observer) = &request.load_observer {
                (observer.record)(load);
            }
        }
        if parsed.malformed_slowdown {
            (self.deps.endpoints).log_malformed_slowdown(&selected.start);
        }
        if parsed.content_encoded {
            return Err(Failure::InvalidAnswer);
        }
        if parsed.not_executed {
            let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
            response.body.discard().await;
            return Err(if misdirected {
                Failure::OtherEndpoint
            } else {
                Failure::Refused
            });
        }
        let signed = parsed.signature.is_some() && parsed.id.is_some();
        if response.status.is_success() && !signed {
            return Err(Failure::InvalidAnswer);
        }
        let (status, headers) = (response.status, end_to_end(&response.headers));
        let body = response.body.read_all().await.map_err(|_| Failure::Lost)?;
        Ok(Answer {
            status,
            headers,
            body,
            signature: parsed.signature,
        })
    }
}

/// Counts an attempt in flight at its endpoint until dropped; as cancelled, unless [`InFlight::finish`] was
/// called.
pub(super) struct InFlight {
    endpoints: Rc<Endpoints>,
    key: Key,
    started: Instant,
    /// How the attempt ended, and how long it took.
    end: Option<(AttemptEnd, Duration)>,
}

impl InFlight {
    fn new(endpoints: &Rc<Endpoints>, key: Key, started: Instant) -> Self {
        endpoints.record_start(key);
        Self {
            endpoints: Rc::clone(endpoints),
            key,
            started,
            end: None,
        }
    }

    /// Records how the attempt ended after `duration`.
    pub(super) fn finish(mut self, duration: Duration, end: AttemptEnd) {
        self.end = Some((end, duration));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let end = self.end.take();
        let (end, duration) = end.unwrap_or((AttemptEnd::Cancelled, self.started.elapsed()));
        self.endpoints.record_end(self.key, duration, end);
    }
}
