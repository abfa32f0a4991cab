//! Following all objects of a kind: one list, then watches.
//!
//! An entry that lists again and again costs the object API calls, and itself the whole list each
//! time, in which almost nothing has changed. A watch brings the changes alone.

use crate::{
    objects::{Error, Purpose},
    state::Shared,
};
use pinereel_api::object::{Change, Object};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Watches that all entries together begin in a second, for one kind; more entries wait longer.
const MAX_TOTAL_WATCHES_PER_SECOND: u32 = 100;
/// Shortest wait of one watch.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of one watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause between watches: changes that come together are taken together.
const COALESCE_DELAY: Duration = Duration::from_millis(100);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the object API told.
#[derive(Debug)]
pub enum Update {
    /// All objects of the kind as they stand.
    All(Vec<Object>),
    /// What changed since, oldest first; empty if nothing did.
    Changes(Vec<Change>),
}

/// Follows the objects of `kind` as long as the entry runs, and tells `take` of each answer.
pub async fn follow(
    shared: &Rc<Shared>,
    purpose: Purpose,
    kind: &str,
    mut on_update: impl FnMut(&Rc<Shared>, Update),
) {
    let mut after = None;
    loop {
        match next_update(shared, purpose, kind, after).await {
            Ok((revision, update)) => {
                after = Some(revision);
                on_update(shared, update);
                sleep(COALESCE_DELAY).await;
            }
            Err(e) => {
                log::debug!(entry = shared.name().as_str(); "{kind}: not followed: {e}");
                if e == Error::Gone {
                    after = None;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn next_update(
    shared: &Shared,
    purpose: Purpose,
    kind: &str,
    after: Option<u64>,
) -> Result<(u64, Update), Error> {
    let objects = &shared.objects;
    let Some(after) = after else {
        let list = objects.list(purpose, kind, "").await?;
        return Ok((list.revision, Update::All(list.items)));
    };
    let changes = objects
        .watch(purpose, kind, after, watch_wait(shared))
        .await?;
    Ok((changes.revision, Update::Changes(changes.changes)))
}

/// How long a watch waits, so that all entries together keep their rate.
fn watch_wait(shared: &Shared) -> Duration {
    let entries = shared.members.view().members().len();
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let wait = Duration::from_secs(1) / MAX_TOTAL_WATCHES_PER_SECOND * entries;
    wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}
