//! The controllers that keep state, one job a module.

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
