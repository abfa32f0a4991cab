//! Stand-ins for the platform that hosts pinereel: its object store, its endpoints, its callers.
//!
//! They speak the platform's published protocol, so that the real binary can be run against them as
//! separate processes, through proxies that delay, cut, reset and silence connections.
//!
//! - [`store`]: the object store.
//! - [`engine`], [`service`]: endpoints, which list themselves in the store.
//! - [`crashing_endpoint`]: an endpoint in a process of its own, which crashes when a request tells it to.
//! - [`proxy`]: a loopback proxy with faults.
//! - [`template`]: fills in the deployment's template.
//! - [`site`]: all of it, with the real processes.
//! - [`caller`], [`trainer`]: clients that check what they get.
//! - [`load_balancer`]: the balancer before the instances.
//! - [`recorder`]: what was seen, and the promises that it is checked against.
//! - [`cli`]: the command line of the soak.
//! - [`soak`]: seeded faults from outside while clients go on.

pub mod load_balancer;
pub mod recorder;
pub mod caller;
pub mod cli;
pub mod engine;
pub mod crashing_endpoint;
pub mod http;
pub mod instance;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod template;
pub mod site;
pub mod soak;
pub mod store;
pub mod trainer;
