//! Follows all objects of a kind in the object API: one list, then watches.
//!
//! Polling by list would transfer and parse all objects each time, although almost nothing has
//! changed; a watch returns the changes alone.

use crate::{
    objects::{Error, Purpose},
    state::Shared,
};
use pinereel_api::object::{Change, Object};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Watches per second of all entries together, for one kind; with more entries, each watch waits
/// longer.
const MAX_TOTAL_WATCHES_PER_SECOND: u32 = 100;
/// Shortest time for which a watch is held open without a change.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which a watch is held open without a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay before the next watch, so that changes that come together are returned together.
const COALESCE_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An answer of the object API.
#[derive(Debug)]
pub enum Update {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes since the last update, oldest first; empty if a watch ended without any.
    Changes(Vec<Change>),
}

/// Follows the objects of `kind` and calls `on_update` with each answer; never returns.
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
                log::debug!(entry = shared.name().as_str(); "{kind}: list or watch failed: {e}");
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

/// How long a watch is held open, so that all entries together keep within
/// [`MAX_TOTAL_WATCHES_PER_SECOND`].
fn watch_wait(shared: &Shared) -> Duration {
    let entries = shared.members.view().members().len();
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let wait = Duration::from_secs(1) / MAX_TOTAL_WATCHES_PER_SECOND * entries;
    wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}
