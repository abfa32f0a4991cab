//! How many requests of each workspace began to run, by window of true time.
//!
//! Each instance counts its own ([`Ledger::count`]) and tells its count of a window whenever it has changed ([`Report`]): always
//! all of it, with a serial number, so that reports may be lost, doubled and reordered on their way. Whoever collects adds
//! them up once all instances have closed the window, or after some patience ([`Collector`]). What was once added up is kept,
//! and never added up again: all later holders of the duty report the same.

mod aggregator;
mod instance_count;
mod ledger;
mod wall_clock;

pub use aggregator::{Aggregator, Timing};
pub use instance_count::InstanceCount;
pub use ledger::{Ledger, Report};
pub use wall_clock::WallClock;

use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// Requests by workspace.
pub type Counts = BTreeMap<CompactString, u64>;

/// Number of a window: windows of one length, counted from the start of 1970.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Window(pub u64);

/// A moment of true time: milliseconds since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The window that the moment is in.
    pub fn window(self, length: Duration) -> Window {
        Window(self.0 / millis(length))
    }

    /// The moment `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0 + millis(span))
    }
}

impl Window {
    /// Its end.
    pub fn end(self, length: Duration) -> WallTime {
        WallTime((self.0 + 1) * millis(length))
    }

    /// The one after it.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1)
}
