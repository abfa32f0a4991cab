//! The least idle share that any policy could reach, from the samples of a run alone.
//!
//! Two limits hold whatever is decided:
//!
//! - **Longest sample.** A sample of `l` tokens takes at least `l / tokens_per_second`, on an
//!   engine of its own. A lot may be submitted one step ahead, so with waits `w` and training
//!   times `t` it is under way for at most `w(k-1) + t + w(k)`: `w(k-1) + w(k) >= longest(k) - t`,
//!   and the first lot waits for all of it. The least sum of waits is the largest sum of these
//!   right-hand sides over steps no two of which are neighbours (linear programming duality).
//!   Without look-ahead, `w(k) >= longest(k)` for every step.
//! - **Capacity.** An engine makes at most `slots * tokens_per_second / (1 + batch_cost *
//!   (slots - 1))` tokens a second. What live callers took is gone; the rest is given to the
//!   trainers that train longest for each token first.
//!
//! Swaps, latencies and prompts cost nothing here, so the bound is lower than what can be had.

use super::{
    scenario::Scenario,
    trainer::{Step, Trainer},
    world::World,
};
use std::time::Duration;

/// The bound as mean idle share (0 to 1) over the trainers: with look-ahead, and without.
pub(super) fn idle(world: &World) -> (f64, f64) {
    let ahead = share(world, chain);
    let without = share(world, |steps, _, speed| {
        steps.iter().map(|step| longest(step, speed)).sum()
    });
    (ahead, without)
}

/// Least sum of waits, in seconds, by steps, training time and speed of a lone sequence.
type Waits = fn(&[Step], f64, f64) -> f64;

fn share(world: &World, waits: Waits) -> f64 {
    let scenario = &world.scenario;
    let speed = scenario.engine.tokens_per_second;
    let mut flows: Vec<_> = world
        .trainers
        .iter()
        .filter(|t| !t.steps.is_empty())
        .collect();
    if flows.is_empty() {
        return 0.0;
    }
    let count = flows.len() as f64;
    // Seconds of training for each token: the best use of capacity first.
    let yields = |t: &&Trainer| t.options.train.as_secs_f64() / tokens(t);
    flows.sort_by(|a, b| yields(b).total_cmp(&yields(a)));
    let mut spare = capacity(scenario) - live(world);
    let mut busy = 0.0;
    for trainer in flows {
        let train = trainer.options.train.as_secs_f64();
        let steps = trainer.steps.len() as f64;
        let waited = waits(&trainer.steps, train, speed);
        // Steps a second: by the longest samples, and by the capacity left.
        let rate = steps / (waited + steps * train);
        let rate = rate.min(spare.max(0.0) / tokens(trainer));
        spare -= rate * tokens(trainer);
        busy += rate * train;
    }
    1.0 - busy / count
}

fn tokens(trainer: &Trainer) -> f64 {
    let all: u64 = trainer.steps.iter().map(|step| step.tokens).sum();
    (all as f64 / trainer.steps.len() as f64).max(1.0)
}

/// Output tokens a second of all engines with full batches.
fn capacity(scenario: &Scenario) -> f64 {
    let engine = &scenario.engine;
    let slots = engine.slots as f64;
    let each = slots * engine.tokens_per_second / (1.0 + engine.batch_cost * (slots - 1.0));
    each * scenario.engines as f64
}

fn live(world: &World) -> f64 {
    world.tally.live_tokens as f64 / world.length.max(Duration::from_secs(1)).as_secs_f64()
}

fn longest(step: &Step, speed: f64) -> f64 {
    f64::from(step.longest) / speed
}

/// The longest-sample limit with a look-ahead of one step.
fn chain(steps: &[Step], train: f64, speed: f64) -> f64 {
    let (mut before, mut best) = (0.0, 0.0);
    for (index, step) in steps.iter().enumerate() {
        let overlap = if index == 0 { 0.0 } else { train };
        let own: f64 = (longest(step, speed) - overlap).max(0.0);
        let next = f64::max(best, before + own);
        (before, best) = (best, next);
    }
    best
}
