//! The graceful stop of this entry.

use crate::{
    controllers::{leases, lots, members},
    http::{Response, Server},
    state::Shared,
};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use pinereel_core::lot::Event;
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::sleep;

/// Pause between looks at what is in flight.
const LOOK: Duration = Duration::from_millis(20);

/// The controller's state.
#[derive(Debug, Default)]
pub struct Drain {
    /// Whether a stop was asked for.
    asked: Cell<bool>,
    /// Whether new requests are refused.
    refuses: Cell<bool>,
    /// Requests in flight.
    in_flight: Cell<u64>,
}

/// Counts a request as in flight until dropped.
pub struct Guard(Rc<Shared>);

impl Guard {
    /// Counts a request as in flight.
    pub fn new(shared: &Rc<Shared>) -> Self {
        let in_flight = &shared.drain.in_flight;
        in_flight.set(in_flight.get() + 1);
        Self(Rc::clone(shared))
    }

    /// Counts on until the answer's body has been passed on, or its caller is gone.
    pub fn hold(self, response: Response) -> Response {
        response.map_body(|_, body| BoxBody::new(Held { body, _guard: self }))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let in_flight = &self.0.drain.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}

/// A body whose request is in flight until the body is dropped.
struct Held {
    body: BoxBody,
    _guard: Guard,
}

impl MessageBody for Held {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

impl Drain {
    /// Asks for a stop. Asking again changes nothing.
    pub fn ask(&self) {
        self.asked.set(true);
    }

    /// Refuses new requests from now on.
    pub fn refuse(&self) {
        self.refuses.set(true);
    }

    /// Whether new requests are refused.
    pub fn refuses(&self) -> bool {
        self.refuses.get()
    }

    /// Whether a stop was asked for.
    pub fn asked(&self) -> bool {
        self.asked.get()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }
}

/// Waits until a stop is asked for, and carries it out: readiness goes off, new requests are served
/// for the balancer's lag, then refused; what is in flight ends; the entry leaves.
pub async fn run(shared: &Rc<Shared>, callers: &Server) {
    let settings = &shared.settings.drain;
    while !shared.drain.asked() {
        sleep(LOOK).await;
    }
    log::info!(entry = shared.name().as_str(); "drain: readiness is off");
    sleep(settings.balancer_lag).await;
    callers.stop();
    shared.drain.refuse();
    log::info!(
        entry = shared.name().as_str(), in_flight = shared.drain.in_flight();
        "drain: no new requests"
    );
    lots::step(shared, Event::Drain);
    let until = shared.now() + settings.longest;
    while shared.drain.in_flight() > 0 || shared.lots.in_flight() > 0 {
        if shared.now() >= until {
            log::warn!(
                entry = shared.name().as_str(), in_flight = shared.drain.in_flight();
                "drain: the longest wait is over"
            );
            break;
        }
        sleep(LOOK).await;
    }
    leases::drain(shared);
    while !shared.leases.released() && shared.now() < until {
        sleep(LOOK).await;
    }
    if let Err(e) = members::leave(shared).await {
        log::warn!(entry = shared.name().as_str(); "drain: member object not removed: {e}");
    }
    log::info!(entry = shared.name().as_str(); "drain: done");
}
