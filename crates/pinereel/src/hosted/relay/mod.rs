//! One request of a caller, brought to an endpoint and answered with that endpoint's whole answer.

mod attempt;
mod call;
mod doubt;
mod head;
mod report;

pub use call::{Answer, Call, Outcome};

use super::{
    crashes::Crashes,
    endpoints::{Endpoints, Picked},
    metrics::Metrics,
    stall::StallDetector,
    usage::{CountedRequest, Meter},
};
use crate::upstream::pool::Pool;
use attempt::Tried;
use doubt::{Next, convicted};
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
    config::{Route, RouteKind},
};
use report::{refusal_name, report, report_refusal, status_class, trace};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Attempts that lost against another one may end by themselves for so long: their connections can
/// be used again. The endpoint's work is short; a longer wait would look like work for nobody.
const LINGER: Duration = Duration::from_millis(400);

/// What a relay works with.
pub struct Parts {
    /// Translates.
    pub adapter: Adapter,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Whether what is known may be old.
    pub stall: Rc<StallDetector>,
    /// Requests under which endpoints crash.
    pub crashes: Rc<Crashes>,
    /// Counts of requests that began to run.
    pub usage: Rc<Meter>,
    /// Figures.
    pub metrics: Metrics,
}

/// Brings requests to endpoints.
pub struct Relay {
    parts: Parts,
    /// Makes the choices of one process differ from request to request.
    next: Cell<u64>,
}

/// A request on its way through its attempts.
struct Course<'a> {
    call: Rc<Call>,
    service: &'a str,
    seed: u64,
    began: Instant,
    attempts: Attempts<Answer>,
    /// Endpoints that it was sent to.
    used: Vec<Key>,
    running: Attempting,
    /// How it counts for its workspace, once it was sent.
    begun: Option<CountedRequest>,
}

type Attempting = FuturesUnordered<LocalBoxFuture<'static, Tried>>;

impl Relay {
    /// A relay.
    pub fn new(parts: Parts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            next: Cell::new(0),
        })
    }

    /// Brings `call` to an endpoint. Dropped, it breaks its attempts off.
    pub async fn run(self: &Rc<Self>, call: Call) -> Outcome {
        let began = Instant::now();
        let seed = self.seed(&call);
        let call = Rc::new(call);
        let list_age = self.parts.endpoints.age().unwrap_or_default();
        let mut news = self.parts.crashes.changes();
        let Some(service) = routing_table::pick_service(&call.route, seed) else {
            return self.refuse(&call, "", ("no service", RETRY_AFTER), began);
        };
        let mut course = Course {
            call: Rc::clone(&call),
            service,
            seed,
            began,
            attempts: Attempts::new(limits(&call.route)),
            used: Vec::new(),
            running: Attempting::new(),
            begun: None,
        };
        let mut trail = Vec::new();
        let outcome = loop {
            // A request that endpoints crash under went on to the next one within 1 ms, and to a second one
            // beside it: 20 starts of five endpoints ended in 8 s under one that came again.
            let standing = self.parts.crashes.standing(|| call.identity());
            match standing {
                RequestStatus::Unrestricted => {}
                RequestStatus::Suspected { .. } => course.attempts.disable_hedging(),
                RequestStatus::Blocked { forgotten_in, .. } => {
                    self.parts.crashes.count("refusal");
                    report_refusal(&call, standing);
                    break convicted(&course.attempts, forgotten_in);
                }
            }
            match course.attempts.next_step(began.elapsed()) {
                Step::Send => {
                    if let Some(refusal) = self.send(&mut course, standing).await {
                        return self.refuse(&call, service, refusal, began);
                    }
                }
                Step::Wait(until) => {
                    let wake = until.map_or(call.give_up, |at| (began + at).min(call.give_up));
                    tokio::select! {
                        Some(tried) = course.running.next() => {
                            trail.push(trace(&tried));
                            self.note(&call, &tried);
                            match tried.ended {
                                Ok(answer) if course.attempts.accept(answer.status.as_u16()) => {
                                    break Outcome::Answer(answer);
                                }
                                Ok(answer) => course.attempts.keep_error_answer(answer),
                                Err(ended) => course.attempts.record_failure(ended),
                            }
                        }
                        // What is running is broken off if the request must not run any more.
                        Ok(()) = news.changed() => {}
                        () = sleep_until(wake) => {
                            if Instant::now() >= call.give_up {
                                let why = "time ran out".into();
                                break Outcome::Unknown { why, late: true };
                            }
                        }
                    }
                }
                Step::Done(Resolution::ErrorAnswer(answer)) => break Outcome::Answer(answer),
                Step::Done(Resolution::NotRun) => {
                    let why = "refused by every endpoint".into();
                    let retry_after = RETRY_AFTER;
                    break Outcome::NotRun { why, retry_after };
                }
                Step::Done(Resolution::Unknown) => {
                    let why = "answer lost".into();
                    break Outcome::Unknown { why, late: false };
                }
            }
        };
        if matches!(outcome, Outcome::NotRun { .. })
            && let Some(begun) = course.begun
        {
            self.parts.usage.retract(begun);
        }
        let running = course.running;
        if !running.is_empty() && matches!(outcome, Outcome::Answer(_)) {
            self.linger(&call, running);
        }
        self.count(service, &outcome, began);
        let metrics = &self.parts.metrics;
        metrics.observe(&metrics.input_ages, "config", call.config_age);
        metrics.observe(&metrics.input_ages, "endpoints", list_age);
        report(&call, &outcome, began, list_age, &trail);
        outcome
    }

    /// Makes the next attempt; gives the reason, and when to come back, if the request is refused unsent.
    async fn send(
        self: &Rc<Self>,
        course: &mut Course<'_>,
        standing: RequestStatus,
    ) -> Option<(&'static str, Duration)> {
        self.parts.stall.wait_for_catch_up().await;
        let next = match standing {
            RequestStatus::Suspected { .. } => self.in_doubt(course, standing).await,
            RequestStatus::Unrestricted | RequestStatus::Blocked { .. } => self.choose(course),
        };
        match next {
            Next::Send(picked) => {
                let in_doubt = matches!(standing, RequestStatus::Suspected { .. });
                let occupied = in_doubt.then(|| self.parts.crashes.occupy(&picked.start));
                if course.used.is_empty() {
                    course.begun = self.parts.usage.count(&course.call.caller);
                }
                course.used.push(picked.key);
                course.attempts.record_send(course.began.elapsed());
                let attempt = self.attempt(
                    &course.call,
                    picked,
                    occupied,
                    standing.requires_isolation(),
                );
                course.running.push(attempt);
                None
            }
            Next::LookAgain => None,
            Next::Decline(why, wait) if course.running.is_empty() && course.used.is_empty() => {
                Some((why, wait))
            }
            Next::Decline(..) => {
                course.attempts.stop_sending();
                None
            }
        }
    }

    /// The endpoint of the next attempt of a request that nothing counts against: one that is reserved for a request
    /// with a last chance only if no other takes it.
    fn choose(&self, course: &Course<'_>) -> Next {
        let repeatable = course.call.route.kind == RouteKind::Idempotent;
        let choose = |excluded: &[Key]| {
            let endpoints = &self.parts.endpoints;
            endpoints.choose(course.service, excluded, repeatable, course.seed)
        };
        let reserved = self.reserved(course.service);
        let spared = (!reserved.is_empty())
            .then(|| choose(&[course.used.clone(), reserved].concat()).ok())
            .flatten();
        match spared.map_or_else(|| choose(&course.used), Ok) {
            Ok(picked) => Next::Send(picked),
            Err(refusal) => Next::Decline(refusal_name(refusal), RETRY_AFTER),
        }
    }

    /// Endpoints of a service where nothing else should begin now.
    fn reserved(&self, service: &str) -> Vec<Key> {
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

    fn count(&self, service: &str, outcome: &Outcome, began: Instant) {
        let label = match outcome {
            Outcome::Answer(answer) if answer.status.is_server_error() => "failure",
            Outcome::Answer(_) => "answer",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown { late: true, .. } => "late",
            Outcome::Unknown { late: false, .. } => "unknown",
        };
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.requests, &[service, label]);
        metrics.observe(&metrics.request_seconds, service, began.elapsed());
    }

    fn seed(&self, call: &Call) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        hash::stable(call.id.as_bytes()) ^ hash::mix(number)
    }

    fn refuse(
        &self,
        call: &Call,
        service: &str,
        (why, retry_after): (&str, Duration),
        began: Instant,
    ) -> Outcome {
        let outcome = Outcome::NotRun {
            why: why.into(),
            retry_after,
        };
        let list_age = self.parts.endpoints.age().unwrap_or_default();
        self.parts
            .metrics
            .count(&self.parts.metrics.refusals, &[why]);
        self.count(service, &outcome, began);
        report(call, &outcome, began, list_age, &[]);
        outcome
    }

    /// Lets attempts that are not needed any more end by themselves for a moment.
    fn linger(self: &Rc<Self>, call: &Rc<Call>, mut running: Attempting) {
        let (relay, call) = (Rc::clone(self), Rc::clone(call));
        actix_rt::spawn(async move {
            let end = Instant::now() + LINGER;
            while let Ok(Some(tried)) = timeout_at(end, running.next()).await {
                relay.note(&call, &tried);
            }
        });
    }

    /// Notes what an attempt says about its endpoint, and about the request.
    fn note(&self, call: &Call, tried: &Tried) {
        let end = match &tried.ended {
            Ok(answer) if answer.status.is_server_error() => AttemptEnd::Failed,
            Ok(_) => AttemptEnd::Completed,
            Err(Failure::Refused) => AttemptEnd::Overloaded,
            Err(Failure::OtherEndpoint) => AttemptEnd::Leaving,
            Err(Failure::NotOpened) => AttemptEnd::ConnectionRefused,
            Err(Failure::Lost | Failure::Crashed | Failure::InvalidAnswer) => AttemptEnd::Failed,
        };
        let result = match &tried.ended {
            Ok(answer) => status_class(answer.status),
            Err(ended) => ended.as_str(),
        };
        let Parts {
            metrics,
            endpoints,
            crashes,
            ..
        } = &self.parts;
        metrics.count(&metrics.attempts, &[result]);
        let picked = &tried.picked;
        match &tried.ended {
            Ok(answer) if answer.signature.is_some() => {
                crashes.answered(|| call.identity(), picked.start.clone(), tried.took);
            }
            // One that was leaving, or is listed no more, ends by itself.
            Err(Failure::Crashed) if endpoints.is_current(&picked.start) => {
                crashes.crashed(call.identity(), picked.start.clone(), tried.alone);
            }
            _ => {}
        }
        endpoints.finished(picked.key, tried.took, end);
    }
}

/// When a refused caller should come back: places free up within a few requests' work.
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn limits(route: &Route) -> Limits {
    Limits {
        repeatable: route.kind == RouteKind::Idempotent,
        max_attempts: route.max_attempts,
        objective: route.latency_objective,
    }
}
