//! The measures of one run, and their mean and spread over seeds.

use super::{bound, world::World};
use pinereel_core::Time;
use std::time::Duration;

/// How much idle time counts in the score of each of the two users; staleness has the rest.
const IDLE_WEIGHT: [f64; 2] = [0.3, 0.7];

/// The measures of one run. Shares are 0 to 1, times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Steps that all trainers finished.
    pub steps: f64,
    /// Share of the time in which a trainer doesn't train, mean over the trainers.
    pub idle: f64,
    /// The least idle share that any policy could reach.
    pub bound: f64,
    /// The same without look-ahead.
    pub bound_alone: f64,
    /// Staleness at delivery, in versions.
    pub stale_mean: f64,
    /// Its 99th percentile.
    pub stale_p99: f64,
    /// Its maximum.
    pub stale_max: f64,
    /// Finished samples dropped as too old, as a share of all finished ones.
    pub dropped: f64,
    /// Output tokens that reached nobody, as a share of all computed.
    pub wasted: f64,
    /// 99th percentile of the time from a lot's submit to a group's last sample.
    pub group_p99: f64,
    /// Median time of a live request, the caller's latency included.
    pub live_p50: f64,
    /// Its 99th percentile.
    pub live_p99: f64,
    /// Share of live requests without an answer in time.
    pub refused: f64,
    /// Calls of the object API a second to list and raise weights.
    pub weights_calls: f64,
    /// The same to list instances.
    pub instances_calls: f64,
    /// The same to renew the rollout's lease.
    pub lease_calls: f64,
    /// Score by Maumee's weights (staleness first), 100 is best.
    pub score_maumee: f64,
    /// Score by Prairie's weights (idle time first), 100 is best.
    pub score_prairie: f64,
    /// Samples delivered beyond the bound.
    pub beyond: f64,
    /// Samples delivered twice.
    pub twice: f64,
    /// Attempts of samples started, aborted as too old, duplicated, and lost.
    pub attempts: [f64; 4],
}

/// One measure: name in tables, digits after the point, how to read it.
pub struct Column {
    /// Name.
    pub name: &'static str,
    /// Digits after the point.
    pub digits: usize,
    /// Reads it from a run's figures.
    pub get: fn(&Figures) -> f64,
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

/// All measures in the order of the tables.
pub const COLUMNS: &[Column] = &[
    column!("steps", 0, |f| f.steps),
    column!("idle", 3, |f| f.idle),
    column!("bound", 3, |f| f.bound),
    column!("bound-alone", 3, |f| f.bound_alone),
    column!("stale-mean", 2, |f| f.stale_mean),
    column!("stale-p99", 0, |f| f.stale_p99),
    column!("stale-max", 0, |f| f.stale_max),
    column!("dropped", 4, |f| f.dropped),
    column!("wasted", 3, |f| f.wasted),
    column!("group-p99-ms", 0, |f| f.group_p99),
    column!("live-p50-ms", 0, |f| f.live_p50),
    column!("live-p99-ms", 0, |f| f.live_p99),
    column!("refused", 4, |f| f.refused),
    column!("api-weights/s", 1, |f| f.weights_calls),
    column!("api-instances/s", 1, |f| f.instances_calls),
    column!("api-lease/s", 1, |f| f.lease_calls),
    column!("score-maumee", 1, |f| f.score_maumee),
    column!("score-prairie", 1, |f| f.score_prairie),
    column!("beyond", 0, |f| f.beyond),
    column!("twice", 0, |f| f.twice),
    column!("started", 0, |f| f.attempts[0]),
    column!("aborted", 0, |f| f.attempts[1]),
    column!("duplicated", 0, |f| f.attempts[2]),
    column!("lost", 0, |f| f.attempts[3]),
];

impl Figures {
    pub(super) fn of(world: &World) -> Self {
        let tally = &world.tally;
        let seconds = world.length.as_secs_f64();
        let mut staleness: Vec<f64> = tally.staleness.iter().map(|v| *v as f64).collect();
        staleness.sort_by(f64::total_cmp);
        let millis = |times: &[Duration]| {
            let mut all: Vec<_> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
            all.sort_by(f64::total_cmp);
            all
        };
        let (groups, live) = (millis(&tally.groups), millis(&tally.live));
        let (bound, bound_alone) = bound::idle(world);
        let stats: Vec<_> = world.entries.iter().map(|e| e.runner.stats()).collect();
        let stale = tally.stale + stats.iter().map(|s| s.stale_samples).sum::<u64>();
        let computed: u64 = world.engines.iter().map(|e| e.tokens()).sum();
        let used = tally.tokens + tally.live_tokens + tally.open_tokens();
        let requests = tally.live.len() as f64;
        let sum =
            |get: fn(&pinereel_core::lot::Stats) -> u64| stats.iter().map(get).sum::<u64>() as f64;
        let figures = Self {
            steps: world.trainers.iter().map(|t| t.steps.len()).sum::<usize>() as f64,
            idle: idle(world),
            bound,
            bound_alone,
            stale_mean: staleness.iter().fold(0.0, |a, b| a + b)
                / (staleness.len() as f64).max(1.0),
            stale_p99: quantile(&staleness, 0.99),
            stale_max: quantile(&staleness, 1.0),
            dropped: ratio(stale, stale + tally.staleness.len() as u64),
            wasted: ratio(computed.saturating_sub(used), computed),
            group_p99: quantile(&groups, 0.99),
            live_p50: quantile(&live, 0.5),
            live_p99: quantile(&live, 0.99),
            refused: tally.refused as f64 / requests.max(1.0),
            weights_calls: tally.calls.weights as f64 / seconds,
            instances_calls: tally.calls.instances as f64 / seconds,
            lease_calls: tally.calls.lease as f64 / seconds,
            beyond: tally.beyond as f64,
            twice: (tally.twice + tally.repeats) as f64,
            attempts: [
                sum(|s| s.started),
                sum(|s| s.aborted),
                sum(|s| s.speculative),
                sum(|s| s.lost),
            ],
            ..Self::default()
        };
        let widest = world.trainers.iter().map(|t| t.options.bound).max();
        figures.score(widest.unwrap_or(1).max(1) as f64)
    }

    /// `100 * (1 - w * idle - (1 - w) * (mean staleness / widest bound + share dropped))`.
    fn score(mut self, widest: f64) -> Self {
        let stale = (self.stale_mean / widest + self.dropped).min(1.0);
        let score = |weight: f64| 100.0 * (1.0 - weight * self.idle - (1.0 - weight) * stale);
        (self.score_maumee, self.score_prairie) = (score(IDLE_WEIGHT[0]), score(IDLE_WEIGHT[1]));
        self
    }
}

/// Mean over the trainers of the share of time without training.
fn idle(world: &World) -> f64 {
    let end = Time::ZERO + world.length;
    let busy = world.trainers.iter().map(|trainer| {
        let under_way = trainer.training.map_or(Duration::ZERO, |at| end.since(at));
        (trainer.trained + under_way).as_secs_f64() / world.length.as_secs_f64()
    });
    1.0 - busy.sum::<f64>() / (world.trainers.len() as f64).max(1.0)
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / (whole as f64).max(1.0)
}

/// The `q` quantile of sorted values; zero without any.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    let index = rank.max(1) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

/// Mean, least and most over seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Least.
    pub least: f64,
    /// Most.
    pub most: f64,
}

impl Spread {
    /// Of one measure over runs; there must be at least one.
    pub fn of(runs: &[Figures], get: fn(&Figures) -> f64) -> Self {
        let values = || runs.iter().map(get);
        Self {
            mean: values().sum::<f64>() / runs.len() as f64,
            least: values().fold(f64::INFINITY, f64::min),
            most: values().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}
