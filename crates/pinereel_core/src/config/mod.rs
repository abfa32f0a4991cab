//! The configuration that operators patch: its content, its validation, how a patch comes into force.
//!
//! A patch is accepted in two phases. The object API's one object [`Stored`] arbitrates: the
//! proposer's [`Round`] writes the patch as pending, asks each entry's [`Register`] to prepare,
//! and accepts by a conditional update once all have confirmed.

mod document;
mod patch;
mod proposal;
mod register;
mod round;
mod stored;

pub use document::{Document, Kind, Limits, Pool, Trainer};
pub use patch::{Fault, check_change, merge, validate};
pub use proposal::{Action, Answer, Event, Proposal, Write};
pub use register::{Input, Order, Refusal, Register};
pub use round::{PREPARE_TIMEOUT, Round, TAKE_OVER};
pub use stored::{Accepted, Pending, Prepare, RING, Stored};
