//! Small stand-ins for everything outside pinereel, and the tools that drive it.
//!
//! The stand-ins speak the published protocols of `pinereel_api` and inject faults on request.
//! They run embedded (the demo, tests) or as processes of their own (`pinereel-fakes NAME`).
//!
//! - [`object_api`], [`weight_store`], [`engine`], [`service`]: the platform and the endpoints.
//! - [`trainer`]: a trainer client and the stand-in that drives it.
//! - [`demo`]: everything on loopback in one command.
//! - [`load`]: load generation and latency measurement.
//! - [`cluster`]: a site of real processes, for tests of failures.
//! - [`child_process`]: starting and signalling processes in tests.
//! - [`cli`]: what the stand-ins' processes have in common.
//! - [`hosting`]: the platform that hosts pinereel, with the real processes, and the soak.
//! - [`fault`]: what the stand-ins' faults have in common.
//! - [`capacity`]: slopes of state, messages, processor time and memory.
//! - [`experiment`]: policies against a baseline on the paused clock.

pub mod capacity;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault;
pub mod hosting;
pub mod child_process;
pub mod load;
pub mod object_api;
pub mod cli;
pub mod service;
pub mod site;
pub mod trainer;
pub mod weight_store;
