//! One attempt of a request at one endpoint, and the evidence of how it ended.

use super::{Answer, Call, Picked, Relay, head::end_to_end, report::report_break};
use crate::{
    hosted::{crashes::Occupied, endpoints::Endpoints},
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

/// One attempt that ended.
pub(super) struct Tried {
    pub(super) picked: Picked,
    /// Whether it was the last chance of its request.
    pub(super) alone: bool,
    pub(super) took: Duration,
    pub(super) ended: Result<Answer, Failure>,
}

impl Relay {
    /// One attempt at an endpoint, which a request in doubt has `occupied`; `alone` if it is its last chance.
    pub(super) fn attempt(
        self: &Rc<Self>,
        call: &Rc<Call>,
        picked: Picked,
        occupied: Option<Occupied>,
        alone: bool,
    ) -> LocalBoxFuture<'static, Tried> {
        let (relay, call) = (Rc::clone(self), Rc::clone(call));
        Box::pin(async move {
            let began = Instant::now();
            let guard = Running::enter(&relay.parts.endpoints, picked.key, began);
            let wait = call.give_up.saturating_duration_since(began);
            let exchange = relay.exchange(&call, &picked, wait);
            let ended = timeout(wait, exchange).await;
            let ended = ended.unwrap_or(Err(Failure::Lost));
            guard.disarm();
            drop(occupied);
            Tried {
                picked,
                alone,
                took: began.elapsed(),
                ended,
            }
        })
    }

    async fn exchange(
        &self,
        call: &Call,
        picked: &Picked,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let head = self.head(call, picked, wait);
        let began = Instant::now();
        let repeatable = call.route.kind == RouteKind::Idempotent;
        let mut reuse = repeatable;
        let mut broke = false;
        loop {
            let exchange = PooledRequest {
                address: picked.address,
                head: head(),
                body: call.body.clone(),
                reuse,
            };
            match self.parts.pool.send(exchange).await {
                Ok(response) => {
                    let judged = self.judge(call, picked, response).await;
                    return match judged {
                        Err(Failure::Lost) => Err(self.after_break(picked).await),
                        judged => judged,
                    };
                }
                // The endpoint closed an idle connection: one more try there, on a fresh one.
                Err(Error::Stale(why)) => {
                    report_break(call, picked, began, &why);
                    (reuse, broke) = (false, true);
                }
                // What the first connection carried may have run: a refused second one said "not run" of an
                // endpoint that had run it for 88 ms and crashed.
                Err(Error::NotOpened(_)) if broke => return Err(self.after_break(picked).await),
                Err(Error::NotOpened(_)) => return Err(Failure::NotOpened),
                Err(Error::Lost(why)) => {
                    report_break(call, picked, began, &why);
                    return Err(self.after_break(picked).await);
                }
            }
        }
    }

    /// What it means that a connection broke under a request: an endpoint that listens has not crashed.
    async fn after_break(&self, picked: &Picked) -> Failure {
        match self.parts.pool.is_gone(picked.address).await {
            true => Failure::Crashed,
            false => Failure::Lost,
        }
    }

    /// What makes the head of each send of one attempt.
    fn head<'a>(
        &'a self,
        call: &'a Call,
        picked: &'a Picked,
        wait: Duration,
    ) -> impl Fn() -> RequestHead + 'a {
        let began = Instant::now();
        move || {
            let mut head = RequestHead::default();
            head.method = call.method.clone();
            head.uri = call.target.parse::<Uri>().unwrap_or_default();
            head.headers = end_to_end(&call.headers);
            let attempt = AttemptHeaders {
                request_id: &call.id,
                endpoint_id: &picked.id,
                timeout: Some(wait.saturating_sub(began.elapsed())),
                last_event_id: None,
                caller: &call.caller,
            };
            (self.parts.adapter.headers.encode_attempt)(&mut head.headers, attempt);
            head
        }
    }

    async fn judge(
        &self,
        call: &Call,
        picked: &Picked,
        response: Response,
    ) -> Result<Answer, Failure> {
        let said = (self.parts.adapter.headers.decode_response)(response.status, &response.headers);
        if let Some(load) = said.load {
            self.parts.endpoints.reported(picked.key, load);
        }
        let foreign = said.id.as_ref().is_some_and(|id| *id != call.id);
        if foreign || said.content_encoded {
            return Err(Failure::InvalidAnswer);
        }
        if said.not_executed {
            // Read to its end, so that the connection can be used again.
            let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
            let _ = response.body.read_all().await;
            return Err(if misdirected {
                Failure::OtherEndpoint
            } else {
                Failure::Refused
            });
        }
        let signed = said.signature.is_some() && said.id.is_some();
        if response.status.is_success() && !signed {
            return Err(Failure::InvalidAnswer);
        }
        let (status, headers) = (response.status, end_to_end(&response.headers));
        let body = response.body.read_all().await.map_err(|_| Failure::Lost)?;
        Ok(Answer {
            status,
            headers,
            body,
            signature: said.signature,
        })
    }
}

/// Counts an attempt at its endpoint; one that is dropped counts as cancelled.
struct Running {
    endpoints: Rc<Endpoints>,
    key: Option<Key>,
    began: Instant,
}

impl Running {
    fn enter(endpoints: &Rc<Endpoints>, key: Key, began: Instant) -> Self {
        endpoints.started(key);
        Self {
            endpoints: Rc::clone(endpoints),
            key: Some(key),
            began,
        }
    }

    fn disarm(mut self) {
        self.key = None;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            let took = self.began.elapsed();
            self.endpoints.finished(key, took, AttemptEnd::Cancelled);
        }
    }
}
