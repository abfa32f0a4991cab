//! What is committed of a lot.

use compact_str::CompactString;
use pinereel_port::lot::Sample;
use std::collections::BTreeMap;

/// A segment came before one that it follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a segment came for position {found} while {expected} is the next")]
pub struct Gap {
    /// Position of the segment's first sample.
    pub found: usize,
    /// The first position that is not known yet.
    pub expected: usize,
}

/// The committed results of one lot: positions never change and never go away.
///
/// A segment is named by the position of its first sample. Two writers that know the same
/// committed results use the same name, so that only one of them can create it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitLog {
    samples: Vec<Sample>,
    positions: BTreeMap<CompactString, usize>,
}

impl CommitLog {
    /// The committed samples, by position.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// The first position that is not committed; the next segment begins there.
    pub fn next_position(&self) -> usize {
        self.samples.len()
    }

    /// Whether the item has its position.
    pub fn contains(&self, item: &str) -> bool {
        self.positions.contains_key(item)
    }

    /// Takes over a segment that stands in the store. One that is known already changes nothing.
    ///
    /// # Errors
    /// A segment before it is missing: read that one first.
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
