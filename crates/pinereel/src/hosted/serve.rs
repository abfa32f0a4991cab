//! The callers' listener: trainers' calls and live requests.

use super::{
    config::Config,
    endpoints::Endpoints,
    lots::{Reply, TrainerApi},
    metrics::Metrics,
    relay::{Call, Outcome, Relay},
    stall::StallDetector,
    stop::Stop,
    store::Store,
};
use crate::http::{self, Request, Response};
use actix_http::{
    ConnectionType, HttpMessage as _, Method, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::routing_table::{AccessError, RoutingTable};
use pinereel_port::{
    Adapter,
    config::{Route, RouteKind},
    headers::{self, Caller},
    lot,
};
use std::{cell::OnceCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// A request whose head says nothing of its deadline gets the route's timeout, and a call for which
/// there is no route so long.
const USUAL_TIMEOUT: Duration = Duration::from_secs(5);
/// A final answer leaves so long before the caller's deadline or the route's timeout, to be there
/// in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// Longest wait for the rest of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// A request that comes while this instance has not read the configuration and the endpoint list yet
/// waits for them so long. Both are there 0.02 s after the start (0.25 cores), and 0.15 s after the
/// return of a store that was away; callers that were refused in between came back late.
const FIRST_NEWS: Duration = Duration::from_millis(300);
/// Pause between two looks for that news.
const LOOK: Duration = Duration::from_millis(10);
/// When a caller should come back while no configuration is known: it is read within a second.
const NOT_CONFIGURED: Duration = Duration::from_millis(500);

/// What callers' requests are served with.
pub struct Front {
    /// Translates.
    pub adapter: Adapter,
    /// Whether what is known may be old.
    pub stall: Rc<StallDetector>,
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Live requests.
    pub relay: Rc<Relay>,
    /// Trainers' calls.
    pub desk: TrainerApi,
    /// The graceful stop.
    pub stop: Rc<Stop>,
    /// Figures.
    pub metrics: Metrics,
}

/// Answers one request, which is in flight until the last byte of its answer has been sent.
pub async fn serve(front: Rc<Front>, request: Request) -> Response {
    let guard = front.stop.enter();
    let mut answer = front.answer(request).await;
    if front.stop.asked() {
        // The caller opens its next connection elsewhere.
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    http::attach_guard(answer, guard)
}

impl Front {
    async fn answer(&self, mut request: Request) -> Response {
        let arrived = Instant::now();
        let said = (self.adapter.headers.decode_request)(request.headers());
        let path = request.path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let host = request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = CompactString::from(host);
        self.stall.wait_for_catch_up().await;
        let Some(table) = self.first_table().await else {
            self.metrics
                .count(&self.metrics.refused, &["no configuration"]);
            log::warn!(id = said.id.as_str(); "refused: no configuration is known yet");
            return not_run(StatusCode::SERVICE_UNAVAILABLE, NOT_CONFIGURED);
        };
        match (self.adapter.lot.decode_request)(request.method(), &path, &query) {
            lot::Request::Other => {}
            call => {
                return match self.admit(&table, &said, false) {
                    Ok(caller) => self.lot_call(call, &caller, &said, arrived).await,
                    Err(refusal) => refusal,
                };
            }
        }
        let Some(route) = table.route_for(&host, &path).cloned() else {
            self.metrics.count(&self.metrics.refused, &["no route"]);
            log::info!(
                id = said.id.as_str(),
                host = host.as_str(),
                path,
                config = table.number();
                "refused: no such route"
            );
            return http::empty(StatusCode::NOT_FOUND);
        };
        let caller = match self.admit(&table, &said, route.public) {
            Ok(caller) => caller,
            Err(refusal) => return refusal,
        };
        let max = table.document().limits.max_body_bytes;
        let body = match http::read_body(&mut request, max, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => {
                self.metrics.count(&self.metrics.refused, &["body"]);
                return refuse_body(&said, &error);
            }
        };
        if route.kind == RouteKind::Lot && request.method() == Method::POST {
            let give_up = give_up(&said, route.timeout, arrived);
            let reply = self
                .desk
                .submit(&caller, &said.id, &host, &path, &body, give_up)
                .await;
            return self.respond("submit", reply);
        }
        self.relay_call(request, &table, (route, caller), &said, body, arrived)
            .await
    }

    /// On whose behalf a request is made, or the answer to one that may not run.
    ///
    /// A key that this instance does not know may be new while it is out of touch with the configuration: then the
    /// caller is asked to come again, to an instance that knows.
    fn admit(
        &self,
        table: &RoutingTable,
        said: &headers::RequestHeaders,
        public: bool,
    ) -> Result<Caller, Response> {
        let refused = match table.authenticate(said.key_digest.as_ref(), public) {
            Ok(caller) => return Ok(caller),
            Err(refused) => refused,
        };
        let is_current = self.config.is_current();
        let sure = is_current || refused == AccessError::MissingKey;
        self.metrics.count(&self.metrics.refused, &["no access"]);
        log::info!(
            id = said.id.as_str(),
            why:% = refused,
            config = table.number(),
            config_age_ms = self.config.age().unwrap_or_default().as_millis() as u64,
            is_current;
            "refused: no access"
        );
        Err(match sure {
            true => http::empty(StatusCode::UNAUTHORIZED),
            false => not_run(StatusCode::SERVICE_UNAVAILABLE, NOT_CONFIGURED),
        })
    }

    /// The configuration in force, once it and the endpoint list are known; none if there is none
    /// soon. Not waited for while the store is away.
    async fn first_table(&self) -> Option<Rc<RoutingTable>> {
        let end = Instant::now() + FIRST_NEWS;
        loop {
            let table = self.config.table();
            let known = table.is_some() && self.endpoints.is_known();
            if known || self.store.unreachable_since().is_some() || Instant::now() >= end {
                return table;
            }
            sleep(LOOK).await;
        }
    }

    async fn relay_call(
        &self,
        request: Request,
        table: &RoutingTable,
        (route, caller): (Route, Caller),
        said: &headers::RequestHeaders,
        body: Bytes,
        arrived: Instant,
    ) -> Response {
        let target = request.uri().path_and_query();
        let target = target.map_or("/", |target| target.as_str()).into();
        let call = Call {
            id: said.id.clone(),
            config: table.number(),
            config_age: self.config.age().unwrap_or_default(),
            give_up: give_up(said, route.timeout, arrived),
            route,
            owner: caller.workspace().map(Into::into),
            caller,
            method: request.method().clone(),
            target,
            headers: request.headers().clone(),
            body,
            prompt: said.prompt_id.clone(),
            known: OnceCell::new(),
        };
        match self.relay.run(call).await {
            Outcome::Answer(answer) => {
                let mut response = Response::new(answer.status).set_body(BoxBody::new(answer.body));
                for (name, value) in answer.headers {
                    response.headers_mut().append(name, value);
                }
                response
            }
            Outcome::NotRun { retry_after, .. } => {
                not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after)
            }
            Outcome::Unknown { late: true, .. } => http::empty(StatusCode::GATEWAY_TIMEOUT),
            Outcome::Unknown { late: false, .. } => http::empty(StatusCode::BAD_GATEWAY),
        }
    }

    async fn lot_call(
        &self,
        call: lot::Request,
        caller: &Caller,
        said: &headers::RequestHeaders,
        arrived: Instant,
    ) -> Response {
        let wait = said.long_poll_wait.unwrap_or_default();
        let wait = wait.min(self.adapter.lot.max_long_poll_wait);
        let (name, reply) = match call {
            lot::Request::ReadResults { lot, offset: from } => {
                ("read", self.desk.read(caller, &lot, from, wait).await)
            }
            lot::Request::ReadItemBody { lot, item } => {
                ("body", self.desk.body(caller, &lot, &item).await)
            }
            lot::Request::EndLot { lot } => {
                let give_up = give_up(said, USUAL_TIMEOUT, arrived);
                ("end", self.desk.end(caller, &lot, give_up).await)
            }
            lot::Request::Other => ("other", Reply::NotFound),
        };
        self.respond(name, reply)
    }

    fn respond(&self, call: &str, reply: Reply) -> Response {
        let family = &self.metrics.trainer_calls;
        self.metrics.count(family, &[call, reply.as_str()]);
        respond(reply)
    }
}

/// When a request is answered in any case.
fn give_up(said: &headers::RequestHeaders, timeout: Duration, arrived: Instant) -> Instant {
    let left = said.timeout.map_or(timeout, |left| left.min(timeout));
    arrived + left.saturating_sub(ANSWER_MARGIN)
}

fn refuse_body(said: &headers::RequestHeaders, error: &http::Error) -> Response {
    log::info!(id = said.id.as_str(), error:% = error; "refused: body");
    http::empty(match error {
        http::Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        http::Error::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
        http::Error::Read(_) | http::Error::Json(_) => StatusCode::BAD_REQUEST,
    })
}

/// A refusal of something that did not run, with when to come back.
fn not_run(status: StatusCode, retry_after: Duration) -> Response {
    let mut response = http::empty(status);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn respond(reply: Reply) -> Response {
    match reply {
        Reply::Accepted => http::empty(StatusCode::ACCEPTED),
        Reply::Ended => http::empty(StatusCode::OK),
        Reply::Results(bytes) => {
            let mut response = Response::new(StatusCode::OK).set_body(BoxBody::new(bytes));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Reply::Body(bytes) => Response::new(StatusCode::OK).set_body(BoxBody::new(bytes)),
        Reply::NotFound => http::empty(StatusCode::NOT_FOUND),
        Reply::Malformed(why) => http::text(StatusCode::BAD_REQUEST, why.as_str()),
        Reply::NotDone(retry_after) => not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after),
        Reply::Unknown => http::empty(StatusCode::GATEWAY_TIMEOUT),
    }
}
