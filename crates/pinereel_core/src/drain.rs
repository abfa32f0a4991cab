//! Graceful shutdown of an entry: readiness off, requests finished, samples and leases handed over.
//!
//! ```text
//! Serving -> Announced -> Finishing -> HandingOver -> Done
//! ```
//!
//! No phase is skipped, even if nothing is in flight. Further stop requests have no effect.

use crate::Time;
use serde::Serialize;
use std::time::Duration;

/// Time limits of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which the load balancer may still send new requests after readiness is off.
    pub balancer_lag: Duration,
    /// Maximum wait for requests in flight, after the lag of the load balancer.
    pub max_finish: Duration,
    /// Maximum wait for the handover of samples and leases.
    pub max_hand_over: Duration,
}

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No shutdown was requested.
    Serving,
    /// Readiness is off. New requests are still accepted, as the load balancer reacts with a delay.
    Announced,
    /// New requests are refused; those in flight continue.
    Finishing,
    /// Finished samples and leases are being handed over.
    HandingOver,
    /// The process may exit.
    Done,
}

/// Input of a [`StateMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A shutdown was requested.
    StopRequested,
    /// Present number of requests in flight.
    InFlight(u32),
    /// All samples and leases have been handed over.
    HandedOver,
    /// Time passed.
    Tick,
}

/// Output of a [`StateMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Report "not ready" to the load balancer and to peers.
    ReadinessOff,
    /// Refuse new requests, with the answer that they were not run.
    StopAccepting,
    /// Hand over finished samples and release leases, then send [`Event::HandedOver`].
    HandOver,
    /// Log what was unfinished when a phase exceeded its time limit.
    Report {
        /// Phase that exceeded its time limit.
        phase: Phase,
        /// Requests still in flight.
        left: u32,
    },
    /// Exit the process with code 0.
    Exit,
}

/// State machine of the shutdown of one entry.
#[derive(Clone, Debug)]
pub struct StateMachine {
    settings: Settings,
    phase: Phase,
    phase_deadline: Time,
    in_flight: u32,
    is_handed_over: bool,
}

impl StateMachine {
    /// Creates the state machine of an entry that serves requests.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Serving,
            phase_deadline: Time::ZERO,
            in_flight: 0,
            is_handed_over: false,
        }
    }

    /// The present phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the entry reports "ready".
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the entry accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.phase <= Phase::Announced
    }

    /// Time at which the next [`Event::Tick`] is needed; `None` if none is.
    pub fn next_tick_at(&self) -> Option<Time> {
        let is_waiting = !matches!(self.phase, Phase::Serving | Phase::Done);
        is_waiting.then_some(self.phase_deadline)
    }

    /// Handles one event and returns the actions that follow, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::StopRequested if self.phase == Phase::Serving => {
                self.enter(Phase::Announced, now + self.settings.balancer_lag);
                actions.push(Action::ReadinessOff);
            }
            Event::StopRequested | Event::Tick => {}
            Event::InFlight(count) => self.in_flight = count,
            Event::HandedOver => self.is_handed_over |= self.phase == Phase::HandingOver,
        }
        while let Some(action) = self.advance(now, &mut actions) {
            actions.push(action);
        }
        actions
    }

    /// Enters the next phase if the present one is over; returns the action of that transition.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<Action> {
        let is_overdue = now >= self.phase_deadline;
        match self.phase {
            Phase::Announced if is_overdue => {
                self.enter(Phase::Finishing, now + self.settings.max_finish);
                Some(Action::StopAccepting)
            }
            Phase::Finishing if is_overdue || self.in_flight == 0 => {
                self.report(self.in_flight > 0, actions);
                self.enter(Phase::HandingOver, now + self.settings.max_hand_over);
                Some(Action::HandOver)
            }
            Phase::HandingOver if is_overdue || self.is_handed_over => {
                self.report(!self.is_handed_over, actions);
                self.enter(Phase::Done, now);
                Some(Action::Exit)
            }
            _ => None,
        }
    }

    fn enter(&mut self, phase: Phase, deadline: Time) {
        self.phase = phase;
        self.phase_deadline = deadline;
    }

    fn report(&self, unfinished: bool, actions: &mut Vec<Action>) {
        if unfinished {
            actions.push(Action::Report {
                phase: self.phase,
                left: self.in_flight,
            });
        }
    }
}
