//! Events, actions and limits of a [`Log`](super::Log).

use super::{Segment, StoredResponse};
use crate::hash::Digest;
use compact_str::CompactString;
use std::time::Duration;

/// Limits of one [`Log`](super::Log).
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of claims, and of settlements, in one segment.
    pub max_batch: usize,
    /// Maximum number of claims, and of settlements, queued for the next segment.
    pub max_waiting: usize,
    /// Maximum total size of response bodies in one segment, in bytes. A segment always takes at
    /// least one settlement.
    pub max_segment_bytes: usize,
    /// Maximum number of keys in memory. At the limit new keys are refused until old ones expire.
    pub max_keys: usize,
    /// Minimum time that a key is kept. Must exceed the time that any request has left until its
    /// deadline; claims with a later deadline are refused.
    pub retention: Duration,
    /// Delay before a failed call is retried.
    pub retry_delay: Duration,
    /// Interval at which an idle log is read again.
    pub refresh_interval: Duration,
    /// Time that settlements with an outcome wait to share a segment with claims, which saves
    /// writes: no caller waits for them. A settlement that frees a key is written immediately.
    pub linger: Duration,
    /// Maximum age of the last read for a verdict on a key that is held without an outcome. If it
    /// is older, the log is read again first, since another writer may have settled the key.
    pub max_read_age: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_batch: 100,
            max_waiting: 100,
            max_segment_bytes: 128 * 1024,
            max_keys: 100_000,
            retention: Duration::from_secs(24 * 3600),
            retry_delay: Duration::from_millis(200),
            refresh_interval: Duration::from_secs(60),
            linger: Duration::ZERO,
            max_read_age: Duration::from_millis(500),
        }
    }
}

/// Input of a log. Each call that the log requests gets exactly one result event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request claims its key.
    Claim {
        /// Id of the request, unique to each claim attempt.
        request: CompactString,
        /// The idempotency key.
        key: CompactString,
        /// Digest of the request's content.
        digest: Digest,
        /// Time left until the request's deadline.
        time_left: Duration,
    },
    /// A request that claimed its key has ended.
    Settle {
        /// Id of the request.
        request: CompactString,
        /// The idempotency key.
        key: CompactString,
        /// Digest of the request's content, as in its claim.
        digest: Digest,
        /// The outcome; `None` if the request did not run and never will.
        outcome: Option<StoredResponse>,
    },
    /// The create succeeded.
    Created,
    /// The create failed because the segment number is already taken.
    Conflict,
    /// The create has no effect and never will: it was not sent, or it was refused.
    NotCreated,
    /// The result of the create is not known; it may still take effect.
    CreateUnknown,
    /// Result of [`Action::Read`].
    Read {
        /// The segments from the requested number on, without gaps.
        segments: Vec<(u64, Segment)>,
        /// The base number, read after the segments; 0 if the object is absent.
        base: u64,
    },
    /// Result of [`Action::ReadBase`] and [`Action::Trim`]: the current base number.
    Base(u64),
    /// A read or a trim failed.
    CallFailed,
    /// Time has passed; drives retries, lingering settlements, trims and periodic reads.
    Tick,
}

/// Output of a log. At most one call to the object API is in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create the segment if its number is absent.
    Create {
        /// The segment's number.
        number: u64,
        /// The segment's content.
        segment: Segment,
    },
    /// Read the segments from number `from` on until one is absent, then the base number.
    Read {
        /// The first segment number to read.
        from: u64,
    },
    /// Read the base number.
    ReadBase,
    /// If the base number is still `from`, raise it to `to` by a conditional update, then delete
    /// all segments below it. Answered with the current base.
    Trim {
        /// The expected current base.
        from: u64,
        /// The new base.
        to: u64,
    },
    /// Answer to a claim, sent exactly once per request.
    Reply {
        /// Id of the request.
        request: CompactString,
        /// The verdict.
        verdict: Verdict,
    },
    /// Answer to a settlement.
    Settled {
        /// Id of the request.
        request: CompactString,
        /// Whether the settlement is stored. If not, the sender may retry. Until it is stored,
        /// claims of the key get [`Verdict::InProgress`], and [`Verdict::ClaimUnknown`] after the
        /// deadline.
        stored: bool,
    },
}

/// Result of a claim. Only [`Verdict::Granted`] allows the request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds the key.
    Granted,
    /// An earlier request with this key ran; its stored response.
    Repeat(StoredResponse),
    /// An earlier request with this key may still be running.
    InProgress,
    /// An earlier request with this key is past its deadline and has no recorded outcome.
    ClaimUnknown,
    /// The key is held by a request with different content.
    KeyConflict,
    /// The key could not be claimed: the deadline passed, a limit was reached, the claim was
    /// cancelled, or the object API is unavailable. The request must not run.
    NotClaimed,
}
