//! The cooldown between two lease holders: the earliest time at which a new holder may act.
//!
//! Some duties need a minimum gap between the actions of consecutive holders. Each lease records how
//! much of the cooldown is left, so that a successor does not wait longer than necessary. Without that,
//! holders that are stopped one after another each wait out the whole gap although none of them has
//! acted, which left engines without orders for 8 s. A successor of a holder that disappeared counts
//! from the last time at which that holder can have acted; counting from the takeover costs up to
//! 1.2 s more.

use super::Lease;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a new holder knows about the actions of the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cooldown {
    /// The previous holder recorded its cooldown: the new one may act from this time on.
    EndsAt(Time),
    /// No cooldown that applies was recorded, but the previous holder has not acted after this time. The
    /// caller adds the gap that the duty needs.
    IdleSince(Time),
}

/// Cooldown left when a lease is written, as stored with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingCooldown {
    /// For the next process of the holder on the same machine, in milliseconds.
    pub own_ms: u64,
    /// For any other holder, in milliseconds. Applies only if this write releases the lease.
    pub other_ms: u64,
}

/// Who wrote the lease that a new holder takes over, relative to the new holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Writer {
    /// An earlier process of the same instance on the same machine.
    PreviousRun,
    /// An earlier process of an instance of the same name, on another machine.
    SameName,
    /// Another instance.
    Other,
}

impl Cooldown {
    /// The cooldown for a candidate that takes over `lease`, which it first read at `since`. `span` is
    /// how long the previous holder may act after a write.
    pub(super) fn after(
        lease: &Lease,
        writer: Writer,
        since: Time,
        span: Duration,
        now: Time,
    ) -> Self {
        let released = lease.holder.is_empty();
        match (lease.remaining_cooldown, writer) {
            (Some(remaining), Writer::PreviousRun) => {
                Self::EndsAt(since + Duration::from_millis(remaining.own_ms))
            }
            (Some(remaining), _) if released => {
                Self::EndsAt(since + Duration::from_millis(remaining.other_ms))
            }
            // The previous holder has ended or released the lease, possibly only just now.
            (None, Writer::PreviousRun | Writer::SameName) => Self::IdleSince(now),
            (None, Writer::Other) if released => Self::IdleSince(now),
            // The previous holder counts its time from before it sent this write, so it stops first.
            (_, Writer::SameName | Writer::Other) => Self::IdleSince((since + span).min(now)),
        }
    }
}
