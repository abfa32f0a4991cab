//! The object `config/current`: what is in force, what is pending, what was accepted lately.

use super::Document;
use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How many accepted patches are remembered, so that a repeat gets its first answer.
pub const MAX_ACCEPTED: usize = 64;

/// Content of the one object that decides. It is changed only by conditional update on the
/// object's version; an absent object is version 0 and `StoredConfig::default()`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The number in force.
    pub number: u64,
    /// The document in force.
    pub document: Document,
    /// The last [`MAX_ACCEPTED`] accepted patches, oldest first.
    pub accepted: Vec<AcceptedPatch>,
    /// The patch that is being prepared.
    pub pending: Option<PendingPatch>,
}

/// A patch that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// Id of the patch.
    pub patch: CompactString,
    /// The number that it brought into force.
    pub number: u64,
    /// Digest of its base and content.
    pub digest: Digest,
}

/// A patch that is neither accepted nor taken back yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingPatch {
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
    #[serde(rename = "write")]
    pub write_id: CompactString,
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
    #[serde(rename = "write")]
    pub write_id: CompactString,
}

impl StoredConfig {
    /// The same object without its pending patch.
    pub fn without_pending(&self) -> Self {
        Self {
            pending: None,
            ..self.clone()
        }
    }

    /// The object after its pending patch is accepted; `None` if nothing is pending.
    pub fn with_pending_accepted(&self) -> Option<Self> {
        let pending = self.pending.clone()?;
        let mut accepted = self.accepted.clone();
        accepted.push(AcceptedPatch {
            patch: pending.patch,
            number: pending.number,
            digest: pending.digest,
        });
        let excess = accepted.len().saturating_sub(MAX_ACCEPTED);
        accepted.drain(..excess);
        Some(Self {
            number: pending.number,
            document: pending.document,
            accepted,
            pending: None,
        })
    }

    /// The record of an accepted patch, if it is still remembered.
    pub fn find_accepted(&self, patch: &str) -> Option<&AcceptedPatch> {
        self.accepted
            .iter()
            .find(|accepted| accepted.patch == patch)
    }
}
