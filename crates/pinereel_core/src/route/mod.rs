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
use candidate::{Candidate, Sieve};
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
    pub reports: bool,
    /// Prefer the entry's own zone.
    pub zone_local: bool,
    /// Utilisation (0 to 1) of the own zone up to which nothing spills over.
    pub spill_at: f64,
    /// Give less to endpoints that just started or came back.
    pub slow_start: bool,
    /// Hold back by the adaptive limit of each endpoint; without it only its slots bound the work.
    /// Where endpoints themselves say that they are full, and a refusal there costs a retry
    /// elsewhere, a limit that was cut by lost answers would refuse callers while slots are idle.
    pub adaptive: bool,
    /// One of so many requests probes an ejected endpoint whose time is over; 0 never probes.
    pub probe_every: u64,
}

impl Policy {
    /// First in, first out to the least outstanding endpoint.
    pub const BASELINE: Self = Self {
        affinity: false,
        load_factor: 1.25,
        two_choices: false,
        reports: false,
        zone_local: false,
        spill_at: 0.8,
        slow_start: false,
        adaptive: true,
        probe_every: 32,
    };

    /// Everything on.
    pub const FULL: Self = Self {
        affinity: true,
        two_choices: true,
        reports: true,
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
    let sieve = Sieve::of(set, request, now, policy);
    if let Some(key) = probe(&sieve, request, policy) {
        return Ok(alone(key, Reason::Probe));
    }
    if sieve.live.is_empty() {
        return all_ejected(&sieve);
    }
    let (near, spilled) = zone_of(sieve, request, policy);
    let mut picked = pick::pick(&near, request, policy);
    let key = picked.order.remove(0);
    Ok(Choice {
        key,
        reason: picked.reason,
        spilled,
        runners_up: picked.order,
    })
}

fn alone(key: Key, reason: Reason) -> Choice {
    Choice {
        key,
        reason,
        spilled: false,
        runners_up: Vec::new(),
    }
}

/// An ejected endpoint whose time is over, for one of `probe_every` requests.
fn probe(sieve: &Sieve, request: &Request<'_>, policy: &Policy) -> Option<Key> {
    if policy.probe_every == 0 || !request.repeatable || sieve.due.is_empty() {
        return None;
    }
    let chance = crate::hash::mix(request.seed);
    if !chance.is_multiple_of(policy.probe_every) {
        return None;
    }
    let index = (chance / policy.probe_every) % sieve.due.len() as u64;
    Some(sieve.due[index as usize])
}

/// With nothing but ejected endpoints left, refusing all would be worse than trying one.
fn all_ejected(sieve: &Sieve) -> Result<Choice, Refusal> {
    if sieve.full {
        return Err(Refusal::Full);
    }
    let best = sieve
        .ejected
        .iter()
        .min_by(|a, b| a.load.total_cmp(&b.load));
    match best {
        Some(candidate) => Ok(alone(candidate.key, Reason::AllEjected)),
        None if sieve.wrong_version => Err(Refusal::NoVersion),
        None => Err(Refusal::NoEndpoint),
    }
}

/// The own zone's endpoints, or all if the own zone is busy and the others are less so.
fn zone_of(sieve: Sieve, request: &Request<'_>, policy: &Policy) -> (Vec<Candidate>, bool) {
    let Sieve {
        live,
        here,
        elsewhere,
        ..
    } = sieve;
    if !policy.zone_local {
        return (live, false);
    }
    let (local, remote): (Vec<_>, Vec<_>) = live.iter().copied().partition(|c| c.local);
    if local.is_empty() || remote.is_empty() {
        let spilled = local.is_empty();
        return (live, spilled);
    }
    // A live caller doesn't wait for the zones to even out.
    let spare = request.priority == Priority::Live || here.ratio() > elsewhere.ratio();
    if here.ratio() > policy.spill_at && spare {
        return (live, true);
    }
    (local, false)
}
