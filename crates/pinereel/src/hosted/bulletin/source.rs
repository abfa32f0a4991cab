//! Reading the store for all.

use super::{Bulletin, Topic};
use crate::{
    hosted::{
        duty,
        follow::{Manner, Update, follow},
    },
    objects::Purpose,
};
use std::time::Duration;
use tokio::time::sleep;

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
            Topic::Config | Topic::Leases => Duration::ZERO,
        };
        let manner = || Manner {
            wait: self.parts.watch,
            gather,
        };
        let take = |update, revision| self.read(topic, update, revision);
        follow(&self.parts.store, purpose, kind, manner, None, take).await;
    }

    async fn follow_leases(&self) {
        loop {
            let store = &self.parts.store;
            match store.list(Purpose::Leases, duty::KIND, None).await {
                Ok((objects, revision)) => {
                    self.read(Topic::Leases, Update::All(objects), revision);
                }
                Err(error) => log::debug!(error:% = error; "leases not listed"),
            }
            sleep(LEASES).await;
        }
    }
}
