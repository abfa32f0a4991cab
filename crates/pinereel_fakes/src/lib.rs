//! Fakes of everything outside pinereel, and the tools that drive pinereel.
//!
//! The fakes speak the published protocols of `pinereel_api` and inject faults on request.
//! They run inside the calling process (the demo, tests) or as processes (`pinereel-fakes NAME`).
//!
//! - [`object_api`], [`weight_store`], [`engine`], [`service`]: fakes of the platform and of the
//!   endpoints.
//! - [`trainer`]: a trainer client, and a fake trainer that uses it.
//! - [`site`]: object API, endpoints and entries inside the calling process.
//! - [`cluster`]: the same as a process each, for tests of failures.
//! - [`hosting`]: fakes of the platform that hosts pinereel, for real processes, and the soak test.
//! - [`demo`]: a deployment, traffic and operations on loopback in one command, with checks.
//! - [`load`]: load generation and latency measurement.
//! - [`capacity`]: how state, messages, processor time and memory grow with the size of a site.
//! - [`experiment`]: simulations that compare policies with a baseline in virtual time.
//! - [`fault`]: helpers that inject faults into responses, such as loss and delay.
//! - [`child_process`]: starts and signals processes, and captures what they print.
//! - [`cli`]: the flags and exit conditions that the processes of fakes share.

pub mod capacity;
pub mod child_process;
pub mod cli;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault;
pub mod hosting;
pub mod load;
pub mod object_api;
pub mod service;
pub mod site;
pub mod trainer;
pub mod weight_store;
