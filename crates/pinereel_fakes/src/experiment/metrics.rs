//! Metrics of a run, and their summary over seeds.

use super::{idle_bound, simulation::Simulation};
use pinereel_core::Time;
use std::time::Duration;

/// Weights of the idle share in the scores of the users Maumee and Prairie; staleness has the rest.
const IDLE_WEIGHTS: [f64; 2] = [0.3, 0.7];

/// Metrics of one run. Shares are 0 to 1, staleness is in versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Number of steps, over all trainers, whose samples were all collected.
    pub steps: f64,
    /// Share of the run in which a trainer does not train; mean over the trainers.
    pub idle_share: f64,
    /// Lower bound of the idle share over all policies; see [`super::idle_bound`].
    pub idle_bound: f64,
    /// The same for policies without look-ahead.
    pub idle_bound_no_lookahead: f64,
    /// Mean staleness of the delivered samples.
    pub staleness_mean: f64,
    /// 99th percentile of the staleness of the delivered samples.
    pub staleness_p99: f64,
    /// Maximum staleness of the delivered samples.
    pub staleness_max: f64,
    /// Share of the finished samples that were dropped because they were too old.
    pub dropped_share: f64,
    /// Share of the computed output tokens that belong neither to an answer to a trainer or a live
    /// caller nor to an undelivered sample.
    pub wasted_share: f64,
    /// 99th percentile of the time from the submission of a lot to the delivery of a group's last
    /// sample.
    pub group_p99_ms: f64,
    /// Median time of a live request, with the latency between caller and entry.
    pub live_p50_ms: f64,
    /// 99th percentile of the time of a live request.
    pub live_p99_ms: f64,
    /// Live requests without an answer before the deadline, relative to the answered ones.
    pub refused_share: f64,
    /// Calls to the object API that list or publish weights.
    pub weights_calls_per_second: f64,
    /// Calls to the object API that list instances.
    pub instances_calls_per_second: f64,
    /// Calls to the object API that renew the rollout's lease.
    pub lease_calls_per_second: f64,
    /// Score with Maumee's weights, in which staleness counts most; 100 is best.
    pub score_maumee: f64,
    /// Score with Prairie's weights, in which the idle share counts most; 100 is best.
    pub score_prairie: f64,
    /// Number of samples delivered although they exceeded the trainer's staleness bound.
    pub over_bound: f64,
    /// Number of samples delivered more than once, and of answers that a trainer did not accept.
    pub repeated: f64,
    /// Numbers of attempts of samples: started, aborted because their output was too old,
    /// speculative, and lost.
    pub attempts: [f64; 4],
}

/// A column of the tables, which shows one metric.
pub struct Column {
    /// Name in the tables.
    pub name: &'static str,
    /// Number of digits after the decimal point in the text table.
    pub digits: usize,
    /// Returns the metric.
    pub get: fn(&Metrics) -> f64,
}

macro_rules! column {
    ($name:literal, $digits:literal, $get:expr) => {
        Column {
            name: $name,
            digits: $digits,
            get: $get,
        }
    };
}

/// All columns, in the order in which the tables show them.
pub const COLUMNS: &[Column] = &[
    column!("steps", 0, |m| m.steps),
    column!("idle", 3, |m| m.idle_share),
    column!("bound", 3, |m| m.idle_bound),
    column!("bound-alone", 3, |m| m.idle_bound_no_lookahead),
    column!("stale-mean", 2, |m| m.staleness_mean),
    column!("stale-p99", 0, |m| m.staleness_p99),
    column!("stale-max", 0, |m| m.staleness_max),
    column!("dropped", 4, |m| m.dropped_share),
    column!("wasted", 3, |m| m.wasted_share),
    column!("group-p99-ms", 0, |m| m.group_p99_ms),
    column!("live-p50-ms", 0, |m| m.live_p50_ms),
    column!("live-p99-ms", 0, |m| m.live_p99_ms),
    column!("refused", 4, |m| m.refused_share),
    column!("api-weights/s", 1, |m| m.weights_calls_per_second),
    column!("api-instances/s", 1, |m| m.instances_calls_per_second),
    column!("api-lease/s", 1, |m| m.lease_calls_per_second),
    column!("score-maumee", 1, |m| m.score_maumee),
    column!("score-prairie", 1, |m| m.score_prairie),
    column!("beyond", 0, |m| m.over_bound),
    column!("twice", 0, |m| m.repeated),
    column!("started", 0, |m| m.attempts[0]),
    column!("aborted", 0, |m| m.attempts[1]),
    column!("duplicated", 0, |m| m.attempts[2]),
    column!("lost", 0, |m| m.attempts[3]),
];

impl Metrics {
    /// Computes the metrics of a run that has ended.
    pub(super) fn of(simulation: &Simulation) -> Self {
        let recorder = &simulation.recorder;
        let seconds = simulation.duration.as_secs_f64();
        let mut staleness: Vec<f64> = recorder.staleness.iter().map(|v| *v as f64).collect();
        staleness.sort_by(f64::total_cmp);
        let sorted_ms = |times: &[Duration]| {
            let mut sorted: Vec<_> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
            sorted.sort_by(f64::total_cmp);
            sorted
        };
        let group_times = sorted_ms(&recorder.group_times);
        let live_times = sorted_ms(&recorder.live_times);
        let (idle_bound, idle_bound_no_lookahead) = idle_bound::min_idle_shares(simulation);
        let stats: Vec<_> = simulation
            .entries
            .iter()
            .map(|e| e.runner.stats())
            .collect();
        let stale = recorder.stale_samples + stats.iter().map(|s| s.stale_samples).sum::<u64>();
        let computed_tokens: u64 = simulation.engines.iter().map(|e| e.total_tokens()).sum();
        let used_tokens =
            recorder.delivered_tokens + recorder.live_tokens + recorder.undelivered_tokens();
        let answered = recorder.live_times.len() as f64;
        let calls = &recorder.object_api_calls;
        let sum_of =
            |get: fn(&pinereel_core::lot::Stats) -> u64| stats.iter().map(get).sum::<u64>() as f64;
        let steps = simulation.trainers.iter().map(|t| t.collected_steps.len());
        let metrics = Self {
            steps: steps.sum::<usize>() as f64,
            idle_share: mean_idle_share(simulation),
            idle_bound,
            idle_bound_no_lookahead,
            staleness_mean: staleness.iter().fold(0.0, |a, b| a + b)
                / (staleness.len() as f64).max(1.0),
            staleness_p99: quantile(&staleness, 0.99),
            staleness_max: quantile(&staleness, 1.0),
            dropped_share: ratio(stale, stale + recorder.staleness.len() as u64),
            wasted_share: ratio(computed_tokens.saturating_sub(used_tokens), computed_tokens),
            group_p99_ms: quantile(&group_times, 0.99),
            live_p50_ms: quantile(&live_times, 0.5),
            live_p99_ms: quantile(&live_times, 0.99),
            refused_share: recorder.live_refused as f64 / answered.max(1.0),
            weights_calls_per_second: calls.weights as f64 / seconds,
            instances_calls_per_second: calls.instances as f64 / seconds,
            lease_calls_per_second: calls.lease as f64 / seconds,
            over_bound: recorder.over_bound as f64,
            repeated: (recorder.repeated_samples + recorder.rejected_answers) as f64,
            attempts: [
                sum_of(|s| s.started),
                sum_of(|s| s.aborted),
                sum_of(|s| s.speculative),
                sum_of(|s| s.lost),
            ],
            ..Self::default()
        };
        let bounds = simulation.trainers.iter();
        let widest_bound = bounds.map(|t| t.options.staleness_bound).max();
        metrics.with_scores(widest_bound.unwrap_or(1).max(1) as f64)
    }

    /// Sets the scores to `100 * (1 - w * idle - (1 - w) * stale)`, where `w` is the weight of the
    /// idle share and `stale` is `mean staleness / widest bound + dropped share`, at most 1.
    fn with_scores(mut self, widest_bound: f64) -> Self {
        let stale = (self.staleness_mean / widest_bound + self.dropped_share).min(1.0);
        let score = |weight: f64| 100.0 * (1.0 - weight * self.idle_share - (1.0 - weight) * stale);
        (self.score_maumee, self.score_prairie) = (score(IDLE_WEIGHTS[0]), score(IDLE_WEIGHTS[1]));
        self
    }
}

/// Share of the run in which a trainer does not train; mean over the trainers.
fn mean_idle_share(simulation: &Simulation) -> f64 {
    let duration = simulation.duration;
    let end = Time::ZERO + duration;
    let training_shares = simulation.trainers.iter().map(|trainer| {
        let since = trainer.training_since;
        let running = since.map_or(Duration::ZERO, |since| end.since(since));
        (trainer.trained_time + running).as_secs_f64() / duration.as_secs_f64()
    });
    1.0 - training_shares.sum::<f64>() / (simulation.trainers.len() as f64).max(1.0)
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / (whole as f64).max(1.0)
}

/// The `q`-quantile of sorted values by the nearest-rank method; 0 for an empty slice.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    let index = rank.max(1) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

/// Summary of one metric over the runs of a policy, one run per seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Arithmetic mean.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Summary {
    /// Summarises one metric of the runs. Without runs, no value is finite.
    pub fn of(runs: &[Metrics], get: fn(&Metrics) -> f64) -> Self {
        let values = || runs.iter().map(get);
        Self {
            mean: values().sum::<f64>() / runs.len() as f64,
            min: values().fold(f64::INFINITY, f64::min),
            max: values().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}
