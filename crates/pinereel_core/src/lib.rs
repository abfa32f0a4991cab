//! The decisions of pinereel, and nothing else.
//!
//! Every module here is a state machine or a pure function. It takes the time and an event and
//! returns actions as values: `step(now, Event) -> Vec<Action>`. There is no I/O, no clock, no
//! global state, and no randomness but a seed. The same code runs under `proptest`, in the
//! experiment tool and in the daemon.
//!
//! The main types:
//! - [`Time`], [`Version`], [`Span`]: what all modules share.
//! - [`Outcome`]: what became of a request, with the evidence for it.
//! - [`lot::Lot`]: one trainer step's samples on their way to the trainer.
//! - [`cursor::Token`]: what the trainer already holds of a lot.
//! - [`config::Document`]: the configuration that operators patch.
//! - [`crash::Register`]: requests under which endpoints crash.
//! - [`claim::Log`]: the idempotency keys of one shard.
//! - [`table::Table`]: which route a request takes, on a platform whose operator writes the routes.
//! - [`tree::Branch`]: the tree over which instances pass on what one of them reads.
//! - [`usage::Ledger`]: how many requests of each workspace began to run.
//! - [`batch::Lot`]: one trainer step whose results are kept in the platform's object store.

pub mod admit;
pub mod batch;
pub mod budget;
pub mod claim;
pub mod config;
pub mod crash;
pub mod cursor;
pub mod drain;
pub mod endpoint;
pub mod fair;
pub mod hash;
pub mod lease;
pub mod lot;
pub mod member;
pub mod outcome;
pub mod provenance;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod scale;
pub mod staleness;
pub mod table;
pub mod time;
pub mod tree;
pub mod usage;
pub mod version;

pub use outcome::Outcome;
pub use time::Time;
pub use version::{Span, Version};
