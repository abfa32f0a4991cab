//! A request in progress on a connection, until its response has been sent.

use super::Connection;
use crate::http::Response;
use actix_http::{
    ConnectionType,
    body::{BodySize, BoxBody, MessageBody},
};
use bytes::Bytes;
use std::{
    error::Error,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Bytes of a response that are copied to the write buffer at once.
pub(in crate::http) const WRITE_BYTES: usize = 16 << 10;

/// Counts one request as in progress while it exists.
pub(in crate::http) struct RequestGuard(pub(super) Rc<Connection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

impl RequestGuard {
    /// Keeps the request in progress until the body of `response` has ended. If the request's body was not
    /// read to its end, the connection is closed after the response.
    pub(in crate::http) fn attach_to(self, mut response: Response) -> Response {
        if self.0.drain_body() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response.map_body(|_, body| {
            BoxBody::new(TrackedBody {
                body,
                part: Bytes::new(),
                guard: self,
            })
        })
    }
}

/// Body that counts its request as in progress until it is dropped, and that is sent in small parts, so that
/// the write buffer stays small.
struct TrackedBody {
    body: BoxBody,
    /// Rest of the last part of `body`.
    part: Bytes,
    guard: RequestGuard,
}

impl MessageBody for TrackedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.part.is_empty() {
            match Pin::new(&mut self.body).poll_next(cx) {
                Poll::Ready(Some(Ok(part))) => self.part = part,
                other => {
                    self.guard.0.set_writing(false);
                    return other;
                }
            }
        }
        let length = self.part.len().min(WRITE_BYTES);
        let part = self.part.split_to(length);
        self.guard.0.set_writing(true);
        Poll::Ready(Some(Ok(part)))
    }
}
