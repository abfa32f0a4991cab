//! The set of endpoints that one entry works with.

use super::{Change, End, Endpoint, Event, Evidence, Instance, Key, Report, State, What};
use crate::Time;
use compact_str::CompactString;
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Consecutive failures that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one doubles it.
const EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Consecutive refused connections that may mean that the process has ended.
const REFUSALS_TO_LEAVE: u32 = 3;
/// Least time from the first to the last of them: a short hiccup is no evidence.
const REFUSALS_SPREAD: Duration = Duration::from_secs(1);
/// Incarnations remembered as leaving after they left the set.
const MAX_LEFT: usize = 16_384;

/// All endpoints of an entry, live ones and those that still have attempts in flight.
#[derive(Clone, Debug, Default)]
pub struct Set {
    arena: SlotMap<Key, Endpoint>,
    names: BTreeMap<CompactString, Key>,
    pools: BTreeMap<CompactString, Vec<Key>>,
    /// Gone ones that still have attempts in flight.
    gone: BTreeMap<(CompactString, u64), Key>,
    left: Left,
}

/// Bounded memory of incarnations that were found leaving.
#[derive(Clone, Debug, Default)]
struct Left {
    known: BTreeSet<(CompactString, u64)>,
    order: VecDeque<(CompactString, u64)>,
}

impl Left {
    fn add(&mut self, name: &CompactString, incarnation: u64) {
        let id = (name.clone(), incarnation);
        if !self.known.insert(id.clone()) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_LEFT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    fn has(&self, name: &CompactString, incarnation: u64) -> bool {
        self.known.contains(&(name.clone(), incarnation))
    }
}

impl Set {
    /// Takes in one event; returns what changed, for the log and for peers' hints.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Change> {
        let mut changes = Vec::new();
        match event {
            Event::Listed(instance) => self.listed(now, instance, &mut changes),
            Event::Unlisted { name } => {
                if let Some(key) = self.names.get(&name).copied() {
                    self.retire(key, &mut changes);
                }
            }
            Event::Hinted { name, incarnation } => self.hinted(&name, incarnation, &mut changes),
            Event::Reported {
                key,
                incarnation,
                report,
            } => self.reported(now, key, incarnation, report, &mut changes),
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
            } => self.finished(now, key, (tokens, took), end, &mut changes),
        }
        changes
    }

    /// The endpoint, if it is still known.
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.arena.get(key)
    }

    /// The newest incarnation by name.
    pub fn find(&self, name: &str) -> Option<(Key, &Endpoint)> {
        let key = *self.names.get(name)?;
        Some((key, self.arena.get(key)?))
    }

    /// Listed endpoints of a pool, leaving and ejected ones included, in order of arrival.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = (Key, &Endpoint)> {
        let keys = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, &self.arena[*key]))
    }

    /// Whether any endpoint of the pool is listed.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// All endpoints, those that are gone but still busy included.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.arena.iter()
    }

    /// Incarnations that peers should know to be leaving, by name.
    pub fn hints(&self) -> BTreeMap<CompactString, u64> {
        self.arena
            .values()
            .filter(|e| e.evidence.is_some_and(Evidence::may_be_hinted))
            .map(|e| (e.name.clone(), e.incarnation))
            .collect()
    }

    fn listed(&mut self, now: Time, instance: Instance, changes: &mut Vec<Change>) {
        if let Some(key) = self.names.get(&instance.name).copied() {
            let endpoint = &mut self.arena[key];
            if endpoint.incarnation == instance.incarnation {
                self.update(key, instance, changes);
                return;
            }
            // The list lags: it may still show what was replaced already.
            if self.left.has(&instance.name, instance.incarnation) {
                return;
            }
            self.left.add(&endpoint.name, endpoint.incarnation);
            self.retire(key, changes);
        }
        self.add(now, instance, changes);
    }

    fn update(&mut self, key: Key, instance: Instance, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.address = instance.address;
        endpoint.zone = instance.zone;
        endpoint.slots = instance.slots.max(1);
        // A changed bound applies at once; the adaptive limit grows back by itself.
        endpoint.limit = endpoint.limit.min(f64::from(endpoint.slots));
        if endpoint.pool != instance.pool {
            let old = std::mem::replace(&mut endpoint.pool, instance.pool.clone());
            self.leave_pool(&old, key);
            self.pools.entry(instance.pool).or_default().push(key);
        }
        if instance.leaving {
            self.leaving(key, Evidence::Listed, changes);
        }
    }

    fn add(&mut self, now: Time, instance: Instance, changes: &mut Vec<Change>) {
        let known = self.left.has(&instance.name, instance.incarnation);
        let leaving = instance.leaving;
        let (name, pool) = (instance.name.clone(), instance.pool.clone());
        // At the entry's own start nothing is new about the endpoints that it finds.
        let slow_since = (now > Time::ZERO).then_some(now);
        let endpoint = Endpoint::new(instance, slow_since);
        let key = self.revive_or_insert(endpoint);
        self.names.insert(name, key);
        self.pools.entry(pool).or_default().push(key);
        self.tell(key, What::Added, changes);
        if leaving {
            self.leaving(key, Evidence::Listed, changes);
        } else if known {
            self.leaving(key, Evidence::Hinted, changes);
        }
    }

    /// One incarnation never has two keys: if it is listed again while attempts are in flight,
    /// they still count against its limit and their evidence still reaches it.
    fn revive_or_insert(&mut self, mut endpoint: Endpoint) -> Key {
        let id = (endpoint.name.clone(), endpoint.incarnation);
        let Some(key) = self.gone.remove(&id) else {
            return self.arena.insert(endpoint);
        };
        let old = &self.arena[key];
        endpoint.outstanding = old.outstanding;
        endpoint.yielding = old.yielding;
        endpoint.tokens = old.tokens;
        endpoint.recent = old.recent.clone();
        self.arena[key] = endpoint;
        key
    }

    fn hinted(&mut self, name: &CompactString, incarnation: u64, changes: &mut Vec<Change>) {
        let key = self.names.get(name).copied();
        match key.filter(|key| self.arena[*key].incarnation == incarnation) {
            Some(key) => self.leaving(key, Evidence::Hinted, changes),
            None => self.left.add(name, incarnation),
        }
    }

    fn reported(
        &mut self,
        now: Time,
        key: Key,
        incarnation: u64,
        report: Report,
        changes: &mut Vec<Change>,
    ) {
        let Some(endpoint) = self.arena.get(key) else {
            return;
        };
        if endpoint.incarnation != incarnation {
            self.replaced(now, key, incarnation, report, changes);
            return;
        }
        let before = endpoint.version;
        if !self.arena[key].take(report) {
            return;
        }
        if before != report.version {
            self.tell(key, What::Serves(report.version), changes);
        }
        if report.leaving {
            self.leaving(key, Evidence::Said, changes);
        }
    }

    /// The endpoint itself shows a new incarnation before the list does.
    fn replaced(
        &mut self,
        now: Time,
        key: Key,
        incarnation: u64,
        report: Report,
        changes: &mut Vec<Change>,
    ) {
        let endpoint = &self.arena[key];
        let current = self.names.get(&endpoint.name) == Some(&key);
        if !current || self.left.has(&endpoint.name, incarnation) {
            return;
        }
        let instance = Instance {
            name: endpoint.name.clone(),
            incarnation,
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            pool: endpoint.pool.clone(),
            slots: endpoint.slots,
            leaving: report.leaving,
        };
        let name = instance.name.clone();
        self.listed(now, instance, changes);
        let key = self.names[&name];
        self.reported(now, key, incarnation, report, changes);
    }

    fn finished(
        &mut self,
        now: Time,
        key: Key,
        (tokens, took): (u32, Duration),
        end: End,
        changes: &mut Vec<Change>,
    ) {
        let Some(endpoint) = self.arena.get_mut(key) else {
            return;
        };
        endpoint.finish(now, tokens);
        if end != End::ConnectionRefused && end != End::Cancelled {
            endpoint.refusals = 0;
            endpoint.refused_since = None;
        }
        match end {
            End::Whole => self.succeeded(now, key, took, changes),
            End::Cancelled => {}
            End::Failed | End::ConnectionTimeout => {
                endpoint.cut_limit(now, took);
                self.failed(now, key, changes);
            }
            End::Overloaded => endpoint.cut_limit(now, took),
            End::ConnectionRefused => self.connection_refused(now, key, changes),
            End::Leaving => self.leaving(key, Evidence::Said, changes),
        }
        let endpoint = &self.arena[key];
        if endpoint.state == State::Gone && endpoint.outstanding == 0 {
            let id = (endpoint.name.clone(), endpoint.incarnation);
            self.gone.remove(&id);
            self.arena.remove(key);
        }
    }

    fn succeeded(&mut self, now: Time, key: Key, took: Duration, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.observe(took);
        endpoint.raise_limit();
        endpoint.failures = 0;
        let State::Ejected { .. } = endpoint.state else {
            endpoint.ejections = 0;
            return;
        };
        // An attempt from before the ejection says nothing about the endpoint's recovery.
        let began = Time(now.0.saturating_sub(took.as_micros() as u64));
        if endpoint.ejected_at.is_some_and(|at| began >= at) {
            endpoint.state = State::Live;
            endpoint.slow_since = Some(now);
            self.tell(key, What::Restored, changes);
        }
    }

    fn failed(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.failures += 1;
        let eject = match endpoint.state {
            State::Live => endpoint.failures >= FAILURES_TO_EJECT,
            State::Ejected { until } => now >= until,
            State::Leaving | State::Gone => false,
        };
        if eject {
            self.eject(now, key, changes);
        }
    }

    fn eject(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        let doubled = EJECTION * 2u32.pow(endpoint.ejections.min(8));
        let until = now + doubled.min(MAX_EJECTION);
        endpoint.ejections += 1;
        endpoint.ejected_at = Some(now);
        endpoint.state = State::Ejected { until };
        self.tell(key, What::Ejected { until }, changes);
    }

    fn connection_refused(&mut self, now: Time, key: Key, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        endpoint.refusals += 1;
        let since = *endpoint.refused_since.get_or_insert(now);
        if endpoint.refusals >= REFUSALS_TO_LEAVE && now.since(since) >= REFUSALS_SPREAD {
            self.leaving(key, Evidence::ConnectionsRefused, changes);
        } else {
            self.failed(now, key, changes);
        }
    }

    fn leaving(&mut self, key: Key, evidence: Evidence, changes: &mut Vec<Change>) {
        let endpoint = &mut self.arena[key];
        self.left.add(&endpoint.name, endpoint.incarnation);
        if matches!(endpoint.state, State::Leaving | State::Gone) {
            return;
        }
        endpoint.state = State::Leaving;
        endpoint.evidence = Some(evidence);
        self.tell(key, What::Leaving(evidence), changes);
    }

    /// Takes an incarnation out; it stays in the arena until its last attempt ends.
    fn retire(&mut self, key: Key, changes: &mut Vec<Change>) {
        self.tell(key, What::Gone, changes);
        let endpoint = &mut self.arena[key];
        endpoint.state = State::Gone;
        let id = (endpoint.name.clone(), endpoint.incarnation);
        let (pool, idle) = (endpoint.pool.clone(), endpoint.outstanding == 0);
        self.names.remove(&id.0);
        self.leave_pool(&pool, key);
        if idle {
            self.arena.remove(key);
        } else {
            self.gone.insert(id, key);
        }
    }

    fn leave_pool(&mut self, pool: &CompactString, key: Key) {
        if let Some(keys) = self.pools.get_mut(pool) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    fn tell(&self, key: Key, what: What, changes: &mut Vec<Change>) {
        let endpoint = &self.arena[key];
        changes.push(Change {
            key,
            name: endpoint.name.clone(),
            incarnation: endpoint.incarnation,
            what,
        });
    }
}
