//! How this instance stands to a duty.

use pinereel_core::{Time, lease::Cooldown};
use std::time::Duration;

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Its fencing token.
    pub fence: u64,
    /// Moment on [`Duties::now`](super::Duties::now)'s clock from which it must not be acted on.
    pub valid_until: Time,
    /// From when on its acts do not come too soon after those of the holder before.
    pub cooldown: Cooldown,
}

impl HeldLease {
    /// From when on it may be acted on, if so much time must lie between the acts of two holders.
    pub fn may_act_from(&self, gap: Duration) -> Time {
        match self.cooldown {
            Cooldown::EndsAt(ends_at) => ends_at,
            Cooldown::IdleSince(idle_since) => idle_since + gap,
        }
    }
}

/// How this instance stands to a duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The lease, while it may be acted on.
    pub lease: Option<HeldLease>,
    /// Whether nobody else is known to have it since this instance did: what may be done twice goes
    /// on while the store is away.
    pub is_presumed_holder: bool,
}

impl Status {
    /// Whether the lease may not be acted on.
    pub const fn is_not_held(&self) -> bool {
        self.lease.is_none()
    }

    /// Whether another instance is known to have the duty, or this one has given it up.
    pub const fn is_superseded(&self) -> bool {
        !self.is_presumed_holder
    }
}
