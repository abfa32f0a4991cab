//! Batch scheduling of lots for `pinereel hosted`, with results in the platform's object store. The
//! lots of `pinereel entry` are in [`crate::lot`].
//!
//! A lot holds the samples that one trainer wants for one step. Its results have fixed positions
//! and are committed as segments, each written with a create-if-absent call: the first writer of
//! a segment fixes its positions, even if several instances run the same lot concurrently.
//! [`CommitLog`] holds the committed results, [`Lot`] the state of each item, [`Fleet`] selects
//! the engines, [`ResultsCache`] answers repeated reads, and [`DemandWindow`] reports recent
//! demand to the autoscaler.

mod commit_log;
mod demand;
mod engine;
mod fleet;
mod lot;
mod placement;
mod reported_load;
mod results_cache;
mod run;
mod stored_lots;
mod timeout;

pub use commit_log::{CommitLog, Gap};
pub use demand::{DemandWindow, LotDemand};
pub use engine::{Engine, Listing, RunOutcome};
pub use fleet::{EngineKey, Fleet};
pub use lot::{DEFAULT_LENGTH_TOKENS, Failure, Lot, RetryDecision};
pub use placement::ReportedSpeed;
pub use results_cache::{ReadAnswer, ReadPlan, ResultsCache};
pub use run::Run;
pub use stored_lots::{StoredLot, StoredLots, UNENDED_RETENTION};
pub use timeout::{MAX_TIMEOUT, extended_wait};
