//! Handlers of the trainers' calls.
//!
//! - `submit`: accepts a lot and keeps it until newer steps of its trainer evict it.
//! - `assign`: distributes a lot's groups over the runners.
//! - `collect`: queries the runners, merges their answers and checks the staleness bound.
//! - `publish`: raises the newest version of a model.

mod assign;
mod collect;
mod publish;
mod submit;

pub use collect::collect;
pub use publish::{LatestWeights, publish};
pub use submit::submit;

use compact_str::CompactString;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
    trainer::Lot,
};
use pinereel_core::{Time, hash::Digest};

/// Retry delay that an answer gives a trainer whose call was refused for overload or failed at the
/// object API.
const RETRY_AFTER_MS: u64 = 500;

/// A lot that a trainer submitted to this entry.
pub(super) struct SubmittedLot {
    lot: Lot,
    digest: Digest,
    /// Number of samples in all groups.
    samples: u32,
    deadline: Time,
    /// Index of the first sample of each group.
    first_samples: Vec<u32>,
}

fn refuse(code: Code, message: impl Into<CompactString>) -> Problem {
    let retry = matches!(code, Code::Overloaded);
    Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms: retry.then_some(RETRY_AFTER_MS),
    }
}
