//! Graceful shutdown: waits until no request is in flight and no other work is in progress, and bounds
//! the requests that arrive meanwhile so that each is answered before the process exits.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until},
};

/// Interval between checks whether work is in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time without a request in flight before the process exits, as a caller may be sending one on
/// a kept-alive connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);
/// The same once no new connections are accepted. A request that arrives then was sent before.
const MIN_FINAL_IDLE_TIME: Duration = Duration::from_millis(100);
/// Time before the kill at which the process exits at the latest.
const KILL_MARGIN: Duration = Duration::from_millis(900);
/// Time before the exit by which every request is answered, so that the answers leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Whether a shutdown was initiated, and the number of requests in flight.
pub struct Shutdown {
    timing: Timing,
    initiated_at: Cell<Option<Instant>>,
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
    /// Returns the state of a process that is not shutting down.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            initiated_at: Cell::default(),
            initiated_notify: Notify::default(),
            in_flight: Rc::default(),
            last_finished_at: Rc::default(),
        }
    }

    /// Initiates the shutdown. Further calls have no effect.
    pub fn initiate(&self) {
        if self.initiated_at.get().is_none() {
            self.initiated_at.set(Some(Instant::now()));
            log::info!(in_flight = self.in_flight.get(); "stopping: shutdown requested");
        }
        self.initiated_notify.notify_waiters();
    }

    /// Whether the shutdown was initiated.
    pub fn is_initiated(&self) -> bool {
        self.initiated_at.get().is_some()
    }

    /// Waits until the shutdown is initiated.
    pub async fn wait_until_initiated(&self) {
        self.initiated_at().await;
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            in_flight: Rc::clone(&self.in_flight),
            last_finished_at: Rc::clone(&self.last_finished_at),
        }
    }

    /// Whether a new request that may take until `deadline` is rejected, since the process may exit before.
    /// While the load balancer may still send connections here, every request is accepted: most take far
    /// less than they may.
    pub fn rejects(&self, deadline: Instant) -> bool {
        self.initiated_at.get().is_some_and(|initiated_at| {
            initiated_at.elapsed() >= self.timing.balancer_lag
                && deadline > self.last_answer_at(initiated_at)
        })
    }

    /// Waits until a request that is still in flight must be answered, as the process exits soon. Never
    /// returns unless the shutdown is initiated.
    pub async fn wait_until_last_answer(&self) {
        let initiated_at = self.initiated_at().await;
        sleep_until(self.last_answer_at(initiated_at)).await;
    }

    /// Waits until no work is in progress, or until shortly before the process is killed. `other_work` returns
    /// the number of tasks in flight besides callers' requests.
    pub async fn wait_until_idle(&self, other_work: impl Fn() -> usize) {
        let initiated_at = self.initiated_at().await;
        sleep_until(initiated_at + self.timing.balancer_lag).await;
        let is_idle = || self.is_idle_for(MIN_IDLE_TIME) && other_work() == 0;
        self.poll_until(is_idle, self.last_answer_at(initiated_at))
            .await;
        self.log_progress(initiated_at, other_work(), "stopping: closing the listener");
    }

    /// Waits until the requests are answered that arrive after the last connection has been accepted, or
    /// until shortly before the process is killed. `other_work` is as for [`Shutdown::wait_until_idle`].
    pub async fn wait_until_final_idle(&self, other_work: impl Fn() -> usize) {
        let (initiated_at, closed_at) = (self.initiated_at().await, Instant::now());
        let is_idle =
            || closed_at.elapsed() >= MIN_FINAL_IDLE_TIME && self.is_idle_for(MIN_FINAL_IDLE_TIME);
        self.poll_until(is_idle, self.exit_at(initiated_at)).await;
        self.log_progress(initiated_at, other_work(), "stopping: done");
    }

    fn log_progress(&self, initiated_at: Instant, other_work: usize, text: &str) {
        let millis = initiated_at.elapsed().as_millis() as u64;
        log::info!(
            requests_left = self.in_flight.get(),
            others_left = other_work as u64,
            ms = millis;
            "{text}"
        );
    }

    /// Waits until the shutdown is initiated, and returns when it was.
    async fn initiated_at(&self) -> Instant {
        loop {
            if let Some(initiated_at) = self.initiated_at.get() {
                return initiated_at;
            }
            self.initiated_notify.notified().await;
        }
    }

    /// When the process exits at the latest.
    fn exit_at(&self, initiated_at: Instant) -> Instant {
        initiated_at + self.timing.killed_after.saturating_sub(KILL_MARGIN)
    }

    /// When every request has been answered.
    fn last_answer_at(&self, initiated_at: Instant) -> Instant {
        let span = self.timing.killed_after;
        initiated_at + span.saturating_sub(KILL_MARGIN + FLUSH_TIME)
    }

    /// Whether no request has been in flight for `span`.
    fn is_idle_for(&self, span: Duration) -> bool {
        let last_finished_at = *self.last_finished_at.borrow();
        self.in_flight.get() == 0 && last_finished_at.is_none_or(|at| at.elapsed() >= span)
    }

    async fn poll_until(&self, condition: impl Fn() -> bool, deadline: Instant) {
        while !condition() && Instant::now() < deadline {
            sleep(CHECK_INTERVAL).await;
        }
    }
}
