//! Reverse proxy for live requests: forwards each request to an endpoint and returns that
//! endpoint's complete answer.
//!
//! [`Proxy::run`] takes a request through its attempts. [`Attempts`] decides on retries and
//! hedging, [`Endpoints`] balances the load, and [`CrashTracker`] restricts requests under which
//! endpoints have crashed.

mod attempt;
mod headers;
mod request;
mod request_log;
mod suspected;

pub(super) use headers::end_to_end;
pub use request::{Answer, LoadObserver, Outcome, ProxyRequest};

use super::{
    crashes::CrashTracker,
    endpoints::{Endpoints, SelectedEndpoint},
    metrics::Metrics,
    stall::StallDetector,
    usage::{CountedRequest, Meter},
};
use crate::upstream::pool::Pool;
use attempt::AttemptResult;
use futures_util::{StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered};
use pinereel_core::{
    crash::RequestStatus,
    endpoint::{AttemptEnd, Key},
    hash,
    overload::Demand,
    retry::{Attempts, Failure, Limits, Resolution, Step},
    route::Refusal,
    routing_table,
};
use pinereel_port::{
    Adapter,
    config::{Route, RouteKind},
};
use request_log::{
    describe_attempt, log_blocked, log_overload, log_request, refusal_text, status_class,
};
use std::{cell::Cell, rc::Rc, time::Duration};
use suspected::{Selection, blocked_outcome};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time for which hedged attempts may still complete after another attempt has answered, so that
/// their connections can be reused. Endpoints answer quickly; an attempt that runs longer would be
/// work whose result nobody uses.
const UNNEEDED_ATTEMPT_GRACE: Duration = Duration::from_millis(400);

/// Dependencies of a [`Proxy`].
pub struct Dependencies {
    /// Translates between the platform's protocol and the types of this process.
    pub adapter: Adapter,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Connection pool for endpoints.
    pub pool: Rc<Pool>,
    /// Detects that this process was paused, so that its state may be outdated.
    pub stall: Rc<StallDetector>,
    /// Tracks requests under which endpoints crash.
    pub crashes: Rc<CrashTracker>,
    /// Counts the requests that were sent, by workspace.
    pub usage: Rc<Meter>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Forwards requests to endpoints.
pub struct Proxy {
    deps: Dependencies,
    /// Sequence number of the next request. It is part of the seed, so that requests with the same
    /// id are routed independently.
    next_number: Cell<u64>,
}

/// State of a request while it is being forwarded.
struct RequestState<'a> {
    request: Rc<ProxyRequest>,
    service: &'a str,
    seed: u64,
    started: Instant,
    attempts: Attempts<Answer>,
    /// Endpoints of its attempts so far.
    used_endpoints: Vec<Key>,
    in_flight: AttemptsInFlight,
    /// Count of this request in the usage of its workspace, made at the first attempt.
    usage_record: Option<CountedRequest>,
}

impl RequestState<'_> {
    /// Whether the request runs although a verdict says that it crashes endpoints: it is owed, and this is its
    /// only attempt.
    fn may_run_blocked(&self) -> bool {
        let is_first = self.used_endpoints.is_empty();
        self.request.is_owed && (is_first || !self.in_flight.is_empty())
    }
}

type AttemptsInFlight = FuturesUnordered<LocalBoxFuture<'static, AttemptResult>>;

impl Proxy {
    /// Returns a proxy in its initial state.
    pub fn new(deps: Dependencies) -> Rc<Self> {
        Rc::new(Self {
            deps,
            next_number: Cell::new(0),
        })
    }

    /// Forwards `request` and returns its outcome by its deadline. Dropping the future cancels the
    /// attempts in flight.
    pub async fn run(self: &Rc<Self>, request: ProxyRequest) -> Outcome {
        self.run_counted(request).await.0
    }

    /// Like [`Proxy::run`], and also returns how many endpoints answered with status 500, the
    /// returned answer included.
    pub async fn run_counted(self: &Rc<Self>, request: ProxyRequest) -> (Outcome, u32) {
        let started = Instant::now();
        let seed = self.next_seed(&request);
        let request = Rc::new(request);
        let list_age = self.deps.endpoints.age().unwrap_or_default();
        let mut crash_changes = self.deps.crashes.changes();
        let Some(service) = routing_table::pick_service(&request.route, seed) else {
            let outcome = self.refuse(&request, "", ("no service", RETRY_AFTER), started);
            return (outcome, 0);
        };
        let mut state = RequestState {
            request: Rc::clone(&request),
            service,
            seed,
            started,
            attempts: Attempts::new(retry_limits(&request.route)),
            used_endpoints: Vec::new(),
            in_flight: AttemptsInFlight::new(),
            usage_record: None,
        };
        let mut attempt_log = Vec::new();
        let outcome = loop {
            // Checked before each attempt: a retry after a crash reaches the next endpoint within 1
            // ms, and a hedge reaches a second one at the same time. Without the check one request
            // that was sent repeatedly crashed five endpoints 20 times within 8 s.
            let status = self.deps.crashes.status(|| request.identity());
            match status {
                RequestStatus::Unrestricted => {}
                RequestStatus::Suspected { .. } => state.attempts.disable_hedging(),
                RequestStatus::Blocked { .. } if state.may_run_blocked() => {
                    state.attempts.disable_hedging();
                }
                RequestStatus::Blocked { expires_in, .. } => {
                    self.deps.crashes.count_event("refusal");
                    log_blocked(&request, status);
                    break blocked_outcome(&state.attempts, expires_in);
                }
            }
            match state.attempts.next_step(started.elapsed()) {
                Step::Send => {
                    if let Some(refusal) = self.send_next(&mut state, status).await {
                        return (self.refuse(&request, service, refusal, started), 0);
                    }
                }
                Step::Wait(end) => {
                    let wake =
                        end.map_or(request.deadline, |at| (started + at).min(request.deadline));
                    tokio::select! {
                        Some(attempt) = state.in_flight.next() => {
                            attempt_log.push(describe_attempt(&attempt));
                            match self.record_attempt(&request, attempt) {
                                Ok(answer) if state.attempts.accept(answer.status.as_u16()) => {
                                    break Outcome::Answer(answer);
                                }
                                Ok(answer) => {
                                    state.attempts.keep_error_answer(answer);
                                    let observer = request.load_observer.as_ref();
                                    if observer.is_some_and(|o| (o.has_spare_slots)()) {
                                        state.attempts.retry_in_parallel();
                                    }
                                }
                                Err(failure) => state.attempts.record_failure(failure),
                            }
                        }
                        // The status is checked again, and attempts in flight are cancelled if the
                        // request has been blocked.
                        Ok(()) = crash_changes.changed() => {}
                        () = sleep_until(wake) => {
                            if Instant::now() >= request.deadline {
                                let reason = "time ran out".into();
                                break Outcome::Unknown { reason, timed_out: true };
                            }
                        }
                    }
                }
                Step::Done(Resolution::ErrorAnswer(answer)) => break Outcome::Answer(answer),
                Step::Done(Resolution::NotRun) => {
                    let reason = "refused by every endpoint".into();
                    let retry_after = self.retry_after(service);
                    break Outcome::NotRun {
                        reason,
                        retry_after,
                    };
                }
                Step::Done(Resolution::Unknown) => {
                    let reason = "answer lost".into();
                    break Outcome::Unknown {
                        reason,
                        timed_out: false,
                    };
                }
            }
        };
        if matches!(outcome, Outcome::NotRun { .. })
            && let Some(usage_record) = state.usage_record
        {
            self.deps.usage.retract(usage_record);
        }
        let in_flight = state.in_flight;
        if !in_flight.is_empty() && matches!(outcome, Outcome::Answer(_)) {
            self.drain_unneeded_attempts(&request, in_flight);
        }
        self.count_outcome(service, &outcome, started);
        let metrics = &self.deps.metrics;
        metrics.observe(&metrics.input_ages, "config", request.config_age);
        metrics.observe(&metrics.input_ages, "endpoints", list_age);
        log_request(&request, &outcome, started, list_age, &attempt_log);
        (outcome, state.attempts.internal_errors())
    }

    /// Starts the next attempt. Returns the reason and the retry delay if the request is refused
    /// before its first attempt.
    async fn send_next(
        self: &Rc<Self>,
        state: &mut RequestState<'_>,
        status: RequestStatus,
    ) -> Option<(&'static str, Duration)> {
        self.deps.stall.wait_for_catch_up().await;
        let selection = match status {
            RequestStatus::Suspected { .. } => self.select_for_suspected(state, status).await,
            RequestStatus::Unrestricted | RequestStatus::Blocked { .. } => self.select(state),
        };
        match selection {
            Selection::Endpoint(selected) => {
                let suspected = matches!(status, RequestStatus::Suspected { .. });
                let occupancy = suspected.then(|| self.deps.crashes.occupy(&selected.start));
                if state.used_endpoints.is_empty() {
                    state.usage_record = self.deps.usage.count(&state.request.caller);
                }
                state.used_endpoints.push(selected.key);
                state.attempts.record_send(state.started.elapsed());
                let attempt = self.run_attempt(
                    &state.request,
                    selected,
                    occupancy,
                    status.requires_isolation(),
                );
                state.in_flight.push(attempt);
                None
            }
            Selection::Recheck => None,
            Selection::Unavailable(reason, wait)
                if state.in_flight.is_empty() && state.used_endpoints.is_empty() =>
            {
                Some((reason, wait))
            }
            Selection::Unavailable(..) => {
                state.attempts.stop_sending();
                None
            }
        }
    }

    /// Selects the endpoint for the next attempt of an unrestricted request. An endpoint that is
    /// reserved for an isolated request is used only if no other takes it.
    fn select(&self, state: &RequestState<'_>) -> Selection {
        if let Some(retry_after) = self.check_overload(state) {
            return Selection::Unavailable(OVERLOADED, retry_after);
        }
        let repeatable = state.request.route.kind == RouteKind::Idempotent;
        let choose = |excluded: &[Key]| {
            let endpoints = &self.deps.endpoints;
            endpoints.choose(state.service, excluded, repeatable, state.seed)
        };
        let reserved = self.reserved_endpoints(state.service);
        let unreserved = (!reserved.is_empty())
            .then(|| choose(&[state.used_endpoints.clone(), reserved].concat()).ok())
            .flatten();
        match unreserved.map_or_else(|| choose(&state.used_endpoints), Ok) {
            Ok(selected) => Selection::Endpoint(selected),
            Err(refusal) => {
                let wait = (refusal == Refusal::Full).then(|| self.retry_after(state.service));
                Selection::Unavailable(refusal_text(refusal), wait.unwrap_or(RETRY_AFTER))
            }
        }
    }

    /// Returns the retry delay of a live request that was not sent yet and cannot be answered in time.
    fn check_overload(&self, state: &RequestState<'_>) -> Option<Duration> {
        let RequestState {
            request, service, ..
        } = state;
        let level = request.priority_level?;
        if !state.used_endpoints.is_empty() {
            return None;
        }
        let demand = Demand {
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            objective: request.route.latency_objective,
            level,
        };
        let rejection = self.deps.endpoints.check_overload(service, demand)?;
        log_overload(request, demand, rejection);
        Some(rejection.retry_after)
    }

    /// Delay after which a request that all endpoints refuse should be retried.
    fn retry_after(&self, service: &str) -> Duration {
        let known = self.deps.endpoints.retry_after(service);
        known.unwrap_or(RETRY_AFTER)
    }

    /// Endpoints of a service that are reserved for isolated requests now.
    fn reserved_endpoints(&self, service: &str) -> Vec<Key> {
        let Dependencies {
            crashes, endpoints, ..
        } = &self.deps;
        let starts = || {
            let open = endpoints.open_endpoints(service);
            open.into_iter().map(|(_, start)| start).collect()
        };
        let reserved = crashes.reserved(starts);
        if reserved.is_empty() {
            return Vec::new();
        }
        let open = endpoints.open_endpoints(service).into_iter();
        open.filter(|(_, start)| reserved.contains(start))
            .map(|(key, _)| key)
            .collect()
    }

    fn count_outcome(&self, service: &str, outcome: &Outcome, started: Instant) {
        let label = match outcome {
            Outcome::Answer(answer) if answer.status.is_server_error() => "failure",
            Outcome::Answer(_) => "answer",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown {
                timed_out: true, ..
            } => "late",
            Outcome::Unknown {
                timed_out: false, ..
            } => "unknown",
        };
        let metrics = &self.deps.metrics;
        metrics.count(&metrics.requests, &[service, label]);
        metrics.observe(&metrics.request_seconds, service, started.elapsed());
    }

    fn next_seed(&self, request: &ProxyRequest) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        hash::stable(request.id.as_bytes()) ^ hash::mix(number)
    }

    fn refuse(
        &self,
        request: &ProxyRequest,
        service: &str,
        (reason, retry_after): (&str, Duration),
        started: Instant,
    ) -> Outcome {
        let outcome = Outcome::NotRun {
            reason: reason.into(),
            retry_after,
        };
        let list_age = self.deps.endpoints.age().unwrap_or_default();
        self.deps
            .metrics
            .count(&self.deps.metrics.refusals, &[reason]);
        self.count_outcome(service, &outcome, started);
        log_request(request, &outcome, started, list_age, &[]);
        outcome
    }

    /// Lets attempts that are no longer needed complete for up to [`UNNEEDED_ATTEMPT_GRACE`], and
    /// cancels the rest.
    fn drain_unneeded_attempts(
        self: &Rc<Self>,
        request: &Rc<ProxyRequest>,
        mut in_flight: AttemptsInFlight,
    ) {
        let (proxy, request) = (Rc::clone(self), Rc::clone(request));
        actix_rt::spawn(async move {
            let end = Instant::now() + UNNEEDED_ATTEMPT_GRACE;
            while let Ok(Some(attempt)) = timeout_at(end, in_flight.next()).await {
                // The caller has its answer.
                let _ = proxy.record_attempt(&request, attempt);
            }
        });
    }

    /// Records the result of an attempt: in the metrics, in the state of its endpoint, and in the
    /// crash tracker. Returns the result.
    fn record_attempt(
        &self,
        request: &ProxyRequest,
        attempt: AttemptResult,
    ) -> Result<Answer, Failure> {
        let end = match &attempt.result {
            Ok(answer) if answer.status.is_server_error() => AttemptEnd::Failed,
            Ok(_) => AttemptEnd::Completed,
            Err(Failure::Refused) => AttemptEnd::Overloaded,
            Err(Failure::OtherEndpoint) => AttemptEnd::Leaving,
            Err(Failure::NotOpened) => AttemptEnd::ConnectionRefused,
            Err(Failure::Lost | Failure::Crashed | Failure::InvalidAnswer) => AttemptEnd::Failed,
        };
        let result = match &attempt.result {
            Ok(answer) => status_class(answer.status),
            Err(failure) => failure.as_str(),
        };
        let Dependencies {
            metrics,
            endpoints,
            crashes,
            ..
        } = &self.deps;
        metrics.count(&metrics.attempts, &[result]);
        let selected = &attempt.selected;
        match &attempt.result {
            Ok(answer) if answer.signature.is_some() => {
                crashes.record_answer(
                    || request.identity(),
                    selected.start.clone(),
                    attempt.duration,
                );
            }
            // An endpoint that is leaving or no longer listed may have stopped on its own.
            Err(Failure::Crashed) if endpoints.is_current(&selected.start) => {
                crashes.record_crash(request.identity(), selected.start.clone(), attempt.isolated);
            }
            _ => {}
        }
        attempt.in_flight.finish(attempt.duration, end);
        attempt.result
    }
}

/// Refusal reason of a request that would wait for a slot longer than its caller does.
const OVERLOADED: &str = "no slot is free in time";
/// Delay after which a refused caller should retry if no load reports tell when a slot is free: slots
/// become free after the work of a few requests.
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn retry_limits(route: &Route) -> Limits {
    Limits {
        repeatable: route.kind == RouteKind::Idempotent,
        max_attempts: route.max_attempts,
        objective: route.latency_objective,
    }
}
