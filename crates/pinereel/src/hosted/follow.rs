//! Following all objects of a kind: one list, then watches.

use super::store::Store;
use crate::objects::{Error, Purpose};
use pinereel_port::store::{Change, Object};
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a failed call. A change must be in force within two seconds, and the breaker of the
/// store's client spares a store that is down.
const RETRY: Duration = Duration::from_millis(200);

/// What the store told.
#[derive(Debug)]
pub enum Update {
    /// All objects of the kind as they stand.
    All(Vec<Object>),
    /// What changed since, oldest first; never empty.
    Changes(Vec<Change>),
}

/// How the objects of a kind are followed.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Longest wait of one watch.
    pub wait: Duration,
    /// Pause after changes, so that what comes together is told by one call.
    pub gather: Duration,
}

/// Follows the objects of `kind` until dropped, and tells `take` of each answer. `manner` is asked
/// before each watch.
pub async fn follow(
    store: &Store,
    purpose: Purpose,
    kind: &str,
    manner: impl Fn() -> Manner,
    mut take: impl FnMut(Update),
) {
    let mut returns = store.returns();
    let mut revision = None;
    loop {
        returns.mark_unchanged();
        let answer = tokio::select! {
            answer = once(store, purpose, kind, manner().wait, revision) => answer,
            // A watch that began before the contact was lost may never hear of anything.
            _ = returns.changed() => continue,
        };
        match answer {
            Ok((next, update)) => {
                // A revision that goes back is another history: nothing seen before counts.
                if revision.is_some_and(|revision| next < revision) {
                    log::warn!(kind; "watch: revision went back, listing again");
                    revision = None;
                    continue;
                }
                revision = Some(next);
                if let Some(update) = update {
                    take(update);
                    sleep(manner().gather).await;
                }
            }
            Err(error) => {
                if !matches!(error, Error::NotSent(_)) {
                    log::info!(kind, error:% = error; "watch: broken off");
                }
                if error == Error::Gone {
                    revision = None;
                } else {
                    sleep(RETRY).await;
                }
            }
        }
    }
}

async fn once(
    store: &Store,
    purpose: Purpose,
    kind: &str,
    wait: Duration,
    revision: Option<u64>,
) -> Result<(u64, Option<Update>), Error> {
    let Some(revision) = revision else {
        let (objects, revision) = store.list(purpose, kind, None).await?;
        return Ok((revision, Some(Update::All(objects))));
    };
    let changes = store.watch(purpose, kind, revision, wait).await?;
    let update = (!changes.changes.is_empty()).then_some(Update::Changes(changes.changes));
    Ok((changes.revision, update))
}
