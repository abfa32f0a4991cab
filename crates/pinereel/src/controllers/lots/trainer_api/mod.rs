//! Trainers' calls.
//!
//! - `submit`: takes a lot and keeps it until newer steps make room.
//! - `assign`: spreads its groups over the runners.
//! - `collect`: asks the runners, merges, and checks the bound at delivery.
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

/// When a trainer that was refused shall come back.
const RETRY_AFTER_MS: u64 = 500;

/// A lot that was submitted to this entry.
pub(super) struct SubmittedLot {
    lot: Lot,
    digest: Digest,
    samples: u32,
    deadline: Time,
    /// Index of each group's first sample.
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
