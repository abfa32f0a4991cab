//! One trainer step whose results are kept in the platform's object store.
//!
//! Results have fixed positions. They are committed as numbered segments, each created only if it
//! does not exist: whoever wins the number of a segment has fixed its positions for good, however
//! many instances believe that they run the lot. [`Ledger`] holds what is committed; [`Lot`] holds
//! what is still to be done; [`Fleet`] picks the engines that do it.

mod commit_log;
mod demand;
mod engine;
mod fleet;
mod lot;

pub use commit_log::{CommitLog, Gap};
pub use demand::{DemandWindow, LotDemand};
pub use engine::{Engine, Listing, RunOutcome};
pub use fleet::{EngineKey, Fleet};
pub use lot::{DEFAULT_LENGTH_TOKENS, Failure, Lot, RetryDecision};
