//! What the stream of a connection may do.

use actix_http::StatusCode;

/// What the stream may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::http) enum Permission {
    /// Read up to so many bytes.
    Read(usize),
    /// Read up to so many bytes and discard them.
    Discard(usize),
    /// Wait until it is woken.
    Wait,
    /// Report the end of the connection.
    End,
    /// Answer with this status, and then discard what follows.
    Refuse(StatusCode),
}
