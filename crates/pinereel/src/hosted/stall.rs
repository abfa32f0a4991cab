//! Notices that this process stood still.
//!
//! A process that was suspended or stopped goes on with what it knew before, while what has come
//! since lies unread in its sockets. Requests that came before must not go out on that knowledge:
//! an endpoint may have left meanwhile. So nothing is sent until the news has had time to be read.

use pinereel_core::Time;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between two looks at the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A look that comes so late means that the process stood still. News is passed on within half of
/// the two seconds after which an endpoint that leaves must get no request, so that as much again
/// may be lost before it matters.
const MIN_STALL: Duration = Duration::from_millis(700);
/// Time for the news that came meanwhile: a link that is still open is read within milliseconds,
/// and one that was cut is replaced by a call to the store.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Whether the process has just stood still.
pub struct StallDetector {
    clock: Box<dyn Fn() -> Time>,
    checked_at: Cell<Time>,
    /// What is known is in doubt until then.
    catch_up_until: Cell<Time>,
}

impl StallDetector {
    /// Looks at `clock`, which must go on while the machine is suspended, from now on.
    pub fn start(clock: impl Fn() -> Time + 'static) -> Rc<Self> {
        let now = clock();
        let detector = Rc::new(Self {
            clock: Box::new(clock),
            checked_at: Cell::new(now),
            catch_up_until: Cell::new(Time::ZERO),
        });
        let checker = Rc::clone(&detector);
        actix_rt::spawn(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                checker.check_clock();
            }
        });
        detector
    }

    /// For how long what is known is still in doubt; zero as a rule. To be asked right before an act
    /// that rests on it.
    pub fn remaining_catch_up(&self) -> Duration {
        self.check_clock();
        self.catch_up_until.get().since((self.clock)())
    }

    /// Waits until the news that came during a stand-still has been read.
    pub async fn wait_for_catch_up(&self) {
        loop {
            let remaining_catch_up = self.remaining_catch_up();
            if remaining_catch_up.is_zero() {
                return;
            }
            sleep(remaining_catch_up).await;
        }
    }

    fn check_clock(&self) {
        let now = (self.clock)();
        let pause = now.since(self.checked_at.replace(now));
        if pause >= MIN_STALL {
            self.catch_up_until.set(now + CATCH_UP_TIME);
            log::warn!(ms = pause.as_millis() as u64; "stood still: waiting for the news");
        }
    }
}
