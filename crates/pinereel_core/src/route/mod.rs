//! Load balancing: chooses the endpoint for a request, with a plain baseline or the full policy.
//!
//! [`choose`] is a pure function of the set, the request, the time and the policy; a seed replaces
//! randomness. It changes nothing: the caller reports the endpoint it uses with
//! [`Event::Started`](crate::endpoint::Event::Started).

mod candidate;
mod pick;

use crate::{
    Time, Version,
    endpoint::{Key, Set},
};
use candidate::{Candidate, Candidates};
use serde::Serialize;
use std::ops::RangeInclusive;

/// Maximum number of alternatives named by a choice.
pub const MAX_RUNNERS_UP: usize = 2;

/// Priority class of a request, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Samples that nobody waits for yet.
    Bulk,
    /// Samples that delay the completion of a training step.
    Straggler,
    /// Requests with a caller that is waiting.
    Live,
}

/// What a request requires of its endpoint.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Pool to choose from.
    pub pool: &'a str,
    /// Hash of the prompt's prefix. Requests with the same hash share a prefix cache.
    pub prefix: Option<u64>,
    /// Priority class.
    pub priority: Priority,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Versions of which the endpoint must serve one; `None` allows any, including an unknown one.
    pub versions: Option<RangeInclusive<Version>>,
    /// Endpoints that earlier attempts of the request have used.
    pub excluded: &'a [Key],
    /// Whether it may run twice; if not, it is never used as a probe.
    pub repeatable: bool,
    /// Seed that replaces randomness.
    pub seed: u64,
}

/// Routing policy. Each feature can be switched on alone to measure its effect. With all features
/// off it is the baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Prefix affinity: the same prefix goes to the same endpoint while its load stays within
    /// `load_factor`.
    pub affinity: bool,
    /// Maximum load of an endpoint relative to the mean of its peers; above 1.
    pub load_factor: f64,
    /// Power of two choices: takes the better of two random endpoints instead of the least loaded
    /// of all.
    pub two_choices: bool,
    /// Estimates the load from other entries by load reports.
    pub load_reports: bool,
    /// Prefers the entry's own zone.
    pub zone_local: bool,
    /// Utilisation (0 to 1) of the own zone above which requests spill over to other zones.
    pub spill_threshold: f64,
    /// Sends less to endpoints that just started or were restored.
    pub slow_start: bool,
    /// Applies the adaptive concurrency limit of each endpoint; otherwise only its slots limit it.
    /// Should be off where endpoints report themselves that they are full and a refusal only costs
    /// a retry elsewhere: there, a limit reduced by lost answers would refuse callers while slots
    /// are idle.
    pub adaptive_limits: bool,
    /// One in this many requests probes an ejected endpoint whose ejection time is over; 0 disables
    /// probes.
    pub probe_one_in: u64,
}

impl Policy {
    /// All features off: first in, first out, each request to the endpoint with the fewest
    /// outstanding requests.
    pub const BASELINE: Self = Self {
        affinity: false,
        load_factor: 1.25,
        two_choices: false,
        load_reports: false,
        zone_local: false,
        spill_threshold: 0.8,
        slow_start: false,
        adaptive_limits: true,
        probe_one_in: 32,
    };

    /// All features on.
    pub const FULL: Self = Self {
        affinity: true,
        two_choices: true,
        load_reports: true,
        zone_local: true,
        slow_start: true,
        ..Self::BASELINE
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self::FULL
    }
}

/// The chosen endpoint, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key of the endpoint.
    pub key: Key,
    /// Why this endpoint was chosen.
    pub reason: Reason,
    /// Whether the request left its own zone because of load, or because the zone has no live
    /// endpoint with room.
    pub spilled: bool,
    /// The next best endpoints, best first; at most [`MAX_RUNNERS_UP`].
    pub runners_up: Vec<Key>,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Least outstanding requests.
    LeastOutstanding,
    /// The better of two random endpoints.
    TwoChoices,
    /// The prefix maps to it.
    Affinity,
    /// Next in the hash order of the prefix, since the first one is above its load bound.
    AffinityNext,
    /// Probe of an ejected endpoint.
    Probe,
    /// All endpoints are ejected, so ejection is ignored.
    AllEjected,
    /// Endpoints have crashed under the request, so it runs at this one only.
    InDoubt,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The pool has no listed endpoint.
    #[error("no endpoint of the pool is listed")]
    UnknownPool,
    /// All endpoints are leaving or excluded.
    #[error("every endpoint of the pool is leaving or was tried")]
    NoEndpoint,
    /// No endpoint serves an admissible version.
    #[error("no endpoint serves an admissible version")]
    NoVersion,
    /// All endpoints that may serve it are at their concurrency limit.
    #[error("every endpoint is at its limit")]
    Full,
}

/// Chooses an endpoint for `request`.
///
/// Never returns an endpoint that is leaving, gone, excluded, at its concurrency limit or on an
/// inadmissible version.
pub fn choose(
    set: &Set,
    request: &Request<'_>,
    now: Time,
    policy: &Policy,
) -> Result<Choice, Refusal> {
    if !set.has_pool(request.pool) {
        return Err(Refusal::UnknownPool);
    }
    let candidates = Candidates::collect(set, request, now, policy);
    if let Some(key) = choose_probe(&candidates, request, policy) {
        return Ok(without_runners_up(key, Reason::Probe));
    }
    if candidates.live.is_empty() {
        return choose_ejected(&candidates);
    }
    let (eligible, spilled) = select_zone(candidates, request, policy);
    let mut selection = pick::pick(&eligible, request, policy);
    let key = selection.order.remove(0);
    Ok(Choice {
        key,
        reason: selection.reason,
        spilled,
        runners_up: selection.order,
    })
}

fn without_runners_up(key: Key, reason: Reason) -> Choice {
    Choice {
        key,
        reason,
        spilled: false,
        runners_up: Vec::new(),
    }
}

/// An ejected endpoint whose ejection time is over, for one in `probe_one_in` requests.
fn choose_probe(candidates: &Candidates, request: &Request<'_>, policy: &Policy) -> Option<Key> {
    if policy.probe_one_in == 0 || !request.repeatable || candidates.probe_ready.is_empty() {
        return None;
    }
    let chance = crate::hash::mix(request.seed);
    if !chance.is_multiple_of(policy.probe_one_in) {
        return None;
    }
    let index = (chance / policy.probe_one_in) % candidates.probe_ready.len() as u64;
    Some(candidates.probe_ready[index as usize])
}

/// The least loaded ejected endpoint: with no other endpoint left, trying one is better than
/// refusing every request.
fn choose_ejected(candidates: &Candidates) -> Result<Choice, Refusal> {
    if candidates.any_full {
        return Err(Refusal::Full);
    }
    let best = candidates
        .ejected
        .iter()
        .min_by(|a, b| a.load.total_cmp(&b.load));
    match best {
        Some(candidate) => Ok(without_runners_up(candidate.key, Reason::AllEjected)),
        None if candidates.any_wrong_version => Err(Refusal::NoVersion),
        None => Err(Refusal::NoEndpoint),
    }
}

/// The own zone's endpoints, or those of all zones if the own zone is busy and the others are less
/// so. The flag tells whether the request may leave its zone.
fn select_zone(
    candidates: Candidates,
    request: &Request<'_>,
    policy: &Policy,
) -> (Vec<Candidate>, bool) {
    let Candidates {
        live,
        local_usage,
        remote_usage,
        ..
    } = candidates;
    if !policy.zone_local {
        return (live, false);
    }
    let (local, remote): (Vec<_>, Vec<_>) = live.iter().copied().partition(|c| c.local);
    if local.is_empty() || remote.is_empty() {
        let spilled = local.is_empty();
        return (live, spilled);
    }
    // A live caller does not wait until the zones are balanced.
    let remote_may_help =
        request.priority == Priority::Live || local_usage.ratio() > remote_usage.ratio();
    if local_usage.ratio() > policy.spill_threshold && remote_may_help {
        return (live, true);
    }
    (local, false)
}
