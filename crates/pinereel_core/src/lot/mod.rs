//! Distributed batch scheduling of lots for `pinereel entry`. A lot holds the samples that one trainer
//! wants for one step. The lots of `pinereel hosted` are in [`crate::batch`].
//!
//! The groups of a lot are partitioned over instances by rendezvous hashing. Each of these
//! instances drives one [`Runner`], a state machine without I/O that starts attempts on engines and
//! keeps the finished samples. The instance that receives a collect queries the runners and merges
//! their answers with [`crate::cursor::Merge`]. Two runners may run the same group for a while:
//! this costs work but never a second delivery, because the trainer's cursor token decides.

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

/// Scheduling policies of a runner, each of which can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Start the samples with the longest predicted output first.
    pub longest_first: bool,
    /// Run a second, speculative attempt of a running sample where slots are idle and nothing is
    /// queued.
    pub speculative_attempts: bool,
    /// Age of an attempt from which a speculative one may start.
    pub speculate_after: Duration,
    /// Resume a lost attempt after its last complete chunk instead of from the prompt.
    pub resume: bool,
    /// Abort an attempt as soon as its output can no longer meet the staleness bound.
    pub early_abort: bool,
    /// Skip endpoints whose version is expected to be too old when the sample completes.
    pub staleness_aware_start: bool,
    /// Staleness bound, in versions, of starts for a lot from which its trainer has not collected yet,
    /// if the trainer's own bound is wider.
    pub prefetch_bound: u64,
    /// Break ties between equally loaded endpoints by hash instead of by name.
    pub hash_tie_break: bool,
    /// Prefer lots from which their trainer has collected, at this runner and, by priority class, at
    /// the engines.
    pub requested_first: bool,
    /// A lot from which its trainer has not collected yet starts attempts only on endpoints with fewer
    /// running attempts than this.
    pub prefetch_slots: u32,
    /// Use endpoints that are much slower than the median only after all others, and move attempts
    /// away from them.
    pub avoid_slow: bool,
    /// Share slots between trainers by weight instead of in the order in which their lots arrived.
    pub fair_share: bool,
}

impl Policy {
    /// All policies off: first in, first out, each attempt from the prompt, one attempt at a
    /// time per sample.
    pub const BASELINE: Self = Self {
        longest_first: false,
        speculative_attempts: false,
        speculate_after: Duration::ZERO,
        resume: false,
        early_abort: false,
        staleness_aware_start: false,
        prefetch_bound: u64::MAX,
        hash_tie_break: false,
        requested_first: false,
        prefetch_slots: u32::MAX,
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
            prefetch_bound: 1,
            hash_tie_break: true,
            requested_first: true,
            prefetch_slots: 2,
            avoid_slow: true,
            fair_share: true,
        }
    }
}

/// Bounds on the memory and the retries of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most lots held; a further one is refused with [`Refusal::Full`].
    pub max_lots: usize,
    /// Most samples held over all lots; further groups are refused with [`Refusal::Full`].
    pub max_samples: usize,
    /// Bytes of finished text held from which further groups are refused with [`Refusal::Full`];
    /// samples accepted before still finish.
    pub max_text_bytes: usize,
    /// Most steps between a trainer's newest lot and its other lots on this runner; older ones are
    /// dropped.
    pub max_steps_ahead: u64,
    /// Retry budget earned by each first attempt, in percent of a retry.
    pub retry_percent: u32,
    /// Retry budget earned per second, in retries.
    pub retries_per_second: u32,
    /// Most retries that the budget can accumulate.
    pub retry_burst: u32,
    /// Time without an assign or a collect, past the deadline, after which a lot is dropped.
    pub idle_timeout: Duration,
    /// Delay before a failed scoring is retried.
    pub rescore_delay: Duration,
    /// Most bytes of text in one answer; the first sample is always included.
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
