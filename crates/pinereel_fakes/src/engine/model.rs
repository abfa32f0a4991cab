//! What goes into the batching model and what it keeps on record.

use pinereel_api::engine::FinishReason;
use pinereel_core::{Span, Version};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Most sequences at once.
    pub slots: usize,
    /// Most sequences that wait for a slot.
    pub queue: usize,
    /// Tokens a second of a sequence that runs alone.
    pub tokens_per_second: f64,
    /// By what share of a lone step each further sequence lengthens a step.
    pub batch_cost: f64,
    /// Prompt tokens computed a second.
    pub prefill_per_second: f64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Time that a weight swap takes.
    pub swap: Duration,
    /// Time after a swap during which steps take twice as long.
    pub warm_up: Duration,
    /// Weights that are loaded from the start.
    pub version: Option<Version>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 4_096,
            tokens_per_second: 100.0,
            batch_cost: 0.05,
            prefill_per_second: 20_000.0,
            cache_blocks: 4_096,
            swap: Duration::from_millis(500),
            warm_up: Duration::from_millis(200),
            version: Some(Version(1)),
        }
    }
}

/// Why a request was refused before anything of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The engine is leaving.
    #[error("leaving")]
    Leaving,
    /// No weights are loaded.
    #[error("not loaded")]
    NotLoaded,
    /// The queue is at its bound.
    #[error("full")]
    Full,
    /// An attempt of this id is in flight.
    #[error("duplicate")]
    Duplicate,
}

/// What truly happened to one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the prompt, in hexadecimal.
    pub prompt: String,
    /// Seed of the sampling.
    pub seed: u64,
    /// Versions that computed the prompt, reused blocks included.
    pub prompt_spans: Vec<Span>,
    /// Versions that computed the output.
    pub output_spans: Vec<Span>,
    /// Output tokens handed out.
    pub tokens: u32,
    /// How it ended, if it did.
    pub finished: Option<FinishReason>,
}
