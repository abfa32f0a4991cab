//! What must hold after the last fault, and what only the whole run shows.

use super::{RECOVERY, STEPS_AFTER, Soak, Span, start};
use crate::{
    child_process::Signal,
    hosting::{caller::Tally, engine, proxy, service, store, trainer::Trainer},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

impl Soak {
    /// Ends all faults that may still be in force.
    pub(super) async fn heal(&self) {
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
                start(&mut site, index);
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

    /// After the last fault steps are done and callers are answered.
    pub(super) async fn check_recovery(&self, trainer: &mut Trainer, tally: &Tally) {
        let recorder = Rc::clone(&self.site.borrow().recorder);
        sleep(RECOVERY / 3).await;
        let good = tally.good.get();
        let done = trainer.done;
        let began = Instant::now();
        for step in 0..STEPS_AFTER {
            trainer.step(1_000_000 + step).await;
        }
        if trainer.done < done + STEPS_AFTER {
            recorder.record_violation("steps are not done after the last fault");
        }
        if tally.good.get() == good {
            recorder.record_violation("no caller is answered after the last fault");
        }
        if began.elapsed() > RECOVERY {
            recorder.record_violation(format!(
                "steps after the last fault took {:?}",
                began.elapsed()
            ));
        }
        let late = recorder.max_lateness();
        if late > Duration::from_secs(2) {
            recorder.record_violation(format!(
                "work came to an endpoint {late:?} after it was leaving"
            ));
        }
        // Orders of work that came too late are noted after a while.
        sleep(Duration::from_secs(1)).await;
    }

    /// A planned stop cuts nothing that was read, unless something else goes wrong beside it.
    pub(super) fn check_planned_stops(&self) {
        let site = self.site.borrow();
        let spans = self.spans.borrow();
        for (index, instance) in site.instances.iter().enumerate() {
            for at in instance.caller_proxy.unanswered_closes() {
                let during = |span: &Span| span.from <= at && at <= span.to;
                let here = |span: &Span| span.instance.is_none_or(|i| i == index);
                let planned = spans
                    .iter()
                    .any(|span| span.planned && span.instance == Some(index) && during(span));
                let excused = spans
                    .iter()
                    .any(|span| !span.planned && here(span) && during(span));
                if planned && !excused {
                    let millis = at.duration_since(self.began).as_millis();
                    site.recorder.record_violation(format!(
                        "a planned stop of {index} cut a request at {millis} ms"
                    ));
                }
            }
        }
    }
}
