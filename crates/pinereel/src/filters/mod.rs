//! The filter chain that a request passes, one job a module.

pub mod admit;
pub mod attempt;
pub mod claim;
pub mod pin;
pub mod respond;
pub mod route;
