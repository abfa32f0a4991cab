//! The sparse watch: a few entries of each availability zone wait for changes of the object.
//!
//! A change only prompts a read. What a watch answers was asked for long ago, and the register
//! counts doubts from the time at which the object was asked for.

use super::read;
use crate::{
    controllers::members,
    objects::{Error, Purpose},
    state::Shared,
};
use pinereel_api::object::CONFIG;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Longest wait of one watch.
const WAIT: Duration = Duration::from_secs(20);
/// Pause before a failed watch is begun again, and between looks at whether to watch.
const PAUSE: Duration = Duration::from_secs(1);

/// Watches as long as this entry is one of those that do.
pub async fn run(shared: &Rc<Shared>) {
    let mut after = None;
    loop {
        if !members::watches(shared) {
            after = None;
            sleep(PAUSE).await;
            continue;
        }
        after = match once(shared, after).await {
            Ok(revision) => Some(revision),
            Err(e) => {
                log::debug!(entry = shared.name().as_str(); "config: watch ended: {e}");
                sleep(PAUSE).await;
                None
            }
        };
    }
}

/// Waits for one change; gives the revision to go on from.
async fn once(shared: &Rc<Shared>, after: Option<u64>) -> Result<u64, Error> {
    let Some(after) = after else {
        let list = shared.objects.list(Purpose::Config, CONFIG, "").await?;
        read(shared);
        return Ok(list.revision);
    };
    let changes = shared
        .objects
        .watch(Purpose::Config, CONFIG, after, WAIT)
        .await?;
    if !changes.changes.is_empty() {
        read(shared);
    }
    Ok(changes.revision)
}
