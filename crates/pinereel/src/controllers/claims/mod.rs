//! Idempotency keys: claims a key before its request runs, and settles the claim with the outcome.
//!
//! Each key belongs to a shard, whose [`Log`] is kept in the object API. Any entry may write any
//! shard's log; sending all claims of a shard to its owner, chosen by rendezvous hashing, only
//! avoids write conflicts. An entry that cannot reach the owner uses the next in rank, or writes
//! the log itself.
//!
//! - `client`: claims and settles keys for requests that arrived at this entry.
//! - `log_store`: reads, writes and trims a log's segments in the object API.

mod client;
mod log_store;

pub use client::{ClaimResult, claim, settle, settle_not_run};

use crate::state::{Shared, spawn};
use compact_str::CompactString;
use pinereel_api::wire;
use pinereel_core::{
    Time,
    claim::{Action, Event, Limits, Log, SHARD_COUNT, StoredResponse, Verdict, shard_of},
    hash::{self, Digest},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::oneshot, time::sleep};

/// Interval between two ticks of each open log.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long settlements are held back, so as to be written in one segment with later claims.
const SETTLEMENT_LINGER: Duration = Duration::from_millis(100);
/// A log that another entry owns is closed after this time without a claim or settlement.
const IDLE_LOG_TIMEOUT: Duration = Duration::from_secs(120);

/// A request's claim of its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Pool and idempotency key, joined.
    pub key: CompactString,
    /// Digest of the request's content, which must be the same for each use of the key.
    pub digest: Digest,
    /// Id of the request, unique to this claim.
    pub request: CompactString,
}

impl ClaimRequest {
    /// Number of the shard that the key belongs to.
    pub fn shard(&self) -> u64 {
        shard_of(&self.key, SHARD_COUNT)
    }
}

/// A shard's log that is open at this entry, and the calls that wait for it.
struct OpenLog {
    log: Log,
    /// When the last claim or settlement arrived.
    last_used: Time,
    pending_claims: BTreeMap<CompactString, oneshot::Sender<Verdict>>,
    pending_settlements: BTreeMap<CompactString, Vec<oneshot::Sender<bool>>>,
    /// Number and object version of the segment created last.
    last_created: Option<(u64, u64)>,
}

/// State of the claims controller.
pub struct Claims {
    limits: Cell<Limits>,
    open_logs: RefCell<BTreeMap<u64, OpenLog>>,
}

impl Default for Claims {
    fn default() -> Self {
        let limits = Limits {
            linger: SETTLEMENT_LINGER,
            ..Limits::default()
        };
        Self {
            limits: Cell::new(limits),
            open_logs: RefCell::default(),
        }
    }
}

impl Claims {
    /// Sets the limits of logs that are opened from now on.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Number of logs that are open at this entry.
    pub fn open_log_count(&self) -> usize {
        self.open_logs.borrow().len()
    }
}

/// Starts the task that ticks the open logs and closes idle ones.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            let shards: Vec<_> = shared.claims.open_logs.borrow().keys().copied().collect();
            for shard in shards {
                step(&shared, shard, Event::Tick);
            }
            close_idle_logs(&shared);
            sleep(TICK_INTERVAL).await;
        }
    });
}

/// Closes idle logs, except those that this entry owns, since only an open log is trimmed.
fn close_idle_logs(shared: &Shared) {
    let now = shared.now();
    shared
        .claims
        .open_logs
        .borrow_mut()
        .retain(|shard, open_log| {
            !open_log.log.is_idle()
                || now.since(open_log.last_used) < IDLE_LOG_TIMEOUT
                || is_owner(shared, *shard)
        });
}

/// Whether this entry is the shard's owner by its own membership view.
fn is_owner(shared: &Shared, shard: u64) -> bool {
    shared.members.ranked(shard_hash(shard), 1).first() == Some(shared.name())
}

/// Key of a shard for rendezvous hashing.
fn shard_hash(shard: u64) -> u64 {
    hash::stable(&shard.to_le_bytes())
}

/// Handles a peer's claim.
pub async fn serve_claim(
    shared: &Rc<Shared>,
    claim: ClaimRequest,
    time_left: Duration,
) -> wire::Reply {
    // A draining entry refuses, so that the caller tries the next entry instead of timing out.
    if shared.drain.refuses_requests() {
        return wire::Reply::Refused("draining".into());
    }
    let _guard = shared.drain.track_request();
    match claim_locally(shared, &claim, time_left).await {
        Verdict::Granted => wire::Reply::Granted,
        Verdict::Repeat(record) => wire::Reply::Repeat(record),
        Verdict::InProgress => wire::Reply::InProgress,
        Verdict::ClaimUnknown => wire::Reply::ClaimUnknown,
        Verdict::KeyConflict => wire::Reply::KeyConflict,
        Verdict::NotClaimed => wire::Reply::NotClaimed,
    }
}

/// Handles a peer's settlement; also while draining, as the outcome of a request that ran must not
/// be lost.
pub async fn serve_settle(
    shared: &Rc<Shared>,
    claim: ClaimRequest,
    outcome: Option<StoredResponse>,
) -> wire::Reply {
    let _guard = shared.drain.track_request();
    if settle_locally(shared, &claim, outcome).await {
        wire::Reply::Done
    } else {
        wire::Reply::Refused("not stored".into())
    }
}

/// Claims a key in this entry's own log of the shard.
async fn claim_locally(shared: &Rc<Shared>, claim: &ClaimRequest, time_left: Duration) -> Verdict {
    let (sender, verdict) = oneshot::channel();
    let shard = claim.shard();
    let event = Event::Claim {
        request: claim.request.clone(),
        key: claim.key.clone(),
        digest: claim.digest,
        time_left,
    };
    with_open_log(shared, shard, |open_log| {
        open_log
            .pending_claims
            .insert(claim.request.clone(), sender);
    });
    step(shared, shard, event);
    verdict.await.unwrap_or(Verdict::NotClaimed)
}

/// Settles a claim in this entry's own log of the shard; returns whether that is stored.
async fn settle_locally(
    shared: &Rc<Shared>,
    claim: &ClaimRequest,
    outcome: Option<StoredResponse>,
) -> bool {
    let (sender, stored) = oneshot::channel();
    let shard = claim.shard();
    let event = Event::Settle {
        request: claim.request.clone(),
        key: claim.key.clone(),
        digest: claim.digest,
        outcome,
    };
    with_open_log(shared, shard, |open_log| {
        let senders = open_log
            .pending_settlements
            .entry(claim.request.clone())
            .or_default();
        senders.push(sender);
    });
    step(shared, shard, event);
    stored.await.unwrap_or(false)
}

/// Applies `update` to the shard's log, which is opened if necessary and marked as used.
fn with_open_log(shared: &Rc<Shared>, shard: u64, update: impl FnOnce(&mut OpenLog)) {
    let now = shared.now();
    let mut initial_actions = Vec::new();
    {
        let mut logs = shared.claims.open_logs.borrow_mut();
        let open_log = logs.entry(shard).or_insert_with(|| {
            // The writer id is never reused: a lost write could be taken for one of another writer.
            let limits = shared.claims.limits.get();
            let (log, actions) = Log::new(now, shared.request_id(), limits);
            initial_actions = actions;
            OpenLog {
                log,
                last_used: now,
                pending_claims: BTreeMap::new(),
                pending_settlements: BTreeMap::new(),
                last_created: None,
            }
        });
        open_log.last_used = now;
        update(open_log);
    }
    execute_all(shared, shard, initial_actions);
}

/// Feeds an event to a log and carries out the resulting actions.
fn step(shared: &Rc<Shared>, shard: u64, event: Event) {
    let actions = {
        let mut logs = shared.claims.open_logs.borrow_mut();
        let Some(open_log) = logs.get_mut(&shard) else {
            return;
        };
        open_log.log.step(shared.now(), event)
    };
    execute_all(shared, shard, actions);
}

fn execute_all(shared: &Rc<Shared>, shard: u64, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Reply { request, verdict } => send_verdict(shared, shard, &request, verdict),
            Action::Settled { request, stored } => send_stored(shared, shard, &request, stored),
            call => spawn(shared, async move |shared: Rc<Shared>| {
                let event = log_store::execute(&shared, shard, call).await;
                step(&shared, shard, event);
            }),
        }
    }
}

fn send_verdict(shared: &Shared, shard: u64, request: &str, verdict: Verdict) {
    let mut logs = shared.claims.open_logs.borrow_mut();
    let sender = logs
        .get_mut(&shard)
        .and_then(|o| o.pending_claims.remove(request));
    if let Some(sender) = sender {
        // A caller that has timed out settles its claim itself.
        let _ = sender.send(verdict);
    }
}

fn send_stored(shared: &Shared, shard: u64, request: &str, stored: bool) {
    let mut logs = shared.claims.open_logs.borrow_mut();
    let senders = logs
        .get_mut(&shard)
        .and_then(|o| o.pending_settlements.remove(request));
    for sender in senders.into_iter().flatten() {
        let _ = sender.send(stored);
    }
}
