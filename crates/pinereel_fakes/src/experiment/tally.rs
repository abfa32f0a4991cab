//! What a run counts as it goes.

use compact_str::CompactString;
use pinereel_core::lot::Sample;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Calls of the object API by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Calls {
    pub(super) weights: u64,
    pub(super) instances: u64,
    pub(super) lease: u64,
}

/// All counts of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    /// Staleness of each sample delivered, in versions.
    pub(super) staleness: Vec<u64>,
    /// Samples found too old at a collect.
    pub(super) stale: u64,
    /// Samples delivered beyond the bound.
    pub(super) beyond: u64,
    /// Answers that a trainer dropped.
    pub(super) repeats: u64,
    /// Samples delivered twice.
    pub(super) twice: u64,
    /// Output tokens of the samples delivered.
    pub(super) tokens: u64,
    /// Time from a lot's submit to a group's last sample.
    pub(super) groups: Vec<Duration>,
    /// Times of live requests.
    pub(super) live: Vec<Duration>,
    /// Live requests without an answer in time.
    pub(super) refused: u64,
    /// Output tokens of whole live answers.
    pub(super) live_tokens: u64,
    /// Calls of the object API.
    pub(super) calls: Calls,
    /// Most tokens that an entry has of each sample not delivered yet.
    open: BTreeMap<(CompactString, u32), u32>,
    seen: BTreeSet<(CompactString, u32)>,
}

impl Tally {
    /// An attempt of a sample has so many tokens.
    pub(super) fn made(&mut self, sample: (CompactString, u32), tokens: u32) {
        if !self.seen.contains(&sample) {
            let most = self.open.entry(sample).or_default();
            *most = tokens.max(*most);
        }
    }

    /// A sample was delivered.
    pub(super) fn delivered(&mut self, lot: &CompactString, sample: &Sample, behind: u64) {
        let key = (lot.clone(), sample.index);
        self.open.remove(&key);
        if !self.seen.insert(key) {
            self.twice += 1;
        }
        self.staleness.push(behind);
        self.tokens += u64::from(sample.tokens);
    }

    /// Tokens of samples that are under way or wait for a collect.
    pub(super) fn open_tokens(&self) -> u64 {
        self.open.values().copied().map(u64::from).sum()
    }
}
