//! State that a runner keeps: lots, groups, samples, attempts and endpoints.

use super::{Offer, Sample};
use crate::{Time, Version, hash, provenance::Record};
use compact_str::CompactString;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

slotmap::new_key_type! {
    /// Key of a sample within one runner.
    pub struct SampleKey;
    /// Key of one attempt at a sample; never reused by the same runner.
    pub struct AttemptKey;
}

/// Parameters of a lot, and the groups of it that one runner gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Id of the lot.
    pub lot: CompactString,
    /// Digest of the whole lot.
    pub digest: hash::Digest,
    /// Name of the trainer.
    pub trainer: CompactString,
    /// Weight of the trainer in fair sharing, relative to other trainers.
    pub weight: u32,
    /// Name of the model to sample from.
    pub model: CompactString,
    /// Training step that the lot is for.
    pub step: u64,
    /// Weight version that the trainer is at, by its last collect or as predicted at submission.
    pub version: Version,
    /// The trainer's staleness bound, in versions.
    pub bound: u64,
    /// Time after which attempts run at the priority of stragglers.
    pub deadline: Time,
    /// Whether finished samples are scored before they are delivered.
    pub scored: bool,
    /// The groups that the runner gets.
    pub groups: Vec<Group>,
}

/// A group: the samples of one prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Index in the lot.
    pub index: u32,
    /// Index of its first sample in the lot.
    pub first: u32,
    /// The prompt.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
    /// Most output tokens of each sample.
    pub max_tokens: u32,
}

/// Sort key of a queued sample: longest prediction first, then by index in the lot.
pub(super) type QueueKey = (Reverse<u32>, u32, SampleKey);

/// The part of a lot that one runner holds.
#[derive(Clone, Debug)]
pub struct Lot {
    /// Parameters of the lot; its `groups` are empty.
    pub(super) spec: Spec,
    /// Sequence number of its arrival at this runner.
    pub(super) arrival: u64,
    /// Time of the last assign or collect.
    pub(super) last_activity: Time,
    /// Whether the trainer has collected from it, and so may be waiting for samples.
    pub(super) requested: bool,
    pub(super) groups: BTreeMap<u32, GroupState>,
    pub(super) samples: BTreeMap<u32, SampleKey>,
    pub(super) queue: BTreeSet<QueueKey>,
}

/// Time for which a prefix is assumed to stay in an endpoint's cache.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(5);

/// A group, with the lengths of its finished samples and the endpoints that cache its prompt.
#[derive(Clone, Debug)]
pub(super) struct GroupState {
    pub(super) group: Group,
    pub(super) finished_samples: u32,
    pub(super) finished_tokens: u64,
    /// By endpoint: oldest weight version of the cached prompt prefix, and when it was reported.
    pub(super) cached_prefixes: BTreeMap<CompactString, (Version, Time)>,
}

impl GroupState {
    /// Records that an attempt on `endpoint` reused a prefix computed by version `oldest`.
    pub(super) fn note_cached_prefix(&mut self, endpoint: &str, oldest: Version, now: Time) {
        self.cached_prefixes.insert(endpoint.into(), (oldest, now));
    }

    /// Oldest version that an attempt on `endpoint` would reuse; `None` if unknown or expired.
    pub(super) fn cached_version(&self, endpoint: &str, now: Time) -> Option<Version> {
        let (oldest, seen) = self.cached_prefixes.get(endpoint)?;
        (now.since(*seen) < PREFIX_CACHE_TTL).then_some(*oldest)
    }

    /// Predicted output tokens of a sample: the mean of the finished ones, or the maximum while none
    /// has finished.
    pub(super) fn predicted_tokens(&self) -> u32 {
        let mean = self
            .finished_tokens
            .checked_div(u64::from(self.finished_samples));
        let mean = mean.and_then(|m| u32::try_from(m).ok());
        mean.unwrap_or(self.group.max_tokens)
    }
}

impl Lot {
    /// Id of the lot.
    pub fn id(&self) -> &str {
        &self.spec.lot
    }

    /// Training step that the lot is for.
    pub const fn step(&self) -> u64 {
        self.spec.step
    }

    /// Number of samples that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of samples of this lot that the runner holds.
    pub fn samples(&self) -> usize {
        self.samples.len()
    }

    /// Parameters of the lot, including its groups.
    pub(super) fn full_spec(&self) -> Spec {
        let groups = self
            .groups
            .values()
            .map(|group_state| group_state.group.clone());
        Spec {
            groups: groups.collect(),
            ..self.spec.clone()
        }
    }
}

/// Output of an attempt so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub(super) text: String,
    pub(super) record: Record,
}

/// State of one sample.
#[derive(Clone, Debug)]
pub(super) struct SampleState {
    pub(super) lot: CompactString,
    pub(super) group: u32,
    pub(super) index: u32,
    /// Its key in the queue of the lot; `None` while it is not queued.
    pub(super) queue_key: Option<QueueKey>,
    /// Whether it is in the retry queue, waiting for the retry budget.
    pub(super) awaiting_retry: bool,
    /// Whether an attempt was started before, so that the next one is a retry.
    pub(super) was_started: bool,
    /// Output saved from a lost attempt.
    pub(super) saved_progress: Option<Progress>,
    pub(super) attempts: Vec<AttemptKey>,
    pub(super) finished: Option<Finished>,
    /// Whether the trainer holds it, by its latest cursor token.
    pub(super) delivered: bool,
}

impl SampleState {
    /// Whether it still has to be generated.
    pub(super) const fn needs_work(&self) -> bool {
        !self.delivered && self.finished.is_none()
    }
}

/// A finished sample, possibly still without its score.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    pub(super) sample: Sample,
    /// Ticket of the pending scoring.
    pub(super) score_ticket: Option<u64>,
}

/// An attempt on an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) sample: SampleKey,
    pub(super) endpoint: CompactString,
    pub(super) started_at: Time,
    /// Time of its last chunk.
    pub(super) last_chunk_at: Option<Time>,
    /// Output tokens from which it resumed.
    pub(super) resumed_tokens: u32,
    pub(super) progress: Progress,
}

/// An endpoint, with this runner's load on it and its speed.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) offer: Offer,
    pub(super) running_attempts: u32,
    pub(super) token_time: TokenTime,
}

/// Age at which the average token time of an endpoint expires.
const TOKEN_TIME_TTL: Duration = Duration::from_secs(10);

/// Moving average of the time per token of one sequence on an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenTime {
    /// Microseconds per token; zero before the first value.
    average_us: u64,
    updated_at: Time,
}

impl TokenTime {
    /// Records that `tokens` of one sequence took `elapsed`.
    pub(super) fn record(&mut self, now: Time, elapsed: Duration, tokens: u32) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let sample_us = elapsed_us / u64::from(tokens.max(1));
        self.average_us = match self.current(now) {
            Some(old) => (old * 3 + sample_us) / 4,
            None => sample_us,
        };
        self.updated_at = now;
    }

    /// Microseconds per token; `None` if unknown or expired.
    pub(super) fn current(&self, now: Time) -> Option<u64> {
        let fresh = now.since(self.updated_at) < TOKEN_TIME_TTL;
        (self.average_us > 0 && fresh).then_some(self.average_us)
    }
}
