//! The interface between pinereel and the platform that hosts it.
//!
//! An adapter is a plain struct of functions, [`Adapter`]. Each function converts between the
//! platform's bytes or headers and the typed values of this crate. The functions are pure: they do
//! no I/O, keep no state and make no decisions. The daemon calls them and contains no wire names of
//! the platform.
//!
//! The main types:
//! - [`Adapter`]: all functions that a platform supplies.
//! - [`store::Codec`]: requests to the object store.
//! - [`config::Document`]: the operator's configuration of routes, services and limits.
//! - [`KeyDigest`]: the digest of a client's key; the key itself is never stored.
//! - [`endpoint::Entry`]: an entry of the platform's endpoint list.
//! - [`headers::RequestHeaders`] and [`headers::ResponseHeaders`]: the decoded headers of client
//!   requests and of responses.
//! - [`lot::Submission`] and [`lot::Request`]: what trainers send.
//! - [`leader::Codec`]: requests to the platform that only the holder of a lease may send.
//! - [`uri::encode`]: names as parts of paths and queries.
//! - [`engine::LoadRequest`] and [`engine::StatusReport`]: control requests to model engines.

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
pub mod uri;

pub use adapter::Adapter;
pub use error::DecodeError;
pub use key_digest::{KeyDigest, ParseKeyDigestError};
