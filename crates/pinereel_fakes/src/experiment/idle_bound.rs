//! Lower bound of the trainers' idle share over all policies, computed from the samples of a run.
//!
//! It combines two limits that hold under every policy:
//!
//! - **Longest sample.** A sample of `l` tokens takes at least `l / tokens_per_second`, even on an
//!   engine of its own. If a lot may be submitted `d` steps ahead (the policy's look-ahead, at
//!   least 1), the lot of step `k` is in flight for at most the waits `w` of `d + 1` steps and the
//!   training time `t` of `d` steps: `w(k-d) + .. + w(k) >= longest(k) - d t`. For the first steps,
//!   `d` is at most the number of steps before. By linear programming duality, the least sum of all
//!   waits is the largest sum of the right-hand sides over spans of `d + 1` steps that do not
//!   overlap. Without look-ahead, `w(k) >= longest(k)` for every step.
//! - **Capacity.** An engine generates at most `slots * tokens_per_second / (1 + batch_cost *
//!   (slots - 1))` tokens per second. The tokens of live requests are subtracted; the rest goes
//!   first to the trainers with the longest training time per token.
//!
//! Weight swaps, latencies and prompts are counted as free, so the bound cannot be reached.

use super::{
    policy::Lookahead,
    scenario::Scenario,
    simulation::Simulation,
    trainer::{StepSamples, Trainer},
};
use std::time::Duration;

/// Lower bound of the mean idle share (0 to 1) over the trainers: with the policy's look-ahead of
/// at least one step, and without look-ahead.
pub(super) fn min_idle_shares(simulation: &Simulation) -> (f64, f64) {
    let steps_ahead = match simulation.policy.lookahead {
        Lookahead::Collect(steps) => steps as usize,
        Lookahead::None | Lookahead::Train => 1,
    };
    (
        min_idle_share(simulation, steps_ahead),
        min_idle_share(simulation, 0),
    )
}

fn min_idle_share(simulation: &Simulation, steps_ahead: usize) -> f64 {
    let scenario = &simulation.scenario;
    let tokens_per_second = scenario.engine_options.tokens_per_second;
    let mut trainers: Vec<_> = simulation
        .trainers
        .iter()
        .filter(|t| !t.collected_steps.is_empty())
        .collect();
    if trainers.is_empty() {
        return 0.0;
    }
    let count = trainers.len() as f64;
    // Capacity reduces the idle share most where a token allows the longest training.
    let train_time_per_token =
        |t: &&Trainer| t.options.train_time.as_secs_f64() / mean_tokens_per_step(t);
    trainers.sort_by(|a, b| train_time_per_token(b).total_cmp(&train_time_per_token(a)));
    let mut free_capacity = capacity(scenario) - live_tokens_per_second(simulation);
    let mut training_shares = 0.0;
    for trainer in trainers {
        let train_time = trainer.options.train_time.as_secs_f64();
        let steps = trainer.collected_steps.len() as f64;
        let total_wait = min_total_wait(
            &trainer.collected_steps,
            train_time,
            tokens_per_second,
            steps_ahead,
        );
        // Steps per second: limited by the longest samples, and by the free capacity.
        let rate = steps / (total_wait + steps * train_time);
        let rate = rate.min(free_capacity.max(0.0) / mean_tokens_per_step(trainer));
        free_capacity -= rate * mean_tokens_per_step(trainer);
        training_shares += rate * train_time;
    }
    1.0 - training_shares / count
}

fn mean_tokens_per_step(trainer: &Trainer) -> f64 {
    let total: u64 = trainer.collected_steps.iter().map(|step| step.tokens).sum();
    (total as f64 / trainer.collected_steps.len() as f64).max(1.0)
}

/// Output tokens per second of all engines with full batches.
fn capacity(scenario: &Scenario) -> f64 {
    let engine = &scenario.engine_options;
    let slots = engine.slots as f64;
    let per_engine = slots * engine.tokens_per_second / (1.0 + engine.batch_cost * (slots - 1.0));
    per_engine * scenario.engine_count as f64
}

fn live_tokens_per_second(simulation: &Simulation) -> f64 {
    let duration = simulation.duration.max(Duration::from_secs(1));
    simulation.recorder.live_tokens as f64 / duration.as_secs_f64()
}

fn min_sample_time(step: &StepSamples, tokens_per_second: f64) -> f64 {
    f64::from(step.longest_sample) / tokens_per_second
}

/// The least sum of waits under the limit by the longest samples; times are in seconds.
fn min_total_wait(
    steps: &[StepSamples],
    train_time: f64,
    tokens_per_second: f64,
    steps_ahead: usize,
) -> f64 {
    // At index `i`: the largest sum over spans within the first `i` steps.
    let mut largest = vec![0.0];
    for (index, step) in steps.iter().enumerate() {
        let overlap = steps_ahead.min(index);
        let sample_time = min_sample_time(step, tokens_per_second);
        let wait: f64 = (sample_time - train_time * overlap as f64).max(0.0);
        let with_span = largest[index - overlap] + wait;
        largest.push(f64::max(largest[index], with_span));
    }
    largest.last().copied().unwrap_or_default()
}
