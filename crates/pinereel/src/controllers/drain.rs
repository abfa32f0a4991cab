//! Graceful shutdown of this entry: the I/O side of [`pinereel_core::drain`].
//!
//! [`Drain`] holds what the request path needs: the flags and the count of requests in flight.
//! [`run`] drives the shutdown.

use crate::{
    controllers::{leases, lots, members},
    http::Server,
    state::Shared,
};
use pinereel_core::{
    drain::{self, Action, Event, Phase, StateMachine},
    lot,
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval between two checks of the number of requests and other work in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last answers to leave the send buffers before connections are closed.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for the handover of samples and leases.
const MAX_HAND_OVER_TIME: Duration = Duration::from_secs(5);

/// State of the drain controller.
#[derive(Debug, Default)]
pub struct Drain {
    /// Whether a shutdown was requested.
    stop_requested: Cell<bool>,
    /// Whether new requests are refused.
    refuses_requests: Cell<bool>,
    /// Number of requests in flight.
    in_flight: Rc<Cell<u64>>,
}

/// Counts a request as in flight until dropped.
pub struct InFlightGuard(Rc<Cell<u64>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drain {
    /// Requests a shutdown; a repeated call has no effect.
    pub fn request_stop(&self) {
        self.stop_requested.set(true);
    }

    /// Refuses new requests from now on.
    pub fn refuse_requests(&self) {
        self.refuses_requests.set(true);
    }

    /// Whether new requests are refused.
    pub fn refuses_requests(&self) -> bool {
        self.refuses_requests.get()
    }

    /// Whether a shutdown was requested.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested.get()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Counts a request, or other work that a shutdown waits for, as in flight.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(Rc::clone(&self.in_flight))
    }
}

/// Waits for a shutdown request and carries it out: readiness turns off; new requests are served
/// until the load balancer has noticed, then refused; requests in flight finish; samples and leases
/// are handed over; the entry's member object is removed.
pub async fn run(shared: &Rc<Shared>, callers: &Server) {
    let settings = &shared.settings.drain;
    let mut machine = StateMachine::new(drain::Settings {
        balancer_lag: settings.balancer_lag,
        max_finish: settings.longest,
        max_hand_over: MAX_HAND_OVER_TIME,
    });
    while machine.phase() != Phase::Done {
        for event in pending_events(shared, machine.phase()) {
            for action in machine.step(shared.now(), event) {
                execute(shared, callers, action);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    sleep(FLUSH_DELAY).await;
    if let Err(e) = members::deregister(shared).await {
        log::warn!(entry = shared.name().as_str(); "drain: removing the member object failed: {e}");
    }
    log::info!(entry = shared.name().as_str(); "drain: done");
}

/// The events for the state machine in a phase.
fn pending_events(shared: &Shared, phase: Phase) -> Vec<Event> {
    let mut events = Vec::new();
    if phase == Phase::Serving && shared.drain.is_stop_requested() {
        events.push(Event::StopRequested);
    }
    events.push(Event::InFlight(remaining(shared)));
    if phase == Phase::HandingOver && shared.leases.all_released() && shared.lots.in_flight() == 0 {
        events.push(Event::HandedOver);
    }
    events.push(Event::Tick);
    events
}

/// Number of requests, attempts of samples, scorings and handovers in flight.
fn remaining(shared: &Shared) -> u32 {
    let requests = u32::try_from(shared.drain.in_flight()).unwrap_or(u32::MAX);
    let samples = u32::try_from(shared.lots.in_flight()).unwrap_or(u32::MAX);
    requests.saturating_add(samples)
}

fn execute(shared: &Rc<Shared>, callers: &Server, action: Action) {
    let entry = shared.name().as_str();
    match action {
        Action::ReadinessOff => log::info!(entry; "drain: readiness is off"),
        Action::StopAccepting => {
            callers.stop();
            shared.drain.refuse_requests();
            lots::step(shared, lot::Event::Drain);
            log::info!(entry, left = remaining(shared); "drain: no new requests");
        }
        Action::HandOver => leases::release_all(shared),
        Action::Report { phase, left } => {
            let phase = format!("{phase:?}");
            log::warn!(entry, phase = phase.as_str(), left; "drain: phase timed out");
        }
        Action::Exit => log::info!(entry; "drain: exiting"),
    }
}
