//! A plain service that counts every execution, with faults on request.
//!
//! | call | path | answer |
//! |---|---|---|
//! | score a text | `POST /score` with `{"text": …}` | `{"score": 0..1}`, always the same for a text |
//! | not repeatable | `POST /orders`, `POST /quotes` | `{"id": N}`, N counts up |
//! | look up | `GET /orders/N` | `{"id": N, "status": …}` |
//! | echo | any method, `/echo` | the body, streamed back |
//! | executions | `GET /record` | list of [`Execution`], oldest first |
//! | faults | `POST /faults` with [`Faults`] | 204 |
//!
//! `/record` and `/faults` are not executions and are exempt from faults.

mod handle;
mod serve;

pub use handle::{Handle, Options, Service};

use compact_str::CompactString;
use pinereel_core::hash::Digest;
use serde::{Deserialize, Serialize};

/// One request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// HTTP method.
    pub method: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// The idempotency key, if any.
    pub key: Option<CompactString>,
    /// The request id, if any.
    pub request_id: Option<CompactString>,
    /// Digest of the body; none for `/echo`, which does not gather it.
    pub body: Option<Digest>,
    /// When it ran, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
}

/// Faults: `POST /faults`. Absent fields leave a fault as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Hold every answer for so long, in milliseconds, after the request ran.
    pub delay_ms: Option<u64>,
    /// Answer 503 with `x-refused: busy` before running anything.
    pub refuse: Option<bool>,
    /// Answer 503 with `x-refused: leaving` before running anything.
    pub leaving: Option<bool>,
    /// Run the next so many requests, then drop the connection without an answer.
    pub drop_after_run: Option<u32>,
    /// Drop the connection of the next so many requests before they run.
    pub drop_before_run: Option<u32>,
    /// Run, then answer with this status (0 ends it).
    pub fail_status: Option<u16>,
}
