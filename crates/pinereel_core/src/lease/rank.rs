//! Staggers the followers that try to take a free lease.
//!
//! All followers learn at the same time that a lease is free. If all of them wrote, all but one would
//! waste two calls to the store. So each waits for a delay that depends on its rank and on the duty,
//! and writes nothing if it learns meanwhile that the lease is taken.

use crate::hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delay between two consecutive followers. Followers learn the state of the leases every 0.7 s, so
/// about seven write before the success of the first is known. A longer step would leave a duty
/// without a holder for longer when the first followers have died.
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Most steps that a follower waits; all that come later share the last step. A duty must not wait
/// long for followers that have failed, and eight failed ones at the same time are rare.
const MAX_TAKEOVER_STEPS: u32 = 8;

/// The rank of an instance among all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// The rank itself, from 0. Preferred instances come first.
    pub number: u32,
    /// Number of preferred instances: those that should hold duties rather than the others.
    pub preferred: u32,
    /// Number of all instances.
    #[serde(rename = "of")]
    pub total: u32,
}

impl Rank {
    /// How long this instance waits before it takes the free lease of `duty`. All preferred instances
    /// come before all others.
    pub fn takeover_delay(self, duty: &str) -> Duration {
        if self.number < self.preferred {
            return TAKEOVER_STEP * steps(self.number, self.preferred, duty);
        }
        let others = self.total.saturating_sub(self.preferred);
        let preferred_steps = self.preferred.min(MAX_TAKEOVER_STEPS + 1);
        TAKEOVER_STEP * (preferred_steps + steps(self.number - self.preferred, others, duty))
    }
}

/// Takeover delay of an instance that does not know its rank: none if it is preferred, otherwise
/// longer than that of every preferred instance.
pub fn unranked_takeover_delay(preferred: bool) -> Duration {
    if preferred {
        Duration::ZERO
    } else {
        TAKEOVER_STEP * (MAX_TAKEOVER_STEPS + 1)
    }
}

/// Steps that `number` out of `total` waits. The order is rotated by a hash of the duty, so that
/// another instance comes first for each duty.
fn steps(number: u32, total: u32, duty: &str) -> u32 {
    let rotated = u64::from(number) + hash::stable(duty.as_bytes());
    let step = rotated % u64::from(total.max(1));
    u32::try_from(step)
        .unwrap_or(MAX_TAKEOVER_STEPS)
        .min(MAX_TAKEOVER_STEPS)
}
