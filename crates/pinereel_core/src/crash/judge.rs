//! Who is to blame for crashes, and must not run any more.
//!
//! An endpoint that crashes takes along all that runs there. Of those, the one with the most against it before is to
//! blame. A verdict is made of the surest first:
//!
//! 1. Three count against a request, one of them under its last chance, when nothing else began there.
//! 2. It was to blame three times, and no other was at two of the same endpoints.
//! 3. Five endpoints count against it, and others account for some of them only.
//! 4. Five have crashed under it, though runs of it ended in between.

use super::{CAP, Change, Identity, LAST_CHANCE, LIMIT, Register, Start, What, record::Record};
use crate::Time;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

impl Register {
    /// Decides anew who must not run; tells what changed. `touched` has the requests that there was news
    /// of, with the number that counted against each before.
    pub(super) fn judge(&mut self, now: Time, touched: &BTreeMap<Identity, usize>) -> Vec<Change> {
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
        self.last_chances = self.find_last_chances();
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

    /// Whether enough crashes count against a request, and it is to blame for one under its last chance: there it was
    /// alone, so that what others account for does not matter.
    fn is_proved(&self, identity: &Identity) -> bool {
        let mut counting = self.counting(identity);
        let under_last_chance =
            counting.any(|(start, before)| before >= LAST_CHANCE && self.is_blamed(start, before));
        under_last_chance && self.counting(identity).count() >= LIMIT
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

    fn find_last_chances(&self) -> Vec<Identity> {
        let may_run = self
            .records
            .keys()
            .filter(|id| !self.convicted.contains(*id));
        let last = may_run.filter(|identity| self.doubts(identity) >= LAST_CHANCE);
        last.copied().collect()
    }

    fn find_blame(&mut self) {
        self.most_before.clear();
        for (start, before) in self.records.values().flat_map(Record::counting) {
            let most = self.most_before.entry(start.clone()).or_default();
            *most = before.max(*most);
        }
    }

    /// Endpoints that count against a request that may run. Those that others account for count, too, until a run of it
    /// ends: two that crash endpoints may have met at one.
    pub(super) fn doubts(&self, identity: &Identity) -> usize {
        self.counting(identity).count()
    }

    /// Those of them that no convicted request accounts for; one at least.
    pub(super) fn unaccounted(&self, identity: &Identity) -> usize {
        let counting = self.counting(identity);
        let unaccounted = counting.filter(|(start, _)| !self.accounted.contains(*start));
        unaccounted.count().max(self.doubts(identity).min(1))
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
}
