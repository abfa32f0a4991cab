//! Lots: the samples of one trainer step on their way from engines to the trainer.
//!
//! A lot's groups are spread over some entries by rendezvous hashing. Each such entry drives one
//! [`Runner`], which starts attempts on engines and keeps what is finished. Any entry that gets a
//! collect asks the runners and merges their answers with [`crate::cursor::Merge`]. Two runners may
//! run the same group for a while: that costs work, never a second delivery, since the trainer's
//! cursor token decides.

mod assign;
mod collect;
mod message;
mod runner;
mod schedule;
mod state;

pub use message::{Action, Chunk, CollectRequest, Failure, Finish, Offer, Refusal, Sample, Start};
pub use runner::{Runner, Stats};
pub use state::{AttemptKey, Group, Lot, SampleKey, Spec};

use std::time::Duration;

pub use message::Event;

/// Which policies a runner follows; all off is the plain baseline (first in, first out).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Start the samples with the longest predicted output first.
    pub longest_first: bool,
    /// Run a second attempt of a running sample where slots are idle and nothing is queued.
    pub speculative_attempts: bool,
    /// Age of an attempt before it is duplicated.
    pub speculate_after: Duration,
    /// Go on from the last whole chunk of a lost attempt instead of from the prompt.
    pub resume: bool,
    /// Abort what can no longer fit the bound as soon as that is known.
    pub early_abort: bool,
    /// Avoid endpoints whose version is expected to be too old at completion.
    pub staleness_aware_start: bool,
    /// Most versions that a start may be behind while nobody has asked for the lot, even where its
    /// bound is wider.
    pub unrequested_bound: u64,
    /// Choose among equally busy endpoints by hash instead of by name.
    pub hash_tie_break: bool,
    /// Lots that their trainer has asked for go first, here and at the engines.
    pub requested_first: bool,
    /// Most attempts on an endpoint at which a lot that nobody has asked for yet may start one.
    pub unrequested_slots: u32,
    /// Use endpoints that are much slower than most last, and move attempts away from them.
    pub avoid_slow: bool,
    /// Share slots between trainers by weight instead of by arrival of their lots.
    pub fair_share: bool,
}

impl Policy {
    /// First in, first out, from the prompt, one attempt at a time.
    pub const BASELINE: Self = Self {
        longest_first: false,
        speculative_attempts: false,
        speculate_after: Duration::ZERO,
        resume: false,
        early_abort: false,
        staleness_aware_start: false,
        unrequested_bound: u64::MAX,
        hash_tie_break: false,
        requested_first: false,
        unrequested_slots: u32::MAX,
        avoid_slow: false,
        fair_share: false,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            longest_first: true,
            speculative_attempts: false,
            speculate_after: Duration::from_millis(200),
            resume: true,
            early_abort: true,
            staleness_aware_start: true,
            unrequested_bound: 1,
            hash_tie_break: true,
            requested_first: true,
            unrequested_slots: 2,
            avoid_slow: true,
            fair_share: true,
        }
    }
}

/// What bounds a runner's memory and its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most lots held; a further one is refused with [`Refusal::Full`].
    pub max_lots: usize,
    /// Most samples held over all lots; groups beyond are refused with [`Refusal::Full`].
    pub max_samples: usize,
    /// Bytes of finished text held, from which on further groups are refused with
    /// [`Refusal::Full`]; what was taken before still finishes.
    pub max_text_bytes: usize,
    /// Steps that a trainer's lots may be ahead of its oldest one here; older ones are dropped.
    pub max_steps_ahead: u64,
    /// Retries earned by each first attempt, in percent.
    pub retry_percent: u32,
    /// Retries earned by each second that passes.
    pub retries_per_second: u32,
    /// Most retries that can be saved up.
    pub retry_burst: u32,
    /// Time after its deadline without assign or collect until a lot is dropped.
    pub idle_timeout: Duration,
    /// Wait before a failed scoring is tried again.
    pub rescore_delay: Duration,
    /// Most bytes of text in one answer (the first sample goes in any case).
    pub max_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_lots: 64,
            max_samples: 65_536,
            max_text_bytes: 64 << 20,
            max_steps_ahead: 1,
            retry_percent: 20,
            retries_per_second: 10,
            retry_burst: 64,
            idle_timeout: Duration::from_secs(300),
            rescore_delay: Duration::from_millis(500),
            max_answer_bytes: 2 << 20,
        }
    }
}
