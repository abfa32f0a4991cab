//! Answers the platform's requests to drain instances before their removal.
//!
//! An instance has no state outside the object store, so each request is answered immediately: the
//! instance may be removed.

use super::{
    list_watch::{Update, WatchOptions, list_and_watch, sleep_until_some},
    store::Store,
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use pinereel_port::Adapter;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Delay before the first retry of an answer that could not be written; each further one waits twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Watches the requests and answers them, until the future is dropped.
pub async fn answer_requests(store: &Store, adapter: Adapter, max_watch_time: Duration) {
    let requests = Requests::default();
    let watch_options = || WatchOptions {
        max_wait: max_watch_time,
        batch_delay: Duration::ZERO,
    };
    let kind = adapter.object_kinds.retirements;
    let watch = list_and_watch(
        store,
        Purpose::Retirements,
        kind,
        watch_options,
        None,
        |update, _| requests.apply(update),
    );
    let answers = async {
        loop {
            let next_due_at = requests.next_due_at();
            tokio::select! {
                () = requests.changed.notified() => {}
                () = sleep_until_some(next_due_at) => answer_due(store, adapter, &requests).await,
            }
        }
    };
    tokio::select! {
        () = watch => {}
        () = answers => {}
    }
}

/// The requests without an answer, by name.
#[derive(Default)]
struct Requests {
    unanswered: RefCell<BTreeMap<CompactString, Unanswered>>,
    changed: Notify,
}

/// A request whose answer is not written yet.
#[derive(Clone, Copy)]
struct Unanswered {
    /// Revision of the request.
    revision: u64,
    /// When the answer is written; `None` if the store has refused it.
    due_at: Option<Instant>,
    /// Delay before the attempt after the next one.
    retry_delay: Duration,
}

impl Requests {
    fn apply(&self, update: Update) {
        let mut unanswered = self.unanswered.borrow_mut();
        let objects: Vec<_> = match update {
            Update::All(objects) => {
                let listed: BTreeSet<_> = objects.iter().map(|object| &object.name).collect();
                unanswered.retain(|name, _| listed.contains(name));
                objects
            }
            Update::Changes(changes) => {
                let (deleted, present): (Vec<_>, Vec<_>) =
                    changes.into_iter().partition(|change| change.deleted);
                for change in deleted {
                    unanswered.remove(&change.object.name);
                }
                present.into_iter().map(|change| change.object).collect()
            }
        };
        for object in objects {
            let known = unanswered.get(&object.name);
            if !object.status.is_null() {
                unanswered.remove(&object.name);
            } else if known.is_none_or(|known| known.revision != object.revision) {
                let new = Unanswered {
                    revision: object.revision,
                    due_at: Some(Instant::now()),
                    retry_delay: RETRY_DELAY,
                };
                unanswered.insert(object.name, new);
            }
        }
        self.changed.notify_one();
    }

    fn next_due_at(&self) -> Option<Instant> {
        let unanswered = self.unanswered.borrow();
        unanswered
            .values()
            .filter_map(|request| request.due_at)
            .min()
    }

    fn due(&self) -> Vec<(CompactString, Unanswered)> {
        let now = Instant::now();
        let unanswered = self.unanswered.borrow();
        let due = unanswered
            .iter()
            .filter(|(_, request)| request.due_at.is_some_and(|at| at <= now));
        due.map(|(name, request)| (name.clone(), *request))
            .collect()
    }

    /// Sets when the next attempt is due, unless the request has changed meanwhile.
    fn postpone(&self, name: &str, request: Unanswered, due_at: Option<Instant>) {
        let mut unanswered = self.unanswered.borrow_mut();
        let known = unanswered.get_mut(name);
        if let Some(known) = known.filter(|known| known.revision == request.revision) {
            known.due_at = due_at;
            known.retry_delay = (request.retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Attempts once to answer each request that is due. Any client of the store may have written a request, so one
/// whose answer fails does not delay the others.
async fn answer_due(store: &Store, adapter: Adapter, requests: &Requests) {
    let kind = adapter.object_kinds.retirements;
    let status = (adapter.retired_status)();
    for (name, request) in requests.due() {
        let (instance, revision) = (name.as_str(), request.revision);
        let written = store.update_status(Purpose::Retirements, kind, instance, &status);
        let retry_at = match written.await {
            Ok(()) => {
                log::info!(instance, revision; "instance may be removed");
                None
            }
            Err(Error::NotFound) => None,
            Err(
                error @ (Error::Malformed(_) | Error::Invalid(_) | Error::Conflict | Error::Gone),
            ) => {
                log::error!(instance, revision, error:% = error; "answer to the retirement request refused");
                None
            }
            Err(error) => {
                log::warn!(instance, revision, error:% = error; "answering the retirement request failed");
                Some(Instant::now() + request.retry_delay)
            }
        };
        requests.postpone(instance, request, retry_at);
    }
}
