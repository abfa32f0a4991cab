//! What the store keeps of the requests under which endpoints crash.
//!
//! One object, of the kind of the leases: whoever starts or reads for all lists that kind anyway, so that
//! reading it costs no call of its own, and nothing while there is none.

use super::{CrashTracker, Source};
use crate::{
    hosted::{duty, store::Store},
    objects::{Error, Purpose},
};
use pinereel_core::crash::{EndpointStart, Identity, Involvement, Report};
use pinereel_port::store::Object;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, collections::BTreeMap};

/// Name of the object.
const OBJECT_NAME: &str = "requests-that-crash";
/// Requests that are kept: 40 kB.
const MAX_STORED_REPORTS: usize = 200;

/// The object's content.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    reports: Vec<Report>,
}

/// What the store keeps, as this instance last saw it.
#[derive(Default)]
pub struct StoredReports {
    last_known: RefCell<Option<StoredState>>,
}

struct StoredState {
    revision: u64,
    history: CrashHistory,
}

/// What is known, without its age.
type CrashHistory = BTreeMap<Identity, Vec<(EndpointStart, Involvement)>>;

/// Takes the object out of a list of leases.
pub fn take_reports_object(objects: &mut Vec<Object>) -> Option<Object> {
    let at = objects
        .iter()
        .position(|object| object.name == OBJECT_NAME)?;
    Some(objects.remove(at))
}

impl CrashTracker {
    /// The store's object was read; gives what it tells.
    pub fn load(&self, object: Object) -> Vec<Report> {
        let reports = match serde_json::from_value::<Content>(object.spec) {
            Ok(content) => content.reports,
            Err(error) => {
                log::error!(revision = object.revision, error:% = error; "requests that crash endpoints: object unreadable");
                Vec::new()
            }
        };
        self.merge(Source::Store, reports.clone());
        reports
    }
}

impl StoredReports {
    /// A list of the leases showed this.
    pub fn record_listed(&self, crashes: &CrashTracker, object: Option<Object>) {
        let Some(object) = object else {
            self.last_known.replace(None);
            return;
        };
        let revision = object.revision;
        let known = self
            .last_known
            .borrow()
            .as_ref()
            .map(|state| state.revision);
        if known == Some(revision) {
            return;
        }
        let history = history(&crashes.load(object));
        self.last_known
            .replace(Some(StoredState { revision, history }));
    }

    /// Brings the store up to what is known here.
    ///
    /// # Errors
    /// If the store did not take it; a list shows then what it has.
    pub async fn save(&self, store: &Store, crashes: &CrashTracker) -> Result<(), Error> {
        let reports: Vec<_> = crashes
            .reports()
            .into_iter()
            .take(MAX_STORED_REPORTS)
            .collect();
        let own = history(&reports);
        let state = self
            .last_known
            .borrow()
            .as_ref()
            .map(|state| (state.revision, state.history == own));
        let (purpose, kind) = (Purpose::Leases, duty::KIND);
        let spec = || serde_json::json!(Content { reports });
        let written = match state {
            None if own.is_empty() => return Ok(()),
            Some((_, true)) => return Ok(()),
            Some(_) if own.is_empty() => {
                store.delete(purpose, kind, OBJECT_NAME).await?;
                self.last_known.replace(None);
                return Ok(());
            }
            None => {
                store
                    .create(purpose, kind, OBJECT_NAME, &spec().to_string())
                    .await?
            }
            Some((revision, _)) => {
                store
                    .update(purpose, kind, OBJECT_NAME, revision, &spec())
                    .await?
            }
        };
        let revision = written.revision;
        self.last_known.replace(Some(StoredState {
            revision,
            history: own,
        }));
        Ok(())
    }
}

fn history(reports: &[Report]) -> CrashHistory {
    let reports = reports.iter();
    reports
        .map(|report| (report.identity, report.starts.clone()))
        .collect()
}
