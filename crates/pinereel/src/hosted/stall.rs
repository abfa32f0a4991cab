//! Detects that this process was suspended or stopped for a while.
//!
//! After a stall the process still has its old data, and what has arrived since is unread in its
//! sockets. Requests that arrived before must not be routed by the old data: an endpoint may have
//! left meanwhile. So no request is sent until there has been time to read the updates.

use crate::restart::spawn_restarted;
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval between two checks of the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two checks that counts as a stall. An endpoint that leaves must get no
/// request after two seconds. Updates are passed on within half of that, so a shorter stall stays
/// within the other half.
const MIN_STALL: Duration = Duration::from_millis(700);
/// Time to read the updates that arrived during a stall: an open connection is read within
/// milliseconds, and one that was cut is replaced by a call to the store.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Detects stalls, and delays requests until the updates that arrived meanwhile have been read.
pub struct StallDetector {
    clock: Box<dyn Fn() -> Time>,
    checked_at: Cell<Time>,
    /// Time until which the data may be outdated.
    catch_up_until: Cell<Time>,
}

impl StallDetector {
    /// Starts to check `clock`, which must also run while the machine is suspended.
    pub fn start(clock: impl Fn() -> Time + 'static) -> Rc<Self> {
        let now = clock();
        let detector = Rc::new(Self {
            clock: Box::new(clock),
            checked_at: Cell::new(now),
            catch_up_until: Cell::new(Time::ZERO),
        });
        let checker = Rc::clone(&detector);
        spawn_restarted("stall detector", async move || {
            loop {
                sleep(CHECK_INTERVAL).await;
                checker.check_clock();
            }
        });
        detector
    }

    /// For how long the data may still be outdated; zero unless the process has just stalled. Must
    /// be called right before each action that depends on the data.
    pub fn remaining_catch_up(&self) -> Duration {
        self.check_clock();
        self.catch_up_until.get().since((self.clock)())
    }

    /// Waits until the updates that arrived during a stall have been read.
    pub async fn wait_for_catch_up(&self) {
        loop {
            let remaining_catch_up = self.remaining_catch_up();
            if remaining_catch_up.is_zero() {
                return;
            }
            sleep(remaining_catch_up).await;
        }
    }

    /// Compares the clock with the previous check.
    fn check_clock(&self) {
        let now = (self.clock)();
        let pause = now.since(self.checked_at.replace(now));
        if pause >= MIN_STALL {
            self.catch_up_until.set(now + CATCH_UP_TIME);
            log::warn!(ms = pause.as_millis() as u64; "process stalled, waiting for updates");
        }
    }
}
