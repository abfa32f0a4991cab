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
const SLOTS_PER_ITEM: u64 = 2;
/// Items of a step of which nothing is known yet.
const DEFAULT_ITEMS: u64 = 64;

/// Place of an engine in the order in which engines join the working set; the least comes first.
pub fn rank(engine_id: &str) -> u64 {
    hash::stable(engine_id.as_bytes())
}

/// Engines with so many `slots` each that do the work of `demands`, of `listed` ones.
///
/// Sizes are coarse steps, so that a step with a few items more leaves the set as it is.
pub fn working_set_size(listed: usize, slots: u32, demands: &[Demand]) -> usize {
    let known = demands.iter().filter(|demand| demand.items > 0);
    let sum: u64 = known.clone().map(|demand| demand.items).sum();
    let mean = sum
        .checked_div(known.count() as u64)
        .unwrap_or(DEFAULT_ITEMS);
    let items = demands.iter().map(|demand| match demand.items {
        0 => mean,
        items => items + demand.short,
    });
    let engines = (SLOTS_PER_ITEM * items.sum::<u64>()).div_ceil(u64::from(slots.max(1)));
    let min_engines = demands.len().max(1);
    listed.min(round_up_size(usize::try_from(engines).unwrap_or(usize::MAX)).max(min_engines))
}

/// The next power of two, or one and a half times the one before if that is enough.
const fn round_up_size(count: usize) -> usize {
    let Some(power) = count.checked_next_power_of_two() else {
        return usize::MAX;
    };
    let three_quarters = power / 4 * 3;
    if three_quarters >= count { three_quarters } else { power }
}
