//! When a window's counts are added up.

use super::{Counts, Ledger, WallTime, Window};
use std::{collections::BTreeMap, time::Duration};

/// How long a collector waits for counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a window.
    pub window_length: Duration,
    /// A window is added up at once when all instances have closed it, but not sooner after its end.
    pub min_delay: Duration,
    /// It is added up so long after its end in any case.
    pub max_delay: Duration,
    /// A window that ended longer ago is not reported any more.
    pub max_age: Duration,
}

/// Adds windows up, one after the other, each once.
#[derive(Clone, Debug)]
pub struct Aggregator {
    timing: Timing,
    /// The next window.
    next: Window,
}

impl Aggregator {
    /// Goes on after the last of the windows that were `fixed` before; with the window that `now` is in if there are none.
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

    /// What is `fixed` was read again, after a sum that may not have been kept: another holder may have made some.
    pub fn resume(&mut self, finalized: &BTreeMap<Window, Counts>) {
        if let Some((last, _)) = finalized.last_key_value() {
            self.mark_finalized(*last);
        }
    }

    /// The next window and its counts, if it can be added up, with `instances` in all. It counts as added up with
    /// [`Collector::fixed`].
    pub fn due(
        &mut self,
        now: WallTime,
        ledger: &Ledger,
        instances: usize,
    ) -> Option<(Window, Counts)> {
        let Timing {
            window_length,
            min_delay,
            max_delay,
            max_age,
        } = self.timing;
        while now > self.next.end(window_length).after(max_age) {
            self.next = self.next.next();
        }
        let end = self.next.end(window_length);
        let all_closed = instances > 0 && ledger.closed_count(self.next) >= instances;
        let due = now >= end.after(max_delay) || (all_closed && now >= end.after(min_delay));
        due.then(|| (self.next, ledger.total(self.next)))
    }

    /// A window is added up, for good.
    pub fn mark_finalized(&mut self, window: Window) {
        self.next = self.next.max(window.next());
    }
}
