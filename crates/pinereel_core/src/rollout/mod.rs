//! New weights on all engines of one pool, in waves, under a lease.
//!
//! A [`Controller`] is level-triggered: it compares what each engine says that it serves with the
//! newest published version, and orders where they differ. Orders are idempotent and carry the
//! lease's fencing token. A new holder knows nothing, so it reads every engine before it orders
//! it; so a late order of a paused former holder is seen and corrected.

mod controller;
mod engine;
mod schedule;
mod plan;
mod assignment;
mod working_set;

pub use controller::Controller;
pub use plan::Plan;
pub use assignment::{Demand, assign_models, max_loads, should_reassign};
pub use working_set::{rank, working_set_size};

use crate::{Time, Version};
use compact_str::CompactString;
use serde::Serialize;
use std::time::Duration;

/// Bounds and times of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most engines that load at once: the weight store's rate by the rate of one load.
    pub max_loads: usize,
    /// Share of the engines (0 to 1) that stays in service.
    pub min_serving_share: f64,
    /// Expected time of one load, until loads have been seen.
    pub initial_load_time: Duration,
    /// Longest time of one load; a longer one has failed.
    pub load_timeout: Duration,
    /// Longest wait for the answer to an order or a read.
    pub answer_timeout: Duration,
    /// Time between reads of an engine that loads, once its load should be over.
    pub poll_interval: Duration,
    /// Age at which what is known of an engine at rest is read again.
    pub recheck_interval: Duration,
    /// Most reads in flight.
    pub max_reads: usize,
    /// Failures in a row until quarantine.
    pub max_failures: u32,
    /// Wait after the first failure; doubles with each further one.
    pub initial_backoff: Duration,
    /// Wait in quarantine before a load is tried again; doubles up to `max_quarantine`.
    pub initial_quarantine: Duration,
    /// Longest wait in quarantine.
    pub max_quarantine: Duration,
    /// Whether an engine takes an order while it loads; if not, it gets none until then.
    pub can_replace_load: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_loads: 64,
            min_serving_share: 0.5,
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

/// A held lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its fencing token.
    pub fence: u64,
    /// Moment on the holder's own clock from which it must not act any more.
    pub expires_at: Time,
}

/// What an engine says of its weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Its incarnation.
    pub incarnation: u64,
    /// Version that it serves; `None` before its first load or after one broke off.
    pub version: Option<Version>,
    /// Version that it is loading.
    pub loading: Option<Version>,
    /// Whether its last load failed.
    pub failed: bool,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The lease was taken or renewed, or (`None`) it is given up or lost.
    Lease(Option<Lease>),
    /// A version was published; older ones than the target change nothing.
    Published(Version),
    /// The engine is in the pool. Repeat it when something of it changes.
    Listed {
        /// Its name.
        name: CompactString,
        /// Its availability zone.
        zone: CompactString,
        /// Requests at it, for the order of loading.
        outstanding: u32,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The engine is not in the pool any more.
    Unlisted {
        /// Its name.
        name: CompactString,
    },
    /// A load report of the engine, which may be older than an order. If it differs from what was
    /// last read, the engine is read soon: only that tells what it serves now.
    Reported {
        /// Its name.
        name: CompactString,
        /// Version that it served.
        version: Option<Version>,
        /// Version that it was loading.
        loading: Option<Version>,
    },
    /// The engine answered a read.
    Observed {
        /// Its name.
        name: CompactString,
        /// What it said.
        status: Status,
    },
    /// The engine took an order; its state after that.
    Accepted {
        /// Its name.
        name: CompactString,
        /// Fencing token of the order.
        fence: u64,
        /// What it said.
        status: Status,
    },
    /// The engine refused an order, since it has seen a higher fencing token.
    Fenced {
        /// Its name.
        name: CompactString,
        /// Fencing token of the order.
        fence: u64,
    },
    /// A read or an order got no answer, so it may or may not have been taken.
    NoAnswer {
        /// Its name.
        name: CompactString,
    },
    /// No connection to the engine could be opened: nothing was taken.
    Unreachable {
        /// Its name.
        name: CompactString,
    },
    /// Time passed: wanted every 50 ms or so while the lease is held.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Read the engine's state; answer with `Seen` or `Silent`.
    Read {
        /// Its name.
        name: CompactString,
    },
    /// Order the engine to load a version; answer with `Taken`, `Refused` or `Silent`.
    Order {
        /// Its name.
        name: CompactString,
        /// The version.
        version: Version,
        /// Fencing token of the lease.
        fence: u64,
    },
    /// Log: loads failed too often; the next one is tried at the given time.
    Quarantined {
        /// Its name.
        name: CompactString,
        /// Failures in a row.
        failures: u32,
        /// Next trial.
        until: Time,
    },
    /// Log: an engine shows another version than it was last seen to serve, without an order of
    /// this holder.
    #[serde(rename = "strayed")]
    UnexpectedVersion {
        /// Its name.
        name: CompactString,
        /// What it shows.
        version: Option<Version>,
    },
    /// An engine has seen a higher fencing token: stop, and give the lease up as lost.
    LeaseLost {
        /// Fencing token that was refused.
        fence: u64,
    },
    /// Log: every engine that is not in quarantine serves the version.
    Complete {
        /// The version.
        version: Version,
        /// Time since its publication became known here, or since the lease was taken.
        took: Duration,
    },
}
