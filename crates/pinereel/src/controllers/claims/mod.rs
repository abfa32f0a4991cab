//! Idempotency claims: the logs of the shards that are open here, and whom to ask for a claim.
//!
//! - [`claim`]: how an entry gets a claim for a request of its own, and settles it.
//! - `store`: how a log's calls are carried out on the object API.
//!
//! Any entry may write any shard's log; the owner by rendezvous only saves conflicts. So an entry
//! that cannot reach the owner goes to the next one, or writes the log itself.

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

/// Pause between ticks of the logs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Outcomes wait for so long for claims to be written with.
const SETTLEMENT_LINGER: Duration = Duration::from_millis(100);
/// A log that was not asked for so long, and is another entry's, is dropped from memory.
const IDLE_LOG_TIMEOUT: Duration = Duration::from_secs(120);

/// A request that asks for its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The pool and the idempotency key.
    pub key: CompactString,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Id of the request, unique to this ask.
    pub request: CompactString,
}

impl ClaimRequest {
    /// The shard of the key.
    pub fn shard(&self) -> u64 {
        shard_of(&self.key, SHARD_COUNT)
    }
}

/// One open log.
struct OpenLog {
    log: Log,
    /// When a claim or settlement last came.
    last_used: Time,
    pending_claims: BTreeMap<CompactString, oneshot::Sender<Verdict>>,
    pending_settlements: BTreeMap<CompactString, Vec<oneshot::Sender<bool>>>,
    /// The segment that the last create wrote: its number and version.
    last_created: Option<(u64, u64)>,
}

/// The controller's state.
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
    /// Sets the bounds of logs that are opened from now on.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Number of logs in memory.
    pub fn open_log_count(&self) -> usize {
        self.open_logs.borrow().len()
    }
}

/// Starts the controller.
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

/// The owner keeps its logs, as only an open log is trimmed.
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

/// Whether this entry is the shard's owner in its own view.
fn is_owner(shared: &Shared, shard: u64) -> bool {
    shared.members.ranked(shard_hash(shard), 1).first() == Some(shared.name())
}

/// Where a shard lies for the rendezvous.
fn shard_hash(shard: u64) -> u64 {
    hash::stable(&shard.to_le_bytes())
}

/// Answers a peer's claim.
pub async fn serve_claim(
    shared: &Rc<Shared>,
    claim: ClaimRequest,
    time_left: Duration,
) -> wire::Reply {
    // An entry about to stop sends the asker elsewhere rather than leave it without an answer.
    if shared.drain.refuses() {
        return wire::Reply::Refused("draining".into());
    }
    let _guard = shared.drain.enter();
    match claim_locally(shared, &claim, time_left).await {
        Verdict::Granted => wire::Reply::Granted,
        Verdict::Repeat(record) => wire::Reply::Repeat(record),
        Verdict::InProgress => wire::Reply::InProgress,
        Verdict::ClaimUnknown => wire::Reply::ClaimUnknown,
        Verdict::KeyConflict => wire::Reply::KeyConflict,
        Verdict::NotClaimed => wire::Reply::NotClaimed,
    }
}

/// Stores a peer's settlement, also during a drain: what ran must not be forgotten.
pub async fn serve_settle(
    shared: &Rc<Shared>,
    claim: ClaimRequest,
    outcome: Option<StoredResponse>,
) -> wire::Reply {
    let _guard = shared.drain.enter();
    if settle_locally(shared, &claim, outcome).await {
        wire::Reply::Done
    } else {
        wire::Reply::Refused("not stored".into())
    }
}

/// Claims in the log that is open here.
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

/// Settles in the log that is open here; whether it is stored.
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

/// Opens the shard's log if need be, and notes that it is in use.
fn with_open_log(shared: &Rc<Shared>, shard: u64, update: impl FnOnce(&mut OpenLog)) {
    let now = shared.now();
    let mut initial_actions = Vec::new();
    {
        let mut logs = shared.claims.open_logs.borrow_mut();
        let open_log = logs.entry(shard).or_insert_with(|| {
            // A writer's name is never used again, or a lost write could be taken for another.
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

/// Tells a log an event and carries out what it wants.
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
        // Whoever asked and gave up settles by itself.
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
