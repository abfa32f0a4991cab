//! Fake of the platform's object API: in memory, with faults that can be injected.
//!
//! In addition to the calls of `pinereel_api::object`, it serves these to tests and the demo:
//!
//! | call | path | response |
//! |---|---|---|
//! | set faults | `POST /faults` with `object::Faults` | 204 |
//! | counters | `GET /stats` | 200 `object::Stats` |
//! | accepted writes | `GET /history?kind=K` | 200 list of [`WriteRecord`] |
//! | add or change an instance | `POST /instances/{name}` with `object::Instance` | 204 |
//! | remove an instance | `DELETE /instances/{name}` | 204 |
//!
//! They work during an outage too, and are neither rate-limited nor counted. Reads and watches of
//! kind `instances` see a change of an instance only after [`Options::lag`].

mod handle;
mod serve;
mod store;
mod token_bucket;

pub use handle::{Api, Handle};
pub use store::{Condition, Refusal, Store, WriteRecord};
pub use token_bucket::TokenBucket;

use std::time::Duration;

/// Options of the fake API.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Port on the loopback address; with 0 the system chooses one.
    pub port: u16,
    /// Rate limit of reads, lists and new watches, per second.
    pub reads_per_second: u32,
    /// Rate limit of creates, updates and deletes, per second.
    pub writes_per_second: u32,
    /// Delay until the list of instances shows a change.
    pub lag: Duration,
    /// Maximum number of changes per kind that are kept for watches.
    pub max_watch_changes: usize,
    /// Maximum number of accepted writes that are kept for `GET /history`.
    pub max_records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            port: 0,
            reads_per_second: 2_000,
            writes_per_second: 400,
            lag: Duration::from_secs(1),
            max_watch_changes: 10_000,
            max_records: 100_000,
        }
    }
}
