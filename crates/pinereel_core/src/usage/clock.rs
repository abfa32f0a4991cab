//! True time, from a time of day that may jump.

use super::Wall;
use crate::Time;
use std::time::Duration;

/// The time of day is taken for true again if it has told the same for so long: it was set right. Jumps that go back by
/// themselves last some seconds.
const SETTLED: Duration = Duration::from_secs(120);
/// Difference that is a drift and no jump.
const DRIFT_MS: i64 = 40;
/// Part of a drift that is made up for with each look.
const GAIN: i64 = 8;

/// True time: what the time of day told at first, carried on by a clock that goes on while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Milliseconds of the time of day at the start of the steady clock.
    offset: i64,
    /// Another offset that the time of day tells, and since when.
    other: Option<(i64, Time)>,
}

impl Clock {
    /// Starts with what the time of day, in milliseconds since 1970, tells `now`.
    pub fn new(now: Time, time_of_day: u64) -> Self {
        Self {
            offset: offset(now, time_of_day),
            other: None,
        }
    }

    /// Looks at the time of day: a drift is followed, a jump is not.
    pub fn look(&mut self, now: Time, time_of_day: u64) {
        let seen = offset(now, time_of_day);
        let drift = seen - self.offset;
        if drift.abs() <= DRIFT_MS {
            self.offset += drift / GAIN;
            self.other = None;
            return;
        }
        match self.other {
            Some((other, since)) if (seen - other).abs() <= DRIFT_MS => {
                if now.since(since) >= SETTLED {
                    self.offset = seen;
                    self.other = None;
                }
            }
            _ => self.other = Some((seen, now)),
        }
    }

    /// True time at a moment of the steady clock.
    pub fn at(&self, now: Time) -> Wall {
        let millis = self.offset.saturating_add(steady(now));
        Wall(u64::try_from(millis).unwrap_or(0))
    }
}

fn offset(now: Time, time_of_day: u64) -> i64 {
    i64::try_from(time_of_day).unwrap_or(i64::MAX) - steady(now)
}

fn steady(now: Time) -> i64 {
    i64::try_from(now.0 / 1_000).unwrap_or(i64::MAX)
}
