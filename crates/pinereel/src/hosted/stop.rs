//! The graceful stop.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Pause between two looks at what is in flight.
const LOOK: Duration = Duration::from_millis(20);
/// Nothing must be in flight for so long before the process ends: a caller may be sending on a
/// connection that it keeps.
const QUIET: Duration = Duration::from_millis(300);
/// The process ends so long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(900);

/// Whether a stop was asked for, and what is in flight.
#[derive(Default)]
pub struct Stop {
    asked: Cell<bool>,
    told: Notify,
    in_flight: Rc<Cell<u64>>,
    last_end: Rc<RefCell<Option<Instant>>>,
}

/// Counts a request as in flight until dropped.
pub struct Guard {
    in_flight: Rc<Cell<u64>>,
    last_end: Rc<RefCell<Option<Instant>>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.last_end.replace(Some(Instant::now()));
    }
}

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long the balancer may still send connections.
    pub balancer_lag: Duration,
    /// After so long the process is killed.
    pub killed_after: Duration,
}

impl Stop {
    /// Asks for a stop. Asking again changes nothing.
    pub fn ask(&self) {
        if !self.asked.replace(true) {
            log::info!(in_flight = self.in_flight.get(); "stopping: asked to");
        }
        self.told.notify_waiters();
    }

    /// Whether a stop was asked for.
    pub fn asked(&self) -> bool {
        self.asked.get()
    }

    /// Waits until a stop is asked for.
    pub async fn wait(&self) {
        while !self.asked() {
            self.told.notified().await;
        }
    }

    /// Counts a request as in flight.
    pub fn enter(&self) -> Guard {
        self.in_flight.set(self.in_flight.get() + 1);
        Guard {
            in_flight: Rc::clone(&self.in_flight),
            last_end: Rc::clone(&self.last_end),
        }
    }

    /// Waits until nothing is left to do, at most until shortly before the process is killed.
    /// `others` counts what is in flight beside callers' requests.
    pub async fn finish(&self, times: Times, others: impl Fn() -> usize) {
        let asked = Instant::now();
        let end = asked + times.killed_after.saturating_sub(END_MARGIN);
        sleep(times.balancer_lag).await;
        while Instant::now() < end {
            let quiet = (self.last_end.borrow()).is_none_or(|at| at.elapsed() >= QUIET);
            if self.in_flight.get() == 0 && quiet && others() == 0 {
                break;
            }
            sleep(LOOK).await;
        }
        let (requests, others) = (self.in_flight.get(), others() as u64);
        let millis = asked.elapsed().as_millis() as u64;
        log::info!(requests_left = requests, others_left = others, ms = millis; "stopping: done");
    }
}
