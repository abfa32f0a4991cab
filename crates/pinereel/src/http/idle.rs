//! How long a connection has been without a request at work.
//!
//! The library's waits end with the first request: a second head that never ends would be waited
//! for without a bound.

use super::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::{
    cell::Cell,
    error::Error,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// One connection, as its guard and its handler see it.
#[derive(Debug)]
pub(super) struct Idle {
    /// Requests at work, until the end of their answers' bodies.
    busy: Cell<u32>,
    /// Whether there ever was one.
    served: Cell<bool>,
    /// When the last one ended, or the connection opened.
    since: Cell<Instant>,
}

impl Idle {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            busy: Cell::new(0),
            served: Cell::new(false),
            since: Cell::new(Instant::now()),
        })
    }

    /// Counts a request as at work until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>) -> Busy {
        self.busy.set(self.busy.get() + 1);
        self.served.set(true);
        Busy(Rc::clone(self))
    }

    /// Waits until no request has been at work for `longest`.
    pub(super) async fn over(&self, longest: Duration) {
        loop {
            let since = match self.busy.get() {
                0 => self.since.get(),
                _ => Instant::now(),
            };
            let end = since + longest;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }

    /// Whether no request came although `head_timeout` was over.
    pub(super) fn never_served(&self, head_timeout: Duration) -> bool {
        !self.served.get() && self.since.get().elapsed() >= head_timeout
    }
}

/// A request at work.
#[derive(Debug)]
pub(super) struct Busy(Rc<Idle>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.since.set(Instant::now());
    }
}

impl Busy {
    /// Keeps the request at work until `response`'s body has ended.
    pub(super) fn hold(self, response: Response) -> Response {
        response.map_body(|_, body| BoxBody::new(Held { body, _busy: self }))
    }
}

/// A body that keeps its request at work.
struct Held {
    body: BoxBody,
    _busy: Busy,
}

impl MessageBody for Held {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
