//! True time, from a time of day that may jump.

use super::WallTime;
use crate::Time;
use std::time::Duration;

/// The time of day is taken for true again if it has told the same for so long: it was set right. Jumps that go back by
/// themselves last some seconds.
const MIN_STEP_AGE: Duration = Duration::from_secs(120);
/// Difference that is a drift and no jump.
const MAX_DRIFT_MS: i64 = 40;
/// Part of a drift that is made up for with each look.
const DRIFT_DIVISOR: i64 = 8;

/// True time: what the time of day told at first, carried on by a clock that goes on while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Milliseconds of the time of day at the start of the steady clock.
    offset_ms: i64,
    /// Another offset that the time of day tells, and since when.
    step: Option<(i64, Time)>,
}

impl WallClock {
    /// Starts with what the time of day, in milliseconds since 1970, tells `now`.
    pub fn new(now: Time, unix_ms: u64) -> Self {
        Self {
            offset_ms: clock_offset(now, unix_ms),
            step: None,
        }
    }

    /// Looks at the time of day: a drift is followed, a jump is not.
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

    /// True time at a moment of the steady clock.
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
