//! Answers the platform's requests to drain instances before their removal.
//!
//! An instance has no state outside the object store, so each request is answered immediately: the
//! instance may be removed.

use super::{
    list_watch::{Update, WatchOptions, list_and_watch},
    store::Store,
};
use crate::objects::Purpose;
use pinereel_port::{Adapter, store::Object};
use std::time::Duration;
use tokio::{sync::mpsc, time::sleep};

/// Delay before the retry of an answer that could not be written.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Watches the requests and answers them, until the future is dropped.
pub async fn answer_requests(store: &Store, adapter: Adapter, max_watch_time: Duration) {
    let (request_sender, mut unanswered) = mpsc::unbounded_channel();
    let watch_options = || WatchOptions {
        max_wait: max_watch_time,
        batch_delay: Duration::ZERO,
    };
    let kind = adapter.object_kinds.retirements;
    let requests = list_and_watch(
        store,
        Purpose::Retirements,
        kind,
        watch_options,
        None,
        |update, _| {
            for object in unanswered_requests(update) {
                // The receiver lives as long as this function.
                let _ = request_sender.send(object);
            }
        },
    );
    let answers = async {
        while let Some(object) = unanswered.recv().await {
            answer(store, adapter, &object).await;
        }
    };
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
}

/// The requests without an answer.
fn unanswered_requests(update: Update) -> Vec<Object> {
    let objects: Vec<_> = match update {
        Update::All(objects) => objects,
        Update::Changes(changes) => {
            let present = changes.into_iter().filter(|change| !change.deleted);
            present.map(|change| change.object).collect()
        }
    };
    let unanswered = objects.into_iter().filter(|object| object.status.is_null());
    unanswered.collect()
}

async fn answer(store: &Store, adapter: Adapter, object: &Object) {
    let (kind, status) = (adapter.object_kinds.retirements, (adapter.retired_status)());
    loop {
        let written = store.update_status(Purpose::Retirements, kind, &object.name, &status);
        match written.await {
            Ok(()) => {
                let instance = object.name.as_str();
                log::info!(instance, revision = object.revision; "instance may be removed");
                return;
            }
            Err(crate::objects::Error::NotFound) => return,
            Err(error) => {
                log::warn!(instance = object.name.as_str(), error:% = error; "answering the retirement request failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
