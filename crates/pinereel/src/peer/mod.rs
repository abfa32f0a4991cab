//! Links between entries: websocket frames in CBOR.
//!
//! Two entries share one link; the one with the smaller name dials. A link starts with the shared
//! secret in the handshake and a `Hello` in each direction, carries heartbeats once a second, and is
//! closed after [`link::HEARTBEAT_TIMEOUT`] without a frame. Queues are bounded: a call that does not fit fails
//! at once.

mod link;
mod mesh;

pub use link::{Call, Error, HEARTBEAT_TIMEOUT};
pub use mesh::{CallHandler, LocalEntry, Mesh, Peer, SummaryObserver};
