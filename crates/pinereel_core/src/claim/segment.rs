//! What one segment of a shard's log holds.

use super::MAX_BODY;
use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One batch of claims and settlements, written by one create.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Unique to the writer and the batch; tells after a lost answer whose segment it is.
    pub write_id: CompactString,
    /// Settlements; they apply before the claims.
    pub settles: Vec<Settle>,
    /// Claims, each of a key that was free when the batch was made.
    pub claims: Vec<Claim>,
}

/// A key taken for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The idempotency key.
    pub key: CompactString,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Id of the request, unique to each ask.
    pub request: CompactString,
    /// Milliseconds that the request had left when it claimed.
    pub left_ms: u64,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The idempotency key.
    pub key: CompactString,
    /// Id of the request that held the claim.
    pub request: CompactString,
    /// Digest of the request's content; the claim itself may be trimmed already.
    pub digest: Digest,
    /// The outcome; `None` if the request was certainly not run and the key is free again.
    pub outcome: Option<Record>,
}

/// The answer that a repeated request gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// HTTP status of the answer; 0 if the outcome is unknown.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: CompactString,
    /// The answer's body, if it was at most [`MAX_BODY`] bytes.
    pub body: Option<String>,
}

impl Record {
    /// The record as it is stored: a body over the limit is dropped, and its type with it.
    pub fn bounded(mut self) -> Self {
        if self.body.as_ref().is_some_and(|body| body.len() > MAX_BODY) {
            self.body = None;
            self.content_type = CompactString::default();
        }
        self
    }

    /// Bytes of the body.
    pub(super) fn body_len(&self) -> usize {
        self.body.as_ref().map_or(0, String::len)
    }
}
