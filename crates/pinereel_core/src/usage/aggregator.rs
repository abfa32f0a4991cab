//! Decides when the reports of a window are summed up.

use super::{Counts, Ledger, WallTime, Window};
use std::{collections::BTreeMap, time::Duration};

/// Window length and delays of an [`Aggregator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a window.
    pub window_length: Duration,
    /// Minimum delay after the end of a window before it is summed up, even if all instances have
    /// closed it.
    pub min_delay: Duration,
    /// Delay after the end of a window after which it is summed up even if reports are missing.
    pub max_delay: Duration,
    /// Windows that ended longer ago are skipped.
    pub max_age: Duration,
}

/// Sums up the reports of the windows in order, each window once.
#[derive(Clone, Debug)]
pub struct Aggregator {
    timing: Timing,
    /// The first window without a stored sum.
    next: Window,
}

impl Aggregator {
    /// Continues after the last window whose sum is stored in `finalized`, or with the window that
    /// contains `now` if there is none.
    pub fn new(timing: Timing, now: WallTime, finalized: &BTreeMap<Window, Counts>) -> Self {
        let mut aggregator = Self {
            timing,
            next: now.window(timing.window_length),
        };
        if let Some((last, _)) = finalized.last_key_value() {
            aggregator.next = last.next();
        }
        aggregator
    }

    /// Continues after the last stored sum. Called when storing a sum failed and the sums were read
    /// again, as another lease holder may have stored some.
    pub fn resume(&mut self, finalized: &BTreeMap<Window, Counts>) {
        if let Some((last, _)) = finalized.last_key_value() {
            self.mark_finalized(*last);
        }
    }

    /// Returns the next window and its sum, if it is due when `instances` instances report. The
    /// same window is returned until [`Aggregator::mark_finalized`] is called.
    pub fn due(
        &mut self,
        now: WallTime,
        ledger: &Ledger,
        instances: usize,
    ) -> Option<(Window, Counts)> {
        let Timing {
            window_length: length,
            min_delay,
            max_delay,
            max_age,
        } = self.timing;
        while now > self.next.end(length).after(max_age) {
            self.next = self.next.next();
        }
        let end = self.next.end(length);
        let all_closed = instances > 0 && ledger.closed_count(self.next) >= instances;
        let due = now >= end.after(max_delay) || (all_closed && now >= end.after(min_delay));
        due.then(|| (self.next, ledger.total(self.next)))
    }

    /// Records that the sum of a window is stored, so that it is not computed again.
    pub fn mark_finalized(&mut self, window: Window) {
        self.next = self.next.max(window.next());
    }
}
