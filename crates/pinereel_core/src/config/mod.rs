//! The configuration that operators patch: its content, its validation, how a patch comes into force.
//!
//! A patch is accepted in two phases. The object API's one object [`StoredConfig`] arbitrates: the
//! proposer's [`Coordinator`] writes the patch as pending, asks each entry's [`Participant`] to prepare,
//! and accepts by a conditional update once all have confirmed.

mod coordinator;
mod document;
mod message;
mod participant;
mod patch;
mod stored;

pub use coordinator::{Coordinator, FOREIGN_PENDING_TIMEOUT, PREPARE_TIMEOUT};
pub use document::{Document, Limits, Pool, PoolKind, Trainer};
pub use message::{Answer, CoordinatorAction, CoordinatorEvent, Proposal, WriteResult};
pub use participant::{Participant, ParticipantAction, ParticipantEvent, Refusal};
pub use patch::{Fault, check_change, merge, validate};
pub use stored::{AcceptedPatch, MAX_ACCEPTED, PendingPatch, Prepare, StoredConfig};
