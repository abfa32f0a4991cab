//! Replicated counts of all instances, merged by serial number.

use super::{Counts, Window};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The complete count of one instance for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the run of the instance that counted; a restarted instance has a new one.
    pub source: CompactString,
    /// The window that was counted.
    pub window: Window,
    /// Increases with each change, so the report with the higher serial is the newer one.
    pub serial: u64,
    /// Whether the count is final.
    pub closed: bool,
    /// Requests that began to run, by workspace.
    pub counts: Counts,
}

/// The reports of all instances, as far as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    source: CompactString,
    reports: BTreeMap<Window, BTreeMap<CompactString, Report>>,
    unsent: BTreeSet<(Window, CompactString)>,
    /// The first window that is open here; earlier ones take no more counts.
    first_open: Window,
    /// The first window that is kept; reports of earlier ones are dropped.
    first_kept: Window,
}

impl Ledger {
    /// Creates an empty ledger; `source` identifies the run of this instance.
    pub fn new(source: impl Into<CompactString>) -> Self {
        Self {
            source: source.into(),
            ..Self::default()
        }
    }

    /// Adds `change` to the count of a workspace: positive for requests that began to run here,
    /// negative for requests that turned out not to have run. If the window is closed, the change
    /// goes to the first open window.
    pub fn add(&mut self, window: Window, workspace: &str, change: i64) {
        let window = window.max(self.first_open);
        let report = self.own_report(window);
        let count = report.counts.entry(workspace.into()).or_default();
        *count = count.saturating_add_signed(change);
        report.serial += 1;
        self.unsent.insert((window, self.source.clone()));
    }

    /// Closes all windows up to `last`, also those without requests. The first call closes only
    /// `last`, as this instance did not run during earlier windows.
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

    /// Merges reports received from another instance. Those that are new are sent on.
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

    /// Whether some reports have changed since they were last taken for sending.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Takes up to `limit` changed reports to send to other instances.
    pub fn take_unsent(&mut self, limit: usize) -> Vec<Report> {
        let mut reports = Vec::new();
        while reports.len() < limit
            && let Some((window, source)) = self.unsent.pop_first()
        {
            let report = self.reports.get(&window).and_then(|r| r.get(&source));
            reports.extend(report.cloned());
        }
        reports
    }

    /// All known reports, for an instance that has none of them.
    pub fn all_reports(&self) -> Vec<Report> {
        let reports = self.reports.values().flat_map(BTreeMap::values);
        reports.cloned().collect()
    }

    /// Counts of this instance for a window.
    pub fn own_counts(&self, window: Window) -> Counts {
        let report = self.reports.get(&window).and_then(|r| r.get(&self.source));
        report
            .map(|report| report.counts.clone())
            .unwrap_or_default()
    }

    /// Number of instances that have closed a window.
    pub fn closed_count(&self, window: Window) -> usize {
        let reports = self.reports.get(&window).into_iter();
        let closed = reports.flat_map(BTreeMap::values);
        closed.filter(|report| report.closed).count()
    }

    /// Sum of all known counts for a window, without workspaces that have no requests.
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

    /// Drops all windows before `first`.
    pub fn forget_before(&mut self, first: Window) {
        self.first_kept = self.first_kept.max(first);
        self.reports = self.reports.split_off(&first);
        self.unsent.retain(|(window, _)| *window >= first);
    }
}
