//! Who is to blame for crashes, and must not run any more.
//!
//! An endpoint that crashes takes along all that runs there. Of those, the one with the most against it before is to
//! blame. A verdict is made of the surest first:
//!
//! 1. Three count against a request, one of them under its last chance, when nothing else began there.
//! 2. It was to blame three times, and no other was at two of the same endpoints.
//! 3. Five endpoints count against it, and others account for some of them only.
//! 4. Five have crashed under it, though runs of it ended in between.

use super::{
    Change, ChangeKind, EndpointStart, ISOLATE_AT_CRASHES, Identity, MAX_CRASHES,
    MAX_SHARED_CRASHES, Register, record::Record,
};
use crate::Time;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

impl Register {
    /// Decides anew who must not run; tells what changed. `touched` has the requests that there was news
    /// of, with the number that counted against each before.
    pub(super) fn reevaluate(
        &mut self,
        now: Time,
        updated: &BTreeMap<Identity, usize>,
    ) -> Vec<Change> {
        let before = std::mem::take(&mut self.blocked);
        self.explained.clear();
        self.index_crashes();
        self.block_matching(Self::is_confirmed);
        self.block_matching(|register, identity| {
            register.attributed_crashes(identity) >= MAX_CRASHES
                && !register.has_co_suspect(identity)
        });
        self.block_matching(|register, identity| {
            register.counted(identity).count() >= MAX_SHARED_CRASHES
                && register.attributed_crashes(identity) > 0
        });
        self.block_matching(|register, identity| register.crashes_repeatedly(identity));
        self.isolated = self.find_isolated();
        let unblocked = before.difference(&self.blocked);
        let mut changes: Vec<_> = unblocked
            .map(|identity| self.describe_change(now, *identity, ChangeKind::Unblocked))
            .collect();
        for identity in self.blocked.difference(&before) {
            changes.push(self.describe_change(now, *identity, ChangeKind::Blocked));
        }
        for (identity, before) in updated {
            let counted = self.counted(identity).count();
            let kind = if counted > *before {
                ChangeKind::Suspected
            } else {
                ChangeKind::Cleared
            };
            if counted != *before {
                changes.push(self.describe_change(now, *identity, kind));
            }
        }
        changes
    }

    /// Convicts those of whom `is_guilty` holds, whoever is to blame for the most first: an endpoint that crashes takes
    /// along all that runs there, and crashes that a convicted request accounts for count against nobody else.
    fn block_matching(&mut self, should_block: impl Fn(&Self, &Identity) -> bool) {
        let enough = self.records.iter().filter(|(identity, record)| {
            record.starts.len() >= MAX_CRASHES && !self.blocked.contains(*identity)
        });
        let suspects =
            enough.map(|(identity, _)| (Reverse(self.attributed_crashes(identity)), *identity));
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort();
        for (_, identity) in suspects {
            if should_block(self, &identity) {
                let starts = self.counted(&identity).map(|(start, _)| start.clone());
                let starts: Vec<_> = starts.collect();
                self.explained.extend(starts);
                self.blocked.insert(identity);
            }
        }
    }

    /// Whether enough crashes count against a request, and it is to blame for one under its last chance: there it was
    /// alone, so that what others account for does not matter.
    fn is_confirmed(&self, identity: &Identity) -> bool {
        let mut counted = self.counted(identity);
        let in_isolation = counted
            .any(|(start, before)| before >= ISOLATE_AT_CRASHES && self.is_cause(start, before));
        in_isolation && self.counted(identity).count() >= MAX_CRASHES
    }

    fn crashes_repeatedly(&self, identity: &Identity) -> bool {
        let record = self.records.get(identity);
        record.is_some_and(Record::crashes_repeatedly)
    }

    /// Whether another request may as well be to blame: it was at two of the same endpoints.
    fn has_co_suspect(&self, identity: &Identity) -> bool {
        let own: BTreeSet<_> = self.counted(identity).map(|(start, _)| start).collect();
        self.records.iter().any(|(other, record)| {
            let shared = record.counted().filter(|(start, _)| own.contains(start));
            other != identity
                && !self.blocked.contains(other)
                && shared.count() >= ISOLATE_AT_CRASHES
        })
    }

    /// Whether a request, against which so many counted before, is to blame for a crash: of those that ran there, it
    /// had the most against it.
    fn is_cause(&self, start: &EndpointStart, before: usize) -> bool {
        let most = self.max_before.get(start);
        before >= most.copied().unwrap_or_default()
    }

    fn find_isolated(&self) -> Vec<Identity> {
        let may_run = self.records.keys().filter(|id| !self.blocked.contains(*id));
        let isolated = may_run.filter(|identity| self.crash_count(identity) >= ISOLATE_AT_CRASHES);
        isolated.copied().collect()
    }

    fn index_crashes(&mut self) {
        self.max_before.clear();
        for (start, before) in self.records.values().flat_map(Record::counted) {
            let most = self.max_before.entry(start.clone()).or_default();
            *most = before.max(*most);
        }
    }

    /// Endpoints that count against a request that may run. Those that others account for count, too, until a run of it
    /// ends: two that crash endpoints may have met at one.
    pub(super) fn crash_count(&self, identity: &Identity) -> usize {
        self.counted(identity).count()
    }

    /// Those of them that no convicted request accounts for; one at least.
    pub(super) fn unexplained(&self, identity: &Identity) -> usize {
        let counted = self.counted(identity);
        let unexplained = counted.filter(|(start, _)| !self.explained.contains(*start));
        unexplained.count().max(self.crash_count(identity).min(1))
    }

    /// Endpoints for whose crash a request is to blame, as far as no convicted one accounts for it.
    fn attributed_crashes(&self, identity: &Identity) -> usize {
        let counted = self.counted(identity);
        let own = counted.filter(|(start, before)| {
            self.is_cause(start, *before) && !self.explained.contains(*start)
        });
        own.count()
    }

    /// Whether a start has crashed, as far as is known.
    pub(super) fn has_crashed(&self, start: &EndpointStart) -> bool {
        self.max_before.contains_key(start)
    }
}
