//! Persists crash reports in the object store.
//!
//! All reports are in a single object of the same kind as the leases. An instance that starts, or
//! that reads the store for all others, lists that kind anyway, so reading the reports costs no
//! extra call.

use super::{CrashTracker, Source};
use crate::{
    hosted::{duty, store::Store},
    objects::{Error, Purpose},
};
use pinereel_core::crash::{EndpointStart, Identity, Involvement, Report};
use pinereel_port::store::Object;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, collections::BTreeMap};

/// Name of the object that holds the reports.
const OBJECT_NAME: &str = "requests-that-crash";
/// Maximum number of reports in the object; this many take 40 kB.
const MAX_STORED_REPORTS: usize = 200;

/// Content of the object.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    reports: Vec<Report>,
}

/// Saves crash reports to the store, and remembers the reports that the store had when it was last
/// read or written.
#[derive(Default)]
pub struct StoredReports {
    last_known: RefCell<Option<StoredState>>,
}

struct StoredState {
    revision: u64,
    history: CrashHistory,
}

/// The reports without their ages, which change all the time.
type CrashHistory = BTreeMap<Identity, Vec<(EndpointStart, Involvement)>>;

/// Removes the object with the reports from a list of leases and returns it.
pub fn take_reports_object(objects: &mut Vec<Object>) -> Option<Object> {
    let index = objects
        .iter()
        .position(|object| object.name == OBJECT_NAME)?;
    Some(objects.remove(index))
}

impl CrashTracker {
    /// Merges the reports of an object read from the store, and returns them. An unreadable object
    /// is logged and counts as empty.
    pub fn load(&self, object: Object) -> Vec<Report> {
        let reports = match serde_json::from_value::<Content>(object.spec) {
            Ok(content) => content.reports,
            Err(error) => {
                log::error!(revision = object.revision, error:% = error; "cannot parse the stored crash reports");
                Vec::new()
            }
        };
        self.merge(Source::Store, reports.clone());
        reports
    }
}

impl StoredReports {
    /// Records which object a list of the leases contained, and loads it if it has changed.
    pub fn record_listed(&self, crashes: &CrashTracker, object: Option<Object>) {
        let Some(object) = object else {
            self.last_known.replace(None);
            return;
        };
        let revision = object.revision;
        let known_revision = self
            .last_known
            .borrow()
            .as_ref()
            .map(|state| state.revision);
        if known_revision == Some(revision) {
            return;
        }
        let history = history(&crashes.load(object));
        self.last_known
            .replace(Some(StoredState { revision, history }));
    }

    /// Whether this instance knows of a crash that the store does not have.
    pub fn has_unsaved_crashes(&self, crashes: &CrashTracker) -> bool {
        let last_known = self.last_known.borrow();
        let stored = last_known.as_ref().map(|state| &state.history);
        reports_to_store(crashes).iter().any(|report| {
            let stored_starts = stored.and_then(|history| history.get(&report.identity));
            let is_stored = |start: &EndpointStart| {
                stored_starts.is_some_and(|starts| starts.iter().any(|(stored, _)| stored == start))
            };
            report.starts.iter().any(|(start, _)| !is_stored(start))
        })
    }

    /// Writes this instance's reports to the store, unless it has them already.
    ///
    /// # Errors
    /// If the write failed; the next list of the leases shows what the store has.
    pub async fn save(&self, store: &Store, crashes: &CrashTracker) -> Result<(), Error> {
        let reports = reports_to_store(crashes);
        let own = history(&reports);
        let state = self
            .last_known
            .borrow()
            .as_ref()
            .map(|state| (state.revision, state.history == own));
        let (purpose, kind) = (Purpose::Leases, duty::LEASE_KIND);
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

fn reports_to_store(crashes: &CrashTracker) -> Vec<Report> {
    let reports = crashes.reports().into_iter();
    reports.take(MAX_STORED_REPORTS).collect()
}

/// The part of the reports that is compared to decide whether to write.
fn history(reports: &[Report]) -> CrashHistory {
    let reports = reports.iter();
    reports
        .map(|report| (report.identity, report.starts.clone()))
        .collect()
}
