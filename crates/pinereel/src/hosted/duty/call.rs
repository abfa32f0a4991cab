//! The calls to the store that a candidate for a duty orders.

use super::{Duties, KIND, look::decode};
use crate::objects::{Error, Purpose};
use pinereel_core::lease::{Action, Candidate, Event, Lease};
use pinereel_port::store::Consistency;
use serde::Serialize;

/// A lease as it lies in the store.
#[derive(Serialize)]
struct Stored<'a> {
    #[serde(flatten)]
    lease: &'a Lease,
    /// Tokens of a lot of the duty; 0 if that is not known.
    demand: u64,
    /// Items of a lot of the duty that found no slot in time.
    short: u64,
    /// Items of the largest lot of the duty lately; 0 if that is not known.
    items: u64,
}

impl Duties {
    /// Carries an action out; gives what it led to.
    pub(super) async fn call(&self, holder: &Candidate, duty: &str, action: Action) -> Event {
        match action {
            Action::Read => self.read(holder, duty).await,
            Action::Write { expected, lease } => self.write(duty, expected, &lease).await,
        }
    }

    async fn read(&self, holder: &Candidate, duty: &str) -> Event {
        if !holder.has_read() {
            return self.first_look(duty).await;
        }
        if holder.is_follower() {
            return self.next_look(duty, holder.takeover_at()).await;
        }
        let read = self
            .store
            .read(Purpose::Leases, KIND, duty, Consistency::Linearizable);
        match read.await {
            Ok(None) => Event::Read(None),
            Ok(Some(object)) => {
                decode(duty, object).map_or(Event::Failed, |l| Event::Read(Some(l)))
            }
            Err(error) => {
                log::debug!(duty, error:% = error; "lease not read");
                Event::Failed
            }
        }
    }

    async fn write(&self, duty: &str, expected: Option<u64>, lease: &Lease) -> Event {
        let size = self.demands.borrow().get(duty).copied().unwrap_or_default();
        let spec = match serde_json::to_value(Stored {
            lease,
            demand: size.tokens,
            short: size.unplaced_items,
            items: size.items,
        }) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!(duty, error:% = error; "lease not written");
                return Event::Unknown;
            }
        };
        let written = match expected {
            Some(revision) => {
                let update = self
                    .store
                    .update(Purpose::Leases, KIND, duty, revision, &spec);
                update.await
            }
            None => {
                let spec = spec.to_string();
                let create = self.store.create(Purpose::Leases, KIND, duty, &spec);
                create.await
            }
        };
        match written {
            Ok(object) => Event::Written(object.revision),
            Err(Error::Conflict | Error::NotFound) => Event::Conflict,
            Err(error) => {
                // Also when it certainly had no effect: the holder reads back in any case.
                log::debug!(duty, error:% = error; "lease not written");
                Event::Unknown
            }
        }
    }
}
