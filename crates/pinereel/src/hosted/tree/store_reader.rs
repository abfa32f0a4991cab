//! Reading of the object store at a root, on behalf of all instances.

use super::{Node, Topic};
use crate::{
    hosted::{
        crashes::{StoredReports, take_reports_object},
        duty,
        list_watch::{Update, WatchOptions, list_and_watch},
    },
    objects::Purpose,
};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Delay after a change of the endpoint list, so that changes at about the same time are sent together.
const ENDPOINT_BATCH_DELAY: Duration = Duration::from_millis(80);
/// Longest wait of a watch of a root. By its other calls, a root whose watch has lost its connection would pass on
/// its data as current.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two listings of the leases, which also show that a failed holder has not renewed them.
const LEASE_LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Shortest time between two checks for crashes that are not stored, so that many crashes cause about ten writes
/// a second at most.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Follows all topics in the store and publishes their changes. Ends only when dropped.
    pub(super) async fn read_store(&self) {
        let object_kinds = self.deps.adapter.object_kinds;
        let config = self.follow_topic(Topic::Config, Purpose::Config, object_kinds.config);
        let endpoints =
            self.follow_topic(Topic::Endpoints, Purpose::Instances, object_kinds.endpoints);
        tokio::join!(config, endpoints, self.follow_leases());
    }

    /// Follows all objects of `kind` by list and watch.
    async fn follow_topic(&self, topic: Topic, purpose: Purpose, kind: &str) {
        let batch_delay = match topic {
            Topic::Endpoints => ENDPOINT_BATCH_DELAY,
            Topic::Config | Topic::Engines | Topic::Leases => Duration::ZERO,
        };
        let options = || WatchOptions {
            max_wait: self.deps.max_watch_time.min(MAX_WATCH_WAIT),
            batch_delay,
        };
        let publish = |update, revision| self.publish_update(topic, update, revision);
        list_and_watch(&self.deps.store, purpose, kind, options, None, publish).await;
    }

    /// Lists the leases periodically. The listing contains the stored crash reports as well, which are
    /// exchanged with the register of this instance.
    async fn follow_leases(&self) {
        let crashes = &self.deps.crashes;
        let stored = StoredReports::default();
        let mut changes = crashes.changes();
        loop {
            let store = &self.deps.store;
            changes.mark_unchanged();
            match store.list(Purpose::Leases, duty::LEASE_KIND, None).await {
                Ok((mut objects, revision)) => {
                    stored.record_listed(crashes, take_reports_object(&mut objects));
                    self.publish_update(Topic::Leases, Update::All(objects), revision);
                    self.store_crashes(&stored).await;
                }
                Err(error) => log::debug!(error:% = error; "listing leases failed"),
            }
            let next = Instant::now() + LEASE_LIST_INTERVAL;
            // The first change of the crash reports is stored immediately, further ones within the
            // interval with the next listing, except for crashes: those that the store does not have
            // are lost if all instances are killed.
            let mut is_first = true;
            // The timeout does not end a wait for a change that has come already, while the last write took long.
            while Instant::now() < next
                && matches!(timeout_at(next, changes.changed()).await, Ok(Ok(())))
            {
                let is_due = is_first || stored.has_unsaved_crashes(crashes);
                if is_due && !self.store_crashes(&stored).await {
                    break;
                }
                is_first = false;
                sleep_until(next.min(Instant::now() + CRASH_CHECK_INTERVAL)).await;
            }
            sleep_until(next).await;
        }
    }

    /// Stores the crash reports that the store does not have yet; returns whether no write failed.
    async fn store_crashes(&self, stored: &StoredReports) -> bool {
        let deps = &self.deps;
        let saved = stored.save(&deps.store, &deps.crashes).await;
        if let Err(error) = &saved {
            log::info!(error:% = error; "requests that crash endpoints: storing the reports failed, retrying");
        }
        saved.is_ok()
    }
}
