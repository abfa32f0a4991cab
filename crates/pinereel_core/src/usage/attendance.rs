//! How many instances there are.

use crate::Time;
use std::time::Duration;

/// An instance that is not counted any more is waited for so long: when the root changes, the others come to the next one
/// little by little, and a sum without their counts would be wrong for good.
const KEPT: Duration = Duration::from_secs(15);

/// The most instances that were seen lately, as a child or as the root.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attendance {
    most: usize,
    seen_at: Time,
}

impl Attendance {
    /// So many are there now.
    pub fn note(&mut self, now: Time, count: usize) {
        if count >= self.most || now.since(self.seen_at) >= KEPT {
            self.most = count;
            self.seen_at = now;
        }
    }

    /// How many counts to wait for.
    pub const fn count(&self) -> usize {
        self.most
    }
}
