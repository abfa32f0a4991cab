//! Graceful shutdown: waits until no request is in flight and no other work is in progress.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Interval between checks whether work is in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time without a request in flight before the process exits, as a caller may be sending one on
/// a kept-alive connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);
/// Time before the kill at which the process exits at the latest.
const KILL_MARGIN: Duration = Duration::from_millis(900);

/// Whether a shutdown was initiated, and the number of requests in flight.
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

/// Delays that the platform's shutdown procedure prescribes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time for which the load balancer may still send new connections.
    pub balancer_lag: Duration,
    /// Time after which the platform kills the process.
    pub killed_after: Duration,
}

impl Shutdown {
    /// Initiates the shutdown. Further calls have no effect.
    pub fn initiate(&self) {
        if !self.is_initiated.replace(true) {
            log::info!(in_flight = self.in_flight.get(); "stopping: shutdown requested");
        }
        self.initiated_notify.notify_waiters();
    }

    /// Whether the shutdown was initiated.
    pub fn is_initiated(&self) -> bool {
        self.is_initiated.get()
    }

    /// Waits until the shutdown is initiated.
    pub async fn wait_until_initiated(&self) {
        while !self.is_initiated() {
            self.initiated_notify.notified().await;
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            in_flight: Rc::clone(&self.in_flight),
            last_finished_at: Rc::clone(&self.last_finished_at),
        }
    }

    /// Waits until no work is in progress, or until shortly before the process is killed. `other_work` returns
    /// the number of tasks in flight besides callers' requests.
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
