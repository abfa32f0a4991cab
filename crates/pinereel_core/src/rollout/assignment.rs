//! Assigns each engine to one model, where several models share the engines of a service.
//!
//! An engine loads one version of one model at a time. With new versions of four models every four
//! seconds and loads of one second, keeping all engines at the newest version of all models takes
//! several times the loads that the weight store allows, and no engine is up to date for any model.
//! So each engine is kept up to date for one model only. The engines are divided in proportion to
//! the work of the models: with equal shares, the steps with long texts wait for slots while
//! engines of other models are idle.

use super::{load_slots, rank};
use crate::hash;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Minimum work that a model is counted with, as a fraction of the mean of all models. A model with
/// little work keeps some engines, as its next step may be large.
const MIN_WEIGHT_SHARE: f64 = 0.4;
/// Minimum change of a model's quota, in engines, for a reassignment. Each reassigned engine costs
/// a load, and the mean work of four lots differs by a tenth from that of the next four.
const MIN_QUOTA_CHANGE: usize = 3;
/// The minimum change is also at least the quota divided by this.
const MIN_QUOTA_CHANGE_DIVISOR: usize = 5;

/// Work that the trainers of a model ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Name of the model.
    pub model: CompactString,
    /// Tokens of a lot; 0 if unknown, which counts as the mean of the other models.
    pub tokens: u64,
    /// Items of the largest recent lot; 0 if unknown, which counts as the mean of the other models.
    pub items: u64,
    /// Items of a lot that got no slot in time.
    pub short: u64,
}

/// Returns the model that each engine is kept up to date for.
///
/// Each engine goes to the model that rendezvous hashing prefers among those whose quota is not
/// used up, so an engine that joins or leaves changes the model of few others.
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
        let with_quota = demands
            .iter()
            .enumerate()
            .filter(|(index, _)| quotas[*index] > 0);
        let best = with_quota.max_by_key(|(_, demand)| hash::rendezvous(key, &demand.model));
        if let Some((index, demand)) = best {
            quotas[index] -= 1;
            assigned.insert(engine, demand.model.clone());
        }
    }
    assigned
}

/// The `new` demands, with the last known one of each model whose demand is unknown.
///
/// The demand of a model is unknown from the loss of its runner until its next lot. Counted as the
/// mean of the others meanwhile, it changes the engines of all models twice, and each changed engine
/// costs a load while lots wait for it.
pub fn with_last_known(last: &[Demand], new: Vec<Demand>) -> Vec<Demand> {
    let known = |demand: Demand| {
        let mut last = last.iter().filter(|last| last.model == demand.model);
        match last.next() {
            Some(last) if demand.tokens == 0 => Demand {
                short: demand.short,
                ..last.clone()
            },
            _ => demand,
        }
    };
    new.into_iter().map(known).collect()
}

/// Whether `new` demands of the same models differ enough from `old` to reassign the engines.
pub fn should_reassign(engines: usize, old: &[Demand], new: &[Demand]) -> bool {
    let (old, new) = (quotas(engines, old), quotas(engines, new));
    let changes_enough = |(old, new): (&usize, &usize)| {
        old.abs_diff(*new) >= MIN_QUOTA_CHANGE.max(old / MIN_QUOTA_CHANGE_DIVISOR)
    };
    old.len() != new.len() || old.iter().zip(&new).any(changes_enough)
}

/// Number of engines for each model, in proportion to its tokens and at least one.
fn quotas(engines: usize, demands: &[Demand]) -> Vec<usize> {
    let known = demands.iter().filter(|demand| demand.tokens > 0);
    let total: u64 = known.clone().map(|demand| demand.tokens).sum();
    let mean = (total as f64 / known.count().max(1) as f64).max(1.0);
    let weight = |demand: &Demand| match demand.tokens {
        0 => mean,
        tokens => (tokens as f64).max(MIN_WEIGHT_SHARE * mean),
    };
    let weights: Vec<f64> = demands.iter().map(weight).collect();
    let total_weight: f64 = weights.iter().sum();
    let ideal: Vec<f64> = (weights.iter())
        .map(|weight| engines as f64 * weight / total_weight)
        .collect();
    let mut quotas: Vec<usize> = ideal.iter().map(|ideal| (*ideal as usize).max(1)).collect();
    // The remainder goes to the models that are furthest below their ideal quota.
    while quotas.iter().sum::<usize>() < engines {
        let deficit = |index: &usize| ideal[*index] - quotas[*index] as f64;
        let most_deficient =
            (0..quotas.len()).max_by(|a, b| deficit(a).total_cmp(&deficit(b)).then(b.cmp(a)));
        let Some(index) = most_deficient else { break };
        quotas[index] += 1;
    }
    quotas
}

/// Maximum number of engines that may load at the same time for a model that has `own` of the
/// `shared` engines, at least one. Fixed, whatever other models load; [`load_slots::divide`]
/// follows what they load.
///
/// The limit for all models together follows from the number of all `listed` engines and is at
/// least `min_loads`.
pub fn max_loads(listed: usize, shared: usize, own: usize, min_loads: usize) -> usize {
    let total_loads = load_slots::total(listed, min_loads);
    // Rounds to the nearest integer.
    ((2 * total_loads * own + shared) / (2 * shared).max(1)).max(1)
}
