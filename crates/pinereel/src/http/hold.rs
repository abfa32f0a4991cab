//! Keeps something alive until an answer's body has been sent.

use super::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// A body that drops `held` together with itself.
struct Held<T> {
    body: BoxBody,
    _held: T,
}

impl<T: Unpin> MessageBody for Held<T> {
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

/// Keeps `held` until the answer's body is sent or its connection is gone.
pub fn hold(response: Response, held: impl Unpin + 'static) -> Response {
    response.map_body(|_, body| BoxBody::new(Held { body, _held: held }))
}
