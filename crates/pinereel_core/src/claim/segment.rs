//! The stored format of one segment of a shard's log.

use super::MAX_BODY_BYTES;
use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A batch of claims and settlements, written by one create.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Unique id of this write. After a lost response, a writer recognises its own segment by it.
    pub write_id: CompactString,
    /// Settlements, applied before the claims.
    #[serde(rename = "settles")]
    pub settlements: Vec<Settlement>,
    /// Claims, each of a key that was free when the batch was built.
    pub claims: Vec<Claim>,
}

/// A claim of a key by one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The idempotency key.
    pub key: CompactString,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Id of the request, unique to each claim attempt.
    pub request: CompactString,
    /// Time left until the request's deadline when the segment was built, in milliseconds.
    pub left_ms: u64,
}

/// The end of a request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The idempotency key.
    pub key: CompactString,
    /// Id of the request that held the claim.
    pub request: CompactString,
    /// Digest of the request's content, repeated here because the claim may already be trimmed.
    pub digest: Digest,
    /// The outcome; `None` if the request did not run, which frees the key.
    pub outcome: Option<StoredResponse>,
}

/// The stored response, replayed to repeated requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status; 0 if the outcome of the request is not known.
    pub status: u16,
    /// Content type; empty if the body was dropped.
    pub content_type: CompactString,
    /// The body, if it was at most [`MAX_BODY_BYTES`] long.
    pub body: Option<String>,
}

impl StoredResponse {
    /// Drops a body longer than [`MAX_BODY_BYTES`], and its content type with it.
    pub fn bounded(mut self) -> Self {
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_BODY_BYTES)
        {
            self.body = None;
            self.content_type = CompactString::default();
        }
        self
    }

    /// Length of the body in bytes.
    pub(super) fn body_len(&self) -> usize {
        self.body.as_ref().map_or(0, String::len)
    }
}
