//! When a request is sent, sent again, waited for or given up.
//!
//! A request that may be repeated is sent to a second endpoint when the first one takes longer than
//! usual: answers get lost, and endpoints turn slow or fall silent without a sign. Services are
//! far from full in ordinary times, so the second send costs little; a worker's answer that came
//! first is the one that counts.

use std::{fmt, time::Duration};

/// Part of the latency objective after which a second endpoint is tried. Most answers take a sixth
/// of it; after half of it there is still time for a whole second attempt.
const HEDGE_FRACTION: f64 = 0.5;
/// Sends that endpoints may refuse unrun before the request is refused: with more, every endpoint
/// is full.
const MAX_REFUSALS: u32 = 4;

/// Bounds of one request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Most endpoints that it may run on.
    pub max_attempts: u32,
    /// The time within which an answer is worth most.
    pub objective: Duration,
}

/// How an attempt ended without an answer that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint did not take it: it did not run there.
    Refused,
    /// Another endpoint has the address now: it did not run there.
    OtherEndpoint,
    /// No connection could be opened: it did not run there.
    NotOpened,
    /// No whole answer came: it may have run.
    Lost,
    /// The endpoint crashed while it was there: it ran.
    Crashed,
    /// What came is not the endpoint's answer to this request: it may have run.
    InvalidAnswer,
}

impl Failure {
    const fn proves_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::OtherEndpoint | Self::NotOpened)
    }
}

impl Failure {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::OtherEndpoint => "other endpoint",
            Self::NotOpened => "not opened",
            Self::Lost => "lost",
            Self::Crashed => "crashed",
            Self::InvalidAnswer => "garbled",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What to do next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step<A> {
    /// Send it to one more endpoint.
    Send,
    /// Wait for an attempt to end, at most until so long after the begin.
    Wait(Option<Duration>),
    /// Nothing is left to do.
    Done(Resolution<A>),
}

/// How a request ends that got no good answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution<A> {
    /// With an endpoint's answer that tells of a failure.
    ErrorAnswer(A),
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The attempts of one request; `A` is an endpoint's answer.
#[derive(Debug)]
pub struct Attempts<A> {
    limits: Limits,
    in_flight: u32,
    /// Sends that endpoints have not taken.
    refusals: u32,
    /// Attempts that may have run and brought no good answer.
    failures: u32,
    /// The last send, after the begin.
    sent_at: Duration,
    /// No further endpoint is to be had.
    exhausted: bool,
    /// It runs at one endpoint at a time.
    hedging_disabled: bool,
    error_answer: Option<A>,
}

impl<A> Attempts<A> {
    /// None yet.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            in_flight: 0,
            refusals: 0,
            failures: 0,
            sent_at: Duration::ZERO,
            exhausted: false,
            hedging_disabled: false,
            error_answer: None,
        }
    }

    /// What to do, so long after the begin.
    pub fn next_step(&mut self, elapsed: Duration) -> Step<A> {
        if self.in_flight == 0 {
            if self.may_send() {
                return Step::Send;
            }
            return Step::Done(self.resolution());
        }
        if !self.limits.repeatable || self.hedging_disabled || !self.may_send() {
            return Step::Wait(None);
        }
        let hedge_at = self.sent_at + self.limits.objective.mul_f64(HEDGE_FRACTION);
        if elapsed >= hedge_at {
            return Step::Send;
        }
        Step::Wait(Some(hedge_at))
    }

    fn may_send(&self) -> bool {
        let started = self.in_flight + self.failures;
        let max_attempts = if self.limits.repeatable {
            self.limits.max_attempts
        } else {
            1
        };
        !self.exhausted && started < max_attempts && self.refusals < MAX_REFUSALS
    }

    fn resolution(&mut self) -> Resolution<A> {
        match self.error_answer.take() {
            Some(answer) => Resolution::ErrorAnswer(answer),
            None if self.failures == 0 => Resolution::NotRun,
            None => Resolution::Unknown,
        }
    }

    /// An attempt was sent, so long after the begin.
    pub const fn record_send(&mut self, elapsed: Duration) {
        self.in_flight += 1;
        self.sent_at = elapsed;
    }

    /// There is no endpoint left to send to.
    pub const fn stop_sending(&mut self) {
        self.exhausted = true;
    }

    /// It runs at one endpoint at a time from now on: endpoints have crashed under it.
    pub const fn disable_hedging(&mut self) {
        self.hedging_disabled = true;
    }

    /// Whether it may have run, or may be running.
    pub const fn may_have_run(&self) -> bool {
        self.in_flight + self.failures > 0
    }

    /// Whether an answer of that status ends the request. One that tells of a failure does not, if
    /// another endpoint may do better.
    pub fn accept(&mut self, status: u16) -> bool {
        if status < 500 {
            return true;
        }
        self.in_flight -= 1;
        self.failures += 1;
        !(self.limits.repeatable && (self.in_flight > 0 || self.may_send()))
    }

    /// Keeps an answer that [`Attempts::accepts`] did not take, for the case that no better comes.
    pub fn keep_error_answer(&mut self, answer: A) {
        self.error_answer = Some(answer);
    }

    /// An attempt ended without an answer.
    pub const fn record_failure(&mut self, failure: Failure) {
        self.in_flight -= 1;
        if failure.proves_not_run() {
            self.refusals += 1;
        } else {
            self.failures += 1;
        }
    }
}
