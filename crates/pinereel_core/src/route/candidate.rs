//! Sorts a pool's endpoints into those that may be chosen and those that may not.

use super::{Policy, Priority, Request};
use crate::{
    Time,
    endpoint::{Endpoint, Key, Set, State},
};

/// Share of its usual work that an endpoint gets while it loads weights.
const LOADING_WEIGHT: f64 = 0.5;

/// An endpoint that may be chosen, with the figures that decide.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: Key,
    /// Stable hash of its name.
    pub(super) hash: u64,
    /// Estimated requests there.
    pub(super) load: f64,
    /// Its slots.
    pub(super) slots: f64,
    /// Slots times the share that slow-start allows: what its load is measured against.
    pub(super) weight: f64,
    /// Whether it is in the entry's zone.
    pub(super) local: bool,
}

impl Candidate {
    /// Load after one more request, against the weight; the least is the best.
    pub(super) fn cost(&self) -> f64 {
        (self.load + 1.0) / self.weight
    }
}

/// A pool's endpoints by what may be done with them.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// May be chosen.
    pub(super) live: Vec<Candidate>,
    /// Ejected, with room.
    pub(super) ejected: Vec<Candidate>,
    /// Ejected, time over and idle: may be probed.
    pub(super) probe_ready: Vec<Key>,
    /// At least one live endpoint was left out for its limit alone.
    pub(super) any_full: bool,
    /// At least one was left out for its version.
    pub(super) any_wrong_version: bool,
    /// Load and slots of the own zone, endpoints at their limit included.
    pub(super) local_usage: ZoneUsage,
    /// The same of all other zones.
    pub(super) remote_usage: ZoneUsage,
}

/// Load against slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneUsage {
    load: f64,
    slots: f64,
}

impl ZoneUsage {
    /// Load by slot; above 1 if requests wait.
    pub(super) fn ratio(self) -> f64 {
        self.load / self.slots.max(1.0)
    }

    fn add(&mut self, candidate: &Candidate) {
        self.load += candidate.load;
        self.slots += candidate.slots;
    }
}

impl Candidates {
    pub(super) fn collect(set: &Set, request: &Request<'_>, now: Time, policy: &Policy) -> Self {
        let mut candidates = Self::default();
        for (key, endpoint) in set.pool(request.pool) {
            candidates.add(key, endpoint, request, now, policy);
        }
        candidates
    }

    fn add(
        &mut self,
        key: Key,
        endpoint: &Endpoint,
        request: &Request<'_>,
        now: Time,
        policy: &Policy,
    ) {
        let may_be_eligible = matches!(endpoint.state, State::Live | State::Ejected { .. });
        if !may_be_eligible || request.excluded.contains(&key) {
            return;
        }
        if !serves_admissible_version(endpoint, request) {
            self.any_wrong_version = true;
            return;
        }
        let candidate = to_candidate(key, endpoint, request, now, policy);
        if endpoint.state == State::Live {
            let zone = if candidate.local {
                &mut self.local_usage
            } else {
                &mut self.remote_usage
            };
            zone.add(&candidate);
        }
        let room = match request.priority {
            _ if !policy.adaptive_limits => endpoint.outstanding < endpoint.slots,
            Priority::Live => endpoint.has_live_room(),
            Priority::Straggler | Priority::Bulk => endpoint.has_room(),
        };
        if !room {
            self.any_full |= endpoint.state == State::Live;
            return;
        }
        if let State::Ejected { until } = endpoint.state {
            self.ejected.push(candidate);
            if now >= until && endpoint.outstanding == 0 {
                self.probe_ready.push(key);
            }
        } else {
            self.live.push(candidate);
        }
    }
}

fn serves_admissible_version(endpoint: &Endpoint, request: &Request<'_>) -> bool {
    let Some(versions) = &request.versions else {
        return true;
    };
    endpoint.version.is_some_and(|v| versions.contains(&v))
}

fn to_candidate(
    key: Key,
    endpoint: &Endpoint,
    request: &Request<'_>,
    now: Time,
    policy: &Policy,
) -> Candidate {
    let slots = f64::from(endpoint.slots);
    let mut weight = slots;
    if policy.slow_start {
        weight *= endpoint.slow_start_weight(now);
        if endpoint.loading.is_some() {
            weight *= LOADING_WEIGHT;
        }
    }
    let load = if policy.load_reports {
        endpoint.load(now)
    } else {
        f64::from(endpoint.outstanding)
    };
    Candidate {
        key,
        hash: endpoint.hash(),
        load,
        slots,
        weight,
        local: endpoint.zone == request.zone,
    }
}
