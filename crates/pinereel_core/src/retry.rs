//! Retry and hedging policy of one request: when it is sent, sent again, waited for or given up.
//!
//! A repeatable request is hedged: it is sent to a second endpoint when the first one takes longer
//! than usual, since answers get lost and endpoints turn slow or stop responding without notice.
//! Services are usually far from full, so the second send costs little. The first good answer is
//! used.

use std::{fmt, time::Duration};

/// Fraction of the latency objective after which a second endpoint is tried. Most answers take a
/// sixth of the objective; after half of it there is still time for a complete second attempt.
const HEDGE_FRACTION: f64 = 0.5;
/// Refusals by endpoints after which the request itself is refused: by then every endpoint is full.
const MAX_REFUSALS: u32 = 4;
/// Status of an endpoint that has run the request and failed.
const INTERNAL_ERROR: u16 = 500;

/// Limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts that may run.
    pub max_attempts: u32,
    /// Latency objective, from the start of the request.
    pub objective: Duration,
}

/// Why an attempt brought no answer that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint refused it, so it did not run there.
    Refused,
    /// Another endpoint has the address now, so it did not run there.
    OtherEndpoint,
    /// No connection could be opened, so it did not run there.
    NotOpened,
    /// No complete answer arrived. It may have run.
    Lost,
    /// The endpoint crashed during the attempt. It ran.
    Crashed,
    /// The answer is not the endpoint's answer to this request. It may have run.
    InvalidAnswer,
}

impl Failure {
    const fn proves_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::OtherEndpoint | Self::NotOpened)
    }
}

impl Failure {
    /// Name in logs and metrics.
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

/// What the caller does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Step<A> {
    /// Send it to one more endpoint.
    Send,
    /// Wait for an attempt to end, at most until this time since the start of the request.
    Wait(Option<Duration>),
    /// The request is over.
    Done(Resolution<A>),
}

/// Outcome of a request without a good answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution<A> {
    /// An endpoint's error answer is passed on.
    ErrorAnswer(A),
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// State of the attempts of one request; `A` is the type of an endpoint's answer.
#[derive(Debug)]
pub struct Attempts<A> {
    limits: Limits,
    in_flight: u32,
    /// Attempts that certainly did not run.
    refusals: u32,
    /// Attempts that may have run and brought no good answer.
    failures: u32,
    /// Answers with status 500.
    internal_errors: u32,
    /// Time of the last send since the start of the request.
    sent_at: Duration,
    /// Whether no further endpoint is available.
    exhausted: bool,
    /// Whether the request runs at one endpoint at a time.
    hedging_disabled: bool,
    /// Whether further attempts start at the same time.
    parallel: bool,
    error_answer: Option<A>,
}

impl<A> Attempts<A> {
    /// State before the first attempt.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            in_flight: 0,
            refusals: 0,
            failures: 0,
            internal_errors: 0,
            sent_at: Duration::ZERO,
            exhausted: false,
            hedging_disabled: false,
            parallel: false,
            error_answer: None,
        }
    }

    /// Returns what to do at `elapsed` since the start of the request.
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
        if self.parallel {
            return Step::Send;
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

    /// Records that an attempt was sent at `elapsed` since the start of the request.
    pub const fn record_send(&mut self, elapsed: Duration) {
        self.in_flight += 1;
        self.sent_at = elapsed;
    }

    /// Records that no further endpoint is available.
    pub const fn stop_sending(&mut self) {
        self.exhausted = true;
    }

    /// Limits the request to one endpoint at a time from now on, because endpoints have crashed
    /// under it.
    pub const fn disable_hedging(&mut self) {
        self.hedging_disabled = true;
    }

    /// Starts the attempts that are left at the same time instead of one after the other; at most
    /// `max_attempts` run in any case. Has an effect only on a repeatable request that an endpoint has
    /// answered with status 500. Such a request often fails at every endpoint, so that its attempts
    /// take `max_attempts` times as long one after the other.
    pub const fn retry_in_parallel(&mut self) {
        self.parallel = self.internal_errors > 0;
    }

    /// Whether an attempt may have run or may be running.
    pub const fn may_have_run(&self) -> bool {
        self.in_flight + self.failures > 0
    }

    /// Whether an answer with this status ends the request. A status of 500 or above counts as a
    /// failed attempt, and ends the request only if no other attempt can still succeed.
    pub fn accept(&mut self, status: u16) -> bool {
        if status < 500 {
            return true;
        }
        self.in_flight -= 1;
        self.failures += 1;
        self.internal_errors += u32::from(status == INTERNAL_ERROR);
        !(self.limits.repeatable && (self.in_flight > 0 || self.may_send()))
    }

    /// Number of endpoints that have run the request and answered with status 500.
    pub const fn internal_errors(&self) -> u32 {
        self.internal_errors
    }

    /// Keeps an error answer that [`Attempts::accept`] rejected, in case no better one arrives.
    pub fn keep_error_answer(&mut self, answer: A) {
        self.error_answer = Some(answer);
    }

    /// Records that an attempt ended without an answer.
    pub const fn record_failure(&mut self, failure: Failure) {
        self.in_flight -= 1;
        if failure.proves_not_run() {
            self.refusals += 1;
        } else {
            self.failures += 1;
        }
    }
}
