//! Compares scheduling, routing and rollout policies with a baseline by discrete-event simulation.
//!
//! A run takes place in one process and in virtual time, without sockets, and the same seed gives
//! the same metrics. All decisions are made by the code of `pinereel_core`: each simulated entry
//! has a [`Runner`](pinereel_core::lot::Runner) and an endpoint set, and live requests are routed,
//! collects merged and weights rolled out as in the daemon. Only the environment is a model: the
//! batching model of the fake engine, fixed latencies, trainers and live callers.
//!
//! - [`scenario`]: sizes, latencies, trainers and faults, read from INI.
//! - [`policy`]: the combinations of policies that are compared.
//! - [`simulation`]: state of one run, and the dispatch of its events.
//! - [`idle_bound`]: lower bound of the idle share over all policies.
//! - [`metrics`]: metrics of a run, and their summary over seeds.
//! - [`table`], [`plot`]: output.
//! - [`cli`]: command line.

pub mod cli;
pub mod idle_bound;
pub mod metrics;
pub mod plot;
pub mod policy;
pub mod scenario;
pub mod simulation;
pub mod table;

mod engine;
mod entry;
mod event;
mod fault;
mod live;
mod lots;
mod recorder;
mod trainer;
mod weights;
