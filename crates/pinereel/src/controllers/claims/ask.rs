//! How an entry claims a key for a request of its own, and settles it.

use super::{Ask, claim_here, place, settle_here};
use crate::{peer::Error, state::Shared};
use pinereel_api::wire::{Call, Reply};
use pinereel_core::claim::{StoredResponse, Verdict};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Longest wait for a verdict. After it the request is refused and its claim given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for one try to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Tries to settle.
const SETTLE_TRIES: u32 = 8;
/// Pause after the first failed try to settle; it doubles with each.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between tries to settle.
const SETTLE_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Entries to ask, best first, before this one writes the log itself.
const CANDIDATES: usize = 3;

/// What came of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// The log's verdict.
    Verdict(Verdict),
    /// The link to the owner closed: the claim may be in the log and must be settled as not run.
    Closed,
    /// No verdict came in time: as [`Asked::Closed`].
    Late,
}

/// Asks the owner of the key's shard for a verdict. Only an ask that certainly was not carried out
/// goes on to the next entry.
pub async fn claim(shared: &Rc<Shared>, ask: &Ask, left: Duration) -> Asked {
    let wait = left.min(CLAIM_TIMEOUT);
    match timeout(wait, ask_owner(shared, ask, left)).await {
        Ok(asked) => asked,
        Err(_) => Asked::Late,
    }
}

async fn ask_owner(shared: &Rc<Shared>, ask: &Ask, left: Duration) -> Asked {
    let call = Call::Claim {
        key: ask.key.clone(),
        digest: ask.digest,
        request: ask.request.clone(),
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    };
    for name in shared.members.ranked(place(ask.shard()), CANDIDATES) {
        if name == *shared.name() {
            break;
        }
        let answer = shared.mesh.call(&name, call.clone(), CLAIM_TIMEOUT).await;
        let verdict = match answer {
            Ok(Reply::Granted) => Verdict::Granted,
            Ok(Reply::Repeat(record)) => Verdict::Repeat(record),
            Ok(Reply::InProgress) => Verdict::InProgress,
            Ok(Reply::ClaimUnknown) => Verdict::ClaimUnknown,
            Ok(Reply::KeyConflict) => Verdict::KeyConflict,
            Ok(Reply::NotClaimed) => Verdict::NotClaimed,
            Ok(_) | Err(Error::NoLink | Error::QueueFull | Error::TooLarge) => continue,
            Err(Error::Closed) => return Asked::Closed,
            Err(Error::Timeout) => return Asked::Late,
        };
        return Asked::Verdict(verdict);
    }
    Asked::Verdict(claim_here(shared, ask, left).await)
}

/// Stores what became of a claimed request; `None` if it did not run and never will. Tries the
/// shard's owner and the next ones in turn, and this entry's own log. Whether it is stored: if not,
/// the key reads as in progress and then as unknown.
pub async fn settle(shared: &Rc<Shared>, ask: &Ask, outcome: Option<StoredResponse>) -> bool {
    let mut pause = SETTLE_PAUSE;
    for _ in 0..SETTLE_TRIES {
        if settle_once(shared, ask, outcome.clone()).await {
            return true;
        }
        sleep(pause).await;
        pause = (pause * 2).min(SETTLE_PAUSE_MAX);
    }
    log::warn!(
        entry = shared.name().as_str(), request = ask.request.as_str();
        "claim not settled: its key will read as unknown"
    );
    false
}

/// Settles an ask as not run, with one try; whether it is stored.
pub async fn give_up(shared: &Rc<Shared>, ask: &Ask) -> bool {
    settle_once(shared, ask, None).await
}

async fn settle_once(shared: &Rc<Shared>, ask: &Ask, outcome: Option<StoredResponse>) -> bool {
    let tried = try_settle(shared, ask, outcome);
    timeout(SETTLE_TIMEOUT, tried).await.unwrap_or(false)
}

async fn try_settle(shared: &Rc<Shared>, ask: &Ask, outcome: Option<StoredResponse>) -> bool {
    let call = Call::Settle {
        key: ask.key.clone(),
        request: ask.request.clone(),
        digest: ask.digest,
        outcome: outcome.clone(),
    };
    for name in shared.members.ranked(place(ask.shard()), CANDIDATES) {
        if name == *shared.name() {
            break;
        }
        let answer = shared.mesh.call(&name, call.clone(), SETTLE_TIMEOUT).await;
        if answer == Ok(Reply::Done) {
            return true;
        }
    }
    settle_here(shared, ask, outcome).await
}
