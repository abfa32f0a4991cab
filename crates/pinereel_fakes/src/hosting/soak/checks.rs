//! Checks of recovery after the last fault, and checks that need the observations of the whole run.

use super::{FaultPeriod, MAX_RECOVERY_TIME, RECOVERY_STEPS, Soak, start_instance};
use crate::{
    child_process::Signal,
    hosting::{caller::Tally, engine, proxy, service, store, trainer::Trainer},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// After the last fault, callers get at least as many good answers as requests, divided by this.
const MIN_GOOD_DIVISOR: u64 = 4;

impl Soak {
    /// Waits until most faults have ended by themselves, and ends those that may still be in force.
    pub(super) async fn end_faults(&self) {
        sleep(Duration::from_secs(4)).await;
        let mut site = self.site.borrow_mut();
        site.store.set_faults(store::Faults::default());
        for index in 0..site.instances.len() {
            let instance = &mut site.instances[index];
            instance.caller_proxy.set_faults(proxy::Faults::default());
            instance.store_proxy.set_faults(proxy::Faults::default());
            instance.restore_settings();
            if instance.paused {
                instance.signal(Signal::CONT);
                instance.paused = false;
            }
            if !instance.is_running() {
                start_instance(&mut site, index);
            }
        }
        for proxied in &site.engines {
            proxied.proxy.set_faults(proxy::Faults::default());
            proxied.endpoint.set_faults(engine::Faults::default());
        }
        for proxied in &site.services {
            proxied.endpoint.set_faults(service::Faults::default());
        }
    }

    /// Checks that after the last fault steps complete, callers get good answers, and no leaving
    /// endpoint received requests late.
    pub(super) async fn check_recovery(&self, trainer: &mut Trainer, tally: &Tally) {
        let recorder = Rc::clone(&self.site.borrow().recorder);
        sleep(MAX_RECOVERY_TIME / 3).await;
        let good_before = tally.good.get();
        let all_before = tally.total();
        let done_before = trainer.done;
        let started = Instant::now();
        for step in 0..RECOVERY_STEPS {
            trainer.step(1_000_000 + step).await;
        }
        if trainer.done < done_before + RECOVERY_STEPS {
            recorder.record_violation("steps do not complete after the last fault");
        }
        if tally.good.get() == good_before {
            recorder.record_violation("no caller gets a good answer after the last fault");
        }
        let (good, all) = (tally.good.get() - good_before, tally.total() - all_before);
        if good * MIN_GOOD_DIVISOR < all {
            recorder.record_violation(format!(
                "callers get {good} good answers to {all} requests after the last fault"
            ));
        }
        if started.elapsed() > MAX_RECOVERY_TIME {
            recorder.record_violation(format!(
                "steps after the last fault took {:?}",
                started.elapsed()
            ));
        }
        let max_lateness = recorder.max_lateness();
        if max_lateness > Duration::from_secs(2) {
            recorder.record_violation(format!(
                "an endpoint received a request {max_lateness:?} after it announced that it leaves"
            ));
        }
        // Orders that arrive late are recorded only after a delay.
        sleep(Duration::from_secs(1)).await;
    }

    /// Checks that an instance that shuts down gracefully answers every request that it has read,
    /// unless another fault is in force at the same time.
    pub(super) fn check_graceful_shutdowns(&self) {
        let site = self.site.borrow();
        let periods = self.fault_periods.borrow();
        for (index, instance) in site.instances.iter().enumerate() {
            for at in instance.caller_proxy.unanswered_closes() {
                let is_active = |period: &FaultPeriod| period.from <= at && at <= period.to;
                let affects = |period: &FaultPeriod| period.instance.is_none_or(|i| i == index);
                let graceful = periods
                    .iter()
                    .any(|p| p.graceful && p.instance == Some(index) && is_active(p));
                let excused = periods
                    .iter()
                    .any(|p| !p.graceful && affects(p) && is_active(p));
                if graceful && !excused {
                    let millis = at.duration_since(self.started).as_millis();
                    site.recorder.record_violation(format!(
                        "instance {index} left a request unanswered during its graceful shutdown at {millis} ms"
                    ));
                }
            }
        }
    }
}
