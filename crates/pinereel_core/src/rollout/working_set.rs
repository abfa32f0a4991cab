//! Sizes the working set of a service: the engines that are kept up to date and get requests.
//!
//! Each trainer sends the items of a step together, and a service may list many times the engines
//! that the steps fill. Every engine in use costs a load, an order and a read for each version,
//! connections, and an entry in each runner's view, so only a working set that grows with the work
//! is used. Its members are the first engines in a stable order by id ([`rank`]): instances that
//! see the same list agree on them without coordination, and an engine that leaves is replaced by
//! the next in that order while all others stay.

use super::Demand;
use crate::hash;

/// Slots in the working set for each item of the steps. Half of the engines may load weights or
/// fail while the other half runs the steps.
const SLOTS_PER_ITEM: u64 = 2;
/// Items that a step is assumed to have while no step of any model is known.
const DEFAULT_ITEMS: u64 = 64;

/// Sort key of an engine in the order in which engines join the working set, lowest first.
pub fn rank(engine_id: &str) -> u64 {
    hash::stable(engine_id.as_bytes())
}

/// Number of engines, out of `listed` ones with `slots` slots each, that the work of `demands`
/// needs.
///
/// The size is rounded up in coarse steps, so that a trainer step with a few items more leaves the
/// set as it is.
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

/// Rounds up to a power of two, or to three quarters of one.
const fn round_up_size(count: usize) -> usize {
    let Some(power) = count.checked_next_power_of_two() else {
        return usize::MAX;
    };
    let three_quarters = power / 4 * 3;
    if three_quarters >= count {
        three_quarters
    } else {
        power
    }
}
