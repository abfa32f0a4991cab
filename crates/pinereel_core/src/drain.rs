//! The graceful stop of an entry.
//!
//! ```text
//! Serving -> Announced -> Finishing -> HandingOver -> Done
//! ```
//!
//! Each phase follows the one before it and none is skipped, also when nothing is in flight. A
//! further signal changes nothing.

use crate::Time;
use serde::Serialize;
use std::time::Duration;

/// Longest times of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long the balancer may still send new requests after readiness is off.
    pub balancer_lag: Duration,
    /// Longest wait for requests in flight, after the lag.
    pub max_finish: Duration,
    /// Longest wait for the hand-over of samples and leases.
    pub max_hand_over: Duration,
}

/// Where a stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// Readiness is off; new requests are still taken, since the balancer lags.
    Announced,
    /// No new requests; those in flight go on.
    Finishing,
    /// Finished samples and leases are handed over.
    HandingOver,
    /// The process may end.
    Done,
}

/// One thing that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A stop was asked for.
    StopRequested,
    /// Requests in flight now.
    InFlight(u32),
    /// All samples and leases are handed over.
    HandedOver,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Answer "not ready" and tell peers.
    ReadinessOff,
    /// Refuse new requests as not run.
    StopAccepting,
    /// Hand over finished samples, release leases, then tell [`Event::HandedOver`].
    HandOver,
    /// Log what was left when a phase ran out of time.
    Report {
        /// Phase that ran out of time.
        phase: Phase,
        /// Requests still in flight.
        left: u32,
    },
    /// End the process with exit code 0.
    Exit,
}

/// The state machine of one entry's stop.
#[derive(Clone, Debug)]
pub struct StateMachine {
    settings: Settings,
    phase: Phase,
    phase_deadline: Time,
    in_flight: u32,
    is_handed_over: bool,
}

impl StateMachine {
    /// A serving entry.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Serving,
            phase_deadline: Time::ZERO,
            in_flight: 0,
            is_handed_over: false,
        }
    }

    /// The phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether to answer "ready".
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether to take new requests.
    pub fn accepts_requests(&self) -> bool {
        self.phase <= Phase::Announced
    }

    /// When a [`Event::Tick`] is needed next.
    pub fn next_tick_at(&self) -> Option<Time> {
        let is_waiting = !matches!(self.phase, Phase::Serving | Phase::Done);
        is_waiting.then_some(self.phase_deadline)
    }

    /// Takes in one event; returns what to do, in order.
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

    /// Goes on by one phase if its time has come.
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
