//! Admission control: decides which requests wait for an endpoint, and which are refused
//! immediately.
//!
//! Each pool has one [`Queue`]. A request that is predicted to miss its deadline is refused on
//! arrival, with the time after which it would be admitted. The queue is work-conserving: a waiting
//! request is started as soon as a slot is free, or refused at its deadline.

mod queue;
mod rate;

pub use queue::Queue;

use crate::{Time, route::Priority};
use serde::Serialize;
use std::time::Duration;

/// Identifies a request in a queue; not reused while that request waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// Limits of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests of each priority.
    pub max_waiting: usize,
    /// Upper bound of the returned Retry-After.
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

/// Input of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Arrived {
        /// Key of the request.
        key: RequestKey,
        /// Priority of the request.
        priority: Priority,
        /// Time from which its answer is of no use.
        deadline: Time,
    },
    /// A started request got its complete answer. Its duration enters the estimate of service
    /// times.
    Finished {
        /// Key of the request.
        key: RequestKey,
    },
    /// A started request ended without a complete answer, so its duration is not a service time.
    Aborted {
        /// Key of the request.
        key: RequestKey,
    },
    /// A started request found no endpoint with a free slot. It returns to the front of its queue.
    Requeued {
        /// Key of the request.
        key: RequestKey,
    },
    /// The caller disconnected before the request was started. A started request must end with
    /// `Finished` or `Aborted` instead.
    Cancelled {
        /// Key of the request.
        key: RequestKey,
    },
    /// The number of concurrent requests that the pool's endpoints accept from this entry changed.
    Capacity {
        /// Sum of the concurrency limits of the endpoints.
        slots: u32,
    },
    /// Time passed, or an endpoint may have a free slot.
    Tick,
}

/// Output of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Route and send the request now.
    Start {
        /// Key of the request.
        #[serde(rename = "ticket")]
        key: RequestKey,
    },
    /// Answer now that the request was not run.
    Refuse {
        /// Key of the request.
        #[serde(rename = "ticket")]
        key: RequestKey,
        /// Reason of the refusal.
        reason: Reason,
        /// Estimated time until the same request would be admitted.
        retry_after: Duration,
    },
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue of its priority is full.
    QueueFull,
    /// It is predicted to finish after its deadline.
    TooLate,
    /// Its deadline passed while it waited, or became too close to finish in time: the estimate on
    /// arrival was too low.
    Expired,
    /// The pool has no slots at all.
    NoCapacity,
}

/// Predicted times of a request that arrives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Time until it is started.
    pub wait: Duration,
    /// Time from start to end within which most requests finish.
    pub service: Duration,
}
