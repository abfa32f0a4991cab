//! Register of all requests under which endpoints have crashed.

use super::{
    Change, ChangeKind, EndpointStart, Identity, Involvement, MAX_RECORDS, RECORD_TTL, Report,
    RequestStatus, STALE_ANSWER_GRACE, record::Record,
};
use crate::Time;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// All requests under which endpoints have crashed, as one instance knows them.
///
/// It merges what this instance observes with the reports of other instances. All instances that
/// have the same reports come to the same decisions. An empty register costs nothing.
#[derive(Clone, Debug, Default)]
pub struct Register {
    pub(super) records: BTreeMap<Identity, Record>,
    /// Requests that must not run.
    pub(super) blocked: BTreeSet<Identity>,
    /// Requests that run in isolation, in the order of their time slices.
    pub(super) isolated: Vec<Identity>,
    /// Crashes that blocked requests explain; they count against no other request.
    pub(super) explained: BTreeSet<EndpointStart>,
    /// Per crashed start, the highest [`Involvement::before`] among the requests that ran there.
    pub(super) max_before: BTreeMap<EndpointStart, usize>,
    /// Requests with changes that the other instances have not been sent yet.
    pending: BTreeSet<Identity>,
}

impl Register {
    /// Whether no request has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of requests with a record, and of those that are blocked.
    pub fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.blocked.len())
    }

    /// Records that an endpoint crashed while the request ran there beside others. Earlier crashes
    /// that blocked requests explain are left out of [`Involvement::before`].
    pub fn crashed(&mut self, now: Time, identity: Identity, start: EndpointStart) -> Vec<Change> {
        let before = self.unexplained(&identity);
        self.record_crash(now, identity, start, before)
    }

    /// Records that an endpoint crashed while the request ran there in isolation: nothing else
    /// started beside it.
    pub fn crashed_isolated(
        &mut self,
        now: Time,
        identity: Identity,
        start: EndpointStart,
    ) -> Vec<Change> {
        let before = self.crash_count(&identity);
        self.record_crash(now, identity, start, before)
    }

    fn record_crash(
        &mut self,
        now: Time,
        identity: Identity,
        start: EndpointStart,
        before: usize,
    ) -> Vec<Change> {
        let involvement = Involvement {
            counts: true,
            before,
        };
        let report = Report {
            identity,
            starts: vec![(start, involvement)],
            completions: 0,
            age: Duration::ZERO,
        };
        self.merge(now, [report])
    }

    /// Merges reports of other instances or from storage; returns what changed.
    pub fn merge(&mut self, now: Time, reports: impl IntoIterator<Item = Report>) -> Vec<Change> {
        let mut updated = BTreeMap::new();
        for report in reports {
            let identity = report.identity;
            let before = self.counted(&identity).count();
            if self.merge_report(now, report) {
                updated.entry(identity).or_insert(before);
                self.pending.insert(identity);
            }
        }
        if updated.is_empty() {
            return Vec::new();
        }
        self.evict_excess(now);
        self.reevaluate(now, &updated)
    }

    /// A run of the request completed. All crashes known by now stop counting against it, unless it
    /// keeps crashing endpoints in between.
    pub fn completed(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        let Some(record) = self.records.get_mut(&identity) else {
            return Vec::new();
        };
        record.completions = record.completions.saturating_add(1);
        self.clear_crashes(now, identity)
    }

    /// An operator allows the request to run again.
    pub fn clear(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        if let Some(record) = self.records.get_mut(&identity) {
            record.completions = u32::MAX;
        }
        self.clear_crashes(now, identity)
    }

    fn clear_crashes(&mut self, now: Time, identity: Identity) -> Vec<Change> {
        let before = self.counted(&identity).count();
        let record = self.records.get_mut(&identity);
        let counted = record.is_some_and(Record::clear);
        if !counted && !self.blocked.contains(&identity) {
            return Vec::new();
        }
        self.pending.insert(identity);
        self.reevaluate(now, &BTreeMap::from([(identity, before)]))
    }

    /// An endpoint answered a request that was sent to it at `sent_at`, so it is alive and its
    /// recorded crash stops counting.
    pub fn endpoint_answered(
        &mut self,
        now: Time,
        start: &EndpointStart,
        sent_at: Time,
    ) -> Vec<Change> {
        if !self.has_crashed(start) {
            return Vec::new();
        }
        let mut updated = BTreeMap::new();
        for (identity, record) in &mut self.records {
            let before = record.counted().count();
            let known_before = record.merged_at + STALE_ANSWER_GRACE < sent_at;
            let involvement = record.starts.get_mut(start);
            if known_before
                && let Some(involvement) = involvement.filter(|involvement| involvement.counts)
            {
                involvement.counts = false;
                updated.insert(*identity, before);
            }
        }
        if updated.is_empty() {
            return Vec::new();
        }
        self.pending.extend(updated.keys());
        self.reevaluate(now, &updated)
    }

    /// Removes records older than [`RECORD_TTL`]; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let known = self.records.len();
        self.records
            .retain(|_, record| record.age(now) < RECORD_TTL);
        let any_expired = self.records.len() < known;
        if any_expired {
            self.reevaluate(now, &BTreeMap::new());
        }
        any_expired
    }

    /// Whether the request may run, and under which restriction.
    pub fn status(&self, now: Time, identity: &Identity) -> RequestStatus {
        let Some(record) = self.records.get(identity) else {
            return RequestStatus::Unrestricted;
        };
        let age = record.age(now);
        if self.blocked.contains(identity) {
            return RequestStatus::Blocked {
                crashes: record.starts.len(),
                age,
                expires_in: RECORD_TTL.saturating_sub(age),
            };
        }
        match self.crash_count(identity) {
            0 => RequestStatus::Unrestricted,
            crashes => RequestStatus::Suspected { crashes, age },
        }
    }

    /// Whether any request has to run in isolation.
    pub fn has_isolated(&self) -> bool {
        !self.isolated.is_empty()
    }

    /// Whether there are changes to send to other instances.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes reports of changed requests for the other instances, at most `max_reports`.
    pub fn take_pending(&mut self, now: Time, max_reports: usize) -> Vec<Report> {
        let mut reports = Vec::new();
        while reports.len() < max_reports
            && let Some(identity) = self.pending.pop_first()
        {
            let record = self.records.get(&identity);
            reports.extend(record.map(|record| record.report(now, identity)));
        }
        reports
    }

    /// Reports of all requests, those with the most counting crashes first.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| Reverse(record.counted().count()));
        let reports = records.into_iter();
        reports
            .map(|(identity, record)| record.report(now, *identity))
            .collect()
    }

    /// Crashes that count against a request, each with the number that counted before it.
    pub(super) fn counted(
        &self,
        identity: &Identity,
    ) -> impl Iterator<Item = (&EndpointStart, usize)> {
        let record = self.records.get(identity);
        record.into_iter().flat_map(Record::counted)
    }

    /// Merges one report; returns whether it changed the record.
    fn merge_report(&mut self, now: Time, report: Report) -> bool {
        if report.age >= RECORD_TTL {
            return false;
        }
        let known = self.records.entry(report.identity);
        let record = known.or_insert_with(|| Record::new(now));
        let mut changed = false;
        for (start, involvement) in report.starts {
            changed |= record.insert(start, involvement);
        }
        changed |= report.completions == u32::MAX && record.completions != u32::MAX;
        record.completions = record.completions.max(report.completions);
        if changed {
            record.merged_at = now;
            record.observe_age(now, report.age);
        }
        changed
    }

    /// Evicts records down to [`MAX_RECORDS`]: unblocked ones first, then those with the fewest
    /// counting crashes, then the oldest.
    fn evict_excess(&mut self, now: Time) {
        while self.records.len() > MAX_RECORDS {
            let lowest = self.records.iter().min_by_key(|(identity, record)| {
                let blocked = self.blocked.contains(*identity);
                (blocked, record.counted().count(), Reverse(record.age(now)))
            });
            let Some(identity) = lowest.map(|(identity, _)| *identity) else {
                return;
            };
            self.records.remove(&identity);
            self.pending.remove(&identity);
        }
    }

    /// A change of `kind` with the request's current figures.
    pub(super) fn describe_change(
        &self,
        now: Time,
        identity: Identity,
        kind: ChangeKind,
    ) -> Change {
        let record = self.records.get(&identity);
        Change {
            identity,
            kind,
            crashes: record.map_or(0, |record| record.starts.len()),
            age: record.map_or(Duration::ZERO, |record| record.age(now)),
        }
    }
}
