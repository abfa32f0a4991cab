//! HTTP/1.1 server: listeners with bounded connections, size-limited request bodies and response
//! builders.
//!
//! `actix-http` serves the connections. The accept loop runs here, on the caller's thread, so that
//! a drain decides when accepting ends and no library shutdown timeout cuts a response.

mod body;
mod connection;
mod guard;
mod payload;
mod response;
mod server;
mod stream;

pub use body::{Error, NO_MEMORY_RETRY_AFTER, read_body, read_json};
pub use guard::attach_guard;
pub use response::{empty, event_stream, json, problem, problem_status, text};
pub use server::{HeadLimits, Options, Server};

/// Request that a listener passes to its handler.
pub type Request = actix_http::Request;

/// Response with a boxed body.
pub type Response = actix_http::Response<actix_http::body::BoxBody>;
