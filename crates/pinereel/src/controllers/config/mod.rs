//! The configuration in force at this entry: the I/O side of [`pinereel_core::config`].
//!
//! Requests are served under a [`Snapshot`]. This module feeds the [`Participant`] of the two-phase
//! commit with reads of the object API and the summaries of peers, and carries out its actions.
//!
//! - [`propose`]: runs the [`pinereel_core::config::Coordinator`] of a patch that arrives here.
//! - [`relay`]: handles and forwards the commit protocol's messages.
//! - `apply`: notifies the other controllers of a new configuration.
//! - `watch`: watches the configuration's object for changes.

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

/// Interval between two ticks of the participant, which needs one at least every 250 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most concurrent reads of the object: more than one, as a read that hangs must not prevent the
/// next.
const MAX_READS_IN_FLIGHT: u32 = 2;
/// Timeout of a call that fetches a peer's configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration as a request sees it, from its admission to its end.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Number of the configuration; each accepted patch raises it by one.
    pub number: u64,
    /// Content of the configuration.
    pub document: Rc<Document>,
}

/// Content of a peer's last summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Incarnation of the peer that sent it.
    pub incarnation: u64,
    /// When it arrived, by this entry's clock.
    pub received_at: Time,
    /// Number of the configuration in force at the peer.
    pub number: u64,
    /// Time of sending in microseconds, by the peer's clock; echoed back to it.
    sent_us: u64,
}

/// State of the configuration controller.
pub struct Config {
    participant: RefCell<Participant>,
    snapshot: RefCell<Option<Snapshot>>,
    peer_states: RefCell<BTreeMap<CompactString, PeerState>>,
    reads_in_flight: Cell<u32>,
    fetch_in_flight: Cell<bool>,
    /// Number of the next commit round that this entry proposes.
    next_round: Cell<u64>,
    /// Number of patches whose commit rounds are running at this entry.
    rounds_in_flight: Cell<u32>,
}

impl Config {
    /// State of a starting entry, which has no configuration before its first read.
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

    /// The configuration in force here, whether or not requests may be admitted under it; `None`
    /// before the first read.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// The configuration under which a request is admitted now.
    ///
    /// # Errors
    /// The reason why the entry does not admit requests.
    pub fn admits(&self, now: Time) -> Result<Snapshot, Refusal> {
        self.participant.borrow().admits(now)?;
        self.snapshot().ok_or(Refusal::Starting)
    }

    /// Whether peers may take this entry's number as proof that no higher one is in force.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        self.participant.borrow().is_up_to_date(now)
    }

    /// The last summary of each peer.
    pub fn peer_states(&self) -> BTreeMap<CompactString, PeerState> {
        self.peer_states.borrow().clone()
    }

    /// Drops the state of all peers but `names`.
    pub(super) fn retain_peers(&self, names: &BTreeSet<CompactString>) {
        let mut states = self.peer_states.borrow_mut();
        states.retain(|name, _| names.contains(name));
    }

    /// Echo of the last summary of the peer `to`; `None` if this incarnation sent none.
    pub fn echo_for(&self, to: &Hello) -> Option<Echo> {
        let state = self.peer_states.borrow().get(&to.name).copied()?;
        (state.incarnation == to.incarnation).then_some(Echo {
            incarnation: state.incarnation,
            sent_us: state.sent_us,
        })
    }
}

/// Starts the controller's tasks. The member object must have been written before.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            step(&shared, ParticipantEvent::Tick);
            sleep(TICK_INTERVAL).await;
        }
    });
    spawn(shared, async |shared: Rc<Shared>| watch::run(&shared).await);
}

/// Handles a peer's periodic summary.
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
    let own_echo = summary
        .echo
        .filter(|echo| echo.incarnation == shared.incarnation && echo.sent_us <= now.0);
    let event = ParticipantEvent::PeerState {
        echoed_at: own_echo.map_or(Time::ZERO, |echo| Time(echo.sent_us)),
        number: summary.number,
        up_to_date: summary.config_confirmed && own_echo.is_some(),
        from: from.name.clone(),
    };
    step(shared, event);
}

/// Answers a peer's [`Call::FetchConfig`] with the configuration in force here.
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

/// Starts a read of the object, without waiting for the participant to ask for one.
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

/// Feeds an event to the participant and carries out its actions.
fn step(shared: &Rc<Shared>, event: ParticipantEvent) {
    let actions = step_participant(shared, event);
    execute_all(shared, actions);
}

/// Prepares a configuration at this entry; returns whether the participant confirmed it.
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
        // The snapshot is replaced first, so that those notified already see the new number.
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
            // `step_participant` has replaced the snapshot, and `prepare` returns the confirmation.
            ParticipantAction::Apply { .. } | ParticipantAction::Confirm { .. } => {}
        }
    }
}

fn abort_pending(shared: &Rc<Shared>, version: u64, stored: StoredConfig) {
    log::warn!(entry = shared.name().as_str(); "config: aborting a pending patch");
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
        let reply = members::call(&shared, &from, Call::FetchConfig, FETCH_TIMEOUT).await;
        shared.config.fetch_in_flight.set(false);
        let Some(Reply::Config { number, document }) = reply else {
            return;
        };
        match serde_json::from_value(document) {
            Ok(document) => step(&shared, ParticipantEvent::Fetched { number, document }),
            Err(e) => log::error!(
                "config: configuration {number} fetched from {from} cannot be parsed: {e}"
            ),
        }
    });
}

/// Reads the object's version and content; a missing object is version 0 and empty. `None` if it
/// cannot be read.
async fn read_stored(shared: &Shared) -> Option<(u64, StoredConfig)> {
    let objects = &shared.objects;
    match objects.read(Purpose::Config, CONFIG, CONFIG_NAME).await {
        Ok(None) => Some((0, StoredConfig::default())),
        Ok(Some(object)) => parse(object),
        Err(e) => {
            log::warn!(entry = shared.name().as_str(); "config: reading the object failed: {e}");
            None
        }
    }
}

fn parse(object: Object) -> Option<(u64, StoredConfig)> {
    match serde_json::from_value(object.value) {
        Ok(stored) => Some((object.version, stored)),
        Err(e) => {
            log::error!("config: object cannot be parsed: {e}");
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
            log::warn!(entry = shared.name().as_str(); "config: result of a write is unknown: {e}");
            WriteResult::Unknown
        }
    }
}
