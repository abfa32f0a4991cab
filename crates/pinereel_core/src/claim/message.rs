//! What goes in and out of a [`Log`](super::Log).

use super::{Record, Segment};
use crate::hash::Digest;
use compact_str::CompactString;
use std::time::Duration;

/// Bounds of one [`Log`](super::Log).
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most claims, and most settlements, in one segment.
    pub batch: usize,
    /// Most claims, and most settlements, that wait for the next segment.
    pub waiting: usize,
    /// Most body bytes in one segment.
    pub bytes: usize,
    /// Most keys in memory. At the bound new keys are refused until old ones expire.
    pub keys: usize,
    /// How long a record is kept at least. Longer than any request's deadline.
    pub window: Duration,
    /// Pause after a failed call.
    pub retry: Duration,
    /// An idle log is read again after this long.
    pub refresh: Duration,
    /// Outcomes wait for so long for claims to be written with; nobody waits for them. A settlement
    /// that frees a key does not wait.
    pub linger: Duration,
    /// A key without an outcome is looked up again if the log was not read for so long: another
    /// writer may have settled it.
    pub recheck: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            batch: 100,
            waiting: 100,
            bytes: 128 * 1024,
            keys: 100_000,
            window: Duration::from_secs(24 * 3600),
            retry: Duration::from_millis(200),
            refresh: Duration::from_secs(60),
            linger: Duration::ZERO,
            recheck: Duration::from_millis(500),
        }
    }
}

/// What a log is told. Each call it ordered gets exactly one answer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for its key.
    Claim {
        /// Id of the request, unique to each ask.
        request: CompactString,
        /// The idempotency key.
        key: CompactString,
        /// Digest of the request's content.
        digest: Digest,
        /// Time until the request's deadline.
        left: Duration,
    },
    /// A request that claimed has ended.
    Settle {
        /// Id of the request.
        request: CompactString,
        /// The idempotency key.
        key: CompactString,
        /// Digest of the request's content, as in its claim.
        digest: Digest,
        /// The outcome; `None` if the request was not run and never will be.
        outcome: Option<Record>,
    },
    /// The create succeeded.
    Created,
    /// The create found the number taken.
    Conflict,
    /// The create certainly had no effect and never will: not sent, or refused.
    NotCreated,
    /// The create's outcome is not known; it may still take effect.
    Unknown,
    /// Answer to [`Action::Read`].
    Read {
        /// The segments from the asked number on, without gaps.
        segments: Vec<(u64, Segment)>,
        /// The base, read after the segments; 0 if the object is absent.
        base: u64,
    },
    /// Answer to [`Action::ReadBase`] and [`Action::Trim`]: the base that now stands.
    Base(u64),
    /// A read or trim failed.
    Failed,
    /// Time has passed.
    Tick,
}

/// What a log orders. At most one call to the object API is open at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create segment `n` if it is absent.
    Create {
        /// Its number.
        n: u64,
        /// Its content.
        segment: Segment,
    },
    /// Read the segments from `from` on until one is absent, then the base.
    Read {
        /// The first number.
        from: u64,
    },
    /// Read the base.
    ReadBase,
    /// If the base is still `from`, raise it to `to` by conditional update, then delete all
    /// segments below it. Answer with the base that now stands.
    Trim {
        /// The base it was.
        from: u64,
        /// The base it shall be.
        to: u64,
    },
    /// Answer to a claim; exactly one a request.
    Reply {
        /// Id of the request.
        request: CompactString,
        /// The answer.
        verdict: Verdict,
    },
    /// Answer to a settlement.
    Settled {
        /// Id of the request.
        request: CompactString,
        /// Whether it is stored. If not, the sender may try again; the key reads as in progress,
        /// then as unknown, until then.
        stored: bool,
    },
}

/// Answer to a claim. Only [`Verdict::Granted`] allows the request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is the request's own.
    Granted,
    /// The key's request ran; this came of it.
    Repeat(Record),
    /// The key's request may be running.
    InProgress,
    /// The key's request can no longer be running and left no outcome.
    ClaimUnknown,
    /// The key belongs to a request with other content.
    KeyConflict,
    /// The key could not be claimed in time or for want of room; the request must not run.
    NotClaimed,
}
