//! From when on a new holder may act, for a duty whose holders must not act soon after one another.
//!
//! Load pattern: holders are stopped one after the other. Each new one waited out the whole time that
//! must lie between two holders' acts, though the one before had never acted: engines got no order for
//! 8 s. And of one that vanished they waited from the moment at which they had its lease, up to 1.2 s
//! after it could have acted for the last time. So a lease tells how long acts must rest.

use super::Lease;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// From when on a new holder may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cooldown {
    /// From this moment on: the holder before has told.
    EndsAt(Time),
    /// The holder before has not acted after this moment, and told nothing.
    IdleSince(Time),
}

/// How long acts must rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingCooldown {
    /// For the holder's own next start on the same machine, in milliseconds.
    pub own_ms: u64,
    /// For any other holder once this write has released the lease, in milliseconds.
    pub other_ms: u64,
}

/// Who wrote the lease that a new holder takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Writer {
    /// An earlier start of the new holder on its own machine.
    PreviousRun,
    /// An earlier start of an instance of its name, on another machine.
    SameName,
    /// Another instance.
    Other,
}

impl Cooldown {
    /// For whoever takes over a lease that it first saw at `since`, and whose holder might act for
    /// `lasts` after a write.
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
            // It has ended, or given the lease up, but maybe only just now.
            (None, Writer::PreviousRun | Writer::SameName) => Self::IdleSince(now),
            (None, Writer::Other) if released => Self::IdleSince(now),
            // It counted from before it wrote this.
            (_, Writer::SameName | Writer::Other) => Self::IdleSince((since + span).min(now)),
        }
    }
}
