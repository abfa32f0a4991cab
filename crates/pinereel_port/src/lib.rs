//! The port between pinereel and the platform that it runs on.
//!
//! An adapter is a plain struct of functions, [`Adapter`]. Each function translates between the
//! platform's bytes or headers and the typed values of this crate; none of them does I/O, keeps
//! state or decides anything. The daemon calls them, and knows no name of the platform.
//!
//! The main types:
//! - [`Adapter`]: all functions of one platform.
//! - [`store::Dialect`]: the calls of the object store.
//! - [`config::Document`]: routes, services and limits, as the operator wrote them.
//! - [`KeyDigest`]: all that is ever known of a caller's key.
//! - [`endpoint::Entry`]: one endpoint of the platform's list.
//! - [`live::Request`] and [`live::Answer`]: what is read in the heads of live requests.
//! - [`lot::Submission`] and [`lot::Call`]: what trainers send.
//! - [`duty::Dialect`]: calls toward the platform that one instance makes at a time.
//! - [`engine::Order`] and [`engine::Report`]: what engines are told and tell.

pub mod adapter;
pub mod config;
pub mod endpoint;
pub mod engine;
mod error;
pub mod headers;
mod key_digest;
pub mod leader;
pub mod lot;
pub mod store;

pub use adapter::Adapter;
pub use error::DecodeError;
pub use key_digest::{KeyDigest, ParseKeyDigestError};
