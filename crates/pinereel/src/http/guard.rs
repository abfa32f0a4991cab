//! Ties the lifetime of a value to a response body.

use super::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// Body that drops `_guard` together with itself.
struct GuardedBody<T> {
    body: BoxBody,
    _guard: T,
}

impl<T: Unpin> MessageBody for GuardedBody<T> {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(cx)
    }
}

/// Drops `guard` once the response body has been sent or its connection is closed.
pub fn attach_guard(response: Response, guard: impl Unpin + 'static) -> Response {
    response.map_body(|_, body| {
        BoxBody::new(GuardedBody {
            body,
            _guard: guard,
        })
    })
}
