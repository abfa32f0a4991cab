//! The stored lease, its timing, and the events and actions of a candidate's state machine.

use super::RemainingCooldown;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The lease of one duty, as stored in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the holder; empty after a release.
    pub holder: CompactString,
    /// The fencing token. It grows by one with each change of holder.
    pub fence: u64,
    /// How long the lease is valid after each write, in milliseconds.
    pub duration_ms: u64,
    /// Unique for each write. After a lost answer it tells whether the write took effect.
    pub write_id: CompactString,
    /// Address at which the holder serves the duty; empty if there is none.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub address: CompactString,
    /// How long the holder may act after this write, in milliseconds. `None` stands for the lease
    /// duration less the clock margin.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acts_ms: Option<u64>,
    /// Cooldown left at this write; `None` if the holder does not know it.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "rests")]
    pub remaining_cooldown: Option<RemainingCooldown>,
}

/// Timing of a lease. All candidates of a duty must use the same values.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long the lease is valid after a write.
    pub duration: Duration,
    /// Allowance for clocks that run at different rates: the holder stops this much before the lease
    /// expires, and a candidate waits this much longer before it takes the lease.
    pub clock_margin: Duration,
    /// Mean pause after a failed call, and between reads of a lease that another candidate holds.
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

/// Input of the state machine. Each [`Action`] must be answered by exactly one event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease as read, with its object version; `None` if the object does not exist.
    Read(Option<(u64, Lease)>),
    /// The write succeeded and created this object version.
    Written(u64),
    /// The write was rejected: the object has another version than expected.
    Conflict,
    /// The outcome of the write is unknown; it may still take effect.
    Unknown,
    /// The read failed.
    Failed,
    /// Time has passed.
    Tick,
    /// Release the lease and do not take it again.
    Drain,
}

/// Output of the state machine: calls to the object store. At most one is open at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write the lease if its object version is still `expected`; create it if `expected` is `None`.
    Write {
        /// The object version that the store must find.
        expected: Option<u64>,
        /// The lease to store.
        lease: Lease,
    },
}
