//! Carries out the actions of a candidate: reads and conditional writes of its lease in the store.

use super::{Duties, LEASE_KIND, poll::decode};
use crate::objects::{Error, Purpose};
use pinereel_core::lease::{Action, Candidate, Event, Lease};
use pinereel_port::store::Consistency;
use serde::Serialize;

/// A lease as stored, with the demand of the duty's lots.
#[derive(Serialize)]
struct StoredLease<'a> {
    #[serde(flatten)]
    lease: &'a Lease,
    /// Mean number of output tokens of a lot; 0 if not known.
    #[serde(rename = "demand")]
    tokens: u64,
    /// Mean number of items of a lot that were still queued at the check that follows its opening.
    #[serde(rename = "short")]
    unplaced_items: u64,
    /// Number of items of the largest recent lot; 0 if not known.
    items: u64,
}

impl Duties {
    /// Carries out `action` and returns the event that answers it.
    pub(super) async fn perform(&self, candidate: &Candidate, duty: &str, action: Action) -> Event {
        match action {
            Action::Read => self.read(candidate, duty).await,
            Action::Write { expected, lease } => self.write(duty, expected, &lease).await,
        }
    }

    async fn read(&self, candidate: &Candidate, duty: &str) -> Event {
        if !candidate.has_read() {
            return self.first_poll_event(duty).await;
        }
        if candidate.is_follower() {
            return self.next_poll_event(duty, candidate.takeover_at()).await;
        }
        let store = self.store_for(duty);
        let read = store.read(Purpose::Leases, LEASE_KIND, duty, Consistency::Linearizable);
        match read.await {
            Ok(None) => Event::Read(None),
            Ok(Some(object)) => Event::Read(Some(decode(duty, object))),
            Err(error) => {
                log::debug!(duty, error:% = error; "lease not read");
                Event::Failed
            }
        }
    }

    async fn write(&self, duty: &str, expected: Option<u64>, lease: &Lease) -> Event {
        let lot_demand = self
            .lot_demands
            .borrow()
            .get(duty)
            .copied()
            .unwrap_or_default();
        let spec = match serde_json::to_value(StoredLease {
            lease,
            tokens: lot_demand.tokens,
            unplaced_items: lot_demand.unplaced_items,
            items: lot_demand.items,
        }) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!(duty, error:% = error; "lease not written");
                return Event::Unknown;
            }
        };
        let store = self.store_for(duty);
        let written = match expected {
            Some(revision) => {
                let update = store.update(Purpose::Leases, LEASE_KIND, duty, revision, &spec);
                update.await
            }
            None => {
                let spec = spec.to_string();
                let create = store.create(Purpose::Leases, LEASE_KIND, duty, &spec);
                create.await
            }
        };
        match written {
            Ok(object) => Event::Written(object.revision),
            Err(Error::Conflict | Error::NotFound) => Event::Conflict,
            Err(error) => {
                // `Unknown` is returned even if the write certainly had no effect, since the candidate
                // reads the lease again in any case.
                log::debug!(duty, error:% = error; "lease not written");
                Event::Unknown
            }
        }
    }
}
