//! What goes into a [`Coordinator`](super::Coordinator) and what comes out of it.

use super::{Fault, Prepare, StoredConfig};
use crate::Time;
use compact_str::CompactString;
use serde_json::Value;
use std::collections::BTreeSet;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Id of the patch; a repeat with the same content gets the same answer.
    pub patch: CompactString,
    /// The number that it is made for.
    pub base: u64,
    /// The merge patch.
    pub content: Value,
    /// The entry that proposes it.
    pub proposer: CompactString,
    /// Id of the writes, unique to this round.
    pub write_id: CompactString,
    /// When the caller must have an answer.
    pub deadline: Time,
}

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Answer {
    /// It is accepted: in force everywhere within 5 s.
    #[error("accepted as {0}")]
    Accepted(u64),
    /// Refused: the base is not the number in force.
    #[error("the configuration's number is {0}")]
    Conflict(u64),
    /// Refused: the id was accepted with another content.
    #[error("the patch id was used with another content, as {0}")]
    Reused(u64),
    /// Refused: the result is not valid or the change is not safe.
    #[error("{} faults", .0.len())]
    Invalid(Vec<Fault>),
    /// Refused: these instances did not confirm it.
    #[error("not confirmed by {0:?}")]
    NotConfirmed(Vec<CompactString>),
    /// Refused: another proposer or an entry in doubt took it back.
    #[error("taken back by another instance")]
    TakenBack,
    /// Refused: the deadline passed, and it will not be accepted later.
    #[error("the deadline passed before it could be accepted")]
    Late,
    /// Nothing is known: send the same patch again.
    #[error("the object API did not tell the result; send the patch again")]
    Unknown,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and gave this version.
    Written(u64),
    /// The object has another version, so it has no effect.
    Conflict,
    /// No answer: it may have taken effect, or may still do so.
    Unknown,
}

/// What the controller tells the round.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    clippy::large_enum_variant,
    reason = "a value is moved once, and few exist at a time"
)]
pub enum CoordinatorEvent {
    /// Time passes; the first one starts the round. To be sent at least every 250 ms.
    Tick,
    /// Answer to [`CoordinatorAction::Read`]; `None` if the object API did not answer.
    Read(Option<(u64, StoredConfig)>),
    /// Answer to [`CoordinatorAction::Write`].
    Written {
        /// The version that the write was conditional on.
        version: u64,
        /// What became of it.
        result: WriteResult,
    },
    /// Answer to [`CoordinatorAction::List`]: names of all member objects; `None` if there was no answer.
    Listed(Option<BTreeSet<CompactString>>),
    /// An instance confirmed a write.
    Confirmed {
        /// Its name.
        from: CompactString,
        /// Id of the write.
        write_id: CompactString,
    },
}

/// What the controller shall do for the round.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Read the object from the object API.
    Read,
    /// Write the object on condition of its version.
    Write {
        /// The version that it must have.
        version: u64,
        /// The new content.
        stored: StoredConfig,
    },
    /// List the member objects from the object API.
    List,
    /// Send a prepare to these instances (the own one included).
    Prepare {
        /// Their names.
        to: BTreeSet<CompactString>,
        /// The message.
        prepare: Prepare,
    },
    /// Tell these instances that the patch is in force.
    Commit {
        /// Their names.
        to: BTreeSet<CompactString>,
        /// The number.
        number: u64,
        /// Id of the write.
        write_id: CompactString,
    },
    /// Tell these instances that the patch will never be accepted.
    Abort {
        /// Their names.
        to: BTreeSet<CompactString>,
        /// Id of the write.
        write_id: CompactString,
    },
    /// Answer the operator. Given once; the round may go on to clean up until [`super::Coordinator::is_done`].
    Answer(Answer),
}
