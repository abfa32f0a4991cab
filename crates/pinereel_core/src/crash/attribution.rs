//! Attributes endpoint crashes to requests and decides which requests are blocked.
//!
//! A crash ends every run at the endpoint. It is attributed to the request with the most earlier
//! crashes among those that ran there. Requests are blocked by these rules, the most certain one
//! first:
//!
//! 1. Three crashes count against the request, and one of them happened while it ran in isolation.
//! 2. Three crashes are attributed to it, and no other request was at two of the same endpoints.
//! 3. Five crashes count against it, and blocked requests explain only some of them.
//! 4. Five endpoints have crashed under it, though some of its runs completed in between.

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
    /// Recomputes the set of blocked requests and returns what changed. `updated` has the requests
    /// with new information, each with the number of crashes that counted against it before.
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

    /// Blocks the requests for which `should_block` holds, starting with those that most crashes
    /// are attributed to. A crash ends every run at the endpoint, so a crash that a blocked request
    /// explains counts against no other request.
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

    /// Whether enough crashes count against the request, and one of them is attributed to it from a
    /// run in isolation. It ran alone there, so it does not matter which of its other crashes are
    /// explained.
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

    /// Whether another request could equally be the cause: it was at two of the same endpoints.
    fn has_co_suspect(&self, identity: &Identity) -> bool {
        let own_starts: BTreeSet<_> = self.counted(identity).map(|(start, _)| start).collect();
        self.records.iter().any(|(other, record)| {
            let shared = record
                .counted()
                .filter(|(start, _)| own_starts.contains(start));
            other != identity
                && !self.blocked.contains(other)
                && shared.count() >= ISOLATE_AT_CRASHES
        })
    }

    /// Whether the crash of `start` is attributed to a request that `before` crashes counted
    /// against at that time: no other request that ran there had more.
    fn is_cause(&self, start: &EndpointStart, before: usize) -> bool {
        let max_before = self.max_before.get(start);
        before >= max_before.copied().unwrap_or_default()
    }

    fn find_isolated(&self) -> Vec<Identity> {
        let may_run = self.records.keys().filter(|id| !self.blocked.contains(*id));
        let isolated = may_run.filter(|identity| self.crash_count(identity) >= ISOLATE_AT_CRASHES);
        isolated.copied().collect()
    }

    fn index_crashes(&mut self) {
        self.max_before.clear();
        for (start, before) in self.records.values().flat_map(Record::counted) {
            let max_before = self.max_before.entry(start.clone()).or_default();
            *max_before = before.max(*max_before);
        }
    }

    /// Crashes that count against a request that is not blocked. Those that a blocked request
    /// explains count as well until one of its runs completes: two requests that crash endpoints
    /// may have met at one.
    pub(super) fn crash_count(&self, identity: &Identity) -> usize {
        self.counted(identity).count()
    }

    /// Crashes among [`Register::crash_count`] that no blocked request explains; at least one if
    /// any counts.
    pub(super) fn unexplained(&self, identity: &Identity) -> usize {
        let counted = self.counted(identity);
        let unexplained = counted.filter(|(start, _)| !self.explained.contains(*start));
        unexplained.count().max(self.crash_count(identity).min(1))
    }

    /// Crashes that are attributed to the request and that no blocked request explains.
    fn attributed_crashes(&self, identity: &Identity) -> usize {
        let counted = self.counted(identity);
        let attributed = counted.filter(|(start, before)| {
            self.is_cause(start, *before) && !self.explained.contains(*start)
        });
        attributed.count()
    }

    /// Whether this endpoint start is known to have crashed.
    pub(super) fn has_crashed(&self, start: &EndpointStart) -> bool {
        self.max_before.contains_key(start)
    }
}
