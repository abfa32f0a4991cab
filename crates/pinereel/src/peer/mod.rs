//! Links between entries: CBOR frames over websockets, for calls (RPC) and periodic summaries.
//!
//! Two entries share one link; the one with the smaller name opens it. A link starts with the shared
//! secret in the websocket handshake and a `Hello` in each direction, carries a heartbeat about once
//! a second, and is closed after [`HEARTBEAT_TIMEOUT`] without a frame. Send queues are bounded: a
//! call that does not fit fails immediately.

mod link;
mod mesh;

pub use link::{Call, Error, HEARTBEAT_TIMEOUT};
pub use mesh::{CallHandler, LocalEntry, Mesh, Peer, SummaryObserver};
