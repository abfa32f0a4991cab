//! Status of one duty at this instance: whether it holds the lease, and what the lease permits.

use pinereel_core::{Time, lease::Cooldown};
use std::time::Duration;

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Its fencing token.
    pub fence: u64,
    /// Time on the clock of [`Duties::now`](super::Duties::now) from which the holder must not act
    /// any more.
    pub valid_until: Time,
    /// The cooldown after the previous holder, before the end of which this holder must not act.
    pub cooldown: Cooldown,
}

impl HeldLease {
    /// The time from which the holder may act, for a duty that needs at least `gap` between the
    /// actions of two holders.
    pub fn may_act_from(&self, gap: Duration) -> Time {
        match self.cooldown {
            Cooldown::EndsAt(ends_at) => ends_at,
            Cooldown::IdleSince(idle_since) => idle_since + gap,
        }
    }
}

/// The status of one duty at this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The lease, while this instance may act on it.
    pub lease: Option<HeldLease>,
    /// Whether no other instance is known to have taken the lease since this one held it. Work that
    /// may be done twice continues on this condition while the store is unreachable.
    pub is_presumed_holder: bool,
}

impl Status {
    /// Whether this instance holds no lease under which it may act at present.
    pub const fn is_not_held(&self) -> bool {
        self.lease.is_none()
    }

    /// Whether another instance is known to have taken the lease, or this one has released it.
    pub const fn is_superseded(&self) -> bool {
        !self.is_presumed_holder
    }
}
