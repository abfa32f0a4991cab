//! Rolls out new weight versions to the engines of a pool, in waves and under a lease.
//!
//! A [`Controller`] is level-triggered: it compares the version that each engine reports with the
//! newest published version, and orders a load where they differ. Orders are idempotent and carry
//! the lease's fencing token. A new lease holder reads the status of every engine before it orders
//! a load there, so the effect of a late order from a former holder is detected and corrected.
//!
//! Where several models share the engines of a service, [`working_set_size`] says how many engines
//! are kept up to date and [`assign_models`] for which model each, and [`load_slots`] divides the
//! concurrent loads among the models.

mod assignment;
mod controller;
mod engine;
mod engine_shares;
pub mod load_slots;
mod plan;
mod schedule;
mod working_set;

pub use assignment::{Demand, assign_models, max_loads, should_reassign, with_last_known};
pub use controller::Controller;
pub use engine_shares::EngineShares;
pub use plan::Plan;
pub use working_set::{rank, working_set_size};

use crate::{Time, Version};
use compact_str::CompactString;
use serde::Serialize;
use std::time::Duration;

/// Limits, intervals and timeouts of a [`Controller`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of engines that load at the same time: the throughput of the weight store
    /// divided by that of one load.
    pub max_loads: usize,
    /// Fraction of the engines (0 to 1) that must stay in service during the rollout.
    pub min_serving_share: f64,
    /// Time from the publication of a version, or from the acquisition of the lease if that is later,
    /// until its first load. Trainers submit a step right after they publish a version, and engines
    /// start no run while they load: the step's first runs start before the loads.
    pub load_delay: Duration,
    /// Initial value of the moving average of load times.
    pub initial_load_time: Duration,
    /// A load that takes longer than this counts as failed.
    pub load_timeout: Duration,
    /// Timeout for the answer to an order or a read.
    pub answer_timeout: Duration,
    /// Interval between reads of a loading engine, from shortly before the expected end of its
    /// load.
    pub poll_interval: Duration,
    /// Maximum age of the known status of an idle engine; an older one is read again. Also limits
    /// the backoff of reads without an answer.
    pub recheck_interval: Duration,
    /// Maximum number of reads in flight.
    pub max_reads: usize,
    /// Consecutive failed loads after which an engine is quarantined.
    pub max_failures: u32,
    /// Delay before the next order after the first failed load; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Delay before a quarantined engine is ordered to load again; doubles with each quarantine up
    /// to `max_quarantine`.
    pub initial_quarantine: Duration,
    /// Upper bound of the delay in quarantine.
    pub max_quarantine: Duration,
    /// Whether engines accept an order during a load, which then replaces that load. If not, a
    /// loading engine gets no order until its load ends.
    pub can_replace_load: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_loads: 64,
            min_serving_share: 0.5,
            load_delay: Duration::ZERO,
            initial_load_time: Duration::from_secs(3),
            load_timeout: Duration::from_secs(30),
            answer_timeout: Duration::from_secs(2),
            poll_interval: Duration::from_millis(250),
            recheck_interval: Duration::from_secs(60),
            max_reads: 256,
            max_failures: 3,
            initial_backoff: Duration::from_millis(500),
            initial_quarantine: Duration::from_secs(30),
            max_quarantine: Duration::from_secs(600),
            can_replace_load: true,
        }
    }
}

/// The lease under which this instance runs the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token; engines refuse orders with a token lower than the highest one they have seen.
    pub fence: u64,
    /// Time on the holder's own clock from which it must not issue orders or reads.
    pub expires_at: Time,
}

/// The state of an engine's weights, as the engine reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Changes with each restart of the engine.
    pub incarnation: u64,
    /// Version that it serves; `None` before the first load, or after an aborted load that left no
    /// weights.
    pub version: Option<Version>,
    /// Version that it is loading, if any.
    pub loading: Option<Version>,
    /// Whether its last load failed.
    pub failed: bool,
}

/// Input of a [`Controller`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The lease was acquired or renewed; `None` if it was released or lost.
    Lease(Option<Lease>),
    /// A version was published. Versions up to the current target are ignored.
    Published(Version),
    /// The engine belongs to the pool. Sent again whenever one of the fields changes.
    Listed {
        /// Name of the engine.
        name: CompactString,
        /// Availability zone.
        zone: CompactString,
        /// Outstanding requests. Of the engines that are furthest behind, those with the fewest
        /// load first.
        outstanding: u32,
        /// Whether it is shutting down; it then gets neither orders nor reads and is left out of
        /// the plan.
        leaving: bool,
    },
    /// The engine no longer belongs to the pool.
    Unlisted {
        /// Name of the engine.
        name: CompactString,
    },
    /// A load report of the engine, which may be older than the last order. If it differs from the
    /// last status, the engine is read soon; the report itself does not change the status.
    Reported {
        /// Name of the engine.
        name: CompactString,
        /// Version that it served at the time of the report.
        version: Option<Version>,
        /// Version that it was loading at the time of the report.
        loading: Option<Version>,
    },
    /// The engine answered a read, or its status became known in another way.
    Observed {
        /// Name of the engine.
        name: CompactString,
        /// Status of the engine.
        status: Status,
    },
    /// The engine accepted an order.
    Accepted {
        /// Name of the engine.
        name: CompactString,
        /// Fencing token of the order.
        fence: u64,
        /// Status of the engine after it accepted the order.
        status: Status,
    },
    /// The engine refused an order because it has seen a higher fencing token.
    Fenced {
        /// Name of the engine.
        name: CompactString,
        /// Fencing token of the order.
        fence: u64,
    },
    /// A read or an order got no answer; an order may or may not have been accepted.
    NoAnswer {
        /// Name of the engine.
        name: CompactString,
    },
    /// An order was not sent, as the engine did not answer the read before it. The engine does not
    /// load, unless it did so before, unlike after [`Event::NoAnswer`].
    OrderNotSent {
        /// Name of the engine.
        name: CompactString,
        /// Fencing token of the order.
        fence: u64,
    },
    /// No connection to the engine could be opened, so an order was not accepted.
    Unreachable {
        /// Name of the engine.
        name: CompactString,
    },
    /// Time passed. Sent about every 50 ms while the lease is held.
    Tick,
}

/// Output of a [`Controller`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Read the engine's status; answered with [`Event::Observed`], [`Event::NoAnswer`] or
    /// [`Event::Unreachable`].
    Read {
        /// Name of the engine.
        name: CompactString,
    },
    /// Order the engine to load a version; answered with [`Event::Accepted`], [`Event::Fenced`],
    /// [`Event::NoAnswer`], [`Event::OrderNotSent`] or [`Event::Unreachable`].
    Order {
        /// Name of the engine.
        name: CompactString,
        /// Version to load.
        version: Version,
        /// Fencing token of the lease.
        fence: u64,
    },
    /// Log that an engine was quarantined because its loads failed too often.
    Quarantined {
        /// Name of the engine.
        name: CompactString,
        /// Consecutive failed loads.
        failures: u32,
        /// Time from which a load is ordered again.
        until: Time,
    },
    /// Log that an engine serves another version than before without an order of this holder, and
    /// that version is not the target.
    #[serde(rename = "strayed")]
    UnexpectedVersion {
        /// Name of the engine.
        name: CompactString,
        /// Version that it serves now.
        version: Option<Version>,
    },
    /// An engine has seen a higher fencing token, so another instance holds the lease; the
    /// controller issues no more orders under this one.
    LeaseLost {
        /// Fencing token that the engine refused.
        fence: u64,
    },
    /// Log that every engine outside quarantine serves the target version.
    Complete {
        /// The target version.
        version: Version,
        /// Time since the version became known to this instance, or since the lease was acquired if
        /// that was later.
        took: Duration,
    },
}
