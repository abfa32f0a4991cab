//! Request body that lets its connection read only as far as the body is asked for.

use super::connection::Connection;
use actix_http::{BoxedPayloadStream, Payload, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, task::noop_waker_ref};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Parts of the body of a request in progress.
pub(super) struct PacedPayload {
    payload: Payload,
    connection: Rc<Connection>,
    has_ended: bool,
}

impl PacedPayload {
    pub(super) fn boxed(payload: Payload, connection: Rc<Connection>) -> BoxedPayloadStream {
        Box::pin(Self {
            payload,
            connection,
            has_ended: false,
        })
    }
}

impl Stream for PacedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = self.payload.poll_next_unpin(cx);
        match part {
            Poll::Pending => self.connection.allow_body(),
            Poll::Ready(None) if !self.has_ended => {
                self.has_ended = true;
                self.connection.end_body();
            }
            Poll::Ready(_) => {}
        }
        part
    }
}

impl Drop for PacedPayload {
    fn drop(&mut self) {
        // The rest may have arrived without having been asked for.
        let mut context = Context::from_waker(noop_waker_ref());
        while let Poll::Ready(Some(Ok(_))) = self.payload.poll_next_unpin(&mut context) {}
        if let Poll::Ready(None) = self.payload.poll_next_unpin(&mut context)
            && !self.has_ended
        {
            self.connection.end_body();
        }
    }
}
