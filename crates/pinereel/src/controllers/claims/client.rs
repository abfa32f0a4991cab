//! Claims and settles idempotency keys for requests that arrived at this entry.

use super::{ClaimRequest, claim_locally, settle_locally, shard_hash};
use crate::{peer::Error, state::Shared};
use pinereel_api::wire::{Call, Reply};
use pinereel_core::claim::{StoredResponse, Verdict};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Longest wait for a verdict; without one by then, the request is refused and its claim settled as
/// not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one attempt to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most attempts to settle a claim.
const MAX_SETTLE_ATTEMPTS: u32 = 8;
/// Delay after the first failed attempt to settle; it doubles with each further one.
const SETTLE_RETRY_MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between attempts to settle.
const SETTLE_RETRY_MAX_DELAY: Duration = Duration::from_secs(2);
/// Most other entries to try, in rank order, before this entry writes the log itself.
const MAX_REMOTE_CANDIDATES: usize = 3;

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// Verdict of the shard's log.
    Verdict(Verdict),
    /// The link to the owner closed: the claim may be stored and must be settled as not run.
    Closed,
    /// No verdict arrived in time; to be settled as after [`ClaimResult::Closed`].
    TimedOut,
}

/// Claims a key at the owner of its shard. The next entry in rank is tried only if the previous one
/// certainly did not carry out the claim.
pub async fn claim(shared: &Rc<Shared>, claim: &ClaimRequest, time_left: Duration) -> ClaimResult {
    let wait = time_left.min(CLAIM_TIMEOUT);
    match timeout(wait, claim_at_owner(shared, claim, time_left)).await {
        Ok(result) => result,
        Err(_) => ClaimResult::TimedOut,
    }
}

async fn claim_at_owner(
    shared: &Rc<Shared>,
    claim: &ClaimRequest,
    time_left: Duration,
) -> ClaimResult {
    let call = Call::Claim {
        key: claim.key.clone(),
        digest: claim.digest,
        request: claim.request.clone(),
        left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
    };
    for name in shared
        .members
        .ranked(shard_hash(claim.shard()), MAX_REMOTE_CANDIDATES)
    {
        if name == *shared.name() {
            break;
        }
        let reply = shared.mesh.call(&name, call.clone(), CLAIM_TIMEOUT).await;
        let verdict = match reply {
            Ok(Reply::Granted) => Verdict::Granted,
            Ok(Reply::Repeat(record)) => Verdict::Repeat(record),
            Ok(Reply::InProgress) => Verdict::InProgress,
            Ok(Reply::ClaimUnknown) => Verdict::ClaimUnknown,
            Ok(Reply::KeyConflict) => Verdict::KeyConflict,
            Ok(Reply::NotClaimed) => Verdict::NotClaimed,
            Ok(_) | Err(Error::NoLink | Error::QueueFull | Error::TooLarge) => continue,
            Err(Error::Closed) => return ClaimResult::Closed,
            Err(Error::Timeout) => return ClaimResult::TimedOut,
        };
        return ClaimResult::Verdict(verdict);
    }
    ClaimResult::Verdict(claim_locally(shared, claim, time_left).await)
}

/// Settles a claim with the request's outcome; `None` if it did not run and never will. Tries the
/// shard's owner, the next entries in rank, and this entry's own log. Returns whether the outcome
/// is stored; if not, further claims of the key get the verdict in progress, and later unknown.
pub async fn settle(
    shared: &Rc<Shared>,
    claim: &ClaimRequest,
    outcome: Option<StoredResponse>,
) -> bool {
    let mut delay = SETTLE_RETRY_MIN_DELAY;
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        if settle_within_timeout(shared, claim, outcome.clone()).await {
            return true;
        }
        sleep(delay).await;
        delay = (delay * 2).min(SETTLE_RETRY_MAX_DELAY);
    }
    log::warn!(
        entry = shared.name().as_str(), request = claim.request.as_str();
        "claims: settlement failed; the outcome of the key will be unknown"
    );
    false
}

/// Settles a claim as not run, with a single attempt; returns whether that is stored.
pub async fn settle_not_run(shared: &Rc<Shared>, claim: &ClaimRequest) -> bool {
    settle_within_timeout(shared, claim, None).await
}

async fn settle_within_timeout(
    shared: &Rc<Shared>,
    claim: &ClaimRequest,
    outcome: Option<StoredResponse>,
) -> bool {
    let settled = settle_at_owner(shared, claim, outcome);
    timeout(SETTLE_TIMEOUT, settled).await.unwrap_or(false)
}

async fn settle_at_owner(
    shared: &Rc<Shared>,
    claim: &ClaimRequest,
    outcome: Option<StoredResponse>,
) -> bool {
    let call = Call::Settle {
        key: claim.key.clone(),
        request: claim.request.clone(),
        digest: claim.digest,
        outcome: outcome.clone(),
    };
    for name in shared
        .members
        .ranked(shard_hash(claim.shard()), MAX_REMOTE_CANDIDATES)
    {
        if name == *shared.name() {
            break;
        }
        let reply = shared.mesh.call(&name, call.clone(), SETTLE_TIMEOUT).await;
        if reply == Ok(Reply::Done) {
            return true;
        }
    }
    settle_locally(shared, claim, outcome).await
}
