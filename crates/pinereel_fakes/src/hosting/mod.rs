//! Fakes of the platform that hosts pinereel: its object store, its endpoints and its callers.
//!
//! They implement the platform's published protocol, so that the real binary can be run against
//! them as separate processes. The connections go through proxies that can delay, drop and reset
//! them.
//!
//! - [`store`]: the object store.
//! - [`platform`]: the platform's API for the calls of lease holders: usage reports and scaling.
//! - [`engine`], [`service`]: endpoints, which register in the store.
//! - [`crashing_endpoint`]: an endpoint in a process of its own that crashes on certain requests.
//! - [`duplicating_endpoint`]: an endpoint that sends further copies of its responses late.
//! - [`endless_endpoint`]: an endpoint that answers with bytes without an end.
//! - [`raw_endpoint`]: an endpoint that writes its answers as bytes.
//! - [`proxy`]: a loopback proxy with faults.
//! - [`template`]: renders the deployment's settings template.
//! - [`process`]: a process of an instance, its memory and its end.
//! - [`instance`]: an instance of pinereel as a real process.
//! - [`site`]: all of these together.
//! - [`load_balancer`]: distributes callers' connections over the instances.
//! - [`caller`], [`trainer`]: clients that check the answers they get.
//! - [`http`]: the HTTP client of the fakes.
//! - [`recorder`]: records what callers and endpoints observed, and checks the guarantees.
//! - [`cli`]: the command line of the soak test.
//! - [`soak`]: a soak test, which injects seeded faults while clients send requests.

pub mod caller;
pub mod cli;
pub mod crashing_endpoint;
pub mod crowd;
pub mod duplicating_endpoint;
pub mod endless_endpoint;
pub mod engine;
pub mod http;
pub mod instance;
pub mod load_balancer;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod raw_endpoint;
pub mod recorder;
pub mod service;
pub mod site;
pub mod soak;
pub mod store;
pub mod template;
pub mod trainer;
