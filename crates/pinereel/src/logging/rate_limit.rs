//! Rate limiter for log lines, by target and message, so that a burst of one message neither fills
//! the log nor takes the CPU.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Maximum number of lines per second with the same target and message. An instance serves some 25
/// requests per second at the size planned for two years, so lines of normal operation are never
/// suppressed.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Length of a window in which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Counts lines in windows of one second, by target and constant message text.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    kinds: Mutex<BTreeMap<(String, &'static str), Window>>,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    suppressed: u64,
}

/// Whether a line may be written.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The line may be written; `suppressed` lines with the same target and message were discarded
    /// since the last written one.
    Allow { suppressed: u64 },
    /// The line exceeds the rate limit and is discarded.
    Suppress,
}

impl RateLimiter {
    /// Counts a line and returns whether it may be written.
    pub(super) fn check(&self, target: &str, message: &'static str, now: Instant) -> Outcome {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let window = kinds.entry((target.to_owned(), message)).or_insert(Window {
            started_at: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(window.started_at) >= WINDOW_LENGTH {
            window.started_at = now;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.suppressed += 1;
            return Outcome::Suppress;
        }
        window.lines += 1;
        Outcome::Allow {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }
}
