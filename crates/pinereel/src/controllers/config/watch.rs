//! Watches the configuration's object, at a few entries of each availability zone.
//!
//! A change only triggers a read: a watch was sent long before its answer, and the participant
//! measures the age of its information from the time at which a read was sent.

use super::start_read;
use crate::{
    controllers::members,
    objects::{Error, Purpose},
    state::Shared,
};
use pinereel_api::object::CONFIG;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// How long the object API holds one watch open without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed watch, and between checks of whether this entry is to watch.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Watches whenever this entry is one of its zone's watchers; never returns.
pub async fn run(shared: &Rc<Shared>) {
    let mut after = None;
    loop {
        if !members::is_config_watcher(shared) {
            after = None;
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        after = match watch_once(shared, after).await {
            Ok(revision) => Some(revision),
            Err(e) => {
                log::debug!(entry = shared.name().as_str(); "config: watch failed: {e}");
                sleep(RETRY_INTERVAL).await;
                None
            }
        };
    }
}

/// Waits for one change; returns the revision from which to continue. Without `after`, reads the
/// current revision.
async fn watch_once(shared: &Rc<Shared>, after: Option<u64>) -> Result<u64, Error> {
    let Some(after) = after else {
        let list = shared.objects.list(Purpose::Config, CONFIG, "").await?;
        start_read(shared);
        return Ok(list.revision);
    };
    let changes = shared
        .objects
        .watch(Purpose::Config, CONFIG, after, WATCH_TIMEOUT)
        .await?;
    if !changes.changes.is_empty() {
        start_read(shared);
    }
    Ok(changes.revision)
}
