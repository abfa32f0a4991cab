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
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Nothing must be in flight for so long before the process ends: a caller may be sending on a
/// connection that it keeps.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);
/// The process ends so long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(900);

/// Whether a stop was asked for, and what is in flight.
#[derive(Default)]
pub struct Shutdown {
    is_initiated: Cell<bool>,
    initiated_notify: Notify,
    in_flight: Rc<Cell<u64>>,
    last_finished_at: Rc<RefCell<Option<Instant>>>,
}

/// Counts a request as in flight until dropped.
pub struct InFlightGuard {
    in_flight: Rc<Cell<u64>>,
    last_finished_at: Rc<RefCell<Option<Instant>>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.last_finished_at.replace(Some(Instant::now()));
    }
}

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long the balancer may still send connections.
    pub balancer_lag: Duration,
    /// After so long the process is killed.
    pub killed_after: Duration,
}

impl Shutdown {
    /// Asks for a stop. Asking again changes nothing.
    pub fn initiate(&self) {
        if !self.is_initiated.replace(true) {
            log::info!(in_flight = self.in_flight.get(); "stopping: asked to");
        }
        self.initiated_notify.notify_waiters();
    }

    /// Whether a stop was asked for.
    pub fn is_initiated(&self) -> bool {
        self.is_initiated.get()
    }

    /// Waits until a stop is asked for.
    pub async fn wait_until_initiated(&self) {
        while !self.is_initiated() {
            self.initiated_notify.notified().await;
        }
    }

    /// Counts a request as in flight.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            in_flight: Rc::clone(&self.in_flight),
            last_finished_at: Rc::clone(&self.last_finished_at),
        }
    }

    /// Waits until nothing is left to do, at most until shortly before the process is killed.
    /// `others` counts what is in flight beside callers' requests.
    pub async fn wait_until_idle(&self, timing: Timing, other_work: impl Fn() -> usize) {
        let started_at = Instant::now();
        let deadline = started_at + timing.killed_after.saturating_sub(KILL_MARGIN);
        sleep(timing.balancer_lag).await;
        while Instant::now() < deadline {
            let is_idle =
                (self.last_finished_at.borrow()).is_none_or(|at| at.elapsed() >= MIN_IDLE_TIME);
            if self.in_flight.get() == 0 && is_idle && other_work() == 0 {
                break;
            }
            sleep(CHECK_INTERVAL).await;
        }
        let (requests, other_work) = (self.in_flight.get(), other_work() as u64);
        let millis = started_at.elapsed().as_millis() as u64;
        log::info!(requests_left = requests, others_left = other_work, ms = millis; "stopping: done");
    }
}
