//! Reading the store for all.

use super::{Bulletin, Topic};
use crate::{
    hosted::{
        crashes::{StoredReports, take_reports_object},
        duty,
        follow::{Manner, Update, follow},
    },
    objects::Purpose,
};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Pause after changes of the endpoint list, for those that come together.
const GATHER: Duration = Duration::from_millis(80);
/// Pause between two lists of the leases: those of a holder that died are found by it.
const LEASES: Duration = Duration::from_millis(700);

impl Bulletin {
    /// Follows everything in the store, and tells it; ends only when dropped.
    pub(super) async fn read_store(&self) {
        let places = self.parts.adapter.places;
        let config = self.follow(Topic::Config, Purpose::Config, places.config);
        let endpoints = self.follow(Topic::Endpoints, Purpose::Instances, places.endpoints);
        tokio::join!(config, endpoints, self.follow_leases());
    }

    async fn follow(&self, topic: Topic, purpose: Purpose, kind: &str) {
        let gather = match topic {
            Topic::Endpoints => GATHER,
            Topic::Config | Topic::Engines | Topic::Leases => Duration::ZERO,
        };
        let manner = || Manner {
            wait: self.parts.watch,
            gather,
        };
        let take = |update, revision| self.read(topic, update, revision);
        follow(&self.parts.store, purpose, kind, manner, None, take).await;
    }

    /// Lists the leases now and then, and with them what the store keeps of requests that crash endpoints.
    async fn follow_leases(&self) {
        let crashes = &self.parts.crashes;
        let kept = StoredReports::default();
        let mut changes = crashes.changes();
        loop {
            let store = &self.parts.store;
            changes.mark_unchanged();
            match store.list(Purpose::Leases, duty::KIND, None).await {
                Ok((mut objects, revision)) => {
                    kept.record_listed(crashes, take_reports_object(&mut objects));
                    self.read(Topic::Leases, Update::All(objects), revision);
                    self.keep_crashes(&kept).await;
                }
                Err(error) => log::debug!(error:% = error; "leases not listed"),
            }
            let next = Instant::now() + LEASES;
            // A change is kept at once, and those that follow it within the pause with the next list.
            tokio::select! {
                () = sleep_until(next) => continue,
                _ = changes.changed() => {}
            }
            self.keep_crashes(&kept).await;
            sleep_until(next).await;
        }
    }

    async fn keep_crashes(&self, kept: &StoredReports) {
        let parts = &self.parts;
        if let Err(error) = kept.save(&parts.store, &parts.crashes).await {
            log::info!(error:% = error; "requests that crash endpoints: not kept yet");
        }
    }
}
