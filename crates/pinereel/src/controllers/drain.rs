//! The graceful stop of this entry.

use crate::{
    controllers::{leases, lots, members},
    http::Server,
    state::Shared,
};
use pinereel_core::lot::Event;
use std::{cell::Cell, rc::Rc, time::Duration};
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
pub struct Guard<'a>(&'a Drain);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
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

    /// Counts a request as in flight.
    pub fn enter(&self) -> Guard<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        Guard(self)
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
