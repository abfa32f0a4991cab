//! One request of a caller, brought to an endpoint and answered with that endpoint's whole answer.

mod attempt;
mod headers;
mod request;
mod request_log;
mod suspected;

pub use request::{Answer, Outcome, ProxyRequest};

use super::{
    crashes::CrashTracker,
    endpoints::{Endpoints, SelectedEndpoint},
    metrics::Metrics,
    stall::Stall,
    usage::{Begun, Usage},
};
use crate::upstream::pool::Pool;
use attempt::AttemptResult;
use futures_util::{StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered};
use pinereel_core::{
    crash::RequestStatus,
    endpoint::{AttemptEnd, Key},
    hash,
    retry::{Attempts, Failure, Limits, Resolution, Step},
    routing_table,
};
use pinereel_port::{
    Adapter,
    config::{Kind, Route},
};
use request_log::{describe_attempt, log_blocked, log_request, refusal_text, status_class};
use std::{cell::Cell, rc::Rc, time::Duration};
use suspected::{Selection, blocked_outcome};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Attempts that lost against another one may end by themselves for so long: their connections can
/// be used again. The endpoint's work is short; a longer wait would look like work for nobody.
const LOSER_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// What a proxy works with.
pub struct Parts {
    /// Translates.
    pub adapter: Adapter,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Whether what is known may be old.
    pub stall: Rc<Stall>,
    /// Requests under which endpoints crash.
    pub crashes: Rc<CrashTracker>,
    /// Counts of requests that began to run.
    pub usage: Rc<Usage>,
    /// Figures.
    pub metrics: Metrics,
}

/// Brings requests to endpoints.
pub struct Proxy {
    parts: Parts,
    /// Makes the choices of one process differ from request to request.
    next_number: Cell<u64>,
}

/// A request on its way through its attempts.
struct RequestState<'a> {
    request: Rc<ProxyRequest>,
    service: &'a str,
    seed: u64,
    started_at: Instant,
    attempts: Attempts<Answer>,
    /// Endpoints that it was sent to.
    used_endpoints: Vec<Key>,
    in_flight: AttemptsInFlight,
    /// How it counts for its workspace, once it was sent.
    usage_record: Option<Begun>,
}

type AttemptsInFlight = FuturesUnordered<LocalBoxFuture<'static, AttemptResult>>;

impl Proxy {
    /// A proxy.
    pub fn new(parts: Parts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            next_number: Cell::new(0),
        })
    }

    /// Brings `call` to an endpoint. Dropped, it breaks its attempts off.
    pub async fn run(self: &Rc<Self>, request: ProxyRequest) -> Outcome {
        let started_at = Instant::now();
        let seed = self.next_seed(&request);
        let request = Rc::new(request);
        let list_age = self.parts.endpoints.age().unwrap_or_default();
        let mut crash_changes = self.parts.crashes.changes();
        let Some(service) = routing_table::pick_service(&request.route, seed) else {
            return self.refuse(&request, "", ("no service", RETRY_AFTER), started_at);
        };
        let mut state = RequestState {
            request: Rc::clone(&request),
            service,
            seed,
            started_at,
            attempts: Attempts::new(retry_limits(&request.route)),
            used_endpoints: Vec::new(),
            in_flight: AttemptsInFlight::new(),
            usage_record: None,
        };
        let mut attempt_log = Vec::new();
        let outcome = loop {
            // A request that endpoints crash under went on to the next one within 1 ms, and to a second one
            // beside it: 20 starts of five endpoints ended in 8 s under one that came again.
            let status = self.parts.crashes.status(|| request.identity());
            match status {
                RequestStatus::Unrestricted => {}
                RequestStatus::Suspected { .. } => state.attempts.disable_hedging(),
                RequestStatus::Blocked { forgotten_in, .. } => {
                    self.parts.crashes.count_event("refusal");
                    log_blocked(&request, status);
                    break blocked_outcome(&state.attempts, forgotten_in);
                }
            }
            match state.attempts.next_step(started_at.elapsed()) {
                Step::Send => {
                    if let Some(refusal) = self.send_next(&mut state, status).await {
                        return self.refuse(&request, service, refusal, started_at);
                    }
                }
                Step::Wait(until) => {
                    let wake = until.map_or(request.deadline, |at| {
                        (started_at + at).min(request.deadline)
                    });
                    tokio::select! {
                        Some(attempt) = state.in_flight.next() => {
                            attempt_log.push(describe_attempt(&attempt));
                            self.record_attempt(&request, &attempt);
                            match attempt.result {
                                Ok(answer) if state.attempts.accept(answer.status.as_u16()) => {
                                    break Outcome::Answer(answer);
                                }
                                Ok(answer) => state.attempts.keep_error_answer(answer),
                                Err(failure) => state.attempts.record_failure(failure),
                            }
                        }
                        // What is running is broken off if the request must not run any more.
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
                    let retry_after = RETRY_AFTER;
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
            self.parts.usage.undo(usage_record);
        }
        let in_flight = state.in_flight;
        if !in_flight.is_empty() && matches!(outcome, Outcome::Answer(_)) {
            self.drain_losers(&request, in_flight);
        }
        self.count_outcome(service, &outcome, started_at);
        let metrics = &self.parts.metrics;
        metrics.observe(&metrics.ages, "config", request.config_age);
        metrics.observe(&metrics.ages, "endpoints", list_age);
        log_request(&request, &outcome, started_at, list_age, &attempt_log);
        outcome
    }

    /// Makes the next attempt; gives the reason, and when to come back, if the request is refused unsent.
    async fn send_next(
        self: &Rc<Self>,
        state: &mut RequestState<'_>,
        status: RequestStatus,
    ) -> Option<(&'static str, Duration)> {
        self.parts.stall.caught_up().await;
        let next = match status {
            RequestStatus::Suspected { .. } => self.select_for_suspected(state, status).await,
            RequestStatus::Unrestricted | RequestStatus::Blocked { .. } => {
                self.select_endpoint(state)
            }
        };
        match next {
            Selection::Endpoint(selected) => {
                let suspected = matches!(status, RequestStatus::Suspected { .. });
                let occupancy = suspected.then(|| self.parts.crashes.occupy(&selected.start));
                if state.used_endpoints.is_empty() {
                    state.usage_record = self.parts.usage.begin(&state.request.caller);
                }
                state.used_endpoints.push(selected.key);
                state.attempts.record_send(state.started_at.elapsed());
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

    /// The endpoint of the next attempt of a request that nothing counts against: one that is reserved for a request
    /// with a last chance only if no other takes it.
    fn select_endpoint(&self, state: &RequestState<'_>) -> Selection {
        let repeatable = state.request.route.kind == Kind::Idempotent;
        let choose = |excluded: &[Key]| {
            let endpoints = &self.parts.endpoints;
            endpoints.choose(state.service, excluded, repeatable, state.seed)
        };
        let reserved = self.reserved_endpoints(state.service);
        let unreserved = (!reserved.is_empty())
            .then(|| choose(&[state.used_endpoints.clone(), reserved].concat()).ok())
            .flatten();
        match unreserved.map_or_else(|| choose(&state.used_endpoints), Ok) {
            Ok(selected) => Selection::Endpoint(selected),
            Err(refusal) => Selection::Unavailable(refusal_text(refusal), RETRY_AFTER),
        }
    }

    /// Endpoints of a service where nothing else should begin now.
    fn reserved_endpoints(&self, service: &str) -> Vec<Key> {
        let Parts {
            crashes, endpoints, ..
        } = &self.parts;
        let starts = || {
            let open = endpoints.open(service);
            open.into_iter().map(|(_, start)| start).collect()
        };
        let reserved = crashes.reserved(starts);
        if reserved.is_empty() {
            return Vec::new();
        }
        let open = endpoints.open(service).into_iter();
        open.filter(|(_, start)| reserved.contains(start))
            .map(|(key, _)| key)
            .collect()
    }

    fn count_outcome(&self, service: &str, outcome: &Outcome, started_at: Instant) {
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
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.requests, &[service, label]);
        metrics.observe(&metrics.latency, service, started_at.elapsed());
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
        started_at: Instant,
    ) -> Outcome {
        let outcome = Outcome::NotRun {
            reason: reason.into(),
            retry_after,
        };
        let list_age = self.parts.endpoints.age().unwrap_or_default();
        self.parts
            .metrics
            .count(&self.parts.metrics.refused, &[reason]);
        self.count_outcome(service, &outcome, started_at);
        log_request(request, &outcome, started_at, list_age, &[]);
        outcome
    }

    /// Lets attempts that are not needed any more end by themselves for a moment.
    fn drain_losers(self: &Rc<Self>, request: &Rc<ProxyRequest>, mut in_flight: AttemptsInFlight) {
        let (proxy, request) = (Rc::clone(self), Rc::clone(request));
        actix_rt::spawn(async move {
            let end = Instant::now() + LOSER_GRACE_PERIOD;
            while let Ok(Some(attempt)) = timeout_at(end, in_flight.next()).await {
                proxy.record_attempt(&request, &attempt);
            }
        });
    }

    /// Notes what an attempt says about its endpoint, and about the request.
    fn record_attempt(&self, request: &ProxyRequest, attempt: &AttemptResult) {
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
        let Parts {
            metrics,
            endpoints,
            crashes,
            ..
        } = &self.parts;
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
            // One that was leaving, or is listed no more, ends by itself.
            Err(Failure::Crashed) if endpoints.is_current(&selected.start) => {
                crashes.record_crash(request.identity(), selected.start.clone(), attempt.isolated);
            }
            _ => {}
        }
        endpoints.record_end(selected.key, attempt.duration, end);
    }
}

/// When a refused caller should come back: places free up within a few requests' work.
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn retry_limits(route: &Route) -> Limits {
    Limits {
        repeatable: route.kind == Kind::Idempotent,
        max_attempts: route.max_attempts,
        objective: route.objective,
    }
}
