//! Stored format of the object `config/current`: the configuration in force, the pending patch and
//! the recently accepted patches.

use super::Document;
use crate::hash::Digest;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of accepted patches that are kept, so that a repeated patch gets its first answer.
pub const MAX_ACCEPTED: usize = 64;

/// Content of the object that decides which configuration is in force. It changes only by
/// conditional update on the object's version; an absent object counts as version 0 with
/// `StoredConfig::default()`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Number of the configuration in force; each accepted patch raises it by one.
    pub number: u64,
    /// The document in force.
    pub document: Document,
    /// The last [`MAX_ACCEPTED`] accepted patches, oldest first.
    pub accepted: Vec<AcceptedPatch>,
    /// The patch that is being prepared, if any.
    pub pending: Option<PendingPatch>,
}

/// An accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// Id of the patch.
    pub patch: CompactString,
    /// Number of the configuration that it brought into force.
    pub number: u64,
    /// Digest of its base number and content; tells a repeat from a reused id.
    pub digest: Digest,
}

/// A patch that is neither accepted nor aborted yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingPatch {
    /// Number of the configuration that it would bring into force.
    pub number: u64,
    /// The document that it would bring into force.
    pub document: Document,
    /// Id of the patch.
    pub patch: CompactString,
    /// Digest of its base number and content; tells a repeat from a reused id.
    pub digest: Digest,
    /// Name of the instance whose coordinator proposed it.
    pub proposer: CompactString,
    /// Id of the write, unique to one coordinator: only that coordinator may accept the patch.
    #[serde(rename = "write")]
    pub write_id: CompactString,
}

/// Prepare message: asks an instance to hold a configuration that may come into force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prepare {
    /// Version of the object that holds the pending patch.
    pub version: u64,
    /// Number of the configuration that it would bring into force.
    pub number: u64,
    /// The document that it would bring into force.
    pub document: Document,
    /// Id of the write, as in [`PendingPatch`].
    #[serde(rename = "write")]
    pub write_id: CompactString,
}

impl StoredConfig {
    /// The same content without the pending patch, which aborts the patch when written.
    pub fn without_pending(&self) -> Self {
        Self {
            pending: None,
            ..self.clone()
        }
    }

    /// The content after the pending patch is accepted; `None` if no patch is pending.
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

    /// The accepted patch with this id, if it is one of the last [`MAX_ACCEPTED`].
    pub fn find_accepted(&self, patch: &str) -> Option<&AcceptedPatch> {
        self.accepted
            .iter()
            .find(|accepted| accepted.patch == patch)
    }
}
