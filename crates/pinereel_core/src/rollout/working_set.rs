//! How many engines of a service do its work.
//!
//! Load pattern: each trainer sends the items of a step at once, and a service may list many times the engines that the
//! steps fill. Every engine in use costs a load for each version, an order, a read, connections and a place in each
//! runner's view. So all of that is confined to a working set that grows with the work. Which engines belong to it
//! follows from a stable order of their ids ([`rank`]): instances that see the same list agree on it without a word, and
//! an engine that leaves is replaced by the next in order while all others stay.

use super::Demand;
use crate::hash;

/// Slots in the working set for each slot that the steps fill: half of the engines may load weights, or be lost, while
/// the other half takes the steps.
const SPARE: u64 = 2;
/// Items of a step of which nothing is known yet.
const ASSUMED_ITEMS: u64 = 64;

/// Place of an engine in the order in which engines join the working set; the least comes first.
pub fn rank(engine: &str) -> u64 {
    hash::stable(engine.as_bytes())
}

/// Engines with so many `slots` each that do the work of `demands`, of `listed` ones.
///
/// Sizes are coarse steps, so that a step with a few items more leaves the set as it is.
pub fn working_set(listed: usize, slots: u32, demands: &[Demand]) -> usize {
    let known = demands.iter().filter(|demand| demand.items > 0);
    let sum: u64 = known.clone().map(|demand| demand.items).sum();
    let mean = sum
        .checked_div(known.count() as u64)
        .unwrap_or(ASSUMED_ITEMS);
    let items = demands.iter().map(|demand| match demand.items {
        0 => mean,
        items => items + demand.short,
    });
    let engines = (SPARE * items.sum::<u64>()).div_ceil(u64::from(slots.max(1)));
    let least = demands.len().max(1);
    listed.min(coarse(usize::try_from(engines).unwrap_or(usize::MAX)).max(least))
}

/// The next power of two, or one and a half times the one before if that is enough.
const fn coarse(count: usize) -> usize {
    let Some(power) = count.checked_next_power_of_two() else {
        return usize::MAX;
    };
    let between = power / 4 * 3;
    if between >= count { between } else { power }
}
