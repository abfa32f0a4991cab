//! All requests under which endpoints have crashed.

use super::{
    CAP, CLEARED_KEPT, GRACE, Identity, KEPT, LIMIT, MOST_RECORDS, Report, Start, record::Record,
};
use crate::Time;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing counts against it.
    Free,
    /// Endpoints have crashed while it ran there: it may be to blame, or have run beside another.
    Doubted {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
    },
    /// It crashes endpoints: it must not run any more.
    Convicted {
        /// How many count against it.
        endpoints: usize,
        /// Time since the last one.
        age: Duration,
        /// When it is forgotten, and may be tried again.
        forgotten_in: Duration,
    },
}

/// What changed about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Another endpoint counts against it.
    Doubt,
    /// It must not run any more.
    Verdict,
    /// It must not be refused any more: others are to blame, or it has been cleared.
    Acquitted,
    /// A run of it came to its end, the endpoints live, or an operator said so.
    Cleared,
}

/// A change of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub identity: Identity,
    /// What changed.
    pub what: What,
    /// Endpoints that count against it now.
    pub endpoints: usize,
    /// Time since the last of them.
    pub age: Duration,
}

/// All requests under which endpoints have crashed, as one instance knows them.
///
/// It takes in what this instance saw and what others tell, and every instance that has heard the same
/// decides the same. Empty, it costs nothing.
#[derive(Clone, Debug, Default)]
pub struct Register {
    pub(super) records: BTreeMap<Identity, Record>,
    /// Requests that must not run.
    convicted: BTreeSet<Identity>,
    /// Crashes that convicted requests account for: they count against nobody else.
    accounted: BTreeSet<Start>,
    /// Requests of which others are to be told.
    untold: BTreeSet<Identity>,
}

impl Register {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of requests that are known, and of those that must not run.
    pub fn len(&self) -> (usize, usize) {
        (self.records.len(), self.convicted.len())
    }

    /// An endpoint crashed while the request ran there.
    pub fn crashed(&mut self, now: Time, identity: Identity, start: Start) -> Vec<Change> {
        let report = Report {
            identity,
            starts: vec![(start, true)],
            age: Duration::ZERO,
        };
        self.heard(now, [report])
    }

    /// Another instance tells of requests.
    pub fn heard(&mut self, now: Time, reports: impl IntoIterator<Item = Report>) -> Vec<Change> {
        let mut touched = BTreeMap::new();
        for report in reports {
            let identity = report.identity;
            let before = self.counting(&identity).count();
            if self.take(now, report) {
                touched.entry(identity).or_insert(before);
                self.untold.insert(identity);
            }
        }
        if touched.is_empty() {
            return Vec::new();
        }
        self.make_room();
        self.judge(now, &touched)
    }

    /// A run of the request came to its end, or an operator says so: nothing that is known now counts
    /// against it any more.
    pub fn clear(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        let before = self.counting(&identity).count();
        let record = self.records.get_mut(&identity);
        if !record.is_some_and(Record::clear) {
            return Vec::new();
        }
        if let Some(record) = self.records.get_mut(&identity) {
            record.heard_at = now;
        }
        self.untold.insert(identity);
        self.judge(now, &BTreeMap::from([(identity, before)]))
    }

    /// An endpoint has answered a request that was sent to it at `sent_at`: it had not crashed before.
    pub fn answered(&mut self, now: Time, start: &Start, sent_at: Time) -> Vec<Change> {
        let mut touched = BTreeMap::new();
        for (identity, record) in &mut self.records {
            let before = record.counting().count();
            let told_before = record.heard_at + GRACE < sent_at;
            let counts = record.starts.get_mut(start);
            if told_before && let Some(counts @ true) = counts {
                *counts = false;
                touched.insert(*identity, before);
            }
        }
        if touched.is_empty() {
            return Vec::new();
        }
        self.untold.extend(touched.keys());
        self.judge(now, &touched)
    }

    /// Forgets what is too old to count; says whether anything was.
    pub fn expire(&mut self, now: Time) -> bool {
        let known = self.records.len();
        self.records.retain(|_, record| {
            let counts = record.counting().next().is_some();
            match counts {
                true => now.since(record.crashed_at) < KEPT,
                false => now.since(record.heard_at) < CLEARED_KEPT,
            }
        });
        let forgot = self.records.len() < known;
        if forgot {
            self.judge(now, &BTreeMap::new());
        }
        forgot
    }

    /// How a request stands.
    pub fn standing(&self, now: Time, identity: &Identity) -> Standing {
        let Some(record) = self.records.get(identity) else {
            return Standing::Free;
        };
        let age = now.since(record.crashed_at);
        if self.convicted.contains(identity) {
            return Standing::Convicted {
                endpoints: record.counting().count(),
                age,
                forgotten_in: KEPT.saturating_sub(age),
            };
        }
        match self.doubts(identity) {
            0 => Standing::Free,
            endpoints => Standing::Doubted { endpoints, age },
        }
    }

    /// Endpoints that count against a request that may run, less those that others account for.
    pub(super) fn doubts(&self, identity: &Identity) -> usize {
        let open = self.counting(identity);
        open.filter(|start| !self.accounted.contains(*start))
            .count()
    }

    /// Whether a start has crashed, as far as is known.
    pub(super) fn has_crashed(&self, start: &Start) -> bool {
        let mut records = self.records.values();
        records.any(|record| record.starts.get(start) == Some(&true))
    }

    /// Whether others are to be told something.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// What others are to be told, at most `most` requests of it.
    pub fn untold(&mut self, now: Time, most: usize) -> Vec<Report> {
        let mut reports = Vec::new();
        while reports.len() < most
            && let Some(identity) = self.untold.pop_first()
        {
            let record = self.records.get(&identity);
            reports.extend(record.map(|record| record.report(now, identity)));
        }
        reports
    }

    /// All that is known, those that count most first.
    pub fn all(&self, now: Time) -> Vec<Report> {
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(_, record)| std::cmp::Reverse(record.counting().count()));
        let reports = all.into_iter();
        reports
            .map(|(identity, record)| record.report(now, *identity))
            .collect()
    }

    fn counting(&self, identity: &Identity) -> impl Iterator<Item = &Start> {
        let record = self.records.get(identity);
        record.into_iter().flat_map(Record::counting)
    }

    /// Takes a report in; says whether it was news.
    fn take(&mut self, now: Time, report: Report) -> bool {
        if report.age >= KEPT {
            return false;
        }
        let known = self.records.entry(report.identity);
        let record = known.or_insert_with(|| Record::new(now));
        let mut is_news = false;
        for (start, counts) in report.starts {
            is_news |= record.add(start, counts);
        }
        if is_news {
            record.heard_at = now;
            record.crashed_at = record.crashed_at.max(now.before(report.age));
        }
        is_news
    }

    /// Forgets the requests that matter least while there are too many.
    fn make_room(&mut self) {
        while self.records.len() > MOST_RECORDS {
            let least = self.records.iter().min_by_key(|(identity, record)| {
                let convicted = self.convicted.contains(*identity);
                (convicted, record.counting().count(), record.crashed_at)
            });
            let Some(identity) = least.map(|(identity, _)| *identity) else {
                return;
            };
            self.records.remove(&identity);
            self.untold.remove(&identity);
        }
    }

    /// Decides anew who must not run; tells what changed. `touched` has the requests that there was news
    /// of, with the number that counted against each before.
    ///
    /// An endpoint that crashes takes along all that runs there. So whoever has the most against it is judged
    /// first, and crashes that a convicted request accounts for count against nobody else.
    fn judge(&mut self, now: Time, touched: &BTreeMap<Identity, usize>) -> Vec<Change> {
        let before = std::mem::take(&mut self.convicted);
        self.accounted.clear();
        let counts = self
            .records
            .iter()
            .map(|(identity, record)| (record.counting().count(), *identity));
        let mut suspects: Vec<_> = counts.filter(|(count, _)| *count >= LIMIT).collect();
        suspects.sort_by_key(|(count, identity)| (std::cmp::Reverse(*count), *identity));
        for (count, identity) in suspects {
            if count >= CAP || self.doubts(&identity) >= LIMIT {
                let starts: Vec<_> = self.counting(&identity).cloned().collect();
                self.accounted.extend(starts);
                self.convicted.insert(identity);
            }
        }
        let acquitted = before.difference(&self.convicted);
        let mut changes: Vec<_> = acquitted
            .map(|identity| self.change(now, *identity, What::Acquitted))
            .collect();
        for identity in self.convicted.difference(&before) {
            changes.push(self.change(now, *identity, What::Verdict));
        }
        for (identity, before) in touched {
            let counting = self.counting(identity).count();
            let what = if counting > *before {
                What::Doubt
            } else {
                What::Cleared
            };
            if counting != *before {
                changes.push(self.change(now, *identity, what));
            }
        }
        changes
    }

    fn change(&self, now: Time, identity: Identity, what: What) -> Change {
        let record = self.records.get(&identity);
        Change {
            identity,
            what,
            endpoints: self.counting(&identity).count(),
            age: record.map_or(Duration::ZERO, |record| now.since(record.crashed_at)),
        }
    }
}
