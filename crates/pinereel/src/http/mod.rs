//! HTTP listeners: accept loop, bounded bodies, answers.
//!
//! Connections are served by `actix-http`; accepting is done here, on the caller's own thread, so
//! that a drain decides when accepting ends and nothing is cut by a library's shutdown timeout.

mod answer;
mod body;
mod hold;
mod idle;
mod server;

pub use answer::{empty, event_stream, json, problem, problem_status, text};
pub use body::{Error, read, read_json};
pub use hold::hold;
pub use server::{Options, Server};

/// A request as the listeners hand it over.
pub type Request = actix_http::Request;

/// An answer of any body type.
pub type Response = actix_http::Response<actix_http::body::BoxBody>;
