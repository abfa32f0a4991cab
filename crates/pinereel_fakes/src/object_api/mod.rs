//! The platform's object API, in memory, with faults on request.
//!
//! Beside the calls of `pinereel_api::object`, for tests and the demo:
//!
//! | call | path | answer |
//! |---|---|---|
//! | faults | `POST /faults` with `object::Faults` | 204 |
//! | counters | `GET /stats` | 200 `object::Stats` |
//! | accepted writes | `GET /history?kind=K` | 200 list of [`Record`] |
//! | what is true of an instance | `POST /instances/{name}` with `object::Instance` | 204 |
//! | the instance is gone | `DELETE /instances/{name}` | 204 |
//!
//! These answer also in an outage and are neither limited nor counted. An instance shows in kind
//! `instances` only after [`Options::lag`], for reads and watches alike.

mod bucket;
mod handle;
mod serve;
mod store;

pub use bucket::Bucket;
pub use handle::{Api, Handle};
pub use store::{Condition, Record, Refusal, Store};

use std::time::Duration;

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on loopback; 0 lets the system choose.
    pub port: u16,
    /// Reads, lists and begun watches a second.
    pub reads_per_second: u32,
    /// Creates, updates and deletes a second.
    pub writes_per_second: u32,
    /// How far the list of instances is behind the truth.
    pub lag: Duration,
    /// Changes of each kind that a watch can still catch up with.
    pub history: usize,
    /// Accepted writes kept for `GET /history`, the newest.
    pub records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            reads_per_second: 2_000,
            writes_per_second: 400,
            lag: Duration::from_secs(1),
            history: 10_000,
            records: 100_000,
        }
    }
}
