//! The least idle share that any policy could reach, from the samples of a run alone.
//!
//! Two limits hold whatever is decided:
//!
//! - **Longest sample.** A sample of `l` tokens takes at least `l / tokens_per_second`, on an
//!   engine of its own. A lot may be submitted `d` steps ahead (as the policy does, at least one),
//!   so with waits `w` and training times `t` it is under way for at most `w(k-d) + .. + w(k) +
//!   d t`: `w(k-d) + .. + w(k) >= longest(k) - d t`, and the first lot waits for all of it. The
//!   least sum of waits is the largest sum of these right-hand sides over spans of `d + 1` steps
//!   that don't overlap (linear programming duality).
//!   Without look-ahead, `w(k) >= longest(k)` for every step.
//! - **Capacity.** An engine makes at most `slots * tokens_per_second / (1 + batch_cost *
//!   (slots - 1))` tokens a second. What live callers took is gone; the rest is given to the
//!   trainers that train longest for each token first.
//!
//! Swaps, latencies and prompts cost nothing here, so the bound is lower than what can be had.

use super::{
    policy::Ahead,
    scenario::Scenario,
    trainer::{Step, Trainer},
    world::World,
};
use std::time::Duration;

/// The bound as mean idle share (0 to 1) over the trainers: with look-ahead, and without.
pub(super) fn idle(world: &World) -> (f64, f64) {
    let depth = match world.policy.ahead {
        Ahead::Collect(steps) => steps as usize,
        Ahead::None | Ahead::Train => 1,
    };
    (share(world, depth), share(world, 0))
}

fn share(world: &World, depth: usize) -> f64 {
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
        let waited = chain(&trainer.steps, train, speed, depth);
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

/// The longest-sample limit with a look-ahead of `depth` steps: least sum of waits, in seconds.
fn chain(steps: &[Step], train: f64, speed: f64, depth: usize) -> f64 {
    // Largest sum over spans that end with the first so many steps.
    let mut best = vec![0.0];
    for (index, step) in steps.iter().enumerate() {
        let overlap = depth.min(index);
        let own: f64 = (longest(step, speed) - train * overlap as f64).max(0.0);
        let taken = best[index - overlap] + own;
        best.push(f64::max(best[index], taken));
    }
    best.last().copied().unwrap_or_default()
}
