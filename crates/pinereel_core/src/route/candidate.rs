//! Classifies a pool's endpoints by whether a request may be sent to them.

use super::{Policy, Priority, Request};
use crate::{
    Time,
    endpoint::{Endpoint, Key, Set, State},
};

/// Fraction of its usual load that an endpoint gets while it loads weights.
const LOADING_WEIGHT: f64 = 0.5;

/// An endpoint that may be chosen, with the figures that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: Key,
    /// Stable hash of its name, for rendezvous hashing.
    pub(super) hash: u64,
    /// Estimated requests at the endpoint.
    pub(super) load: f64,
    /// Its slots: the maximum number of concurrent requests.
    pub(super) slots: f64,
    /// Slots times the fractions for slow start and for loading weights, divided by the slowdown; the
    /// load is compared to it.
    pub(super) weight: f64,
    /// Slowdown of its machine, as a factor; `None` if it reports none.
    pub(super) slowdown: Option<f64>,
    /// Whether it is in the entry's own zone.
    pub(super) local: bool,
}

impl Candidate {
    /// Load with one more request relative to the weight; lower is better.
    pub(super) fn cost(&self) -> f64 {
        (self.load + 1.0) / self.weight
    }
}

/// The endpoints of a pool that may serve a request, and why others may not.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Live endpoints with room.
    pub(super) live: Vec<Candidate>,
    /// Ejected endpoints with room.
    pub(super) ejected: Vec<Candidate>,
    /// Ejected endpoints that are idle and whose ejection time is over, so they may be probed.
    pub(super) probe_ready: Vec<Key>,
    /// Whether a live endpoint was left out only because of its limit.
    pub(super) any_full: bool,
    /// Whether an endpoint was left out because of its version.
    pub(super) any_wrong_version: bool,
    /// Usage of the own zone, including endpoints at their limit.
    pub(super) local_usage: ZoneUsage,
    /// Usage of all other zones, including endpoints at their limit.
    pub(super) remote_usage: ZoneUsage,
}

/// Total load and slots of some zones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneUsage {
    load: f64,
    slots: f64,
}

impl ZoneUsage {
    /// Load per slot; above 1 if requests are queued.
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
    let slowdown = endpoint.slowdown(now).filter(|_| policy.load_reports);
    if let Some(factor) = slowdown {
        weight /= factor;
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
        slowdown,
        local: endpoint.zone == request.zone,
    }
}
