//! What the store keeps of the requests under which endpoints crash.
//!
//! One object, of the kind of the leases: whoever starts or reads for all lists that kind anyway, so that
//! reading it costs no call of its own, and nothing while there is none.

use super::{Crashes, Source};
use crate::{
    hosted::{duty, store::Store},
    objects::{Error, Purpose},
};
use pinereel_core::crash::{EndpointStart, Identity, Involvement, Report};
use pinereel_port::store::Object;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, collections::BTreeMap};

/// Name of the object.
const NAME: &str = "requests-that-crash";
/// Requests that are kept: 40 kB.
const MOST: usize = 200;

/// The object's content.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    reports: Vec<Report>,
}

/// What the store keeps, as this instance last saw it.
#[derive(Default)]
pub struct Kept {
    seen: RefCell<Option<Seen>>,
}

struct Seen {
    revision: u64,
    facts: Facts,
}

/// What is known, without its age.
type Facts = BTreeMap<Identity, Vec<(EndpointStart, Involvement)>>;

/// Takes the object out of a list of leases.
pub fn take_out(objects: &mut Vec<Object>) -> Option<Object> {
    let at = objects.iter().position(|object| object.name == NAME)?;
    Some(objects.remove(at))
}

impl Crashes {
    /// The store's object was read; gives what it tells.
    pub fn read(&self, object: Object) -> Vec<Report> {
        let reports = match serde_json::from_value::<Content>(object.spec) {
            Ok(content) => content.reports,
            Err(error) => {
                log::error!(revision = object.revision, error:% = error; "requests that crash endpoints: object unreadable");
                Vec::new()
            }
        };
        self.heard(Source::Store, reports.clone());
        reports
    }
}

impl Kept {
    /// A list of the leases showed this.
    pub fn listed(&self, crashes: &Crashes, object: Option<Object>) {
        let Some(object) = object else {
            self.seen.replace(None);
            return;
        };
        let revision = object.revision;
        let known = self.seen.borrow().as_ref().map(|seen| seen.revision);
        if known == Some(revision) {
            return;
        }
        let facts = facts(&crashes.read(object));
        self.seen.replace(Some(Seen { revision, facts }));
    }

    /// Brings the store up to what is known here.
    ///
    /// # Errors
    /// If the store did not take it; a list shows then what it has.
    pub async fn keep(&self, store: &Store, crashes: &Crashes) -> Result<(), Error> {
        let reports: Vec<_> = crashes.all().into_iter().take(MOST).collect();
        let own = facts(&reports);
        let seen = self
            .seen
            .borrow()
            .as_ref()
            .map(|seen| (seen.revision, seen.facts == own));
        let (purpose, kind) = (Purpose::Leases, duty::LEASE_KIND);
        let spec = || serde_json::json!(Content { reports });
        let written = match seen {
            None if own.is_empty() => return Ok(()),
            Some((_, true)) => return Ok(()),
            Some(_) if own.is_empty() => {
                store.delete(purpose, kind, NAME).await?;
                self.seen.replace(None);
                return Ok(());
            }
            None => {
                store
                    .create(purpose, kind, NAME, &spec().to_string())
                    .await?
            }
            Some((revision, _)) => store.update(purpose, kind, NAME, revision, &spec()).await?,
        };
        let revision = written.revision;
        self.seen.replace(Some(Seen {
            revision,
            facts: own,
        }));
        Ok(())
    }
}

fn facts(reports: &[Report]) -> Facts {
    let reports = reports.iter();
    reports
        .map(|report| (report.identity, report.starts.clone()))
        .collect()
}
