//! Sans-I/O decision logic of pinereel: routing, admission, leases, rollouts, batch scheduling and
//! configuration.
//!
//! Every module is a state machine or a pure function. A state machine takes the current time and
//! an event and returns the actions to carry out: `step(now, Event) -> Vec<Action>`. There is no
//! I/O, no clock, no global state, and the only randomness comes from a seed. The same code runs
//! under `proptest`, in the experiment tool and in the daemon.
//!
//! Both commands of the daemon use `crash`, `endpoint`, `lease`, `memory`, `rollout` and `route`. The modules
//! `admit`, `budget`, `claim`, `config`, `cursor`, `drain`, `lot`, `member` and `provenance` serve
//! `pinereel entry` alone; `batch`, `exchange`, `overload`, `retry`, `routing_table`, `scale`,
//! `scoring`, `tree` and `usage` serve `pinereel hosted` alone.
//!
//! The main types:
//! - [`Time`], [`Version`], [`Span`]: shared types for timestamps, weight versions and token spans.
//! - [`Outcome`]: the outcome of a request, and whether it may have run.
//! - [`lot::Lot`]: the part of a lot, which is a trainer's batch of samples for one step, that one
//!   runner of `pinereel entry` holds.
//! - [`cursor::Token`]: the set of a lot's samples that a trainer already holds.
//! - [`config::Document`]: the configuration that operators patch.
//! - [`crash::Register`]: detection of requests that crash endpoints.
//! - [`claim::Log`]: idempotency keys of one shard, kept as a log of segments in the object API.
//! - [`memory::Ledger`]: memory for callers' connections and bodies, and who gives way.
//! - [`routing_table::RoutingTable`]: finds the route, caller and service of a request to `pinereel
//!   hosted`.
//! - [`tree::Children`]: the parent's side of the broadcast tree that distributes what one instance
//!   reads.
//! - [`exchange::History`]: which responses on a kept connection answer which request.
//! - [`usage::Ledger`]: number of requests of each workspace that began to run.
//! - [`batch::Lot`]: a lot of `pinereel hosted`, which one instance runs and whose results are in the
//!   platform's object store.

pub mod admit;
mod average;
pub mod batch;
pub mod budget;
pub mod claim;
pub mod config;
pub mod crash;
pub mod cursor;
pub mod drain;
pub mod endpoint;
pub mod exchange;
pub mod fair;
pub mod hash;
pub mod lease;
pub mod lot;
pub mod member;
pub mod memory;
pub mod outcome;
pub mod overload;
pub mod provenance;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod routing_table;
pub mod scale;
pub mod scoring;
pub mod staleness;
pub mod time;
pub mod tree;
pub mod usage;
pub mod version;

pub use outcome::Outcome;
pub use time::Time;
pub use version::{Span, Version};
