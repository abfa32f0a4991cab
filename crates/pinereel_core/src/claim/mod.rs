//! Idempotency keys: a non-idempotent request that carries a key runs at most once within the
//! retention time.
//!
//! Each key belongs to one shard ([`shard_of`]). A shard is an append-only log of numbered
//! [`Segment`]s in the object API, and a [`Log`] is one writer's state machine for one shard. A
//! segment is written by a create-if-absent, and a writer creates number `n` only after it has read
//! all earlier segments. The create alone orders concurrent writers, so safety needs no lease and
//! no clock.
//!
//! Trimming raises the shard's base number first and deletes the segments below it second. A writer
//! reads the base after each create: a base of at most `n` proves that segment `n` was never
//! deleted, so the create did not reuse a trimmed number.

mod key_table;
mod log;
mod message;
mod next_call;
mod response;
mod segment;

pub use log::Log;
pub use message::{Action, Event, Limits, Verdict};
pub use segment::{Claim, Segment, Settlement, StoredResponse};

use crate::hash;

/// Number of shards. Part of the stored format: it can't change while segments exist.
pub const SHARD_COUNT: u64 = 16;

/// Largest body kept in a [`StoredResponse`], in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024;

/// Shard of `key`, from 0 to `shard_count - 1`; a count of 0 is taken as 1. The mapping is stable
/// across processes and releases, because segments are stored under the shard's number.
pub fn shard_of(key: &str, shard_count: u64) -> u64 {
    hash::stable(key.as_bytes()) % shard_count.max(1)
}

/// Object name of segment `number` of `shard`. The number is zero-padded, so names sort by number.
pub fn segment_name(shard: u64, number: u64) -> String {
    format!("{shard}.{number:010}")
}

/// Object name of the base number of `shard`, the lowest segment number that is still in use.
pub fn base_name(shard: u64) -> String {
    format!("{shard}.base")
}
