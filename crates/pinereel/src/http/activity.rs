//! Tracks the requests in progress on a connection, to close connections that stay idle.
//!
//! The timeouts of `actix-http` cover the first request only: without this module, it would wait
//! without a limit for a second request head that never completes.

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

/// Request activity of one connection, shared by its task and its request handlers.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    /// Requests in progress; a request ends with its response body.
    in_progress: Cell<u32>,
    /// Whether a request has ever reached the handler.
    served: Cell<bool>,
    /// When the last request ended, or the connection was opened if there was none.
    idle_since: Cell<Instant>,
}

impl ConnectionActivity {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            in_progress: Cell::new(0),
            served: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
        })
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.in_progress.set(self.in_progress.get() + 1);
        self.served.set(true);
        RequestGuard(Rc::clone(self))
    }

    /// Waits until no request has been in progress for `max_idle`.
    pub(super) async fn wait_until_idle_for(&self, max_idle: Duration) {
        loop {
            let idle_since = match self.in_progress.get() {
                0 => self.idle_since.get(),
                _ => Instant::now(),
            };
            let deadline = idle_since + max_idle;
            if deadline <= Instant::now() {
                return;
            }
            sleep_until(deadline).await;
        }
    }

    /// Whether no request arrived within `head_timeout` of the connection being opened.
    pub(super) fn first_head_timed_out(&self, head_timeout: Duration) -> bool {
        !self.served.get() && self.idle_since.get().elapsed() >= head_timeout
    }
}

/// Counts one request as in progress while it exists.
#[derive(Debug)]
pub(super) struct RequestGuard(Rc<ConnectionActivity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

impl RequestGuard {
    /// Keeps the request in progress until the body of `response` has ended.
    pub(super) fn attach_to(self, response: Response) -> Response {
        response.map_body(|_, body| BoxBody::new(TrackedBody { body, _guard: self }))
    }
}

/// Body that counts its request as in progress until it is dropped.
struct TrackedBody {
    body: BoxBody,
    _guard: RequestGuard,
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
        Pin::new(&mut self.body).poll_next(cx)
    }
}
