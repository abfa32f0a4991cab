//! Policies against a baseline, in virtual time: one process, no sockets, the same figures for
//! the same seed.
//!
//! This is no model of a cluster. The decisions are those of `pinereel_core` itself: a
//! [`Runner`](pinereel_core::lot::Runner) and an endpoint set for each entry, routing of live
//! requests, merging of collects, rollout of weights. What stands around them is small: the
//! batching model of the engine stand-in, a fixed latency between parties, and trainers and live
//! callers that do what theirs do.
//!
//! - [`scenario`]: sizes, latencies, trainers and faults, from INI.
//! - [`policy`]: what is compared.
//! - [`world`]: one run: the queue of events and who handles which.
//! - [`bound`]: the least idle share that any policy could reach.
//! - [`figure`]: the measures of a run, and their mean and spread over seeds.
//! - [`table`], [`plot`]: output.
//! - [`cli`]: the command line.

pub mod bound;
pub mod cli;
pub mod figure;
pub mod plot;
pub mod policy;
pub mod scenario;
pub mod table;
pub mod world;

mod collect;
mod engines;
mod entry;
mod fault;
mod job;
mod live;
mod tally;
mod trainer;
mod weights;
