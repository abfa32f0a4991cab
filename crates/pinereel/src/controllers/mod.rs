//! Controllers: the stateful parts of the entry daemon, one area of responsibility per module.
//!
//! Most of them wrap a state machine of `pinereel_core`: they feed it events, carry out its actions
//! with I/O, and offer the calls through which requests use its state.

pub mod claims;
pub mod config;
pub mod crashes;
pub mod drain;
pub mod endpoints;
mod follow;
pub mod instances;
pub mod leases;
pub mod lots;
pub mod members;
pub mod queues;
pub mod rollout;
pub mod weights;
