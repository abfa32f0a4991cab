//! When a request is sent, sent again, waited for or given up.
//!
//! A request that may be repeated is sent to a second endpoint when the first one takes longer than
//! usual: answers get lost, and endpoints turn slow or fall silent without a sign. Services are
//! far from full in ordinary times, so the second send costs little; a worker's answer that came
//! first is the one that counts.

use std::{fmt, time::Duration};

/// Part of the latency objective after which a second endpoint is tried. Most answers take a sixth
/// of it; after half of it there is still time for a whole second attempt.
const HEDGE: f64 = 0.5;
/// Sends that endpoints may refuse unrun before the request is refused: with more, every endpoint
/// is full.
const MAX_REFUSED: u32 = 4;

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
pub enum Ended {
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
    Garbled,
}

impl Ended {
    const fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::OtherEndpoint | Self::NotOpened)
    }
}

impl Ended {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::OtherEndpoint => "other endpoint",
            Self::NotOpened => "not opened",
            Self::Lost => "lost",
            Self::Crashed => "crashed",
            Self::Garbled => "garbled",
        }
    }
}

impl fmt::Display for Ended {
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
    Done(Verdict<A>),
}

/// How a request ends that got no good answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict<A> {
    /// With an endpoint's answer that tells of a failure.
    Kept(A),
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The attempts of one request; `A` is an endpoint's answer.
#[derive(Debug)]
pub struct Attempts<A> {
    limits: Limits,
    running: u32,
    /// Sends that endpoints have not taken.
    refused: u32,
    /// Attempts that may have run and brought no good answer.
    failed: u32,
    /// The last send, after the begin.
    sent_at: Duration,
    /// No further endpoint is to be had.
    exhausted: bool,
    /// It runs at one endpoint at a time.
    alone: bool,
    kept: Option<A>,
}

impl<A> Attempts<A> {
    /// None yet.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: 0,
            refused: 0,
            failed: 0,
            sent_at: Duration::ZERO,
            exhausted: false,
            alone: false,
            kept: None,
        }
    }

    /// What to do, so long after the begin.
    pub fn next(&mut self, elapsed: Duration) -> Step<A> {
        if self.running == 0 {
            if self.may_send() {
                return Step::Send;
            }
            return Step::Done(self.verdict());
        }
        if !self.limits.repeatable || self.alone || !self.may_send() {
            return Step::Wait(None);
        }
        let hedge_at = self.sent_at + self.limits.objective.mul_f64(HEDGE);
        if elapsed >= hedge_at {
            return Step::Send;
        }
        Step::Wait(Some(hedge_at))
    }

    fn may_send(&self) -> bool {
        let run = self.running + self.failed;
        let most = if self.limits.repeatable {
            self.limits.max_attempts
        } else {
            1
        };
        !self.exhausted && run < most && self.refused < MAX_REFUSED
    }

    fn verdict(&mut self) -> Verdict<A> {
        match self.kept.take() {
            Some(answer) => Verdict::Kept(answer),
            None if self.failed == 0 => Verdict::NotRun,
            None => Verdict::Unknown,
        }
    }

    /// An attempt was sent, so long after the begin.
    pub const fn sent(&mut self, elapsed: Duration) {
        self.running += 1;
        self.sent_at = elapsed;
    }

    /// There is no endpoint left to send to.
    pub const fn exhausted(&mut self) {
        self.exhausted = true;
    }

    /// It runs at one endpoint at a time from now on: endpoints have crashed under it.
    pub const fn alone(&mut self) {
        self.alone = true;
    }

    /// Whether it may have run, or may be running.
    pub const fn may_have_run(&self) -> bool {
        self.running + self.failed > 0
    }

    /// Whether an answer of that status ends the request. One that tells of a failure does not, if
    /// another endpoint may do better.
    pub fn accepts(&mut self, status: u16) -> bool {
        if status < 500 {
            return true;
        }
        self.running -= 1;
        self.failed += 1;
        !(self.limits.repeatable && (self.running > 0 || self.may_send()))
    }

    /// Keeps an answer that [`Attempts::accepts`] did not take, for the case that no better comes.
    pub fn keep(&mut self, answer: A) {
        self.kept = Some(answer);
    }

    /// An attempt ended without an answer.
    pub const fn ended(&mut self, ended: Ended) {
        self.running -= 1;
        if ended.is_not_run() {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }
}
