//! All requests under which endpoints have crashed.

use super::{
    CAP, GRACE, Identity, KEPT, LAST_CHANCE, LIMIT, MOST_RECORDS, Mark, Report, Start,
    record::Record,
};
use crate::Time;
use serde::Serialize;
use std::{
    cmp::Reverse,
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
    /// The most that counted before against any request that ran at a crashed endpoint.
    most_before: BTreeMap<Start, usize>,
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
        let mark = Mark {
            counts: true,
            before: self.doubts(&identity),
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
        self.make_room();
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
        self.records
            .retain(|_, record| now.since(record.crashed_at) < KEPT);
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

    /// Endpoints that count against a request that may run, less those that others account for. It stays in doubt
    /// for those, too, until a run of it ends: two that crash endpoints may have met at one.
    pub(super) fn doubts(&self, identity: &Identity) -> usize {
        let counting = self.counting(identity).count();
        self.own_crashes(identity).max(counting.min(1))
    }

    /// Endpoints for whose crash a request is to blame, as far as no convicted one accounts for it.
    fn own_crashes(&self, identity: &Identity) -> usize {
        let counting = self.counting(identity);
        let own = counting.filter(|(start, before)| {
            self.is_blamed(start, *before) && !self.accounted.contains(*start)
        });
        own.count()
    }

    /// Whether a start has crashed, as far as is known.
    pub(super) fn has_crashed(&self, start: &Start) -> bool {
        self.most_before.contains_key(start)
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

    fn counting(&self, identity: &Identity) -> impl Iterator<Item = (&Start, usize)> {
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
    fn judge(&mut self, now: Time, touched: &BTreeMap<Identity, usize>) -> Vec<Change> {
        let before = std::mem::take(&mut self.convicted);
        self.accounted.clear();
        self.find_blame();
        self.convict(Self::is_proved);
        self.convict(|register, identity| {
            register.own_crashes(identity) >= LIMIT && !register.has_rival(identity)
        });
        self.convict(|register, identity| {
            register.counting(identity).count() >= CAP && register.own_crashes(identity) > 0
        });
        self.convict(|register, identity| register.relapses(identity));
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

    /// Convicts those of whom `is_guilty` holds, whoever is to blame for the most first: an endpoint that crashes takes
    /// along all that runs there, and crashes that a convicted request accounts for count against nobody else.
    fn convict(&mut self, is_guilty: impl Fn(&Self, &Identity) -> bool) {
        let enough = self.records.iter().filter(|(identity, record)| {
            record.starts.len() >= LIMIT && !self.convicted.contains(*identity)
        });
        let suspects = enough.map(|(identity, _)| (Reverse(self.own_crashes(identity)), *identity));
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort();
        for (_, identity) in suspects {
            if is_guilty(self, &identity) {
                let starts = self.counting(&identity).map(|(start, _)| start.clone());
                let starts: Vec<_> = starts.collect();
                self.accounted.extend(starts);
                self.convicted.insert(identity);
            }
        }
    }

    /// Whether a request is to blame for enough crashes, one of them under its last chance: there it was alone
    /// among those in doubt, so that what others account for does not matter.
    fn is_proved(&self, identity: &Identity) -> bool {
        let blamed = self
            .counting(identity)
            .filter(|(start, before)| self.is_blamed(start, *before));
        let before: Vec<_> = blamed.map(|(_, before)| before).collect();
        before.len() >= LIMIT && before.iter().any(|before| *before >= LAST_CHANCE)
    }

    fn relapses(&self, identity: &Identity) -> bool {
        let record = self.records.get(identity);
        record.is_some_and(Record::relapses)
    }

    /// Whether another request may as well be to blame: it was at two of the same endpoints.
    fn has_rival(&self, identity: &Identity) -> bool {
        let own: BTreeSet<_> = self.counting(identity).map(|(start, _)| start).collect();
        self.records.iter().any(|(other, record)| {
            let shared = record.counting().filter(|(start, _)| own.contains(start));
            other != identity && !self.convicted.contains(other) && shared.count() >= LAST_CHANCE
        })
    }

    /// Whether a request, against which so many counted before, is to blame for a crash: of those that ran there, it
    /// had the most against it.
    fn is_blamed(&self, start: &Start, before: usize) -> bool {
        let most = self.most_before.get(start);
        before >= most.copied().unwrap_or_default()
    }

    fn find_blame(&mut self) {
        self.most_before.clear();
        for (start, before) in self.records.values().flat_map(Record::counting) {
            let most = self.most_before.entry(start.clone()).or_default();
            *most = before.max(*most);
        }
    }

    fn change(&self, now: Time, identity: Identity, what: What) -> Change {
        let record = self.records.get(&identity);
        Change {
            identity,
            what,
            endpoints: record.map_or(0, |record| record.starts.len()),
            age: record.map_or(Duration::ZERO, |record| now.since(record.crashed_at)),
        }
    }
}
