//! The object `config/current`: what is in force, what is pending, what was accepted lately.

use super::Document;
use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How many accepted patches are remembered, so that a repeat gets its first answer.
pub const RING: usize = 64;

/// Content of the one object that decides. It is changed only by conditional update on the
/// object's version; an absent object is version 0 and `Stored::default()`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The number in force.
    pub number: u64,
    /// The document in force.
    pub document: Document,
    /// The last [`RING`] accepted patches, oldest first.
    pub accepted: Vec<Accepted>,
    /// The patch that is being prepared.
    pub pending: Option<Pending>,
}

/// A patch that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the patch.
    pub patch: CompactString,
    /// The number that it brought into force.
    pub number: u64,
    /// Digest of its base and content.
    pub digest: Digest,
}

/// A patch that is neither accepted nor taken back yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pending {
    /// The number that it would bring into force.
    pub number: u64,
    /// The document that it would bring into force.
    pub document: Document,
    /// Id of the patch.
    pub patch: CompactString,
    /// Digest of its base and content.
    pub digest: Digest,
    /// The entry that proposes it.
    pub proposer: CompactString,
    /// Id of the write, unique to one round: only that round may accept it.
    pub write: CompactString,
}

/// Asks an entry to store a configuration that may come into force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prepare {
    /// The object's version that holds the pending patch.
    pub version: u64,
    /// The number that it would bring into force.
    pub number: u64,
    /// The document that it would bring into force.
    pub document: Document,
    /// Id of the write.
    pub write: CompactString,
}

impl Stored {
    /// The same object without its pending patch.
    pub fn taken_back(&self) -> Self {
        Self {
            pending: None,
            ..self.clone()
        }
    }

    /// The object after its pending patch is accepted; `None` if nothing is pending.
    pub fn committed(&self) -> Option<Self> {
        let pending = self.pending.clone()?;
        let mut accepted = self.accepted.clone();
        accepted.push(Accepted {
            patch: pending.patch,
            number: pending.number,
            digest: pending.digest,
        });
        let surplus = accepted.len().saturating_sub(RING);
        accepted.drain(..surplus);
        Some(Self {
            number: pending.number,
            document: pending.document,
            accepted,
            pending: None,
        })
    }

    /// The record of an accepted patch, if it is still remembered.
    pub fn find(&self, patch: &str) -> Option<&Accepted> {
        self.accepted
            .iter()
            .find(|accepted| accepted.patch == patch)
    }
}
