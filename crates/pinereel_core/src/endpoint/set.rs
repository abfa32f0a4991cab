//! The set of endpoints that one entry works with: outlier ejection, draining and replacement.

use super::{
    AttemptEnd, Change, ChangeKind, Endpoint, Event, Key, LeavingSource, Listing, LoadReport,
    State, reachability::ProbeSchedule,
};
use crate::Time;
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection; each further one doubles it.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Consecutive connections that could not be opened, after which an endpoint is ejected until a probe
/// reaches it. They never show that it is leaving: the fault may be this entry's own link.
const REFUSALS_TO_EJECT: u32 = 3;
/// Most incarnations remembered as leaving after they were removed from the set.
const MAX_LEAVING_HISTORY: usize = 16_384;

/// All endpoints of an entry, including removed ones with attempts still in flight.
#[derive(Clone, Debug, Default)]
pub struct Set {
    arena: SlotMap<Key, Endpoint>,
    by_name: BTreeMap<CompactString, Key>,
    by_pool: BTreeMap<CompactString, Vec<Key>>,
    /// Removed incarnations with attempts still in flight.
    retired: BTreeMap<(CompactString, u64), Key>,
    leaving_history: LeavingHistory,
}

/// Bounded history of incarnations known to be leaving; the oldest is evicted first.
#[derive(Clone, Debug, Default)]
struct LeavingHistory {
    members: BTreeSet<(CompactString, u64)>,
    order: VecDeque<(CompactString, u64)>,
}

impl LeavingHistory {
    fn insert(&mut self, name: &CompactString, incarnation: u64) {
        let id = (name.clone(), incarnation);
        if !self.members.insert(id.clone()) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_LEAVING_HISTORY
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
    }

    fn contains(&self, name: &CompactString, incarnation: u64) -> bool {
        self.members.contains(&(name.clone(), incarnation))
    }
}

impl Set {
    /// Applies one event; returns the changes, for the log and for hints to peers.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Change> {
        let mut changes = Vec::new();
        match event {
            Event::Listed(listing) => self.apply_listing(now, listing, &mut changes),
            Event::Unlisted { name } => {
                if let Some(key) = self.by_name.get(&name).copied() {
                    self.retire(key, &mut changes);
                }
            }
            Event::Hinted { name, incarnation } => self.add_hint(&name, incarnation, &mut changes),
            Event::Reported {
                key,
                incarnation,
                report,
            } => self.apply_report(now, key, incarnation, report, &mut changes),
            Event::SlowdownReported { key, percent } => {
                if let Some(endpoint) = self.arena.get_mut(key) {
                    endpoint.slowdown.report(now, percent);
                }
            }
            Event::Started { key, tokens } => {
                if let Some(endpoint) = self.arena.get_mut(key) {
                    endpoint.start(now, tokens);
                }
            }
            Event::Yielding { key, change } => {
                if let Some(endpoint) = self.arena.get_mut(key) {
                    endpoint.yielding = endpoint.yielding.saturating_add_signed(change);
                }
            }
            Event::Finished {
                key,
                tokens,
                took,
                end,
            } => self.finish_attempt(now, key, (tokens, took), end, &mut changes),
            Event::Probed { key, reached } => self.record_probe(now, key, reached, &mut changes),
        }
        changes
    }

    /// The endpoint, unless it was removed and its last attempt has ended.
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.arena.get(key)
    }

    /// The current incarnation of a name.
    pub fn find(&self, name: &str) -> Option<(Key, &Endpoint)> {
        let key = *self.by_name.get(name)?;
        Some((key, self.arena.get(key)?))
    }

    /// Listed endpoints of a pool in order of arrival, including leaving and ejected ones.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = (Key, &Endpoint)> {
        let keys = self.by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, &self.arena[*key]))
    }

    /// Whether any endpoint of the pool is listed.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.by_pool.contains_key(pool)
    }

    /// All endpoints, including removed ones with attempts in flight.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.arena.iter()
    }

    /// The ejected endpoints whose next probe is due; the result of each is [`Event::Probed`].
    pub fn due_probes(&self, now: Time) -> impl Iterator<Item = (Key, &Endpoint)> {
        let is_due = move |at: Time| at <= now;
        self.iter()
            .filter(move |(_, endpoint)| endpoint.next_probe_at().is_some_and(is_due))
    }

    /// When the next probe is due; `None` if none is.
    pub fn next_probe_at(&self) -> Option<Time> {
        self.arena
            .values()
            .filter_map(Endpoint::next_probe_at)
            .min()
    }

    /// Incarnations by name that peers should treat as leaving.
    pub fn hints(&self) -> BTreeMap<CompactString, u64> {
        self.arena
            .values()
            .filter(|e| e.leaving_source.is_some_and(LeavingSource::is_shareable))
            .map(|e| (e.name.clone(), e.incarnation))
            .collect()
    }

    fn apply_listing(&mut self, now: Time, listing: Listing, changes: &mut Vec<Change>) {
        if let Some(key) = self.by_name.get(&listing.name).copied() {
            let endpoint = &mut self.arena[key];
            if endpoint.incarnation == listing.incarnation {
                self.update(key, listing, changes);
                return;
            }
            // The list is eventually consistent and may still show a replaced incarnation.
            if self
                .leaving_history
                .contains(&listing.name, listing.incarnation)
            {
                return;
            }
            self.leaving_history
                .insert(&endpoint.name, endpoint.incarnation);
            self.retire(key, changes);
        }
        self.add(now, listing, changes);
    }

    fn update(&mut self, key: Key, listing: Listing, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.address = listing.address;
        endpoint.zone = listing.zone;
        endpoint.slots = listing.slots.max(1);
        // A lower bound applies immediately; the adaptive limit grows back on its own.
        endpoint.limit = endpoint.limit.min(f64::from(endpoint.slots));
        if endpoint.pool != listing.pool {
            let old_pool = std::mem::replace(&mut endpoint.pool, listing.pool.clone());
            self.remove_from_pool(&old_pool, key);
            self.by_pool.entry(listing.pool).or_default().push(key);
        }
        if listing.leaving {
            self.mark_leaving(key, LeavingSource::Listed, changes);
        }
    }

    fn add(&mut self, now: Time, listing: Listing, changes: &mut Vec<Change>) {
        let known_leaving = self
            .leaving_history
            .contains(&listing.name, listing.incarnation);
        let leaving = listing.leaving;
        let (name, pool) = (listing.name.clone(), listing.pool.clone());
        // At the entry's own start, the endpoints it finds are not new and need no slow start.
        let slow_start_since = (now > Time::ZERO).then_some(now);
        let endpoint = Endpoint::new(listing, slow_start_since);
        let key = self.restore_or_insert(endpoint);
        self.by_name.insert(name, key);
        self.by_pool.entry(pool).or_default().push(key);
        self.push_change(key, ChangeKind::Added, changes);
        if leaving {
            self.mark_leaving(key, LeavingSource::Listed, changes);
        } else if known_leaving {
            self.mark_leaving(key, LeavingSource::Hinted, changes);
        }
    }

    /// Ensures that one incarnation never has two keys. If it is listed again while attempts are in
    /// flight, they still count against its limit, and their results still apply to it.
    fn restore_or_insert(&mut self, mut endpoint: Endpoint) -> Key {
        let id = (endpoint.name.clone(), endpoint.incarnation);
        let Some(key) = self.retired.remove(&id) else {
            return self.arena.insert(endpoint);
        };
        let retired = &self.arena[key];
        endpoint.outstanding = retired.outstanding;
        endpoint.yielding = retired.yielding;
        endpoint.tokens = retired.tokens;
        endpoint.recent_changes = retired.recent_changes.clone();
        self.arena[key] = endpoint;
        key
    }

    fn add_hint(&mut self, name: &CompactString, incarnation: u64, changes: &mut Vec<Change>) {
        let key = self.by_name.get(name).copied();
        match key.filter(|key| self.arena[*key].incarnation == incarnation) {
            Some(key) => self.mark_leaving(key, LeavingSource::Hinted, changes),
            None => self.leaving_history.insert(name, incarnation),
        }
    }

    fn apply_report(
        &mut self,
        now: Time,
        key: Key,
        incarnation: u64,
        report: LoadReport,
        changes: &mut Vec<Change>,
    ) {
        let Some(endpoint) = self.arena.get(key) else {
            return;
        };
        if endpoint.incarnation != incarnation {
            self.replace_incarnation(now, key, incarnation, report, changes);
            return;
        }
        let before = endpoint.version;
        if !self.arena[key].apply_report(report) {
            return;
        }
        if before != report.version {
            self.push_change(key, ChangeKind::VersionChanged(report.version), changes);
        }
        if report.leaving {
            self.mark_leaving(key, LeavingSource::Reported, changes);
        }
    }

    /// The endpoint reports a new incarnation before the list shows it.
    fn replace_incarnation(
        &mut self,
        now: Time,
        key: Key,
        incarnation: u64,
        report: LoadReport,
        changes: &mut Vec<Change>,
    ) {
        let endpoint = &self.arena[key];
        let current = self.by_name.get(&endpoint.name) == Some(&key);
        if !current || self.leaving_history.contains(&endpoint.name, incarnation) {
            return;
        }
        let listing = Listing {
            name: endpoint.name.clone(),
            incarnation,
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            pool: endpoint.pool.clone(),
            slots: endpoint.slots,
            leaving: report.leaving,
        };
        let name = listing.name.clone();
        self.apply_listing(now, listing, changes);
        let key = self.by_name[&name];
        self.apply_report(now, key, incarnation, report, changes);
    }

    fn finish_attempt(
        &mut self,
        now: Time,
        key: Key,
        (tokens, took): (u32, Duration),
        end: AttemptEnd,
        changes: &mut Vec<Change>,
    ) {
        let Some(endpoint) = self.arena.get_mut(key) else {
            return;
        };
        endpoint.finish(now, tokens);
        let was_opened = !matches!(
            end,
            AttemptEnd::ConnectionRefused | AttemptEnd::ConnectionTimeout | AttemptEnd::Cancelled
        );
        if was_opened {
            endpoint.refusals = 0;
        }
        match end {
            AttemptEnd::Completed => self.record_success(now, key, took, changes),
            AttemptEnd::Cancelled => {}
            AttemptEnd::Failed => {
                endpoint.decrease_limit(now, took);
                self.record_failure(now, key, changes);
            }
            AttemptEnd::Overloaded => endpoint.decrease_limit(now, took),
            AttemptEnd::ConnectionRefused | AttemptEnd::ConnectionTimeout => {
                self.record_refusal(now, key, changes);
            }
            AttemptEnd::Leaving => self.mark_leaving(key, LeavingSource::Reported, changes),
        }
        let endpoint = &self.arena[key];
        if endpoint.state == State::Gone && endpoint.outstanding == 0 {
            let id = (endpoint.name.clone(), endpoint.incarnation);
            self.retired.remove(&id);
            self.arena.remove(key);
        }
    }

    fn record_success(&mut self, now: Time, key: Key, took: Duration, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.record_latency(now, took);
        endpoint.increase_limit();
        endpoint.failures = 0;
        let State::Ejected { .. } = endpoint.state else {
            endpoint.ejections = 0;
            return;
        };
        // An attempt that started before the ejection says nothing about recovery.
        let started_at = Time(now.0.saturating_sub(took.as_micros() as u64));
        if endpoint.ejected_at.is_some_and(|at| started_at >= at) {
            self.restore(now, key, changes);
        }
    }

    /// Ends the ejection of an endpoint.
    fn restore(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.state = State::Live;
        endpoint.slow_start_since = Some(now);
        endpoint.probe = None;
        endpoint.unreachable = false;
        endpoint.refusals = 0;
        self.push_change(key, ChangeKind::Restored, changes);
    }

    /// Records whether a probe reached an ejected endpoint. Its ejection ends with the fault of the link, if
    /// that was the reason; failures of its own are not over because a connection can be opened.
    fn record_probe(&mut self, now: Time, key: Key, reached: bool, changes: &mut Vec<Change>) {
        let Some(endpoint) = self.arena.get_mut(key) else {
            return;
        };
        let (State::Ejected { .. }, Some(schedule)) = (endpoint.state, endpoint.probe) else {
            return;
        };
        if !reached {
            endpoint.unreachable = true;
            endpoint.probe = Some(schedule.after_failure(now));
        } else if endpoint.unreachable {
            endpoint.failures = 0;
            self.restore(now, key, changes);
        } else {
            endpoint.probe = None;
        }
    }

    fn record_failure(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.failures += 1;
        let should_eject = match endpoint.state {
            State::Live => endpoint.failures >= FAILURES_TO_EJECT,
            State::Ejected { until } => now >= until,
            State::Leaving | State::Gone => false,
        };
        if should_eject {
            self.eject(now, key, changes);
        }
    }

    fn eject(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        let uncapped = BASE_EJECTION_TIME * 2u32.pow(endpoint.ejections.min(8));
        let until = now + uncapped.min(MAX_EJECTION_TIME);
        endpoint.ejections += 1;
        self.eject_until(now, key, until, changes);
    }

    fn eject_until(&mut self, now: Time, key: Key, until: Time, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.ejected_at = Some(now);
        endpoint.state = State::Ejected { until };
        endpoint.probe.get_or_insert(ProbeSchedule::new(now));
        self.push_change(key, ChangeKind::Ejected { until }, changes);
    }

    /// Records that a connection could not be opened. The ejection of an endpoint that cannot be reached
    /// does not get longer each time, since a probe ends it.
    fn record_refusal(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.refusals += 1;
        match endpoint.state {
            State::Live if endpoint.refusals >= REFUSALS_TO_EJECT => {
                endpoint.unreachable = true;
                self.eject_until(now, key, now + BASE_EJECTION_TIME, changes);
            }
            State::Ejected { .. } => {
                endpoint.unreachable = true;
                endpoint.probe.get_or_insert(ProbeSchedule::new(now));
            }
            State::Live | State::Leaving | State::Gone => {}
        }
    }

    fn mark_leaving(&mut self, key: Key, leaving_source: LeavingSource, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        self.leaving_history
            .insert(&endpoint.name, endpoint.incarnation);
        if matches!(endpoint.state, State::Leaving | State::Gone) {
            return;
        }
        endpoint.state = State::Leaving;
        endpoint.probe = None;
        endpoint.leaving_source = Some(leaving_source);
        self.push_change(key, ChangeKind::Leaving(leaving_source), changes);
    }

    /// Removes an incarnation from the listed endpoints. It stays in the arena until its last
    /// attempt ends.
    fn retire(&mut self, key: Key, changes: &mut Vec<Change>) {
        self.push_change(key, ChangeKind::Gone, changes);
        let endpoint = &mut self.arena[key];
        endpoint.state = State::Gone;
        endpoint.probe = None;
        let id = (endpoint.name.clone(), endpoint.incarnation);
        let (pool, idle) = (endpoint.pool.clone(), endpoint.outstanding == 0);
        self.by_name.remove(&id.0);
        self.remove_from_pool(&pool, key);
        if idle {
            self.arena.remove(key);
        } else {
            self.retired.insert(id, key);
        }
    }

    fn remove_from_pool(&mut self, pool: &CompactString, key: Key) {
        if let Some(keys) = self.by_pool.get_mut(pool) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.by_pool.remove(pool);
            }
        }
    }

    fn push_change(&self, key: Key, kind: ChangeKind, changes: &mut Vec<Change>) {
        let endpoint = &self.arena[key];
        changes.push(Change {
            key,
            name: endpoint.name.clone(),
            incarnation: endpoint.incarnation,
            kind,
        });
    }
}
