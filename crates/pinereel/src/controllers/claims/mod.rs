//! Idempotency claims: the logs of the shards that are open here, and whom to ask for a claim.
//!
//! - [`ask`]: how an entry gets a claim for a request of its own, and settles it.
//! - `store`: how a log's calls are carried out on the object API.
//!
//! Any entry may write any shard's log; the owner by rendezvous only saves conflicts. So an entry
//! that cannot reach the owner goes to the next one, or writes the log itself.

mod ask;
mod store;

pub use ask::{Asked, claim, give_up, settle};

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
const TICK: Duration = Duration::from_millis(50);
/// Outcomes wait for so long for claims to be written with.
const LINGER: Duration = Duration::from_millis(100);
/// A log that was not asked for so long, and is another entry's, is dropped from memory.
const IDLE: Duration = Duration::from_secs(120);

/// A request that asks for its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The pool and the idempotency key.
    pub key: CompactString,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Id of the request, unique to this ask.
    pub request: CompactString,
}

impl Ask {
    /// The shard of the key.
    pub fn shard(&self) -> u64 {
        shard_of(&self.key, SHARD_COUNT)
    }
}

/// One open log.
struct Open {
    log: Log,
    /// When a claim or settlement last came.
    used: Time,
    claims: BTreeMap<CompactString, oneshot::Sender<Verdict>>,
    settles: BTreeMap<CompactString, Vec<oneshot::Sender<bool>>>,
    /// The segment that the last create wrote: its number and version.
    created: Option<(u64, u64)>,
}

/// The controller's state.
pub struct Claims {
    limits: Cell<Limits>,
    open: RefCell<BTreeMap<u64, Open>>,
}

impl Default for Claims {
    fn default() -> Self {
        let limits = Limits {
            linger: LINGER,
            ..Limits::default()
        };
        Self {
            limits: Cell::new(limits),
            open: RefCell::default(),
        }
    }
}

impl Claims {
    /// Sets the bounds of logs that are opened from now on.
    pub fn limit(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Number of logs in memory.
    pub fn logs(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            let shards: Vec<_> = shared.claims.open.borrow().keys().copied().collect();
            for shard in shards {
                step(&shared, shard, Event::Tick);
            }
            drop_idle(&shared);
            sleep(TICK).await;
        }
    });
}

/// The owner keeps its logs, as only an open log is trimmed.
fn drop_idle(shared: &Shared) {
    let now = shared.now();
    shared.claims.open.borrow_mut().retain(|shard, open| {
        !open.log.is_idle() || now.since(open.used) < IDLE || owns(shared, *shard)
    });
}

/// Whether this entry is the shard's owner in its own view.
fn owns(shared: &Shared, shard: u64) -> bool {
    shared.members.ranked(place(shard), 1).first() == Some(shared.name())
}

/// Where a shard lies for the rendezvous.
fn place(shard: u64) -> u64 {
    hash::stable(&shard.to_le_bytes())
}

/// Answers a peer's claim.
pub async fn serve_claim(shared: &Rc<Shared>, ask: Ask, left: Duration) -> wire::Reply {
    // An entry about to stop sends the asker elsewhere rather than leave it without an answer.
    if shared.drain.refuses() {
        return wire::Reply::Refused("draining".into());
    }
    let _guard = shared.drain.enter();
    match claim_here(shared, &ask, left).await {
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
    ask: Ask,
    outcome: Option<StoredResponse>,
) -> wire::Reply {
    let _guard = shared.drain.enter();
    if settle_here(shared, &ask, outcome).await {
        wire::Reply::Done
    } else {
        wire::Reply::Refused("not stored".into())
    }
}

/// Claims in the log that is open here.
async fn claim_here(shared: &Rc<Shared>, ask: &Ask, time_left: Duration) -> Verdict {
    let (sender, verdict) = oneshot::channel();
    let shard = ask.shard();
    let event = Event::Claim {
        request: ask.request.clone(),
        key: ask.key.clone(),
        digest: ask.digest,
        time_left,
    };
    with(shared, shard, |open| {
        open.claims.insert(ask.request.clone(), sender);
    });
    step(shared, shard, event);
    verdict.await.unwrap_or(Verdict::NotClaimed)
}

/// Settles in the log that is open here; whether it is stored.
async fn settle_here(shared: &Rc<Shared>, ask: &Ask, outcome: Option<StoredResponse>) -> bool {
    let (sender, stored) = oneshot::channel();
    let shard = ask.shard();
    let event = Event::Settle {
        request: ask.request.clone(),
        key: ask.key.clone(),
        digest: ask.digest,
        outcome,
    };
    with(shared, shard, |open| {
        let waiting = open.settles.entry(ask.request.clone()).or_default();
        waiting.push(sender);
    });
    step(shared, shard, event);
    stored.await.unwrap_or(false)
}

/// Opens the shard's log if need be, and notes that it is in use.
fn with(shared: &Rc<Shared>, shard: u64, change: impl FnOnce(&mut Open)) {
    let now = shared.now();
    let mut first = Vec::new();
    {
        let mut logs = shared.claims.open.borrow_mut();
        let open = logs.entry(shard).or_insert_with(|| {
            // A writer's name is never used again, or a lost write could be taken for another.
            let limits = shared.claims.limits.get();
            let (log, actions) = Log::new(now, shared.request_id(), limits);
            first = actions;
            Open {
                log,
                used: now,
                claims: BTreeMap::new(),
                settles: BTreeMap::new(),
                created: None,
            }
        });
        open.used = now;
        change(open);
    }
    carry_out(shared, shard, first);
}

/// Tells a log an event and carries out what it wants.
fn step(shared: &Rc<Shared>, shard: u64, event: Event) {
    let actions = {
        let mut logs = shared.claims.open.borrow_mut();
        let Some(open) = logs.get_mut(&shard) else {
            return;
        };
        open.log.step(shared.now(), event)
    };
    carry_out(shared, shard, actions);
}

fn carry_out(shared: &Rc<Shared>, shard: u64, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Reply { request, verdict } => reply(shared, shard, &request, verdict),
            Action::Settled { request, stored } => settled(shared, shard, &request, stored),
            call => spawn(shared, async move |shared: Rc<Shared>| {
                let event = store::call(&shared, shard, call).await;
                step(&shared, shard, event);
            }),
        }
    }
}

fn reply(shared: &Shared, shard: u64, request: &str, verdict: Verdict) {
    let mut logs = shared.claims.open.borrow_mut();
    let sender = logs.get_mut(&shard).and_then(|o| o.claims.remove(request));
    if let Some(sender) = sender {
        // Whoever asked and gave up settles by itself.
        let _ = sender.send(verdict);
    }
}

fn settled(shared: &Shared, shard: u64, request: &str, stored: bool) {
    let mut logs = shared.claims.open.borrow_mut();
    let senders = logs.get_mut(&shard).and_then(|o| o.settles.remove(request));
    for sender in senders.into_iter().flatten() {
        let _ = sender.send(stored);
    }
}
