//! HTTP API of model engines: completions with weight versions, orders to load weights, state.
//!
//! | call | path | answer |
//! |---|---|---|
//! | complete | `POST /v1/completions` [`Request`] | `text/event-stream` of [`Chunk`], then `data: [DONE]` |
//! | cancel | `POST /v1/cancel` [`Cancel`] | 204 |
//! | order | `POST /v1/orders` [`Order`] | 200 [`State`], 409 if the fencing token is old |
//! | state | `GET /v1/state` | 200 [`State`] (the load in it lags) |
//!
//! An engine that refuses a request before running it answers 503 with `x-refused`: `leaving`
//! (permanent), `not-loaded`, `full` or `duplicate` (temporary).

use compact_str::CompactString;
use pinereel_core::{Span, Version};
use serde::{Deserialize, Serialize};

/// Request for a completion. Callers send the same body to an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the model; at an entry, name of the pool.
    pub model: CompactString,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the caller wants server-sent events (an engine always streams).
    #[serde(default)]
    pub stream: bool,
    /// Seed for sampling.
    #[serde(default)]
    pub seed: u64,
    /// Higher runs first: 2 live, 1 straggler, 0 bulk.
    #[serde(default)]
    pub priority: u8,
    /// Id of the attempt, which its chunks and a cancel carry.
    #[serde(default)]
    pub request_id: CompactString,
    /// Number of tokens per chunk; 1 for live callers.
    #[serde(default = "default_chunk_tokens")]
    pub chunk_tokens: u32,
    /// Restricts reuse of the prefix cache to entries with the same salt. Empty for no restriction.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub cache_salt: CompactString,
    /// Text that earlier attempts generated; this one resumes after it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume: String,
    /// Number of tokens in `resume`.
    #[serde(default)]
    pub resume_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    64
}

const fn default_chunk_tokens() -> u32 {
    1
}

/// One event of a completion stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the attempt.
    pub id: CompactString,
    /// Number of output tokens before this chunk, including those of `resume`.
    pub offset: u32,
    /// Text of this chunk. One token of the fake engine is one word with its leading space.
    pub text: String,
    /// Number of output tokens in this chunk.
    pub tokens: u32,
    /// Version of the weights that computed this chunk; absent if the engine does not know it.
    #[serde(default)]
    pub version: Option<Version>,
    /// On the first chunk: tokens reused from the prefix cache or imported KV cache, by version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reused: Vec<Span>,
    /// On the last chunk: why the completion ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
}

/// Why a completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model generated its end token.
    Stop,
    /// `max_tokens` was reached.
    Length,
    /// It was cancelled or preempted; the text is incomplete.
    Cancelled,
}

/// Request to cancel one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the attempt.
    pub request_id: CompactString,
}

/// Order to load a version of a model. Idempotent: an order for the loaded version has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// Name of the model.
    pub model: CompactString,
    /// Version to load and serve.
    pub version: Version,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Changes with each start.
    pub incarnation: u64,
    /// Version being served; absent before the first load.
    pub version: Option<Version>,
    /// Version being loaded.
    #[serde(default)]
    pub loading: Option<Version>,
    /// Error of the last load, if it failed.
    #[serde(default)]
    pub failed: Option<CompactString>,
    /// Number of running sequences, as of `lag_ms` ago.
    pub running: u32,
    /// Number of queued sequences, as of `lag_ms` ago.
    pub waiting: u32,
    /// Age of `running` and `waiting`, in milliseconds.
    pub lag_ms: u64,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
    /// Whether the engine is leaving: it takes no new requests.
    pub leaving: bool,
    /// Highest fencing token of all orders received.
    #[serde(default)]
    pub fence: u64,
}
