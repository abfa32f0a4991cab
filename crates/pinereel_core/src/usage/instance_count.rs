//! How many instances there are.

use crate::Time;
use std::time::Duration;

/// An instance that is not counted any more is waited for so long: when the root changes, the others come to the next one
/// little by little, and a sum without their counts would be wrong for good.
const RETENTION: Duration = Duration::from_secs(15);

/// The most instances that were seen lately, as a child or as the root.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceCount {
    max_count: usize,
    max_seen_at: Time,
}

impl InstanceCount {
    /// So many are there now.
    pub fn observe(&mut self, now: Time, count: usize) {
        if count >= self.max_count || now.since(self.max_seen_at) >= RETENTION {
            self.max_count = count;
            self.max_seen_at = now;
        }
    }

    /// How many counts to wait for.
    pub const fn expected(&self) -> usize {
        self.max_count
    }
}
