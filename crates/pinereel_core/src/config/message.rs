//! Input and output of a [`Coordinator`](super::Coordinator): the proposal, events, actions and the
//! answer to the operator.

use super::{Fault, Prepare, StoredConfig};
use crate::Time;
use compact_str::CompactString;
use serde_json::Value;
use std::collections::BTreeSet;

/// A patch that an operator submitted, as its coordinator gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Id of the patch. A repeat with the same id and content gets the same answer.
    pub patch: CompactString,
    /// Number of the configuration that it applies to.
    pub base: u64,
    /// The merge patch (RFC 7396).
    pub content: Value,
    /// Name of the proposing instance.
    pub proposer: CompactString,
    /// Id of the writes, unique to this coordinator.
    pub write_id: CompactString,
    /// Time by which the operator must have an answer.
    pub deadline: Time,
}

/// Answer to the operator about a patch.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Answer {
    /// Accepted; the variant holds the new number, which is in force at every instance within 5 s.
    #[error("accepted as {0}")]
    Accepted(u64),
    /// Refused: the base of the patch is not the number in force, which the variant holds.
    #[error("the configuration's number is {0}")]
    Conflict(u64),
    /// Refused: a patch with this id and different content was accepted, with the number that the
    /// variant holds.
    #[error("the patch id was used with another content, as {0}")]
    Reused(u64),
    /// Refused: the resulting document is not valid or the change is not safe.
    #[error("{} faults", .0.len())]
    Invalid(Vec<Fault>),
    /// Refused: these instances did not confirm the prepare in time.
    #[error("not confirmed by {0:?}")]
    NotConfirmed(Vec<CompactString>),
    /// Refused: another coordinator or an in-doubt participant aborted it.
    #[error("taken back by another instance")]
    TakenBack,
    /// Refused: the deadline passed, and the patch will not be accepted later.
    #[error("the deadline passed before it could be accepted")]
    Late,
    /// Not known: the patch may or may not be accepted. The operator should send the same patch
    /// again.
    #[error("the object API did not tell the result; send the patch again")]
    Unknown,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; the object's new version.
    Written(u64),
    /// The object has another version, so the write has no effect.
    Conflict,
    /// No response: the write may have taken effect or still may.
    Unknown,
}

/// Input of a coordinator.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    clippy::large_enum_variant,
    reason = "a value is moved once, and few exist at a time"
)]
pub enum CoordinatorEvent {
    /// Time has passed. The first tick starts the coordinator; ticks must come at least every 250
    /// ms.
    Tick,
    /// Result of [`CoordinatorAction::Read`]: the object's version and content; `None` if the
    /// object API did not respond.
    Read(Option<(u64, StoredConfig)>),
    /// Result of [`CoordinatorAction::Write`].
    Written {
        /// The version that the write was conditional on.
        version: u64,
        /// The result.
        result: WriteResult,
    },
    /// Result of [`CoordinatorAction::List`]: the names of all members; `None` if the object API
    /// did not respond.
    Listed(Option<BTreeSet<CompactString>>),
    /// An instance confirmed the prepare of a write.
    Confirmed {
        /// Name of the instance.
        from: CompactString,
        /// Id of the write.
        write_id: CompactString,
    },
}

/// Output of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Read the object from the object API, not from a cache.
    Read,
    /// Write the object, conditional on its version.
    Write {
        /// The version that the object must have.
        version: u64,
        /// The new content.
        stored: StoredConfig,
    },
    /// List the member objects from the object API.
    List,
    /// Send a prepare message to these instances, which include the coordinator's own.
    Prepare {
        /// Names of the instances.
        to: BTreeSet<CompactString>,
        /// The message.
        prepare: Prepare,
    },
    /// Tell these instances that the patch is in force.
    Commit {
        /// Names of the instances.
        to: BTreeSet<CompactString>,
        /// The number in force.
        number: u64,
        /// Id of the write.
        write_id: CompactString,
    },
    /// Tell these instances that the patch will never be accepted.
    Abort {
        /// Names of the instances.
        to: BTreeSet<CompactString>,
        /// Id of the write.
        write_id: CompactString,
    },
    /// Answer the operator. Sent once; the coordinator may go on cleaning up until
    /// [`is_done`](super::Coordinator::is_done).
    Answer(Answer),
}
