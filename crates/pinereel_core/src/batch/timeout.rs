//! Timeouts of a run: until its first event, and from one event to the next.
//!
//! Designed for steps whose longest texts take 7.1 s of the 7.5 s until their results are due, so
//! that an engine that hangs may cost about half a second. An engine sends an event every 23 ms to
//! 60 ms, and a slow one takes up to eight times its usual interval.

use super::Engine;
use crate::Time;
use std::time::Duration;

/// Number of intervals before an engine's average is used to move a run or to time it out: the
/// arrival of single events also depends on the load of this process.
pub(super) const MIN_INTERVAL_SAMPLES: u32 = 12;
/// Timeout of a run, in average intervals of its engine.
const TIMEOUT_INTERVALS: f64 = 8.0;
/// Lower bound of a timeout: a slow engine takes up to eight times its usual interval from one event
/// to the next.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper bound of a timeout, and its value while the average has too few intervals. An engine may have
/// to load weights before it responds, which takes about a second.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a run waits for its next event before it is taken for lost. The longest texts decide
/// when a step completes and have less than a second to spare: waiting 1.5 s for a silent engine
/// made them late.
pub(super) fn between_events(engine: &Engine) -> Duration {
    let known = engine.interval_samples >= MIN_INTERVAL_SAMPLES;
    let Some(interval_ms) = engine.event_interval_ms.filter(|_| known) else {
        return MAX_TIMEOUT;
    };
    let timeout = Duration::from_secs_f64(TIMEOUT_INTERVALS * interval_ms / 1_000.0);
    timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
}

/// How long a run waits for its response head, and again for its first event. As long as between two
/// events if the run should start at once: the engine's last report names no queue, and its slots
/// suffice for this runner's runs and the recent requests of others. Otherwise the run may be queued
/// at the engine, which does not tell a queue from a hang, and it waits for [`MAX_TIMEOUT`].
pub(super) fn before_first_event(now: Time, engine: &Engine) -> Duration {
    let requests = (engine.active_runs()).saturating_add(engine.other_requests(now));
    let has_slot = requests <= engine.listing.slots;
    let no_queue = engine.reported_load.is_some_and(|load| load.waiting == 0);
    if has_slot && no_queue {
        between_events(engine)
    } else {
        MAX_TIMEOUT
    }
}

/// Delay of a timer from which this process, not the engine, counts as late.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// The longer wait of a run whose wait of `waited` for the first event has elapsed, `elapsed` after its
/// start; `None` if the run has timed out. `timeout` is what
/// [`Fleet::first_event_timeout`](super::Fleet::first_event_timeout) returns now.
///
/// A runner with a tenth of a core starts over a hundred runs at once and then reads answers late. If
/// its timer is late, answers may be there unread, so the run gets as long again as the delay.
pub fn extended_wait(waited: Duration, elapsed: Duration, timeout: Duration) -> Option<Duration> {
    let delay = elapsed.saturating_sub(waited);
    let wait = if delay > MAX_TIMER_DELAY {
        timeout.max(elapsed + delay)
    } else {
        timeout
    };
    Some(wait.min(MAX_TIMEOUT)).filter(|wait| *wait > elapsed)
}
