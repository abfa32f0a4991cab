//! Counts and times recorded during a run, from which its metrics are computed.

use compact_str::CompactString;
use pinereel_core::lot::Sample;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Identifies a sample: id of its lot, and its index in the lot.
pub(super) type SampleId = (CompactString, u32);

/// Numbers of calls to the object API by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObjectApiCalls {
    pub(super) weights: u64,
    pub(super) instances: u64,
    pub(super) lease: u64,
}

/// Everything that is recorded during one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Recorder {
    /// Staleness of each delivered sample, in versions.
    pub(super) staleness: Vec<u64>,
    /// Samples left out of the answer to a collect because they were too old.
    pub(super) stale_samples: u64,
    /// Samples delivered although they exceeded the trainer's staleness bound.
    pub(super) over_bound: u64,
    /// Answers to collects that a trainer did not accept, because their token was not its current
    /// one.
    pub(super) rejected_answers: u64,
    /// Samples delivered more than once.
    pub(super) repeated_samples: u64,
    /// Output tokens of the delivered samples.
    pub(super) delivered_tokens: u64,
    /// Time from the submission of a lot to the delivery of a group's last sample, by group.
    pub(super) group_times: Vec<Duration>,
    /// Times of the answered live requests, with the latency between caller and entry.
    pub(super) live_times: Vec<Duration>,
    /// Live requests without an answer before their deadline.
    pub(super) live_refused: u64,
    /// Output tokens of the completed live requests.
    pub(super) live_tokens: u64,
    /// Calls to the object API.
    pub(super) object_api_calls: ObjectApiCalls,
    /// Most output tokens that an entry has received of each undelivered sample.
    undelivered: BTreeMap<SampleId, u32>,
    delivered: BTreeSet<SampleId>,
}

impl Recorder {
    /// Records that an attempt of a sample has produced this many output tokens so far.
    pub(super) fn record_progress(&mut self, sample: SampleId, tokens: u32) {
        if !self.delivered.contains(&sample) {
            let most = self.undelivered.entry(sample).or_default();
            *most = tokens.max(*most);
        }
    }

    /// Records the delivery of a sample that is this many versions old.
    pub(super) fn record_delivery(&mut self, lot: &CompactString, sample: &Sample, staleness: u64) {
        let id = (lot.clone(), sample.index);
        self.undelivered.remove(&id);
        if !self.delivered.insert(id) {
            self.repeated_samples += 1;
        }
        self.staleness.push(staleness);
        self.delivered_tokens += u64::from(sample.tokens);
    }

    /// Output tokens of the samples that are running or that no collect has delivered yet.
    pub(super) fn undelivered_tokens(&self) -> u64 {
        self.undelivered.values().copied().map(u64::from).sum()
    }
}
