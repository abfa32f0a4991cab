//! Model engines: completions with version stamps, orders, state.
//!
//! | call | path | answer |
//! |---|---|---|
//! | complete | `POST /v1/completions` [`Request`] | `text/event-stream` of [`Chunk`], then `data: [DONE]` |
//! | cancel | `POST /v1/cancel` [`Cancel`] | 204 |
//! | order | `POST /v1/orders` [`Order`] | 200 [`State`], 409 if the fencing token is old |
//! | state | `GET /v1/state` | 200 [`State`] (the load in it lags) |
//!
//! An engine refuses with 503 and `x-refused` before it runs anything: `leaving` (for good),
//! `not-loaded`, `full` or `duplicate` (for now).

use compact_str::CompactString;
use pinereel_core::{Span, Version};
use serde::{Deserialize, Serialize};

/// A request for a completion. Callers send the same shape to an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model, or an entry's pool.
    pub model: CompactString,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the caller wants server-sent events (an engine always streams).
    #[serde(default)]
    pub stream: bool,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: u64,
    /// Higher runs first: 2 live, 1 straggler, 0 bulk.
    #[serde(default)]
    pub priority: u8,
    /// Id of the attempt; chunks and cancels name it.
    #[serde(default)]
    pub request_id: CompactString,
    /// Tokens to gather before a chunk is sent; 1 for live callers.
    #[serde(default = "default_chunk_tokens")]
    pub chunk_tokens: u32,
    /// Only prefix cache that was filled under the same salt is reused. Empty for any.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub cache_salt: CompactString,
    /// Text generated so far by an attempt that this one goes on with.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume: String,
    /// Tokens in `resume`.
    #[serde(default)]
    pub resume_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    64
}

const fn default_chunk_tokens() -> u32 {
    1
}

/// One event of a completion's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the attempt.
    pub id: CompactString,
    /// Output tokens before this chunk, those of `resume` included.
    pub offset: u32,
    /// The new text; one token of the stand-in is one word with its leading space.
    pub text: String,
    /// Output tokens in this chunk.
    pub tokens: u32,
    /// The weights that computed this chunk. An engine that lost track leaves it out.
    #[serde(default)]
    pub version: Option<Version>,
    /// On the first chunk: what was reused of prefix cache or imported KV, by version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reused: Vec<Span>,
    /// On the last chunk: why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
}

/// Why a completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// `max_tokens` was reached.
    Length,
    /// It was cancelled or preempted; it is not whole.
    Cancelled,
}

/// Cancels one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the attempt.
    pub request_id: CompactString,
}

/// An order to load a version of a model. Idempotent: loading what is loaded changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// The model.
    pub model: CompactString,
    /// The version to serve.
    pub version: Version,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Changes with each start.
    pub incarnation: u64,
    /// The version it serves now; absent before the first load.
    pub version: Option<Version>,
    /// The version it is loading.
    #[serde(default)]
    pub loading: Option<Version>,
    /// Why the last load failed.
    #[serde(default)]
    pub failed: Option<CompactString>,
    /// Sequences running, as of `lag_ms` ago.
    pub running: u32,
    /// Sequences waiting, as of `lag_ms` ago.
    pub waiting: u32,
    /// Age of the load figures, in milliseconds.
    pub lag_ms: u64,
    /// Most sequences it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Highest fencing token seen.
    #[serde(default)]
    pub fence: u64,
}
