//! The lease as it is stored, its times, and what a holder is told and orders.

use super::RemainingCooldown;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The stored lease of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; empty if it was released.
    pub holder: CompactString,
    /// The fencing token: grows by one with each change of holder.
    pub fence: u64,
    /// How long a write of the holder lasts, in milliseconds.
    pub duration_ms: u64,
    /// Unique to each write; tells after a lost answer whose write it is.
    pub write_id: CompactString,
    /// Where the holder can be reached on account of the duty; empty if nowhere.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub address: CompactString,
    /// How long after this write its holder may act, in milliseconds; none if as long as the lease lasts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acts_ms: Option<u64>,
    /// How long the duty's acts must rest from this write on; none if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "rests")]
    pub remaining_cooldown: Option<RemainingCooldown>,
}

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a renewal lasts.
    pub duration: Duration,
    /// The holder stops this much early and a taker waits this much longer.
    pub clock_margin: Duration,
    /// Pause after a failed or lost call, and between looks at another's lease.
    pub retry_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            clock_margin: Duration::from_secs(1),
            retry_interval: Duration::from_secs(2),
        }
    }
}

/// What a holder is told. Each call it ordered gets exactly one answer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease as read, with its object version; `None` if absent.
    Read(Option<(u64, Lease)>),
    /// The write succeeded and made this object version.
    Written(u64),
    /// The object had another version.
    Conflict,
    /// The write's outcome is not known; it may still take effect.
    Unknown,
    /// A read failed.
    Failed,
    /// Time has passed.
    Tick,
    /// Give up the lease, and don't take it again.
    Drain,
}

/// What a holder orders. At most one call is open at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease if its object version is still `expected`; create it if that is `None`.
    Write {
        /// The version it must have.
        expected: Option<u64>,
        /// The new content.
        lease: Lease,
    },
}
