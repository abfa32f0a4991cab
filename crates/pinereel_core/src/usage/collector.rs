//! When a window's counts are added up.

use super::{Counts, Ledger, WallTime, Window};
use std::{collections::BTreeMap, time::Duration};

/// How long a collector waits for counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Length of a window.
    pub window: Duration,
    /// A window is added up at once when all instances have closed it, but not sooner after its end.
    pub least: Duration,
    /// It is added up so long after its end in any case.
    pub most: Duration,
    /// A window that ended longer ago is not reported any more.
    pub late: Duration,
}

/// Adds windows up, one after the other, each once.
#[derive(Clone, Debug)]
pub struct Collector {
    patience: Patience,
    /// The next window.
    next: Window,
}

impl Collector {
    /// Goes on after the last of the windows that were `fixed` before; with the window that `now` is in if there are none.
    pub fn new(patience: Patience, now: WallTime, fixed: &BTreeMap<Window, Counts>) -> Self {
        let mut collector = Self {
            patience,
            next: now.window(patience.window),
        };
        if let Some((last, _)) = fixed.last_key_value() {
            collector.next = last.next();
        }
        collector
    }

    /// What is `fixed` was read again, after a sum that may not have been kept: another holder may have made some.
    pub fn resume(&mut self, fixed: &BTreeMap<Window, Counts>) {
        if let Some((last, _)) = fixed.last_key_value() {
            self.fixed(*last);
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
        let Patience {
            window: length,
            least,
            most,
            late,
        } = self.patience;
        while now > self.next.end(length).after(late) {
            self.next = self.next.next();
        }
        let end = self.next.end(length);
        let whole = instances > 0 && ledger.closed(self.next) >= instances;
        let due = now >= end.after(most) || (whole && now >= end.after(least));
        due.then(|| (self.next, ledger.total(self.next)))
    }

    /// A window is added up, for good.
    pub fn fixed(&mut self, window: Window) {
        self.next = self.next.max(window.next());
    }
}
