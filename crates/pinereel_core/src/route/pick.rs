//! Selects one of the candidates: by prefix, by two random choices, or the least loaded.

use super::{MAX_RUNNERS_UP, Policy, Reason, Request, candidate::Candidate};
use crate::{endpoint::Key, hash};

/// The selected endpoint and the runners-up.
pub(super) struct Selection {
    /// Best first, never empty.
    pub(super) order: Vec<Key>,
    /// Why the first one was selected.
    pub(super) reason: Reason,
}

/// Selects from `candidates`, which must not be empty.
pub(super) fn pick(candidates: &[Candidate], request: &Request<'_>, policy: &Policy) -> Selection {
    match request.prefix {
        Some(prefix) if policy.affinity => by_prefix(candidates, prefix, policy.load_factor),
        _ if policy.two_choices => by_two_choices(candidates, request.seed),
        _ => least_cost(candidates),
    }
}

/// Rendezvous hashing with bounded loads: the highest score among the endpoints under their bound.
///
/// The bound of an endpoint is its share by weight of the total load including the new request,
/// times `factor`, rounded up. The bounds add up to more than the total load, so one endpoint is
/// always under its bound.
fn by_prefix(candidates: &[Candidate], prefix: u64, factor: f64) -> Selection {
    let total: f64 = candidates.iter().map(|c| c.load).sum::<f64>() + 1.0;
    let weight: f64 = candidates.iter().map(|c| c.weight).sum();
    let share = factor.max(1.0) * total / weight;
    let mut owner = (0, None);
    let mut top = TopCandidates::default();
    for c in candidates {
        let score = score(prefix, c);
        if owner.1.is_none() || score > owner.0 {
            owner = (score, Some(c.key));
        }
        if c.load < (share * c.weight).ceil() {
            top.insert(u64::MAX - score, c.key);
        }
    }
    if top.order.is_empty() {
        return least_cost(candidates);
    }
    let order = top.keys();
    let reason = if owner.1 == order.first().copied() {
        Reason::Affinity
    } else {
        Reason::AffinityNext
    };
    Selection { order, reason }
}

/// Score of a candidate for a prefix. The score of an endpoint that reports its slowdown is raised to
/// the power of it, which is weighted rendezvous hashing: its share of all prefixes is inversely
/// proportional to the slowdown. The load bound alone would not move a request off a slow endpoint
/// while that is idle.
fn score(prefix: u64, candidate: &Candidate) -> u64 {
    let score = hash::mix(prefix ^ candidate.hash);
    candidate.slowdown.map_or(score, |factor| {
        let max = u64::MAX as f64;
        ((score as f64 / max).powf(factor) * max) as u64
    })
}

fn by_two_choices(candidates: &[Candidate], seed: u64) -> Selection {
    let len = candidates.len() as u64;
    if len < 2 {
        return least_cost(candidates);
    }
    let first = hash::mix(seed ^ 0x5bd1_e995) % len;
    let step = 1 + hash::mix(seed ^ 0x27d4_eb2f) % (len - 1);
    let second = (first + step) % len;
    let mut pair = [candidates[first as usize], candidates[second as usize]];
    pair.sort_by(|a, b| a.cost().total_cmp(&b.cost()));
    Selection {
        order: pair.iter().map(|c| c.key).collect(),
        reason: Reason::TwoChoices,
    }
}

fn least_cost(candidates: &[Candidate]) -> Selection {
    let mut top = TopCandidates::default();
    for c in candidates {
        // Costs are positive, and positive floats are ordered like their bits.
        top.insert(c.cost().to_bits(), c.key);
    }
    Selection {
        order: top.keys(),
        reason: Reason::LeastOutstanding,
    }
}

/// The lowest costs seen; on a tie the earlier one comes first.
#[derive(Default)]
struct TopCandidates {
    order: Vec<(u64, Key)>,
}

impl TopCandidates {
    fn insert(&mut self, cost: u64, key: Key) {
        let index = self.order.partition_point(|(c, _)| *c <= cost);
        if index > MAX_RUNNERS_UP {
            return;
        }
        self.order.insert(index, (cost, key));
        self.order.truncate(MAX_RUNNERS_UP + 1);
    }

    fn keys(self) -> Vec<Key> {
        self.order.into_iter().map(|(_, key)| key).collect()
    }
}
