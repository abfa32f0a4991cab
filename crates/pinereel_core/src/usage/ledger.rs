//! What an instance knows of all instances' counts.

use super::{Counts, Window};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The whole count of one instance for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the instance that counted.
    pub source: CompactString,
    /// The window.
    pub window: Window,
    /// Grows with each change: of two reports the one with more is the newer one.
    pub serial: u64,
    /// Whether nothing of the window is to come any more.
    pub closed: bool,
    /// The count.
    pub counts: Counts,
}

/// All counts that an instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    source: CompactString,
    reports: BTreeMap<Window, BTreeMap<CompactString, Report>>,
    unsent: BTreeSet<(Window, CompactString)>,
    /// Own windows before this one are closed.
    first_open: Window,
    /// Windows before this one are forgotten.
    first_kept: Window,
}

impl Ledger {
    /// An empty ledger of the instance start `own`.
    pub fn new(source: impl Into<CompactString>) -> Self {
        Self {
            source: source.into(),
            ..Self::default()
        }
    }

    /// Requests of a workspace began here, or, below zero, turn out not to have begun. A window that is closed takes nothing
    /// more: what is late goes to the first open one.
    pub fn add(&mut self, window: Window, workspace: &str, change: i64) {
        let window = window.max(self.first_open);
        let report = self.own_report(window);
        let count = report.counts.entry(workspace.into()).or_default();
        *count = count.saturating_add_signed(change);
        report.serial += 1;
        self.unsent.insert((window, self.source.clone()));
    }

    /// Closes all own windows up to `last`, those without any request too. The first one that is closed is the first that
    /// this instance knows whole or in part.
    pub fn close(&mut self, last: Window) {
        let first = match self.first_open {
            Window(0) => last,
            from => from,
        };
        for number in first.0..=last.0 {
            let window = Window(number);
            let report = self.own_report(window);
            report.closed = true;
            report.serial += 1;
            self.unsent.insert((window, self.source.clone()));
        }
        self.first_open = self.first_open.max(last.next());
    }

    fn own_report(&mut self, window: Window) -> &mut Report {
        let reports = self.reports.entry(window).or_default();
        let source = &self.source;
        reports.entry(source.clone()).or_insert_with(|| Report {
            source: source.clone(),
            window,
            serial: 0,
            closed: false,
            counts: Counts::new(),
        })
    }

    /// Another instance tells. What is news is told on.
    pub fn merge(&mut self, received: impl IntoIterator<Item = Report>) {
        for report in received {
            if report.window < self.first_kept || report.source == self.source {
                continue;
            }
            let known = self.reports.entry(report.window).or_default();
            let serial = known.get(&report.source).map(|known| known.serial);
            if serial.is_some_and(|serial| serial >= report.serial) {
                continue;
            }
            let (window, source) = (report.window, report.source.clone());
            known.insert(source.clone(), report);
            self.unsent.insert((window, source));
        }
    }

    /// Whether others are to be told something.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// What others are to be told, at most `most` reports.
    pub fn take_unsent(&mut self, limit: usize) -> Vec<Report> {
        let mut taken = Vec::new();
        while taken.len() < limit
            && let Some((window, source)) = self.unsent.pop_first()
        {
            let report = self.reports.get(&window).and_then(|r| r.get(&source));
            taken.extend(report.cloned());
        }
        taken
    }

    /// All that is known.
    pub fn all_reports(&self) -> Vec<Report> {
        let reports = self.reports.values().flat_map(BTreeMap::values);
        reports.cloned().collect()
    }

    /// What was counted here in a window.
    pub fn own_counts(&self, window: Window) -> Counts {
        let report = self.reports.get(&window).and_then(|r| r.get(&self.source));
        report
            .map(|report| report.counts.clone())
            .unwrap_or_default()
    }

    /// How many instances have closed a window.
    pub fn closed_count(&self, window: Window) -> usize {
        let reports = self.reports.get(&window).into_iter();
        let closed = reports.flat_map(BTreeMap::values);
        closed.filter(|report| report.closed).count()
    }

    /// The sum of all counts for a window; workspaces without a request are left out.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        let reports = self.reports.get(&window).into_iter();
        for report in reports.flat_map(BTreeMap::values) {
            for (workspace, count) in &report.counts {
                if *count > 0 {
                    *total.entry(workspace.clone()).or_default() += count;
                }
            }
        }
        total
    }

    /// Forgets the windows before `first`.
    pub fn forget_before(&mut self, first: Window) {
        self.first_kept = self.first_kept.max(first);
        self.reports = self.reports.split_off(&first);
        self.unsent.retain(|(window, _)| *window >= first);
    }
}
