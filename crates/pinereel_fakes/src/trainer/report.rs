//! What a trainer saw of its samples.

use crate::engine::text;
use pinereel_api::trainer::{Group, Sample};
use pinereel_core::Version;
use serde::{Deserialize, Serialize};

/// How far behind the trainer its samples were, in versions, by their oldest span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Staleness {
    /// Mean.
    pub mean: f64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// The result of a run. All of `repeats`, `stale`, `void` and `broken` must be zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Steps trained.
    pub steps: u64,
    /// Samples taken.
    pub samples: u64,
    /// Output tokens taken.
    pub tokens: u64,
    /// Milliseconds with nothing to train on.
    pub idle_ms: u64,
    /// Milliseconds of training.
    pub train_ms: u64,
    /// Share of the run that was idle.
    pub idle_share: f64,
    /// How stale the samples were.
    pub staleness: Staleness,
    /// Samples that came twice or belong to no group of the lot.
    pub repeats: u64,
    /// Samples older than the bound.
    pub stale: u64,
    /// Samples without version spans, or with a span newer than the trainer.
    pub void: u64,
    /// Samples whose text is not whole.
    pub broken: u64,
    /// Answers dropped because they were made for another token.
    pub strays: u64,
    /// Times a lot was submitted again.
    pub resubmits: u64,
    /// Attempts that were repeated.
    pub retries: u64,
    /// Staleness of each sample.
    #[serde(skip)]
    behind: Vec<u64>,
}

impl Report {
    /// Whether nothing came that must never come.
    pub const fn clean(&self) -> bool {
        self.repeats == 0 && self.stale == 0 && self.void == 0 && self.broken == 0
    }

    /// Checks and counts one sample of `group`, for a trainer at `version` with a staleness
    /// `bound`. `whole` also checks the text, which only the engine stand-in's texts pass.
    pub fn check(
        &mut self,
        sample: &Sample,
        group: &Group,
        version: Version,
        bound: u64,
        whole: bool,
    ) {
        self.samples += 1;
        self.tokens += u64::from(sample.tokens);
        let newest = sample.spans.iter().map(|span| span.version).max();
        let oldest = sample.spans.iter().map(|span| span.version).min();
        let (Some(oldest), Some(newest)) = (oldest, newest) else {
            self.void += 1;
            return;
        };
        self.void += u64::from(newest > version);
        let behind = oldest.versions_behind(version);
        self.behind.push(behind);
        self.stale += u64::from(behind > bound);
        let words = sample.text.split_whitespace().count() as u32;
        let flawed = text::check(&group.prompt, group.max_tokens, &sample.text).is_err();
        self.broken += u64::from(whole && (flawed || words != sample.tokens));
    }

    /// Works out the figures over the whole run.
    pub fn finish(&mut self) {
        let total = self.idle_ms + self.train_ms;
        self.idle_share = self.idle_ms as f64 / total.max(1) as f64;
        self.behind.sort_unstable();
        let count = self.behind.len();
        let sum: u64 = self.behind.iter().sum();
        self.staleness = Staleness {
            mean: sum as f64 / count.max(1) as f64,
            p99: self
                .behind
                .get((count * 99).div_ceil(100).saturating_sub(1))
                .copied()
                .unwrap_or(0),
            max: self.behind.last().copied().unwrap_or(0),
        };
    }
}
