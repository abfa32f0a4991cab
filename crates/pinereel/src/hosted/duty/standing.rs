//! How this instance stands to a duty.

use pinereel_core::{Time, lease::Cooldown};
use std::time::Duration;

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its fencing token.
    pub fence: u64,
    /// Moment on [`Duties::now`](super::Duties::now)'s clock from which it must not be acted on.
    pub until: Time,
    /// From when on its acts do not come too soon after those of the holder before.
    pub clear: Cooldown,
}

impl Grant {
    /// From when on it may be acted on, if so much time must lie between the acts of two holders.
    pub fn clear_from(&self, gap: Duration) -> Time {
        match self.clear {
            Cooldown::EndsAt(clear) => clear,
            Cooldown::IdleSince(idle) => idle + gap,
        }
    }
}

/// How this instance stands to a duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// The lease, while it may be acted on.
    pub grant: Option<Grant>,
    /// Whether nobody else is known to have it since this instance did: what may be done twice goes
    /// on while the store is away.
    pub presumed: bool,
}

impl Standing {
    /// Whether the lease may not be acted on.
    pub const fn is_lost(&self) -> bool {
        self.grant.is_none()
    }

    /// Whether another instance is known to have the duty, or this one has given it up.
    pub const fn is_superseded(&self) -> bool {
        !self.presumed
    }
}
