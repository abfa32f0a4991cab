//! All requests under which endpoints have crashed.

use super::{
    Change, GRACE, Identity, KEPT, MOST_RECORDS, Mark, Report, Standing, Start, What,
    record::Record,
};
use crate::Time;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// All requests under which endpoints have crashed, as one instance knows them.
///
/// It takes in what this instance saw and what others tell, and every instance that has heard the same
/// decides the same. Empty, it costs nothing.
#[derive(Clone, Debug, Default)]
pub struct Register {
    pub(super) records: BTreeMap<Identity, Record>,
    /// Requests that must not run.
    pub(super) convicted: BTreeSet<Identity>,
    /// Requests that have a last chance, in the order of their turns.
    pub(super) last_chances: Vec<Identity>,
    /// Crashes that convicted requests account for: they count against nobody else.
    pub(super) accounted: BTreeSet<Start>,
    /// The most that counted before against any request that ran at a crashed endpoint.
    pub(super) most_before: BTreeMap<Start, usize>,
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

    /// An endpoint crashed while the request ran there beside others. What convicted requests account for does not tell
    /// against it.
    pub fn crashed(&mut self, now: Time, identity: Identity, start: Start) -> Vec<Change> {
        let before = self.unaccounted(&identity);
        self.crashed_after(now, identity, start, before)
    }

    /// An endpoint crashed while the request had its last chance there: nothing else began beside it.
    pub fn crashed_alone(&mut self, now: Time, identity: Identity, start: Start) -> Vec<Change> {
        let before = self.doubts(&identity);
        self.crashed_after(now, identity, start, before)
    }

    fn crashed_after(
        &mut self,
        now: Time,
        identity: Identity,
        start: Start,
        before: usize,
    ) -> Vec<Change> {
        let mark = Mark {
            counts: true,
            before,
        };
        let report = Report {
            identity,
            starts: vec![(start, mark)],
            ends: 0,
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
        self.make_room(now);
        self.judge(now, &touched)
    }

    /// A run of the request came to its end: nothing that is known now counts against it any more, unless that goes on
    /// and on.
    pub fn ended(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        let Some(record) = self.records.get_mut(&identity) else {
            return Vec::new();
        };
        record.ends = record.ends.saturating_add(1);
        self.acquit(now, identity)
    }

    /// An operator says that the request may run again.
    pub fn clear(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        if let Some(record) = self.records.get_mut(&identity) {
            record.ends = u32::MAX;
        }
        self.acquit(now, identity)
    }

    fn acquit(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        let before = self.counting(&identity).count();
        let record = self.records.get_mut(&identity);
        let counted = record.is_some_and(Record::clear);
        if !counted && !self.convicted.contains(&identity) {
            return Vec::new();
        }
        self.untold.insert(identity);
        self.judge(now, &BTreeMap::from([(identity, before)]))
    }

    /// An endpoint has answered a request that was sent to it at `sent_at`: it had not crashed before.
    pub fn answered(&mut self, now: Time, start: &Start, sent_at: Time) -> Vec<Change> {
        if !self.has_crashed(start) {
            return Vec::new();
        }
        let mut touched = BTreeMap::new();
        for (identity, record) in &mut self.records {
            let before = record.counting().count();
            let told_before = record.heard_at + GRACE < sent_at;
            let mark = record.starts.get_mut(start);
            if told_before && let Some(mark) = mark.filter(|mark| mark.counts) {
                mark.counts = false;
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
        self.records.retain(|_, record| record.age(now) < KEPT);
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
        let age = record.age(now);
        if self.convicted.contains(identity) {
            return Standing::Convicted {
                endpoints: record.starts.len(),
                age,
                forgotten_in: KEPT.saturating_sub(age),
            };
        }
        match self.doubts(identity) {
            0 => Standing::Free,
            endpoints => Standing::Doubted { endpoints, age },
        }
    }

    /// Whether any request has a last chance.
    pub fn has_last_chance(&self) -> bool {
        !self.last_chances.is_empty()
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
        all.sort_by_key(|(_, record)| Reverse(record.counting().count()));
        let reports = all.into_iter();
        reports
            .map(|(identity, record)| record.report(now, *identity))
            .collect()
    }

    /// Crashes that count against a request, and what counted against it before each.
    pub(super) fn counting(&self, identity: &Identity) -> impl Iterator<Item = (&Start, usize)> {
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
        for (start, mark) in report.starts {
            is_news |= record.add(start, mark);
        }
        is_news |= report.ends == u32::MAX && record.ends != u32::MAX;
        record.ends = record.ends.max(report.ends);
        if is_news {
            record.heard_at = now;
            record.note_age(now, report.age);
        }
        is_news
    }

    /// Forgets the requests that matter least while there are too many.
    fn make_room(&mut self, now: Time) {
        while self.records.len() > MOST_RECORDS {
            let least = self.records.iter().min_by_key(|(identity, record)| {
                let convicted = self.convicted.contains(*identity);
                (
                    convicted,
                    record.counting().count(),
                    Reverse(record.age(now)),
                )
            });
            let Some(identity) = least.map(|(identity, _)| *identity) else {
                return;
            };
            self.records.remove(&identity);
            self.untold.remove(&identity);
        }
    }

    /// What is told of a request that changed.
    pub(super) fn change(&self, now: Time, identity: Identity, what: What) -> Change {
        let record = self.records.get(&identity);
        Change {
            identity,
            what,
            endpoints: record.map_or(0, |record| record.starts.len()),
            age: record.map_or(Duration::ZERO, |record| record.age(now)),
        }
    }
}
