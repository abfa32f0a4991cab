//! The samples of one lot that a trainer has received so far.

use pinereel_api::trainer::{Collected, Lot, Sample};
use std::collections::BTreeSet;

/// A lot of which some samples have been received, with the collection token.
///
/// Two rules ensure that the trainer takes each sample exactly once: a response is accepted only if
/// it answers a collect call with the current token, and each sample index is taken once.
#[derive(Clone, Debug)]
pub struct PartialLot {
    /// The lot, kept to submit it again.
    pub lot: Lot,
    /// The token of the last accepted response, or at first of the response to the submit call.
    pub token: String,
    /// Indices of the received samples.
    received: BTreeSet<u32>,
    /// Number of samples in the lot.
    sample_count: u32,
    /// Responses dropped because they answer a call with another token.
    pub rejected_responses: u64,
    /// Samples dropped because they were received before or their index is not in the lot.
    pub duplicates: u64,
    /// Times that the lot was submitted again.
    pub resubmits: u64,
}

impl PartialLot {
    /// A lot of which no sample has been received. `token` comes from the response to the submit
    /// call.
    pub fn new(lot: Lot, token: String) -> Self {
        let sample_count = lot.groups.iter().map(|group| group.samples).sum();
        Self {
            lot,
            token,
            received: BTreeSet::new(),
            sample_count,
            rejected_responses: 0,
            duplicates: 0,
            resubmits: 0,
        }
    }

    /// Number of samples that have not been received.
    pub fn missing(&self) -> u32 {
        self.sample_count - self.received.len() as u32
    }

    /// Accepts a response and returns its new samples. A response for another token is dropped.
    pub fn accept(&mut self, response: Collected) -> Vec<Sample> {
        if response.basis != self.token {
            self.rejected_responses += 1;
            return Vec::new();
        }
        self.token = response.token;
        let mut new_samples = Vec::new();
        for sample in response.samples {
            if sample.index < self.sample_count && self.received.insert(sample.index) {
                new_samples.push(sample);
            } else {
                self.duplicates += 1;
            }
        }
        new_samples
    }
}
