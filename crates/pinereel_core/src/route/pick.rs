//! Picks one of the candidates: by prefix, by two choices, or the least outstanding.

use super::{MAX_RUNNERS_UP, Policy, Reason, Request, candidate::Candidate};
use crate::{endpoint::Key, hash};

/// The pick and its runners-up.
pub(super) struct Picked {
    /// Best first, never empty.
    pub(super) order: Vec<Key>,
    /// Why the first is the best.
    pub(super) reason: Reason,
}

/// Picks from `candidates`, which isn't empty.
pub(super) fn pick(candidates: &[Candidate], request: &Request<'_>, policy: &Policy) -> Picked {
    match request.prefix {
        Some(prefix) if policy.affinity => by_prefix(candidates, prefix, policy.load_factor),
        _ if policy.two_choices => by_two(candidates, request.seed),
        _ => least(candidates),
    }
}

/// Rendezvous hashing with bounded loads: the highest score among those under their bound.
///
/// An endpoint's bound is its share by weight of the load with the new request, times `factor`,
/// rounded up. The bounds add up to more than the load, so one is always under its bound.
fn by_prefix(candidates: &[Candidate], prefix: u64, factor: f64) -> Picked {
    let total: f64 = candidates.iter().map(|c| c.load).sum::<f64>() + 1.0;
    let weight: f64 = candidates.iter().map(|c| c.weight).sum();
    let share = factor.max(1.0) * total / weight;
    let mut home = (0, None);
    let mut best = Best::default();
    for c in candidates {
        let score = hash::mix(prefix ^ c.hash);
        if home.1.is_none() || score > home.0 {
            home = (score, Some(c.key));
        }
        if c.load < (share * c.weight).ceil() {
            best.offer(u64::MAX - score, c.key);
        }
    }
    if best.order.is_empty() {
        return least(candidates);
    }
    let order = best.keys();
    let reason = if home.1 == order.first().copied() {
        Reason::Affinity
    } else {
        Reason::AffinityNext
    };
    Picked { order, reason }
}

fn by_two(candidates: &[Candidate], seed: u64) -> Picked {
    let len = candidates.len() as u64;
    if len < 2 {
        return least(candidates);
    }
    let first = hash::mix(seed ^ 0x5bd1_e995) % len;
    let step = 1 + hash::mix(seed ^ 0x27d4_eb2f) % (len - 1);
    let second = (first + step) % len;
    let mut pair = [candidates[first as usize], candidates[second as usize]];
    pair.sort_by(|a, b| a.cost().total_cmp(&b.cost()));
    Picked {
        order: pair.iter().map(|c| c.key).collect(),
        reason: Reason::TwoChoices,
    }
}

fn least(candidates: &[Candidate]) -> Picked {
    let mut best = Best::default();
    for c in candidates {
        // Costs are positive, and positive floats sort as their bits do.
        best.offer(c.cost().to_bits(), c.key);
    }
    Picked {
        order: best.keys(),
        reason: Reason::LeastOutstanding,
    }
}

/// The few lowest costs seen; the earlier one wins a tie.
#[derive(Default)]
struct Best {
    order: Vec<(u64, Key)>,
}

impl Best {
    fn offer(&mut self, cost: u64, key: Key) {
        let at = self.order.partition_point(|(c, _)| *c <= cost);
        if at > MAX_RUNNERS_UP {
            return;
        }
        self.order.insert(at, (cost, key));
        self.order.truncate(MAX_RUNNERS_UP + 1);
    }

    fn keys(self) -> Vec<Key> {
        self.order.into_iter().map(|(_, key)| key).collect()
    }
}
