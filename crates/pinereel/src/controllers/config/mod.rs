//! The configuration in force at this entry, and the patches that arrive here.
//!
//! - [`propose`]: one patch on its way, from this entry as its proposer.
//! - [`relay`]: messages of a patch, carried out here and passed on.
//! - `apply`: what changes here when a new number comes into force.
//! - `watch`: the sparse watch on the configuration's object.

mod apply;
pub mod propose;
pub mod relay;
mod watch;

use super::members;
use crate::{
    objects::{Error, Purpose},
    state::{Shared, spawn},
};
use compact_str::CompactString;
use pinereel_api::{
    object::{CONFIG, CONFIG_NAME, Object},
    wire::{Call, Echo, Hello, Reply, Summary},
};
use pinereel_core::{
    Time,
    config::{
        Document, Participant, ParticipantAction, ParticipantEvent, Prepare, Refusal, StoredConfig,
        WriteResult,
    },
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Pause between ticks of the register, which wants one at least every 250 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most reads under way: a hanging one must not keep a fresh one from being sent.
const MAX_READS_IN_FLIGHT: u32 = 2;
/// Longest wait for a peer's configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The number and the document that a request is pinned to.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The number.
    pub number: u64,
    /// The document.
    pub document: Rc<Document>,
}

/// What a peer last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// When it was heard.
    pub received_at: Time,
    /// The number in force there.
    pub number: u64,
    /// The peer's own stamp of it.
    sent_us: u64,
}

/// The controller's state.
pub struct Config {
    participant: RefCell<Participant>,
    snapshot: RefCell<Option<Snapshot>>,
    peer_states: RefCell<BTreeMap<CompactString, PeerState>>,
    reads_in_flight: Cell<u32>,
    fetch_in_flight: Cell<bool>,
    next_round: Cell<u64>,
    /// Rounds under way.
    rounds_in_flight: Cell<u32>,
}

impl Config {
    /// The state of a starting entry.
    pub fn new(now: Time, name: CompactString) -> Self {
        Self {
            participant: RefCell::new(Participant::new(now, name)),
            snapshot: RefCell::default(),
            peer_states: RefCell::default(),
            reads_in_flight: Cell::default(),
            fetch_in_flight: Cell::default(),
            next_round: Cell::default(),
            rounds_in_flight: Cell::default(),
        }
    }

    /// The number in force; 0 before the first read.
    pub fn number(&self) -> u64 {
        self.participant.borrow().number()
    }

    /// What is in force here, whether or not a request may be admitted under it; `None` before
    /// the first read.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// What a request that is admitted now is pinned to.
    ///
    /// # Errors
    /// Why the entry admits none.
    pub fn admits(&self, now: Time) -> Result<Snapshot, Refusal> {
        self.participant.borrow().admits(now)?;
        self.snapshot().ok_or(Refusal::Starting)
    }

    /// Whether peers may take this entry's number as a sign that nothing newer is in force.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        self.participant.borrow().is_up_to_date(now)
    }

    /// What was last heard of each peer.
    pub fn peer_states(&self) -> BTreeMap<CompactString, PeerState> {
        self.peer_states.borrow().clone()
    }

    /// Forgets what was heard of others than `names`.
    pub(super) fn retain_peers(&self, names: &BTreeSet<CompactString>) {
        let mut states = self.peer_states.borrow_mut();
        states.retain(|name, _| names.contains(name));
    }

    /// Names the latest summary of the peer `to`, if one was heard.
    pub fn echo_for(&self, to: &Hello) -> Option<Echo> {
        let state = self.peer_states.borrow().get(&to.name).copied()?;
        (state.incarnation == to.incarnation).then_some(Echo {
            incarnation: state.incarnation,
            sent_us: state.sent_us,
        })
    }
}

/// Starts the controller. The member object must have been written before.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            step(&shared, ParticipantEvent::Tick);
            sleep(TICK_INTERVAL).await;
        }
    });
    spawn(shared, async |shared: Rc<Shared>| watch::run(&shared).await);
}

/// Takes in what a peer tells of its configuration.
pub fn receive_summary(shared: &Rc<Shared>, from: &Hello, summary: &Summary) {
    let now = shared.now();
    let state = PeerState {
        incarnation: from.incarnation,
        received_at: now,
        number: summary.number,
        sent_us: summary.sent_us,
    };
    let name = from.name.clone();
    shared.config.peer_states.borrow_mut().insert(name, state);
    let own = summary
        .echo
        .filter(|echo| echo.incarnation == shared.incarnation && echo.sent_us <= now.0);
    let event = ParticipantEvent::PeerState {
        echoed_at: own.map_or(Time::ZERO, |echo| Time(echo.sent_us)),
        number: summary.number,
        up_to_date: summary.vouches && own.is_some(),
        from: from.name.clone(),
    };
    step(shared, event);
}

/// The answer to a peer's [`Call::Fetch`].
pub fn serve_fetch(shared: &Shared) -> Reply {
    let Some(snapshot) = shared.config.snapshot() else {
        return Reply::Refused("starting".into());
    };
    match serde_json::to_value(&*snapshot.document) {
        Ok(document) => Reply::Config {
            number: snapshot.number,
            document,
        },
        Err(e) => Reply::Refused(e.to_string().into()),
    }
}

/// Reads the object now, whatever the register orders.
pub(super) fn start_read(shared: &Rc<Shared>) {
    let in_flight = shared.config.reads_in_flight.get();
    if in_flight >= MAX_READS_IN_FLIGHT {
        return;
    }
    shared.config.reads_in_flight.set(in_flight + 1);
    spawn(shared, async |shared: Rc<Shared>| {
        let sent_at = shared.now();
        let stored = read_stored(&shared).await;
        shared
            .config
            .reads_in_flight
            .set(shared.config.reads_in_flight.get() - 1);
        if let Some((version, stored)) = stored {
            let event = ParticipantEvent::Read {
                sent_at,
                version,
                stored,
            };
            step(&shared, event);
        }
    });
}

/// Feeds the register and carries out its orders.
fn step(shared: &Rc<Shared>, event: ParticipantEvent) {
    let actions = step_participant(shared, event);
    execute_all(shared, actions);
}

/// Stores a configuration that may come into force; whether it is confirmed.
fn prepare(shared: &Rc<Shared>, prepare: Prepare) -> bool {
    let actions = step_participant(shared, ParticipantEvent::Prepare(prepare));
    let confirmed = actions
        .iter()
        .any(|action| matches!(action, ParticipantAction::Confirm { .. }));
    execute_all(shared, actions);
    confirmed
}

fn step_participant(shared: &Rc<Shared>, event: ParticipantEvent) -> Vec<ParticipantAction> {
    let now = shared.now();
    let mut participant = shared.config.participant.borrow_mut();
    let actions = participant.step(now, event);
    let started = participant.admits(now) != Err(Refusal::Starting);
    let mut snapshot = shared.config.snapshot.borrow_mut();
    if started && snapshot.as_ref().map(|snapshot| snapshot.number) != Some(participant.number()) {
        let old = snapshot.replace(Snapshot {
            number: participant.number(),
            document: Rc::new(participant.document().clone()),
        });
        drop((snapshot, participant));
        // The pin is in place: whoever is told of the change already finds the new number.
        apply::apply_snapshot(shared, old.as_ref());
    }
    actions
}

fn execute_all(shared: &Rc<Shared>, actions: Vec<ParticipantAction>) {
    for action in actions {
        match action {
            ParticipantAction::Read => start_read(shared),
            ParticipantAction::AbortPending { version, stored } => {
                abort_pending(shared, version, stored);
            }
            ParticipantAction::Fetch { from } => fetch(shared, from),
            // The pin has followed the register, and the answer to a prepare confirms it.
            ParticipantAction::Apply { .. } | ParticipantAction::Confirm { .. } => {}
        }
    }
}

fn abort_pending(shared: &Rc<Shared>, version: u64, stored: StoredConfig) {
    log::warn!(entry = shared.name().as_str(); "config: pending patch taken back");
    spawn(shared, async move |shared| {
        write_stored(&shared, version, &stored).await;
        start_read(&shared);
    });
}

fn fetch(shared: &Rc<Shared>, from: CompactString) {
    if shared.config.fetch_in_flight.replace(true) {
        return;
    }
    spawn(shared, async move |shared| {
        let reply = members::call(&shared, &from, Call::Fetch, FETCH_TIMEOUT).await;
        shared.config.fetch_in_flight.set(false);
        let Some(Reply::Config { number, document }) = reply else {
            return;
        };
        match serde_json::from_value(document) {
            Ok(document) => step(&shared, ParticipantEvent::Fetched { number, document }),
            Err(e) => log::error!("config: configuration {number} of {from} unreadable: {e}"),
        }
    });
}

/// Reads the object's version and content; an absent object is version 0 and empty.
async fn read_stored(shared: &Shared) -> Option<(u64, StoredConfig)> {
    let objects = &shared.objects;
    match objects.read(Purpose::Config, CONFIG, CONFIG_NAME).await {
        Ok(None) => Some((0, StoredConfig::default())),
        Ok(Some(object)) => parse(object),
        Err(e) => {
            log::warn!(entry = shared.name().as_str(); "config: not read: {e}");
            None
        }
    }
}

fn parse(object: Object) -> Option<(u64, StoredConfig)> {
    match serde_json::from_value(object.value) {
        Ok(stored) => Some((object.version, stored)),
        Err(e) => {
            log::error!("config: object unreadable: {e}");
            None
        }
    }
}

/// Writes the object on condition of its version; version 0 creates it.
async fn write_stored(shared: &Shared, version: u64, stored: &StoredConfig) -> WriteResult {
    let objects = &shared.objects;
    let (purpose, kind, name) = (Purpose::Config, CONFIG, CONFIG_NAME);
    let written = match version {
        0 => objects.create(purpose, kind, name, stored).await,
        _ => objects.update(purpose, kind, name, version, stored).await,
    };
    match written {
        Ok(version) => WriteResult::Written(version),
        Err(Error::Conflict | Error::NotFound) => WriteResult::Conflict,
        Err(e) => {
            log::warn!(entry = shared.name().as_str(); "config: write without a result: {e}");
            WriteResult::Unknown
        }
    }
}
