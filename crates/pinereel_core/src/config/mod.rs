//! The operators' configuration of `pinereel entry`: its document, its validation, and the two-phase
//! commit of a patch. `pinereel hosted` reads a [`pinereel_port::config::Document`] instead.
//!
//! All commit state is in one object of the object API, [`StoredConfig`], which changes only by
//! conditional updates. The proposer's [`Coordinator`] writes the patch as pending, asks the
//! [`Participant`] of every member to prepare, and accepts the patch by another conditional update
//! once all have confirmed. A participant stops admitting requests if it cannot learn the result in
//! time, so an accepted patch is in force at every instance within 5 s and never reverts.

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
