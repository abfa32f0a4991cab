//! The sparse watch: a few entries of each availability zone wait for changes of the object.
//!
//! A change only prompts a read. What a watch answers was asked for long ago, and the register
//! counts doubts from the time at which the object was asked for.

use super::start_read;
use crate::{
    controllers::members,
    objects::{Error, Purpose},
    state::Shared,
};
use pinereel_api::object::CONFIG;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Longest wait of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a failed watch is begun again, and between looks at whether to watch.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Watches as long as this entry is one of those that do.
pub async fn run(shared: &Rc<Shared>) {
    let mut after = None;
    loop {
        if !members::watches(shared) {
            after = None;
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        after = match watch_once(shared, after).await {
            Ok(revision) => Some(revision),
            Err(e) => {
                log::debug!(entry = shared.name().as_str(); "config: watch ended: {e}");
                sleep(RETRY_INTERVAL).await;
                None
            }
        };
    }
}

/// Waits for one change; gives the revision to go on from.
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
