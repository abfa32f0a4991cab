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
const TICK: Duration = Duration::from_millis(100);
/// Most reads under way: a hanging one must not keep a fresh one from being sent.
const MAX_READS: u32 = 2;
/// Longest wait for a peer's configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The number and the document that a request is pinned to.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The number.
    pub number: u64,
    /// The document.
    pub document: Rc<Document>,
}

/// What a peer last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// When it was heard.
    pub at: Time,
    /// The number in force there.
    pub number: u64,
    /// The peer's own stamp of it.
    sent_us: u64,
}

/// The controller's state.
pub struct Config {
    register: RefCell<Participant>,
    pin: RefCell<Option<Pin>>,
    heard: RefCell<BTreeMap<CompactString, Heard>>,
    reading: Cell<u32>,
    fetching: Cell<bool>,
    rounds: Cell<u64>,
    /// Rounds under way.
    open: Cell<u32>,
}

impl Config {
    /// The state of a starting entry.
    pub fn new(now: Time, name: CompactString) -> Self {
        Self {
            register: RefCell::new(Participant::new(now, name)),
            pin: RefCell::default(),
            heard: RefCell::default(),
            reading: Cell::default(),
            fetching: Cell::default(),
            rounds: Cell::default(),
            open: Cell::default(),
        }
    }

    /// The number in force; 0 before the first read.
    pub fn number(&self) -> u64 {
        self.register.borrow().number()
    }

    /// What is in force here, whether or not a request may be admitted under it; `None` before
    /// the first read.
    pub fn pin(&self) -> Option<Pin> {
        self.pin.borrow().clone()
    }

    /// What a request that is admitted now is pinned to.
    ///
    /// # Errors
    /// Why the entry admits none.
    pub fn admits(&self, now: Time) -> Result<Pin, Refusal> {
        self.register.borrow().admits(now)?;
        self.pin().ok_or(Refusal::Starting)
    }

    /// Whether peers may take this entry's number as a sign that nothing newer is in force.
    pub fn vouches(&self, now: Time) -> bool {
        self.register.borrow().is_up_to_date(now)
    }

    /// What was last heard of each peer.
    pub fn heard(&self) -> BTreeMap<CompactString, Heard> {
        self.heard.borrow().clone()
    }

    /// Forgets what was heard of others than `names`.
    pub(super) fn keep(&self, names: &BTreeSet<CompactString>) {
        let mut heard = self.heard.borrow_mut();
        heard.retain(|name, _| names.contains(name));
    }

    /// Names the latest summary of the peer `to`, if one was heard.
    pub fn echo(&self, to: &Hello) -> Option<Echo> {
        let heard = self.heard.borrow().get(&to.name).copied()?;
        (heard.incarnation == to.incarnation).then_some(Echo {
            incarnation: heard.incarnation,
            sent_us: heard.sent_us,
        })
    }
}

/// Starts the controller. The member object must have been written before.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            step(&shared, ParticipantEvent::Tick);
            sleep(TICK).await;
        }
    });
    spawn(shared, async |shared: Rc<Shared>| watch::run(&shared).await);
}

/// Takes in what a peer tells of its configuration.
pub fn hear(shared: &Rc<Shared>, from: &Hello, summary: &Summary) {
    let now = shared.now();
    let heard = Heard {
        incarnation: from.incarnation,
        at: now,
        number: summary.number,
        sent_us: summary.sent_us,
    };
    let name = from.name.clone();
    shared.config.heard.borrow_mut().insert(name, heard);
    let own = summary
        .echo
        .filter(|echo| echo.incarnation == shared.incarnation && echo.sent_us <= now.0);
    let input = ParticipantEvent::PeerState {
        echoed_at: own.map_or(Time::ZERO, |echo| Time(echo.sent_us)),
        number: summary.number,
        up_to_date: summary.config_confirmed && own.is_some(),
        from: from.name.clone(),
    };
    step(shared, input);
}

/// The answer to a peer's [`Call::FetchConfig`].
pub fn fetched(shared: &Shared) -> Reply {
    let Some(pin) = shared.config.pin() else {
        return Reply::Refused("starting".into());
    };
    match serde_json::to_value(&*pin.document) {
        Ok(document) => Reply::Config {
            number: pin.number,
            document,
        },
        Err(e) => Reply::Refused(e.to_string().into()),
    }
}

/// Reads the object now, whatever the register orders.
pub(super) fn read(shared: &Rc<Shared>) {
    let reading = shared.config.reading.get();
    if reading >= MAX_READS {
        return;
    }
    shared.config.reading.set(reading + 1);
    spawn(shared, async |shared: Rc<Shared>| {
        let sent_at = shared.now();
        let read = read_stored(&shared).await;
        shared.config.reading.set(shared.config.reading.get() - 1);
        if let Some((version, stored)) = read {
            let input = ParticipantEvent::Read {
                sent_at,
                version,
                stored,
            };
            step(&shared, input);
        }
    });
}

/// Feeds the register and carries out its orders.
fn step(shared: &Rc<Shared>, input: ParticipantEvent) {
    let orders = feed(shared, input);
    carry_out(shared, orders);
}

/// Stores a configuration that may come into force; whether it is confirmed.
fn prepare(shared: &Rc<Shared>, prepare: Prepare) -> bool {
    let orders = feed(shared, ParticipantEvent::Prepare(prepare));
    let confirmed = orders
        .iter()
        .any(|order| matches!(order, ParticipantAction::Confirm { .. }));
    carry_out(shared, orders);
    confirmed
}

fn feed(shared: &Rc<Shared>, input: ParticipantEvent) -> Vec<ParticipantAction> {
    let now = shared.now();
    let mut register = shared.config.register.borrow_mut();
    let orders = register.step(now, input);
    let started = register.admits(now) != Err(Refusal::Starting);
    let mut pin = shared.config.pin.borrow_mut();
    if started && pin.as_ref().map(|pin| pin.number) != Some(register.number()) {
        let old = pin.replace(Pin {
            number: register.number(),
            document: Rc::new(register.document().clone()),
        });
        drop((pin, register));
        // The pin is in place: whoever is told of the change already finds the new number.
        apply::changed(shared, old.as_ref());
    }
    orders
}

fn carry_out(shared: &Rc<Shared>, orders: Vec<ParticipantAction>) {
    for order in orders {
        match order {
            ParticipantAction::Read => read(shared),
            ParticipantAction::AbortPending { version, stored } => {
                take_back(shared, version, stored);
            }
            ParticipantAction::Fetch { from } => fetch(shared, from),
            // The pin has followed the register, and the answer to a prepare confirms it.
            ParticipantAction::Apply { .. } | ParticipantAction::Confirm { .. } => {}
        }
    }
}

fn take_back(shared: &Rc<Shared>, version: u64, stored: StoredConfig) {
    log::warn!(entry = shared.name().as_str(); "config: pending patch taken back");
    spawn(shared, async move |shared| {
        write_stored(&shared, version, &stored).await;
        read(&shared);
    });
}

fn fetch(shared: &Rc<Shared>, from: CompactString) {
    if shared.config.fetching.replace(true) {
        return;
    }
    spawn(shared, async move |shared| {
        let reply = members::call(&shared, &from, Call::FetchConfig, FETCH_TIMEOUT).await;
        shared.config.fetching.set(false);
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
