//! Fake plain service that records every execution, with faults that can be injected.
//!
//! | call | path | response |
//! |---|---|---|
//! | score a text | `POST /score` with `{"text": …}` | `{"score": S}`, S from 0 to 1, a function of the text |
//! | non-idempotent call | `POST /orders`, `POST /quotes` | `{"id": N}`, where N counts up |
//! | read an order | `GET /orders/N` | `{"id": N, "status": …}` |
//! | echo | `/echo`, any method | the body, streamed back |
//! | recorded executions | `GET /record` | list of [`Execution`], oldest first |
//! | set faults | `POST /faults` with [`Faults`] | 204 |
//!
//! Calls of `/record` and `/faults` are not recorded, and the faults do not apply to them.

mod handle;
mod serve;

pub use handle::{Handle, Options, Service};

use compact_str::CompactString;
use pinereel_core::hash::Digest;
use serde::{Deserialize, Serialize};

/// A request that was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// HTTP method.
    pub method: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// Value of the `idempotency-key` header.
    pub key: Option<CompactString>,
    /// Value of the `x-request-id` header.
    pub request_id: Option<CompactString>,
    /// Digest of the body; `None` for `/echo`, which streams the body instead of reading it whole.
    pub body: Option<Digest>,
    /// Time of the execution, in milliseconds since the start of the service.
    pub at_ms: u64,
}

/// Faults to inject: `POST /faults`. Absent fields leave a fault unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Delay of every response after the execution, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Refuse requests before execution, with status 503 and `x-refused: busy`.
    pub refuse: Option<bool>,
    /// Refuse requests before execution, with status 503 and `x-refused: leaving`.
    pub leaving: Option<bool>,
    /// Number of next requests that are executed, after which the connection is closed without a
    /// response.
    pub drop_after_run: Option<u32>,
    /// Number of next requests that are not executed and whose connection is closed without a
    /// response.
    pub drop_before_run: Option<u32>,
    /// Status of every response, after the execution (0 turns the fault off).
    pub fail_status: Option<u16>,
}
