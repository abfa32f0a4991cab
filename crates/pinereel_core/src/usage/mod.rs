//! Usage metering: counts the requests of each workspace that began to run, by time window.
//!
//! Each instance counts its own requests ([`Ledger::add`]) and sends its [`Report`] of a window
//! whenever the count changes. A report holds the complete count and a serial number, so reports
//! may be lost, duplicated and reordered in transit. The instance that holds the lease sums them up
//! when all instances have closed the window, or after a timeout ([`Aggregator`]). The sum of a
//! window is stored and never computed again, so all later lease holders report the same.

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

/// Number of requests by workspace.
pub type Counts = BTreeMap<CompactString, u64>;

/// Index of a time window. Windows have one fixed length and are counted from the Unix epoch.
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

/// Wall-clock time in milliseconds since the Unix epoch, without jumps of the system clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The window of the given length that contains this time.
    pub fn window(self, length: Duration) -> Window {
        Window(self.0 / millis(length))
    }

    /// The time `span` after this one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0 + millis(span))
    }
}

impl Window {
    /// End of the window, for windows of the given length.
    pub fn end(self, length: Duration) -> WallTime {
        WallTime((self.0 + 1) * millis(length))
    }

    /// The following window.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1)
}
