//! Which endpoint gets a request: the plain baseline and the full policy.
//!
//! [`choose`] is a pure function of the set, the request, the time and the policy, and gives the
//! same choice for the same seed. It changes nothing: the caller sends
//! [`Event::Started`](crate::endpoint::Event::Started) for the endpoint that it takes.

mod candidate;
mod pick;

use crate::{
    Time, Version,
    endpoint::{Key, Set},
};
use candidate::{Candidate, Candidates};
use serde::Serialize;
use std::ops::RangeInclusive;

/// Most runners-up that a choice names.
pub const MAX_RUNNERS_UP: usize = 2;

/// Whose requests come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Samples that nobody waits for yet.
    Bulk,
    /// Samples that hold up a step.
    Straggler,
    /// A live caller waits.
    Live,
}

/// What a request asks of its endpoint.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Pool to choose from.
    pub pool: &'a str,
    /// Hash of the prompt's prefix; requests with the same one share a prefix cache.
    pub prefix: Option<u64>,
    /// Priority.
    pub priority: Priority,
    /// Zone of this entry.
    pub zone: &'a str,
    /// Versions that the endpoint must serve; `None` takes any, also an unknown one.
    pub versions: Option<RangeInclusive<Version>>,
    /// Endpoints that earlier attempts of the request used up.
    pub excluded: &'a [Key],
    /// Whether it may run twice; if not, it is never used as a probe.
    pub repeatable: bool,
    /// Decides what is left to chance.
    pub seed: u64,
}

/// Switches of the full policy, so that each can be measured alone. All off is the baseline: first
/// in, first out to the least outstanding endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Same prefix to the same endpoint, while its load stays within `load_factor`.
    pub affinity: bool,
    /// Most load of an endpoint against the mean of its peers, above 1.
    pub load_factor: f64,
    /// Choose the better of two at random in place of the least loaded of all.
    pub two_choices: bool,
    /// Count the work of others by load reports.
    pub load_reports: bool,
    /// Prefer the entry's own zone.
    pub zone_local: bool,
    /// Utilisation (0 to 1) of the own zone up to which nothing spills over.
    pub spill_threshold: f64,
    /// Give less to endpoints that just started or came back.
    pub slow_start: bool,
    /// Hold back by the adaptive limit of each endpoint; without it only its slots bound the work.
    /// Where endpoints themselves say that they are full, and a refusal there costs a retry
    /// elsewhere, a limit that was cut by lost answers would refuse callers while slots are idle.
    pub adaptive_limits: bool,
    /// One of so many requests probes an ejected endpoint whose time is over; 0 never probes.
    pub probe_one_in: u64,
}

impl Policy {
    /// First in, first out to the least outstanding endpoint.
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

    /// Everything on.
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

/// The endpoint chosen, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub key: Key,
    /// Why this one.
    pub reason: Reason,
    /// Whether it went past the own zone for load.
    pub spilled: bool,
    /// The next best, best first; at most [`MAX_RUNNERS_UP`].
    pub runners_up: Vec<Key>,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Least outstanding work.
    LeastOutstanding,
    /// Least of two at random.
    TwoChoices,
    /// Home of the prefix.
    Affinity,
    /// Next in line for the prefix, since its home is loaded beyond the bound.
    AffinityNext,
    /// An ejected endpoint is tried.
    Probe,
    /// All are ejected, so ejection counts for nothing.
    AllEjected,
    /// Endpoints have crashed under the request: it runs at this one alone.
    InDoubt,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The pool has no listed endpoint.
    #[error("no endpoint of the pool is listed")]
    UnknownPool,
    /// All are leaving or excluded.
    #[error("every endpoint of the pool is leaving or was tried")]
    NoEndpoint,
    /// None serves an admissible version.
    #[error("no endpoint serves an admissible version")]
    NoVersion,
    /// All that may serve it are at their concurrency limit.
    #[error("every endpoint is at its limit")]
    Full,
}

/// Chooses an endpoint for `request`.
///
/// Never returns one that is leaving, gone, excluded, on an inadmissible version, or at its
/// concurrency limit.
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
    let (near, spilled) = select_zone(candidates, request, policy);
    let mut selection = pick::pick(&near, request, policy);
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

/// An ejected endpoint whose time is over, for one of `probe_every` requests.
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

/// With nothing but ejected endpoints left, refusing all would be worse than trying one.
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

/// The own zone's endpoints, or all if the own zone is busy and the others are less so.
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
    // A live caller doesn't wait for the zones to even out.
    let remote_may_help =
        request.priority == Priority::Live || local_usage.ratio() > remote_usage.ratio();
    if local_usage.ratio() > policy.spill_threshold && remote_may_help {
        return (live, true);
    }
    (local, false)
}
