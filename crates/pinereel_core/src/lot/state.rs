//! The arenas' contents: lots, samples, attempts, endpoints.

use super::{Offer, Sample};
use crate::{Time, Version, hash, provenance::Record};
use compact_str::CompactString;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

slotmap::new_key_type! {
    /// A sample in one runner's memory.
    pub struct SampleKey;
    /// One attempt to make a sample; unique within a runner's life.
    pub struct AttemptKey;
}

/// Groups of a lot for one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Id of the lot.
    pub lot: CompactString,
    /// Digest of the whole lot.
    pub digest: hash::Digest,
    /// The trainer.
    pub trainer: CompactString,
    /// The trainer's share of the engines, relative to others.
    pub weight: u32,
    /// The model to sample from.
    pub model: CompactString,
    /// The step.
    pub step: u64,
    /// The trainer's version.
    pub version: Version,
    /// The trainer's staleness bound, in versions.
    pub bound: u64,
    /// When the samples are wanted.
    pub deadline: Time,
    /// Whether finished samples are scored before they are delivered.
    pub scored: bool,
    /// The groups.
    pub groups: Vec<Group>,
}

/// Samples of one prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Index in the lot.
    pub index: u32,
    /// Index of its first sample in the lot.
    pub first: u32,
    /// The prompt.
    pub prompt: String,
    /// How many samples.
    pub samples: u32,
    /// Most output tokens of each.
    pub max_tokens: u32,
}

/// Order of waiting samples: longest first, then by index.
pub(super) type QueueKey = (Reverse<u32>, u32, SampleKey);

/// The part of a trainer step that one runner holds.
#[derive(Clone, Debug)]
pub struct Lot {
    /// The lot, without groups.
    pub(super) spec: Spec,
    /// Order of arrival at this runner.
    pub(super) arrival: u64,
    /// Last assign or collect.
    pub(super) last_activity: Time,
    /// Whether the trainer has asked for it: it may be waiting.
    pub(super) requested: bool,
    pub(super) groups: BTreeMap<u32, GroupState>,
    pub(super) samples: BTreeMap<u32, SampleKey>,
    pub(super) queue: BTreeSet<QueueKey>,
}

/// How long a prefix is taken to stay in an endpoint's cache.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(5);

/// A group and what its finished samples tell about the others' length.
#[derive(Clone, Debug)]
pub(super) struct GroupState {
    pub(super) group: Group,
    pub(super) finished_samples: u32,
    pub(super) finished_tokens: u64,
    /// Oldest weights of the prompt's prefix in an endpoint's cache, and when that was seen.
    pub(super) cached_prefixes: BTreeMap<CompactString, (Version, Time)>,
}

impl GroupState {
    /// Notes what an attempt on `endpoint` reused.
    pub(super) fn note_cached_prefix(&mut self, endpoint: &str, oldest: Version, now: Time) {
        self.cached_prefixes.insert(endpoint.into(), (oldest, now));
    }

    /// Oldest weights that a start on `endpoint` would reuse, as far as known and not forgotten.
    pub(super) fn cached_version(&self, endpoint: &str, now: Time) -> Option<Version> {
        let (oldest, seen) = self.cached_prefixes.get(endpoint)?;
        (now.since(*seen) < PREFIX_CACHE_TTL).then_some(*oldest)
    }

    /// Expected output tokens of a sample of this group.
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

    /// The step.
    pub const fn step(&self) -> u64 {
        self.spec.step
    }

    /// Samples waiting for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Samples of this lot that the runner knows.
    pub fn samples(&self) -> usize {
        self.samples.len()
    }

    /// The lot with its groups.
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

/// What an attempt has made so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub(super) text: String,
    pub(super) record: Record,
}

/// Where one sample stands.
#[derive(Clone, Debug)]
pub(super) struct SampleState {
    pub(super) lot: CompactString,
    pub(super) group: u32,
    pub(super) index: u32,
    /// Its place in the lot's queue.
    pub(super) queue_key: Option<QueueKey>,
    /// Waits for the retry budget.
    pub(super) awaiting_retry: bool,
    /// Started before: the next attempt is a retry.
    pub(super) was_started: bool,
    /// What a lost attempt left.
    pub(super) saved_progress: Option<Progress>,
    pub(super) attempts: Vec<AttemptKey>,
    pub(super) finished: Option<Finished>,
    /// The trainer has it, as a token says.
    pub(super) delivered: bool,
}

impl SampleState {
    /// Whether work on it is still needed.
    pub(super) const fn needs_work(&self) -> bool {
        !self.delivered && self.finished.is_none()
    }
}

/// A finished sample, perhaps still without its score.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    pub(super) sample: Sample,
    /// The scoring that it waits for.
    pub(super) score_ticket: Option<u64>,
}

/// An attempt on an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) sample: SampleKey,
    pub(super) endpoint: CompactString,
    pub(super) started_at: Time,
    /// Its last chunk.
    pub(super) last_chunk_at: Option<Time>,
    /// Tokens that it started from.
    pub(super) resumed_tokens: u32,
    pub(super) progress: Progress,
}

/// An endpoint and what of it this runner uses.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) offer: Offer,
    pub(super) running_attempts: u32,
    pub(super) token_time: TokenTime,
}

/// Age at which a measured speed counts for nothing any more.
const TOKEN_TIME_TTL: Duration = Duration::from_secs(10);

/// How fast an endpoint's sequences get their tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenTime {
    /// Smoothed time of a token of one sequence, in microseconds; zero before the first.
    average_us: u64,
    updated_at: Time,
}

impl TokenTime {
    /// Notes `tokens` of one sequence that took `took`.
    pub(super) fn record(&mut self, now: Time, elapsed: Duration, tokens: u32) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let sample_us = elapsed_us / u64::from(tokens.max(1));
        self.average_us = match self.current(now) {
            Some(old) => (old * 3 + sample_us) / 4,
            None => sample_us,
        };
        self.updated_at = now;
    }

    /// Time of a token in microseconds, if that is known well enough.
    pub(super) fn current(&self, now: Time) -> Option<u64> {
        let fresh = now.since(self.updated_at) < TOKEN_TIME_TTL;
        (self.average_us > 0 && fresh).then_some(self.average_us)
    }
}
