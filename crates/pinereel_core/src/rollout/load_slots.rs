//! Divides the load slots of a service among the models whose engines wait for a new version.
//!
//! The weight store carries a limited number of loads at a time. With a fixed share for each model,
//! slots stay unused while some models have nothing to load: a rollout to a third of 44 engines
//! with 3 of 9 slots takes five loads one after another, 5 s, although the next version is published
//! after 4 s and a lot waits for the engines. With all 9 slots it takes two loads, 1.8 s.
//!
//! Designed for 2 to 8 models and up to a few hundred engines of one service, with a new version of
//! each model every 4 s; the slots are divided again at each tick of the controllers (50 ms).

use crate::Time;

/// One engine in this many may load at the same time. With more loads at a time, each takes longer,
/// in pools of 8 as well as of 44 engines.
const ENGINES_PER_LOAD: usize = 5;

/// What one model can do with load slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Number of engines assigned to the model.
    pub engines: usize,
    /// Number of these that do not serve the newest version yet, including those that are loading.
    pub pending: usize,
    /// Number of these that are loading now.
    pub loading: usize,
    /// When the newest version was published.
    pub published_at: Time,
}

impl Claim {
    /// Maximum number of slots that the model can use.
    fn usable(&self) -> usize {
        self.pending.max(self.loading)
    }
}

/// Number of load slots of a service with `listed` engines, at least `min_loads`.
pub fn total(listed: usize, min_loads: usize) -> usize {
    listed.div_ceil(ENGINES_PER_LOAD).max(min_loads)
}

/// Maximum number of concurrent loads of each model, in the order of `claims`.
///
/// Each model that has pending engines gets one slot, then keeps the slots of its loads in
/// progress, which are not interrupted, and then gets up to its share in proportion to its engines.
/// Slots that are left go to the models in the order in which their versions were published. All
/// slots are used while enough engines are pending. The sum is at most `total`, or the number of
/// models with pending engines if that is larger.
pub fn divide(total: usize, claims: &[Claim]) -> Vec<usize> {
    let mut limits: Vec<usize> = claims.iter().map(|c| c.usable().min(1)).collect();
    let mut free = total.saturating_sub(limits.iter().sum());
    let mut by_publication: Vec<usize> = (0..claims.len()).collect();
    by_publication.sort_by_key(|index| claims[*index].published_at);
    for &index in &by_publication {
        raise(&mut limits[index], claims[index].loading, &mut free);
    }
    let shares = shares(total, claims);
    while free > 0 {
        let below_share = by_publication.iter().copied().filter(|index| {
            limits[*index] < shares[*index] && limits[*index] < claims[*index].usable()
        });
        // The model with the smallest part of its share; the first published one of equal parts.
        let next = below_share.min_by(|a, b| {
            let (a_part, b_part) = (limits[*a] * shares[*b], limits[*b] * shares[*a]);
            a_part.cmp(&b_part)
        });
        let Some(index) = next else { break };
        limits[index] += 1;
        free -= 1;
    }
    for &index in &by_publication {
        raise(&mut limits[index], claims[index].usable(), &mut free);
    }
    limits
}

/// Raises `limit` to `wanted`, as far as `free` slots allow.
fn raise(limit: &mut usize, wanted: usize, free: &mut usize) {
    let added = wanted.saturating_sub(*limit).min(*free);
    *limit += added;
    *free -= added;
}

/// Share of each model in proportion to its engines, rounded to the nearest integer and at least 1.
fn shares(total: usize, claims: &[Claim]) -> Vec<usize> {
    let engines: usize = claims.iter().map(|claim| claim.engines).sum();
    let share = |claim: &Claim| (2 * total * claim.engines + engines) / (2 * engines).max(1);
    claims.iter().map(|claim| share(claim).max(1)).collect()
}
