//! Bounds the lines of each kind, so that a storm of one kind neither fills the log nor takes the
//! processor.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Lines of one kind in a second. An instance serves some 25 requests a second at the two-year
/// size, so that usual work is never left out.
const MAX_LINES_PER_SECOND: u32 = 200;
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Counts lines by kind: the module and the constant text of the message.
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

/// Whether a line is written.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It is; of its kind so many were left out before.
    Allow { suppressed: u64 },
    /// It is left out.
    Suppress,
}

impl RateLimiter {
    /// Judges a line of a kind.
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
