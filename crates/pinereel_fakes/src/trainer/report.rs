//! The report of a trainer run: checks of its samples, and figures on idle time and staleness.

use crate::engine::text;
use pinereel_api::trainer::{Group, Sample};
use pinereel_core::Version;
use serde::{Deserialize, Serialize};

/// Staleness of the samples: the number of versions by which the oldest version span of a sample is
/// behind the trainer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Staleness {
    /// Mean over all samples.
    pub mean: f64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// The result of a run, which is printed as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Steps completed.
    pub steps: u64,
    /// Samples taken.
    pub samples: u64,
    /// Output tokens of the samples taken.
    pub tokens: u64,
    /// Milliseconds spent waiting for the samples of a step.
    pub idle_ms: u64,
    /// Milliseconds spent training.
    pub train_ms: u64,
    /// Idle time as a share of idle and training time, from 0 to 1.
    pub idle_share: f64,
    /// Staleness of the samples.
    pub staleness: Staleness,
    /// Samples that were received before, or whose index or group is not in the lot.
    #[serde(rename = "repeats")]
    pub duplicates: u64,
    /// Samples whose staleness exceeds the bound.
    pub stale: u64,
    /// Samples without version spans, or with a span newer than the trainer.
    #[serde(rename = "void")]
    pub invalid_versions: u64,
    /// Samples whose text or token count is wrong.
    #[serde(rename = "broken")]
    pub invalid_texts: u64,
    /// Responses dropped because they answer a call with another collection token.
    #[serde(rename = "strays")]
    pub rejected_responses: u64,
    /// Times that a lot was submitted again.
    pub resubmits: u64,
    /// Calls that were sent again after a temporary failure.
    pub retries: u64,
    /// Staleness of each sample.
    #[serde(skip)]
    staleness_of_samples: Vec<u64>,
}

impl Report {
    /// Whether no sample was a duplicate, too stale, or invalid in its versions or text.
    pub const fn is_valid(&self) -> bool {
        self.duplicates == 0
            && self.stale == 0
            && self.invalid_versions == 0
            && self.invalid_texts == 0
    }

    /// Checks and counts one sample of `group`, for a trainer at `version` with a staleness bound of
    /// `bound` versions. With `check_text` the text must be one that the fake engine generates.
    pub fn record(
        &mut self,
        sample: &Sample,
        group: &Group,
        version: Version,
        bound: u64,
        check_text: bool,
    ) {
        self.samples += 1;
        self.tokens += u64::from(sample.tokens);
        let newest = sample.spans.iter().map(|span| span.version).max();
        let oldest = sample.spans.iter().map(|span| span.version).min();
        let (Some(oldest), Some(newest)) = (oldest, newest) else {
            self.invalid_versions += 1;
            return;
        };
        self.invalid_versions += u64::from(newest > version);
        let staleness = oldest.versions_behind(version);
        self.staleness_of_samples.push(staleness);
        self.stale += u64::from(staleness > bound);
        let words = sample.text.split_whitespace().count() as u32;
        let is_wrong = text::check(&group.prompt, group.max_tokens, &sample.text).is_err();
        self.invalid_texts += u64::from(check_text && (is_wrong || words != sample.tokens));
    }

    /// Computes the figures over the whole run, after the last sample.
    pub fn finish(&mut self) {
        let total_ms = self.idle_ms + self.train_ms;
        self.idle_share = self.idle_ms as f64 / total_ms.max(1) as f64;
        let sorted = &mut self.staleness_of_samples;
        sorted.sort_unstable();
        let count = sorted.len();
        let sum: u64 = sorted.iter().sum();
        self.staleness = Staleness {
            mean: sum as f64 / count.max(1) as f64,
            p99: sorted
                .get((count * 99).div_ceil(100).saturating_sub(1))
                .copied()
                .unwrap_or(0),
            max: sorted.last().copied().unwrap_or(0),
        };
    }
}
