//! What a trainer holds of one lot.

use pinereel_api::trainer::{Collected, Lot, Sample};
use std::collections::BTreeSet;

/// A lot on its way to the trainer: the token held, and which samples are there.
///
/// Exactly once at the trainer's edge needs just these two: an answer counts only if it was made
/// for the token held now, and an index is taken once.
#[derive(Clone, Debug)]
pub struct Collection {
    /// The lot, for submitting it again.
    pub lot: Lot,
    /// The token of the last answer that was taken, or of the first submit.
    pub token: String,
    /// Indices of the samples held.
    held: BTreeSet<u32>,
    /// Samples in the lot.
    size: u32,
    /// Answers dropped because they were made for another token.
    pub strays: u64,
    /// Samples dropped because they were held already, or are not of this lot.
    pub repeats: u64,
    /// Times the lot was submitted again.
    pub resubmits: u64,
}

impl Collection {
    /// A lot of which nothing is held yet. `token` is the one of the submit's answer.
    pub fn new(lot: Lot, token: String) -> Self {
        let size = lot.groups.iter().map(|group| group.samples).sum();
        Self {
            lot,
            token,
            held: BTreeSet::new(),
            size,
            strays: 0,
            repeats: 0,
            resubmits: 0,
        }
    }

    /// Samples that are still missing.
    pub fn missing(&self) -> u32 {
        self.size - self.held.len() as u32
    }

    /// Takes an answer; returns the samples that are new. An answer for another token is dropped.
    pub fn take(&mut self, answer: Collected) -> Vec<Sample> {
        if answer.basis != self.token {
            self.strays += 1;
            return Vec::new();
        }
        self.token = answer.token;
        let mut fresh = Vec::new();
        for sample in answer.samples {
            if sample.index < self.size && self.held.insert(sample.index) {
                fresh.push(sample);
            } else {
                self.repeats += 1;
            }
        }
        fresh
    }
}
