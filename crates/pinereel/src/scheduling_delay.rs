//! Measures how late the tasks of this process run.
//!
//! On a busy machine the system may not run a process for tens of milliseconds, which none of its timers
//! shows: a request is read late, and its answer leaves late. Whoever promises an answer by a deadline has
//! to finish earlier by that delay.

use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(20);
/// Number of measurements of which the largest is reported, in the current period and the previous one.
const PERIOD: u32 = 50;

/// The longest scheduling delay of the last seconds.
#[derive(Debug, Default)]
pub struct SchedulingDelay {
    current_max: Cell<Duration>,
    previous_max: Cell<Duration>,
}

impl SchedulingDelay {
    /// Starts to measure on the current thread, until the runtime stops.
    pub fn start() -> Rc<Self> {
        let delay = Rc::new(Self::default());
        let measuring = Rc::clone(&delay);
        actix_rt::spawn(async move {
            loop {
                measuring.previous_max.set(measuring.current_max.take());
                for _ in 0..PERIOD {
                    let due = Instant::now() + INTERVAL;
                    sleep(INTERVAL).await;
                    measuring.observe(due.elapsed());
                }
            }
        });
        delay
    }

    /// The longest delay of the last one to two periods, a second each.
    pub fn recent_max(&self) -> Duration {
        self.current_max.get().max(self.previous_max.get())
    }

    fn observe(&self, delay: Duration) {
        self.current_max.set(self.current_max.get().max(delay));
    }
}
