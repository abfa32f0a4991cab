//! Following all objects of a kind: one list, then watches, or what the bulletin tells.

use super::{store::Store, tree::FeedEvent};
use crate::objects::{Error, Purpose};
use pinereel_port::store::{Change, Object};
use std::time::Duration;
use tokio::{
    sync::broadcast,
    time::{Instant, sleep, sleep_until},
};

/// Pause after a failed call. A change must be in force within two seconds, and the breaker of the
/// store's client spares a store that is down.
const RETRY: Duration = Duration::from_millis(200);

/// A part that has just started waits so long for what the bulletin tells, before it asks the store
/// itself. Instances that start together find the holder within about 0.4 s, or 0.9 s if they have
/// little processor time.
const FIRST_WAIT: Duration = Duration::from_millis(1_200);

/// What the store told.
#[derive(Clone, Debug)]
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

/// Who told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The bulletin.
    Bulletin,
    /// The store, which has all objects of the kind.
    Store,
}

/// Follows the objects of `kind` until dropped, and tells `take` of each answer with its revision.
/// `manner` is asked before each watch. While `fed` tells, the store is not asked.
pub async fn follow(
    store: &Store,
    purpose: Purpose,
    kind: &str,
    manner: impl Fn() -> Manner,
    fed: Option<broadcast::Receiver<FeedEvent>>,
    mut take: impl FnMut(Update, u64),
) {
    let take = |update, revision, _| take(update, revision);
    follow_from(store, purpose, kind, manner, fed, take).await;
}

/// The same as [`follow`], where it matters who told.
pub async fn follow_from(
    store: &Store,
    purpose: Purpose,
    kind: &str,
    manner: impl Fn() -> Manner,
    fed: Option<broadcast::Receiver<FeedEvent>>,
    mut take: impl FnMut(Update, u64, Origin),
) {
    let mut returns = store.returns();
    let mut fed = Hearing::new(fed);
    let mut revision = None;
    // Whether a watch may never tell what has changed since the revision: a store that has just cut
    // its watches or come back may take one from a revision whose history it no longer has, and stay
    // silent. In 5 of 16 plays a configuration was missed so for 4.6 s; with the list in none of 56.
    let mut must_list = true;
    loop {
        returns.mark_unchanged();
        let expected_until = fed.expected_until();
        let from = revision.filter(|_| !must_list);
        let answer = tokio::select! {
            biased;
            told = fed.next(), if fed.is_open() => {
                if let Some((update, told)) = told {
                    // The holder may lag behind what is known here.
                    if revision.is_none_or(|known| told >= known) {
                        revision = Some(told);
                        must_list = false;
                        take(update, told, Origin::Bulletin);
                    }
                }
                continue;
            }
            () = until(expected_until) => {
                fed.voice = Voice::Silent;
                continue;
            }
            answer = once(store, purpose, kind, manner().wait, from), if fed.is_silent() => answer,
            // A watch that began before the contact was lost may never hear of anything.
            _ = returns.changed(), if fed.is_silent() => {
                must_list = true;
                continue;
            }
        };
        match answer {
            Ok((next, update)) => {
                // A revision that goes back is another history: nothing seen before counts.
                if revision.is_some_and(|revision| next < revision) {
                    log::warn!(kind; "watch: revision went back, listing again");
                    revision = None;
                    must_list = true;
                    continue;
                }
                revision = Some(next);
                must_list = false;
                if let Some(update) = update {
                    take(update, next, Origin::Store);
                    sleep(manner().gather).await;
                }
            }
            Err(error) => {
                if !matches!(error, Error::NotSent(_)) {
                    log::info!(kind, error:% = error; "watch: broken off");
                }
                must_list = true;
                if error != Error::Gone {
                    // Callers are refused until what is followed is known.
                    tokio::select! {
                        () = sleep(RETRY) => {}
                        _ = returns.changed() => {}
                    }
                }
            }
        }
    }
}

/// What is to be heard of the bulletin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Voice {
    /// It may tell for the first time until then.
    Expected(Instant),
    /// It tells all that changes.
    Tells,
    /// Nothing: the store must be asked.
    Silent,
}

/// Hears the bulletin.
struct Hearing {
    receiver: Option<broadcast::Receiver<FeedEvent>>,
    voice: Voice,
}

impl Hearing {
    fn new(receiver: Option<broadcast::Receiver<FeedEvent>>) -> Self {
        let voice = match receiver {
            Some(_) => Voice::Expected(Instant::now() + FIRST_WAIT),
            None => Voice::Silent,
        };
        Self { receiver, voice }
    }

    const fn is_open(&self) -> bool {
        self.receiver.is_some()
    }

    /// Whether the store must be asked.
    fn is_silent(&self) -> bool {
        self.voice == Voice::Silent
    }

    /// Until when it may tell for the first time, if it may.
    const fn expected_until(&self) -> Option<Instant> {
        match self.voice {
            Voice::Expected(until) => Some(until),
            Voice::Tells | Voice::Silent => None,
        }
    }

    /// The next update and its revision; none if what is to be expected has changed.
    ///
    /// A loss that is told again changes nothing. When each one began a new watch, 70 instances made
    /// 1,700 calls in the 3 s between two holders of the bulletin.
    async fn next(&mut self) -> Option<(Update, u64)> {
        loop {
            let heard = match &mut self.receiver {
                Some(receiver) => receiver.recv().await,
                None => std::future::pending().await,
            };
            match heard {
                Ok(FeedEvent::Update(update, revision)) => {
                    // Changes alone may follow on what this part has missed.
                    if matches!(*update, Update::All(_)) {
                        self.voice = Voice::Tells;
                    }
                    if self.voice == Voice::Tells {
                        return Some(((*update).clone(), revision));
                    }
                }
                Ok(FeedEvent::ExpectedBy(until)) => {
                    if self.expected_until().is_some() {
                        self.voice = Voice::Expected(until);
                        return None;
                    }
                }
                Ok(FeedEvent::Rank(_)) => {}
                Ok(FeedEvent::Lost) | Err(broadcast::error::RecvError::Lagged(_)) => {
                    if !self.is_silent() {
                        self.voice = Voice::Silent;
                        return None;
                    }
                }
                Err(broadcast::error::RecvError::Closed) => {
                    self.voice = Voice::Silent;
                    self.receiver = None;
                    return None;
                }
            }
        }
    }
}

/// Sleeps until a moment; for good without one.
async fn until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => std::future::pending().await,
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
