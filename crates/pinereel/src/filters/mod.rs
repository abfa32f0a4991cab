//! The filter chain of a live request, one filter per module.
//!
//! [`pin`] (configuration) → [`admit`] (deadline, queue) → [`claim`] (idempotency key) → [`route`]
//! (endpoint) → [`attempt`] (send, retry, resume, provenance) → [`respond`] (response). A filter
//! that ends a request returns a [`Problem`]; its `ran` says `NotRun` only if no attempt can have
//! run.

pub mod admit;
pub mod attempt;
pub mod claim;
pub mod completion;
pub mod format;
pub mod pin;
pub mod respond;
pub mod route;
pub mod service;

use crate::controllers::config::Snapshot;
use compact_str::CompactString;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use pinereel_core::{Time, route::Priority};

/// State of one request while it passes the filter chain.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Request id, unique among all entries.
    pub id: CompactString,
    /// When its headers had been read.
    pub started: Time,
    /// Time by which the response is due, so that it is with the caller when it no longer waits.
    pub deadline: Time,
    /// Configuration under which the request is served.
    pub snapshot: Snapshot,
    /// Pool to which the request is routed.
    pub pool: CompactString,
    /// Priority class in the pool's queue.
    pub priority: Priority,
}

/// Builds the problem for a request that certainly did not run.
pub fn not_run(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms: None,
    }
}

/// Builds the problem for a request that may have run.
pub fn may_have_run(code: Code, message: impl Into<CompactString>) -> Problem {
    Problem {
        ran: Ran::Unknown,
        ..not_run(code, message)
    }
}

impl RequestContext {
    /// Time until the deadline; zero once it has passed.
    pub fn remaining(&self, now: Time) -> std::time::Duration {
        self.deadline.since(now)
    }
}
