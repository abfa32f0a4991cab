//! The filter chain that a request passes, one job a module.
//!
//! [`pin`] (configuration) → [`admit`] (deadline, queue) → [`claim`] (idempotency key) → [`route`]
//! (endpoint) → [`attempt`] (send, retry, resume, provenance) → [`respond`] (answer or problem). A
//! filter that ends a request returns a [`Problem`], whose `ran` is true to the evidence.

pub mod admit;
pub mod attempt;
pub mod claim;
pub mod completion;
pub mod format;
pub mod pin;
pub mod respond;
pub mod route;
pub mod service;

use crate::controllers::config::Pin;
use compact_str::CompactString;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use pinereel_core::{Time, route::Priority};

/// A request on its way through the chain.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Its id, unique among all entries.
    pub id: CompactString,
    /// When its head was here.
    pub started: Time,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// The configuration that it is served under.
    pub pin: Pin,
    /// The pool that it goes to.
    pub pool: CompactString,
    /// Its priority.
    pub priority: Priority,
}

/// A problem of a request that certainly did not run.
pub fn not_run(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms: None,
    }
}

/// A problem of a request that may have run.
pub fn may_have_run(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        ran: Ran::Unknown,
        ..not_run(code, message)
    }
}

impl RequestContext {
    /// Time left until the deadline.
    pub fn remaining(&self, now: Time) -> std::time::Duration {
        self.deadline.since(now)
    }
}
