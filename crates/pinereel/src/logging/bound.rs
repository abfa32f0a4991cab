//! Bounds the lines of each kind, so that a storm of one kind neither fills the log nor takes the
//! processor.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Lines of one kind in a second. An instance serves some 25 requests a second at the two-year
/// size, so that usual work is never left out.
const LINES_PER_SECOND: u32 = 200;
const SECOND: Duration = Duration::from_secs(1);

/// Counts lines by kind: the module and the constant text of the message.
#[derive(Debug, Default)]
pub(super) struct Bound {
    kinds: Mutex<BTreeMap<(String, &'static str), Window>>,
}

#[derive(Debug)]
struct Window {
    since: Instant,
    lines: u32,
    left_out: u64,
}

/// Whether a line is written.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is; of its kind so many were left out before.
    Write { left_out: u64 },
    /// It is left out.
    LeaveOut,
}

impl Bound {
    /// Judges a line of a kind.
    pub(super) fn judge(&self, target: &str, message: &'static str, now: Instant) -> Verdict {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let window = kinds.entry((target.to_owned(), message)).or_insert(Window {
            since: now,
            lines: 0,
            left_out: 0,
        });
        if now.duration_since(window.since) >= SECOND {
            window.since = now;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_SECOND {
            window.left_out += 1;
            return Verdict::LeaveOut;
        }
        window.lines += 1;
        Verdict::Write {
            left_out: std::mem::take(&mut window.left_out),
        }
    }
}
