//! The committed results of one lot, in the order of their positions.
//!
//! A segment is named by the position of its first sample. Two writers that have read the same
//! committed results use the same name, so that only one of them can create the segment.

use compact_str::CompactString;
use pinereel_port::lot::Sample;
use std::collections::BTreeMap;

/// A segment does not follow directly on the results known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("segment starts at position {found}, expected position {expected}")]
pub struct Gap {
    /// Position of the segment's first sample.
    pub found: usize,
    /// The first position without a known sample.
    pub expected: usize,
}

/// Append-only log of the committed samples of one lot; a position never changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitLog {
    samples: Vec<Sample>,
    positions: BTreeMap<CompactString, usize>,
}

impl CommitLog {
    /// The committed samples, indexed by position.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// The first position without a committed sample, where the next segment begins.
    pub fn next_position(&self) -> usize {
        self.samples.len()
    }

    /// Whether the item has a committed sample.
    pub fn contains(&self, item: &str) -> bool {
        self.positions.contains_key(item)
    }

    /// Appends a segment read from the store, whose first sample has position `from`. A segment that
    /// is known already changes nothing.
    ///
    /// # Errors
    /// [`Gap`] if a segment before it is missing; the caller reads that one first.
    pub fn append(&mut self, from: usize, samples: Vec<Sample>) -> Result<(), Gap> {
        if from < self.next_position() {
            return Ok(());
        }
        if from > self.next_position() {
            return Err(Gap {
                found: from,
                expected: self.next_position(),
            });
        }
        for sample in samples {
            let position = self.samples.len();
            self.positions.insert(sample.item.clone(), position);
            self.samples.push(sample);
        }
        Ok(())
    }
}
