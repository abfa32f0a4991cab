//! Wall-clock time that follows the drift of the system clock, but not its jumps.

use super::WallTime;
use crate::Time;
use std::time::Duration;

/// Time after which a step of the system clock is accepted as a correction. Temporary jumps revert
/// within seconds.
const MIN_STEP_AGE: Duration = Duration::from_secs(120);
/// Maximum difference, in milliseconds, that counts as drift; a larger one is a step.
const MAX_DRIFT_MS: i64 = 40;
/// Each observation corrects the drift divided by this.
const DRIFT_DIVISOR: i64 = 8;

/// Wall clock: the first reading of the system clock, advanced by a monotonic clock that also runs
/// while the instance is suspended.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Unix time, in milliseconds, at the zero of the monotonic clock.
    offset_ms: i64,
    /// Offset of the system clock after a step that is not accepted yet, and when it was first
    /// observed.
    step: Option<(i64, Time)>,
}

impl WallClock {
    /// Creates a clock that shows the system time `unix_ms`, in milliseconds, at `now`.
    pub fn new(now: Time, unix_ms: u64) -> Self {
        Self {
            offset_ms: clock_offset(now, unix_ms),
            step: None,
        }
    }

    /// Takes a reading of the system clock, in milliseconds: drift is followed, a step is ignored
    /// until it has lasted long enough.
    pub fn observe(&mut self, now: Time, unix_ms: u64) {
        let observed = clock_offset(now, unix_ms);
        let drift = observed - self.offset_ms;
        if drift.abs() <= MAX_DRIFT_MS {
            self.offset_ms += drift / DRIFT_DIVISOR;
            self.step = None;
            return;
        }
        match self.step {
            Some((step_offset, since)) if (observed - step_offset).abs() <= MAX_DRIFT_MS => {
                if now.since(since) >= MIN_STEP_AGE {
                    self.offset_ms = observed;
                    self.step = None;
                }
            }
            _ => self.step = Some((observed, now)),
        }
    }

    /// Wall-clock time at a time of the monotonic clock.
    pub fn wall_time(&self, now: Time) -> WallTime {
        let millis = self.offset_ms.saturating_add(monotonic_ms(now));
        WallTime(u64::try_from(millis).unwrap_or(0))
    }
}

fn clock_offset(now: Time, unix_ms: u64) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX) - monotonic_ms(now)
}

fn monotonic_ms(now: Time) -> i64 {
    i64::try_from(now.0 / 1_000).unwrap_or(i64::MAX)
}
