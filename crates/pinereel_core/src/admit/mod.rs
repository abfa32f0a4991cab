//! Which requests wait for an endpoint, and which are refused at once.
//!
//! One [`Queue`] a pool. A request that is predicted to miss its deadline is refused when it
//! arrives, with the time after which it would be admitted. Nothing is held back: what waits is
//! started as soon as there is room, or refused at its deadline.

mod queue;
mod rate;

pub use queue::Queue;

use crate::{Time, route::Priority};
use serde::Serialize;
use std::time::Duration;

/// Names one request in a queue; never reused while the request is in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests waiting, for each priority.
    pub max_waiting: usize,
    /// Longest Retry-After.
    pub max_retry_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_retry_after: Duration::from_secs(60),
        }
    }
}

/// One thing that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request came in.
    Arrived {
        /// Its name.
        key: RequestKey,
        /// Its priority.
        priority: Priority,
        /// When its answer is worth nothing any more.
        deadline: Time,
    },
    /// A started request got its whole answer.
    Finished {
        /// Its name.
        key: RequestKey,
    },
    /// A started request ended in another way: how long that took says nothing of how long an
    /// answer takes.
    Aborted {
        /// Its name.
        key: RequestKey,
    },
    /// A started request found no endpoint with room; it goes back to the front.
    Requeued {
        /// Its name.
        key: RequestKey,
    },
    /// The caller is gone before the request was started; one that was started must end by
    /// `Finished` or `Aborted`.
    Cancelled {
        /// Its name.
        key: RequestKey,
    },
    /// Requests that the pool's endpoints take at once from this entry (the sum of their limits).
    Capacity {
        /// How many.
        slots: u32,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Route and send the request now.
    Start {
        /// Its name.
        #[serde(rename = "ticket")]
        key: RequestKey,
    },
    /// Answer "not run" now.
    Refuse {
        /// Its name.
        #[serde(rename = "ticket")]
        key: RequestKey,
        /// Why.
        reason: Reason,
        /// When the request would be admitted, by the queue's drain estimate.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Its priority's queue is at its bound.
    QueueFull,
    /// It would be answered after its deadline.
    TooLate,
    /// Its deadline passed while it waited, or came too near: the estimate was too good.
    Expired,
    /// The pool has no capacity at all.
    NoCapacity,
}

/// What the queue expects of a request that arrives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Wait until its start.
    pub wait: Duration,
    /// From its start to its end, for most requests.
    pub service: Duration,
}
