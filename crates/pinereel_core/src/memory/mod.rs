//! Memory that a process holds for its callers: what is admitted, and what is given up for others.
//!
//! A [`Ledger`] counts the bytes of connections, of bodies that are being received, and of complete bodies
//! until they are dropped. Small entries may use all of the memory, larger ones only a part, so that a
//! request of ordinary size finds room beside any number of large ones.
//!
//! If there is no room, bodies that are still being received give way, as nothing has run for them:
//! first those whose sender has stalled, then, for an older or smaller body, the youngest.

mod candidate;
mod ledger;

pub use ledger::{Full, Key, Kind, Ledger, Phase};

use std::time::Duration;

/// Largest entry that may use all of the memory, in bytes.
pub const MAX_SMALL_BYTES: usize = 64 << 10;
/// Largest entry of medium size, in bytes.
pub const MAX_MEDIUM_BYTES: usize = 1 << 20;
/// Time without [`PROGRESS_BYTES`] after which a sender counts as stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a sender must have sent to count as making progress, unless its body ends before.
pub const PROGRESS_BYTES: usize = 16 << 10;

/// Size class of an entry; each has a limit for all entries of this class and the larger ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Small,
    Medium,
    Large,
}

impl Class {
    const ALL: [Self; 3] = [Self::Small, Self::Medium, Self::Large];

    const fn of(bytes: usize) -> Self {
        if bytes <= MAX_SMALL_BYTES {
            Self::Small
        } else if bytes <= MAX_MEDIUM_BYTES {
            Self::Medium
        } else {
            Self::Large
        }
    }

    /// Most bytes of this class and the larger ones together, of `max_bytes` in total.
    const fn limit(self, max_bytes: usize) -> usize {
        match self {
            Self::Small => max_bytes,
            Self::Medium => max_bytes - max_bytes / 16,
            Self::Large => max_bytes - max_bytes / 8,
        }
    }
}
