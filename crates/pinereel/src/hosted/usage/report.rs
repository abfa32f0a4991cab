//! Sums up the counts of all instances for each window, and reports them to the platform.
//!
//! A window must never be reported twice with different counts. So its sum is stored before it is
//! sent, in one object that is only updated at the revision that was read (compare-and-swap). A later
//! lease holder finds the sum there and sends the same.

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

/// Object kind of the stored sums.
const KIND: &str = "pinereel-usage";
/// Name of the only object of that kind.
const NAME: &str = "sums";
/// Maximum number of stored sums. Fewer than this many may still have to be sent.
const MAX_KEPT_SUMS: usize = 8;
/// Interval between checks of which window is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay after a read of the sums or a report that failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest delay after reads of the sums that are answered and cannot be decoded.
const MAX_UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Minimum delay after the end of a window before it is summed up. The counts need this long to
/// arrive: the window is closed, then its reports take two hops with a send interval each.
const MIN_DELAY: Duration = Duration::from_millis(700);
/// Fraction of the time until a report is late for which missing counts are waited for. The rest is
/// reserved for the next lease holder, if this instance fails, and for a slow platform.
const MAX_DELAY_SHARE: f64 = 0.5;

/// Dependencies of [`report`].
pub struct Dependencies {
    /// Message formats of the platform.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// Leases of the control duties.
    pub duties: Rc<Duties>,
    /// Connections to the platform.
    pub pool: Rc<Pool>,
    /// Counts the calls to the platform.
    pub metrics: Metrics,
    /// Address at which the platform takes reports.
    pub address: SocketAddr,
    /// Length of a window, and the age at which its report is late.
    pub settings: settings::Usage,
    /// Minimum time between the last call of one lease holder and the first call of the next.
    pub gap: Duration,
    /// Counts of this instance and reports of the others.
    pub usage: Rc<Meter>,
}

/// Content of the object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredSums {
    sums: BTreeMap<Window, Counts>,
}

/// The stored sums and their revision, as last read or written.
#[derive(Default)]
struct Sums {
    revision: Option<u64>,
    by_window: BTreeMap<Window, Counts>,
}

/// Reports usage whenever this instance holds the lease of the tree's root.
pub async fn report(deps: Rc<Dependencies>) {
    let duties = Rc::clone(&deps.duties);
    let run = async || deps.run_as_holder().await;
    let duty = tree::ROOT_DUTY.into();
    duties.run_while_held(&duty, run, || true).await;
}

impl Dependencies {
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
                        log::info!(window = window.0, error:% = error; "usage: storing the sum failed, retrying");
                        // The write may have succeeded, or another holder may have stored a sum.
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

    /// Reads the stored sums, with retries until that succeeds. Sums that cannot be read are never replaced, as
    /// they may contain windows that the platform has a report of.
    async fn read_sums(&self) -> Sums {
        let mut unreadable_retry_delay = RETRY_DELAY;
        loop {
            let store = &self.store;
            let read = store.read(Purpose::Usage, KIND, NAME, Consistency::Linearizable);
            let is_unreadable = match read.await {
                Ok(None) => return Sums::default(),
                Ok(Some(object)) => match serde_json::from_value::<StoredSums>(object.spec) {
                    Ok(stored) => {
                        return Sums {
                            revision: Some(object.revision),
                            by_window: stored.sums,
                        };
                    }
                    Err(error) => {
                        log::error!(error:% = error; "usage: malformed sums");
                        true
                    }
                },
                Err(error) => {
                    log::debug!(error:% = error; "usage: reading the sums failed");
                    matches!(error, Error::Malformed(_))
                }
            };
            if is_unreadable {
                sleep(unreadable_retry_delay).await;
                unreadable_retry_delay =
                    (unreadable_retry_delay * 2).min(MAX_UNREADABLE_RETRY_DELAY);
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Stores the sum of a window, which then never changes.
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
            "usage: sum of the window stored"
        );
        *sums = Sums {
            revision: Some(object.revision),
            by_window: stored.sums,
        };
        Ok(())
    }

    /// Sends the sums that the platform has not accepted yet, oldest first.
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
                "usage: report of the window sent"
            );
            match outcome {
                // A call is rejected under an old fencing token; then the newer holder sends the sum.
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
            .count(&self.metrics.platform_calls, &["usage", status.as_str()]);
        Some((self.adapter.leader.outcome)(status))
    }
}
