//! Adding up all instances' counts, and reporting them to the platform.
//!
//! A window must never be reported twice with other counts. So its sum lies in the store before it is sent, in one object that is
//! only written over the revision that was read: whoever has the duty later finds it there and sends the same.

use super::Meter;
use crate::{
    hosted::{
        duty::{Duties, HeldLease},
        metrics::Metrics,
        platform,
        store::Store,
        tree,
    },
    objects::{Error, Purpose},
    settings,
    upstream::pool::Pool,
};
use pinereel_core::usage::{Aggregator, Counts, Timing, Window};
use pinereel_port::{
    Adapter,
    leader::{LeaseHolder, Outcome},
    store::Consistency,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Kind of the sums that were made.
const KIND: &str = "pinereel-usage";
/// Name of the object.
const NAME: &str = "sums";
/// Sums that are kept: more than may still be sent.
const MAX_KEPT_SUMS: usize = 8;
/// Pause between two looks at what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Pause after a report that was not taken.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Counts of a window are on their way for so long after its end: closing, two hops with a pause each.
const MIN_DELAY: Duration = Duration::from_millis(700);
/// Part of the time until a report is late that is waited for counts that are missing: the rest is for a successor, should this
/// instance be lost, and for a platform that is slow.
const MAX_DELAY_SHARE: f64 = 0.5;

/// What usage is reported with.
pub struct Parts {
    /// Translates.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// Duties.
    pub duties: Rc<Duties>,
    /// Connections to the platform.
    pub pool: Rc<Pool>,
    /// Figures.
    pub metrics: Metrics,
    /// Where the platform takes reports.
    pub address: SocketAddr,
    /// What is reported, and when.
    pub settings: settings::Usage,
    /// Time between the last call of one holder and the first of the next.
    pub gap: Duration,
    /// Counts.
    pub usage: Rc<Meter>,
}

/// The object's content.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredSums {
    sums: BTreeMap<Window, Counts>,
}

/// The sums that were made, as this holder knows them.
#[derive(Default)]
struct Sums {
    revision: Option<u64>,
    by_window: BTreeMap<Window, Counts>,
}

/// Reports usage whenever this instance reads the store for all.
pub async fn report(parts: Parts) {
    let parts = Rc::new(parts);
    let duties = Rc::clone(&parts.duties);
    let run = async || parts.run_as_holder().await;
    let duty = tree::ROOT_DUTY.into();
    duties.run_while_held(&duty, run, || true).await;
}

impl Parts {
    async fn run_as_holder(&self) {
        let mut sums = self.read_sums().await;
        let mut aggregator =
            Aggregator::new(self.timing(), self.usage.wall_time(), &sums.by_window);
        let mut sent = BTreeSet::new();
        loop {
            sleep(CHECK_INTERVAL).await;
            if let Some((window, counts)) = self.due_window(&mut aggregator) {
                match self.store_sum(&mut sums, window, counts).await {
                    Ok(()) => aggregator.mark_finalized(window),
                    Err(error) => {
                        log::info!(window = window.0, error:% = error; "usage: sum not kept yet");
                        // It may be there after all, or another holder's.
                        sums = self.read_sums().await;
                        aggregator.resume(&sums.by_window);
                    }
                }
            }
            self.send_pending(&sums, &mut sent).await;
        }
    }

    fn due_window(&self, aggregator: &mut Aggregator) -> Option<(Window, Counts)> {
        let ledger = self.usage.ledger.borrow();
        aggregator.due(
            self.usage.wall_time(),
            &ledger,
            self.usage.expected_instances(),
        )
    }

    fn timing(&self) -> Timing {
        let max_age = self.settings.late;
        Timing {
            window_length: self.settings.window,
            min_delay: MIN_DELAY,
            max_delay: max_age.mul_f64(MAX_DELAY_SHARE),
            max_age,
        }
    }

    /// Reads the sums that were made, as long as it takes.
    async fn read_sums(&self) -> Sums {
        loop {
            let store = &self.store;
            let read = store.read(Purpose::Usage, KIND, NAME, Consistency::Linearizable);
            match read.await {
                Ok(None) => return Sums::default(),
                Ok(Some(object)) => match serde_json::from_value::<StoredSums>(object.spec) {
                    Ok(stored) => {
                        return Sums {
                            revision: Some(object.revision),
                            by_window: stored.sums,
                        };
                    }
                    Err(error) => log::error!(error:% = error; "usage: sums unreadable"),
                },
                Err(error) => log::debug!(error:% = error; "usage: sums not read"),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Keeps the sum of a window for good.
    async fn store_sum(
        &self,
        sums: &mut Sums,
        window: Window,
        counts: Counts,
    ) -> Result<(), Error> {
        let mut by_window = sums.by_window.clone();
        by_window.insert(window, counts.clone());
        while by_window.len() > MAX_KEPT_SUMS {
            by_window.pop_first();
        }
        let stored = StoredSums { sums: by_window };
        let spec = serde_json::to_value(&stored).map_err(|e| Error::Malformed(e.to_string()))?;
        let (store, purpose) = (&self.store, Purpose::Usage);
        let object = match sums.revision {
            Some(revision) => store.update(purpose, KIND, NAME, revision, &spec).await?,
            None => store.create(purpose, KIND, NAME, &spec.to_string()).await?,
        };
        let ledger = self.usage.ledger.borrow();
        log::info!(
            window = window.0,
            requests = counts.values().sum::<u64>(),
            workspaces = counts.len(),
            instances = self.usage.expected_instances(),
            closed = ledger.closed_count(window),
            after_ms = self.usage.wall_time().0.saturating_sub(window.end(self.settings.window).0),
            revision = object.revision;
            "usage: window added up"
        );
        *sums = Sums {
            revision: Some(object.revision),
            by_window: stored.sums,
        };
        Ok(())
    }

    /// Sends the sums that the platform has not taken yet, oldest first.
    async fn send_pending(&self, sums: &Sums, sent: &mut BTreeSet<Window>) {
        for (window, counts) in &sums.by_window {
            let deadline = window.end(self.settings.window).after(self.settings.late);
            if sent.contains(window) || self.usage.wall_time() > deadline {
                continue;
            }
            let Some(lease) = self.lease() else {
                return;
            };
            let outcome = self.send_sum(&lease, *window, counts).await;
            log::info!(
                window = window.0,
                fence = lease.fence,
                outcome = outcome.map_or("no answer", Outcome::as_str);
                "usage: window sent"
            );
            match outcome {
                // A later holder sends it.
                Some(Outcome::Done | Outcome::Rejected) => {
                    sent.insert(*window);
                }
                Some(Outcome::RetryLater) | None => {
                    sleep(RETRY_DELAY).await;
                    return;
                }
            }
        }
    }

    /// The lease, if a call may be made under it now.
    fn lease(&self) -> Option<HeldLease> {
        let lease = self.duties.held_lease(tree::ROOT_DUTY)?;
        (self.duties.now() >= lease.may_act_from(self.gap)).then_some(lease)
    }

    async fn send_sum(
        &self,
        lease: &HeldLease,
        window: Window,
        counts: &Counts,
    ) -> Option<Outcome> {
        let holder = LeaseHolder {
            instance: self.duties.instance(),
            fencing_token: lease.fence,
        };
        let call = (self.adapter.leader.report_usage)(holder, window.0, counts);
        let status = platform::call(&self.pool, self.address, call).await?;
        self.metrics
            .count(&self.metrics.duty_calls, &["usage", status.as_str()]);
        Some((self.adapter.leader.outcome)(status))
    }
}
