//! Number of instances whose reports are required before a window is summed up.

use crate::Time;
use std::time::Duration;

/// Time for which a higher count is kept after it was last observed. When the root of the tree
/// changes, the other instances join the new root one after the other, and a sum without their
/// counts would stay wrong.
const RETENTION: Duration = Duration::from_secs(15);

/// Highest number of instances that this instance observed recently, as a child or as the root of
/// the tree.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceCount {
    max_count: usize,
    max_seen_at: Time,
}

impl InstanceCount {
    /// Records the number of instances that are in the tree now.
    pub fn observe(&mut self, now: Time, count: usize) {
        if count >= self.max_count || now.since(self.max_seen_at) >= RETENTION {
            self.max_count = count;
            self.max_seen_at = now;
        }
    }

    /// Number of instances whose reports to wait for.
    pub const fn expected(&self) -> usize {
        self.max_count
    }
}
