//! Idempotency keys: a non-idempotent request with a key runs at most once.
//!
//! A key belongs to a [`shard()`]; each shard has a log of numbered segments in the object API,
//! created only if absent. A writer may create segment `n` only when it has read all earlier ones,
//! so the create is the fence between writers, and no lease or clock is needed for safety.
//!
//! Old segments are trimmed: the shard's base number is raised first, then everything below it is
//! deleted. A writer reads the base after each create. A base of at most `n` proves that `n` had
//! never been deleted, so the create took a number that was never used before.

mod calls;
mod commit;
mod log;
mod message;
mod segment;
mod table;

pub use log::Log;
pub use message::{Action, Event, Limits, Verdict};
pub use segment::{Claim, Record, Segment, Settle};

use crate::hash;

/// Number of shards. Part of the stored format: it can't change while segments exist.
pub const SHARDS: u64 = 16;

/// Largest body kept in a [`Record`], in bytes.
pub const MAX_BODY: usize = 4 * 1024;

/// The shard of `key` out of `shards` (at least one).
pub fn shard(key: &str, shards: u64) -> u64 {
    hash::stable(key.as_bytes()) % shards.max(1)
}

/// Name of segment `n` of `shard` in the object API.
pub fn segment_name(shard: u64, n: u64) -> String {
    format!("{shard}.{n:010}")
}

/// Name of the object that holds the base number of `shard`.
pub fn base_name(shard: u64) -> String {
    format!("{shard}.base")
}
