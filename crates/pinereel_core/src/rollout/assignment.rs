//! Which engines serve which model, where several models share the engines of a service.
//!
//! An engine loads one version of one model at a time. With new versions of four models every four
//! seconds and loads of a second, keeping all engines at the newest version of all models would
//! take several times the loads that the weight store allows, and no engine would be up to date for
//! any. So each engine is kept up to date for one model, and the models share the engines by the work
//! that they have: with equal shares the steps with long texts waited for slots while engines of others
//! idled.

use super::rank;
use crate::hash;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Most engines that may load at once, as a part of all: loads take longer beyond it (the users'
/// figures, for pools of 8 and 44 engines).
const ENGINES_PER_LOAD: usize = 5;

/// A model that asks for little keeps this part of an equal share: its next step may be a large one.
const MIN_QUOTA_SHARE: f64 = 0.4;
/// Engines that a model's share must change by before engines change hands: each costs a load, and
/// the mean of four lots differs by a tenth from that of the next four.
const MIN_QUOTA_CHANGE: usize = 3;
/// The same as a part of the share (one of so many), where that is more.
const MIN_QUOTA_CHANGE_DIVISOR: usize = 5;

/// How much work there is for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: CompactString,
    /// Tokens of a lot; 0 if nothing is known of it, which counts as the mean of the others.
    pub tokens: u64,
    /// Items of the largest lot lately; 0 if nothing is known of it, which counts as the mean of the others.
    pub items: u64,
    /// Items of a lot that found no slot in time.
    pub short: u64,
}

/// The model that each engine is kept up to date for.
///
/// Stable: an engine that comes or goes changes few others.
pub fn assign_models(
    engines: impl IntoIterator<Item = CompactString>,
    demands: &[Demand],
) -> BTreeMap<CompactString, CompactString> {
    let mut ordered: Vec<_> = engines
        .into_iter()
        .map(|engine| (rank(&engine), engine))
        .collect();
    ordered.sort();
    let mut quotas = quotas(ordered.len(), demands);
    let mut assigned = BTreeMap::new();
    for (key, engine) in ordered {
        let with_room = demands.iter().enumerate().filter(|(at, _)| quotas[*at] > 0);
        let best = with_room.max_by_key(|(_, demand)| hash::score(key, &demand.model));
        if let Some((at, demand)) = best {
            quotas[at] -= 1;
            assigned.insert(engine, demand.model.clone());
        }
    }
    assigned
}

/// Whether `new` demands of the same models are worth that engines change hands.
pub fn should_reassign(engines: usize, old: &[Demand], new: &[Demand]) -> bool {
    let (old, new) = (quotas(engines, old), quotas(engines, new));
    let changes_enough = |(old, new): (&usize, &usize)| {
        old.abs_diff(*new) >= MIN_QUOTA_CHANGE.max(old / MIN_QUOTA_CHANGE_DIVISOR)
    };
    old.len() != new.len() || old.iter().zip(&new).any(changes_enough)
}

/// Engines for each model: by what it asks for, and one for each in any case.
fn quotas(engines: usize, demands: &[Demand]) -> Vec<usize> {
    let known = demands.iter().filter(|demand| demand.tokens > 0);
    let total: u64 = known.clone().map(|demand| demand.tokens).sum();
    let mean = (total as f64 / known.count().max(1) as f64).max(1.0);
    let weight = |demand: &Demand| match demand.tokens {
        0 => mean,
        tokens => (tokens as f64).max(MIN_QUOTA_SHARE * mean),
    };
    let weights: Vec<f64> = demands.iter().map(weight).collect();
    let total_weight: f64 = weights.iter().sum();
    let ideal: Vec<f64> = (weights.iter())
        .map(|weight| engines as f64 * weight / total_weight)
        .collect();
    let mut quotas: Vec<usize> = ideal.iter().map(|ideal| (*ideal as usize).max(1)).collect();
    // What is left goes to those that lack most.
    while quotas.iter().sum::<usize>() < engines {
        let lack = |at: &usize| ideal[*at] - quotas[*at] as f64;
        let neediest = (0..quotas.len()).max_by(|a, b| lack(a).total_cmp(&lack(b)).then(b.cmp(a)));
        let Some(at) = neediest else { break };
        quotas[at] += 1;
    }
    quotas
}

/// Most engines that may load at once for a model that has `own` of the `shared` engines; `least` is
/// allowed for all models together in any case. What the weight store bears follows from all engines `listed`.
pub fn max_loads(listed: usize, shared: usize, own: usize, min_loads: usize) -> usize {
    let all = listed.div_ceil(ENGINES_PER_LOAD).max(min_loads);
    // To the nearest.
    ((2 * all * own + shared) / (2 * shared).max(1)).max(1)
}
