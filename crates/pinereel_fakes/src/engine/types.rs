//! Options, refusals and records of the batching simulation.

use pinereel_api::engine::FinishReason;
use pinereel_core::{Span, Version};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Capacity and speed of a fake engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of concurrent sequences.
    pub slots: usize,
    /// Maximum number of sequences that wait for a slot.
    pub max_waiting: usize,
    /// Output tokens per second of a sequence that runs alone.
    pub tokens_per_second: f64,
    /// Additional duration of a step for each further sequence, as a fraction of the duration with
    /// one sequence.
    pub batch_cost: f64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Duration of a weight swap.
    pub swap_time: Duration,
    /// Time after a swap during which steps take twice as long.
    pub warm_up_time: Duration,
    /// Version loaded at the start and after a restart.
    pub initial_version: Option<Version>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            max_waiting: 4_096,
            tokens_per_second: 100.0,
            batch_cost: 0.05,
            prefill_tokens_per_second: 20_000.0,
            cache_blocks: 4_096,
            swap_time: Duration::from_millis(500),
            warm_up_time: Duration::from_millis(200),
            initial_version: Some(Version(1)),
        }
    }
}

/// Why a request was refused, before any part of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The engine is leaving.
    #[error("leaving")]
    Leaving,
    /// No weights are loaded.
    #[error("not loaded")]
    NotLoaded,
    /// The maximum number of sequences is waiting.
    #[error("full")]
    Full,
    /// An attempt with this id is waiting or running.
    #[error("duplicate")]
    Duplicate,
}

/// What the engine actually computed for one attempt, whatever stamps it sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the prompt, in hexadecimal.
    pub prompt: String,
    /// Seed for sampling.
    pub seed: u64,
    /// Versions that computed the prompt, including reused blocks.
    pub prompt_spans: Vec<Span>,
    /// Versions that computed the output.
    pub output_spans: Vec<Span>,
    /// Number of output tokens in the emitted chunks.
    pub tokens: u32,
    /// Why it ended; `None` until its last chunk is emitted.
    pub finished: Option<FinishReason>,
}
