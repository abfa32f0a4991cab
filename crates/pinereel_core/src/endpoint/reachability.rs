//! When an endpoint that could not be reached is probed again.

use crate::Time;
use std::time::Duration;

/// Delay before the first probe.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between two probes: callers may use an endpoint again this long after its link has
/// recovered.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Schedule of the probes of an ejected endpoint. A probe opens a connection, and so tells a link that
/// failed from an endpoint that fails its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbeSchedule {
    /// When the next probe is due.
    pub(super) next_at: Time,
    delay: Duration,
}

impl ProbeSchedule {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_at: now + MIN_PROBE_DELAY,
            delay: MIN_PROBE_DELAY,
        }
    }

    /// The schedule after a probe that did not reach the endpoint.
    pub(super) fn after_failure(self, now: Time) -> Self {
        let delay = (self.delay * 2).min(MAX_PROBE_DELAY);
        Self {
            next_at: now + delay,
            delay,
        }
    }
}
