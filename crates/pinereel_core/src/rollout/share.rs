//! Which engines serve which model, where several models share the engines of a service.
//!
//! An engine loads one version of one model at a time. With new versions of four models every four
//! seconds and loads of a second, keeping all engines at the newest version of all models would
//! take several times the loads that the weight store allows, and no engine would be up to date for
//! any. So each engine is kept up to date for one model, and the models share the engines alike.

use crate::hash;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Most engines that may load at once, as a part of all: the weight store slows down beyond it.
/// The users' sheets say 2 of 8 and 9 of 44.
const LOADING: usize = 5;

/// The model that each engine is kept up to date for.
///
/// Stable: an engine that comes or goes changes few others.
pub fn share(
    engines: impl IntoIterator<Item = CompactString>,
    models: &[CompactString],
) -> BTreeMap<CompactString, CompactString> {
    let mut ordered: Vec<_> = engines
        .into_iter()
        .map(|engine| (hash::stable(engine.as_bytes()), engine))
        .collect();
    ordered.sort();
    let mut room = rooms(ordered.len(), models.len());
    let mut shares = BTreeMap::new();
    for (key, engine) in ordered {
        let open = models.iter().enumerate().filter(|(at, _)| room[*at] > 0);
        let best = open.max_by_key(|(_, model)| hash::score(key, model));
        if let Some((at, model)) = best {
            room[at] -= 1;
            shares.insert(engine, model.clone());
        }
    }
    shares
}

/// Engines for each model: as even as can be, and one for each model in any case.
fn rooms(engines: usize, models: usize) -> Vec<usize> {
    let models = models.max(1);
    let rest = engines % models;
    (0..models)
        .map(|at| engines / models + usize::from(at < rest))
        .collect()
}

/// Most engines that may load at once for one of `models` models on `engines` engines; `least` is
/// allowed for all models together in any case.
pub fn loads(engines: usize, models: usize, least: usize) -> usize {
    let all = engines.div_ceil(LOADING).max(least);
    (all / models.max(1)).max(1)
}
