//! HTTP frontend for callers: authenticates requests, matches routes, and passes live requests to
//! the proxy and trainers' calls to the lots.

use super::{
    config::Config,
    endpoints::Endpoints,
    lots::{Reply, TrainerApi},
    metrics::Metrics,
    proxy::{Outcome, Proxy, ProxyRequest},
    shutdown::Shutdown,
    stall::StallDetector,
    store::Store,
};
use crate::{
    http::{self, Request, Response},
    memory::Memory,
};
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

/// Maximum time to answer a trainer's call about a lot, which has no route. Other requests are limited
/// by the timeout of their route. A caller's earlier deadline applies in both cases.
const LOT_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time by which the final answer is sent before the caller's deadline or the route's timeout, so
/// that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// Maximum time to read a request body, within the time until its deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Copies of a lot, besides its body, that are made to store it: the object, the call to the store, and the
/// write buffer of that call.
const LOT_COPIES: usize = 3;
/// Maximum wait of a request for the configuration and the endpoint list if this instance has not
/// read them yet. Both are read 0.02 s after the start with 0.25 cores, and 0.15 s after the store
/// returns from an outage. Callers that are refused meanwhile retry much later.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a waiting request checks whether they have been read.
const INITIAL_STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after which a caller should retry while no configuration is known, or may not be current;
/// it is read within a second.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves callers' requests.
pub struct Frontend {
    /// Translates between the platform's protocol and the types of this process.
    pub adapter: Adapter,
    /// Detects that this process was paused, so that its state may be outdated.
    pub stall: Rc<StallDetector>,
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Forwards live requests.
    pub proxy: Rc<Proxy>,
    /// Handles trainers' calls.
    pub trainer_api: TrainerApi,
    /// Memory of connections and bodies.
    pub memory: Memory,
    /// Graceful shutdown.
    pub shutdown: Rc<Shutdown>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Answers one request. It counts as in flight until the last byte of its answer has been sent.
pub async fn serve(frontend: Rc<Frontend>, request: Request) -> Response {
    let guard = frontend.shutdown.track_request();
    let mut answer = frontend.answer(request).await;
    if frontend.shutdown.is_initiated() {
        // Makes the caller open its next connection to another instance.
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    http::attach_guard(answer, guard)
}

impl Frontend {
    /// Answers a request before the process exits.
    async fn answer(&self, request: Request) -> Response {
        let metadata = (self.adapter.headers.decode_request)(request.headers());
        tokio::select! {
            biased;
            answer = self.answer_unbounded(request, &metadata) => answer,
            () = self.shutdown.wait_until_last_answer() => {
                self.metrics.count(&self.metrics.refusals, &["exit"]);
                log::warn!(id = metadata.id.as_str(); "request aborted: the process exits");
                http::empty(StatusCode::BAD_GATEWAY)
            }
        }
    }

    async fn answer_unbounded(
        &self,
        mut request: Request,
        metadata: &headers::RequestHeaders,
    ) -> Response {
        let received_at = Instant::now();
        let path = request.path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let host = request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = CompactString::from(host);
        self.stall.wait_for_catch_up().await;
        let Some(table) = self.wait_for_table().await else {
            self.metrics
                .count(&self.metrics.refusals, &["no configuration"]);
            log::warn!(id = metadata.id.as_str(); "refused: no configuration is known yet");
            return not_run(StatusCode::SERVICE_UNAVAILABLE, UNCONFIGURED_RETRY_AFTER);
        };
        match (self.adapter.lot.decode_request)(request.method(), &path, &query) {
            lot::Request::Other => {}
            call => {
                let caller = match self.authenticate_caller(&table, metadata, false) {
                    Ok(caller) => caller,
                    Err(refusal) => return refusal,
                };
                let deadline = deadline(metadata, LOT_CALL_TIMEOUT, received_at);
                return match self.refuse_before_exit(metadata, deadline) {
                    Some(refusal) => refusal,
                    None => self.lot_call(call, &caller, metadata, deadline).await,
                };
            }
        }
        let Some(route) = table.route_for(&host, &path).cloned() else {
            return self.refuse_unknown_route(&table, metadata, &host, &path);
        };
        let caller = match self.authenticate_caller(&table, metadata, route.public) {
            Ok(caller) => caller,
            Err(refusal) => return refusal,
        };
        let deadline = deadline(metadata, route.timeout, received_at);
        let max = table.document().limits.max_body_bytes;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let timeout = BODY_TIMEOUT.min(time_left);
        let body = match http::read_body(&mut request, max, timeout).await {
            Ok(body) => body,
            Err(error) => {
                self.metrics.count(&self.metrics.refusals, &["body"]);
                return refuse_body(metadata, &error);
            }
        };
        // Only now: closing a connection with unread bytes may reset it before the caller has the answer.
        if let Some(refusal) = self.refuse_before_exit(metadata, deadline) {
            return refusal;
        }
        if route.kind == RouteKind::Lot && request.method() == Method::POST {
            let Ok(_copies) = self.memory.reserve(LOT_COPIES * body.len()) else {
                self.metrics.count(&self.metrics.refusals, &["body"]);
                return refuse_body(metadata, &http::Error::NoMemory);
            };
            let reply = self
                .trainer_api
                .submit(&caller, &metadata.id, &host, &path, &body, deadline)
                .await;
            return self.respond("submit", reply);
        }
        self.proxy_request(request, &table, (route, caller), metadata, body, deadline)
            .await
    }

    /// Returns the refusal of a new request that may take until `deadline` if the process may exit before.
    /// Any other instance can serve it at once.
    fn refuse_before_exit(
        &self,
        metadata: &headers::RequestHeaders,
        deadline: Instant,
    ) -> Option<Response> {
        if !self.shutdown.rejects(deadline) {
            return None;
        }
        self.metrics.count(&self.metrics.refusals, &["stopping"]);
        let time_left = deadline.saturating_duration_since(Instant::now());
        log::info!(
            id = metadata.id.as_str(),
            time_left_ms = time_left.as_millis() as u64;
            "refused: the process may exit before the answer"
        );
        Some(not_run(StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO))
    }

    /// Returns the answer to a request that matches no route. While this instance may miss changes of the
    /// configuration, the route may have been added: the caller is then asked to retry, which may reach an
    /// instance that knows it.
    fn refuse_unknown_route(
        &self,
        table: &RoutingTable,
        metadata: &headers::RequestHeaders,
        host: &str,
        path: &str,
    ) -> Response {
        let is_current = self.config.is_current();
        self.metrics.count(&self.metrics.refusals, &["no route"]);
        log::info!(
            id = metadata.id.as_str(),
            host,
            path,
            config = table.number(),
            config_age_ms = self.config.age().unwrap_or_default().as_millis() as u64,
            data_age_ms:serde = self.config.data_age().map(|age| age.as_millis() as u64),
            is_current;
            "refused: no such route"
        );
        match is_current {
            true => http::empty(StatusCode::NOT_FOUND),
            false => not_run(StatusCode::SERVICE_UNAVAILABLE, UNCONFIGURED_RETRY_AFTER),
        }
    }

    /// Returns the caller that a request is made for, or the answer that refuses it.
    ///
    /// While this instance may miss changes of the configuration, a key that it does not know may
    /// be new: the caller is then asked to retry, which may reach an instance that knows the key.
    fn authenticate_caller(
        &self,
        table: &RoutingTable,
        metadata: &headers::RequestHeaders,
        public: bool,
    ) -> Result<Caller, Response> {
        let error = match table.authenticate(metadata.key_digest.as_ref(), public) {
            Ok(caller) => return Ok(caller),
            Err(error) => error,
        };
        let is_current = self.config.is_current();
        let is_certain = is_current || error == AccessError::MissingKey;
        self.metrics.count(&self.metrics.refusals, &["no access"]);
        log::info!(
            id = metadata.id.as_str(),
            why:% = error,
            config = table.number(),
            config_age_ms = self.config.age().unwrap_or_default().as_millis() as u64,
            is_current;
            "refused: no access"
        );
        Err(match is_certain {
            true => http::empty(StatusCode::UNAUTHORIZED),
            false => not_run(StatusCode::SERVICE_UNAVAILABLE, UNCONFIGURED_RETRY_AFTER),
        })
    }

    /// Returns the active routing table once it and the endpoint list have been read; after
    /// [`INITIAL_STATE_TIMEOUT`], or immediately during a store outage, the newest known table.
    async fn wait_for_table(&self) -> Option<Rc<RoutingTable>> {
        let end = Instant::now() + INITIAL_STATE_TIMEOUT;
        loop {
            let table = self.config.table();
            let is_loaded = table.is_some() && self.endpoints.is_loaded();
            if is_loaded || self.store.unreachable_since().is_some() || Instant::now() >= end {
                return table;
            }
            sleep(INITIAL_STATE_POLL_INTERVAL).await;
        }
    }

    /// Forwards a live request and turns its outcome into a response.
    async fn proxy_request(
        &self,
        request: Request,
        table: &RoutingTable,
        (route, caller): (Route, Caller),
        metadata: &headers::RequestHeaders,
        body: Bytes,
        deadline: Instant,
    ) -> Response {
        let target = request.uri().path_and_query();
        let target = target.map_or("/", |target| target.as_str()).into();
        let proxy_request = ProxyRequest {
            id: metadata.id.clone(),
            config_number: table.number(),
            config_age: self.config.age().unwrap_or_default(),
            deadline,
            priority_level: Some(table.priority_level(&route, &caller)),
            route,
            workspace: caller.workspace().map(Into::into),
            caller,
            method: request.method().clone(),
            target,
            headers: request.headers().clone(),
            body,
            prompt: metadata.prompt_id.clone(),
            load_observer: None,
            cached_identity: OnceCell::new(),
            is_owed: false,
        };
        match self.proxy.run(proxy_request).await {
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
            Outcome::Unknown {
                timed_out: true, ..
            } => http::empty(StatusCode::GATEWAY_TIMEOUT),
            Outcome::Unknown {
                timed_out: false, ..
            } => http::empty(StatusCode::BAD_GATEWAY),
        }
    }

    /// Answers a trainer's call about a lot that was submitted before.
    async fn lot_call(
        &self,
        call: lot::Request,
        caller: &Caller,
        metadata: &headers::RequestHeaders,
        deadline: Instant,
    ) -> Response {
        let wait = metadata.long_poll_wait.unwrap_or_default();
        let wait = wait.min(self.adapter.lot.max_long_poll_wait);
        let (name, reply) = match call {
            lot::Request::ReadResults { lot, offset: from } => (
                "read",
                self.trainer_api.read(caller, &lot, from, wait).await,
            ),
            lot::Request::ReadItemBody { lot, item } => {
                ("body", self.trainer_api.body(caller, &lot, &item).await)
            }
            lot::Request::EndLot { lot } => {
                ("end", self.trainer_api.end(caller, &lot, deadline).await)
            }
            lot::Request::Other => ("other", Reply::NotFound),
        };
        self.respond(name, reply)
    }

    /// Turns the reply to a trainer's call into a response, which counts in the memory until it is sent.
    fn respond(&self, call: &str, reply: Reply) -> Response {
        let length = reply.body_length();
        let room = self.memory.reserve(length);
        let reply = match room {
            Ok(_) => reply,
            Err(_) => Reply::NotDone(http::NO_MEMORY_RETRY_AFTER),
        };
        let family = &self.metrics.trainer_calls;
        self.metrics.count(family, &[call, reply.as_str()]);
        http::attach_guard(respond(reply), room.ok())
    }
}

/// Time by which a request is answered, even without an outcome.
fn deadline(
    metadata: &headers::RequestHeaders,
    timeout: Duration,
    received_at: Instant,
) -> Instant {
    let remaining = metadata
        .timeout
        .map_or(timeout, |remaining| remaining.min(timeout));
    received_at + remaining.saturating_sub(ANSWER_MARGIN)
}

fn refuse_body(metadata: &headers::RequestHeaders, error: &http::Error) -> Response {
    log::info!(id = metadata.id.as_str(), error:% = error; "refused: body");
    http::empty(match error {
        http::Error::NoMemory => {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, http::NO_MEMORY_RETRY_AFTER);
        }
        http::Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        http::Error::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
        http::Error::Read(_) | http::Error::Json(_) => StatusCode::BAD_REQUEST,
    })
}

/// Response to a request that did not run, with a `Retry-After` in seconds to three decimals.
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
        Reply::Malformed(reason) => http::text(StatusCode::BAD_REQUEST, reason.as_str()),
        Reply::NotDone(retry_after) => not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after),
        Reply::Unknown => http::empty(StatusCode::GATEWAY_TIMEOUT),
    }
}
