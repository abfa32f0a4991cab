//! An entry's part: which configuration is in force here, and whether requests may be admitted.
//!
//! All knowledge is ordered by the object's version. While a patch is pending at version `v`, the
//! object's next change either accepts it or takes it back, so any later version resolves it.

use super::{Document, Prepare, Stored};
use crate::{Time, hash};
use compact_str::CompactString;
use std::{collections::VecDeque, time::Duration};

/// A longer gap between ticks counts as a pause of the process.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// From then on an unresolved patch keeps the entry from admitting. An acceptance needs this
/// entry's earlier confirmation, so nothing is admitted under the old number later than this
/// after the acceptance.
const DOUBT_TIMEOUT: Duration = Duration::from_secs(3);
/// Without contact for so long the entry does not admit.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);
/// From then on the entry reads the object to resolve a doubt.
const DOUBT_READ: Duration = Duration::from_secs(1);
/// From then on, plus a spread of half a second by name, it takes a pending patch back itself:
/// later than the proposer's own timeout, earlier than its own doubt.
const TAKE_BACK: Duration = Duration::from_millis(2_200);
/// Pause between two reads of the object.
const READ_PAUSE: Duration = Duration::from_millis(250);
/// Without contact for so long the entry reads the object.
const QUIET: Duration = Duration::from_secs(2);
/// How many taken back writes are remembered.
const ABORTED: usize = 16;

/// Why an entry does not admit a request. The request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The entry has not read the configuration since its start.
    #[error("the configuration has not been read yet")]
    Starting,
    /// The process was paused and has not confirmed its number since.
    #[error("the process was paused and must confirm its configuration")]
    Paused,
    /// A higher number is in force.
    #[error("configuration {0} is in force and not here yet")]
    Behind(u64),
    /// A patch was prepared and its result is not known.
    #[error("the result of configuration {0} is not known")]
    InDoubt(u64),
    /// Neither the object API nor a peer answers.
    #[error("neither the object API nor a peer can be reached")]
    Isolated,
}

/// What the controller tells the register.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passes; to be sent at least every 250 ms.
    Tick,
    /// The object was read from the object API, not from a cache.
    Read {
        /// When the read was sent.
        issued: Time,
        /// The object's version.
        version: u64,
        /// The object's content.
        stored: Stored,
    },
    /// A proposer asks to prepare.
    Prepare(Prepare),
    /// A proposer tells that its patch was accepted.
    Commit {
        /// The number now in force.
        number: u64,
        /// Id of the write.
        write: CompactString,
    },
    /// A proposer tells that it will never accept its patch.
    Abort {
        /// Id of the write.
        write: CompactString,
    },
    /// A peer's periodic state.
    Digest {
        /// When this entry sent the latest digest that the peer had seen; never the arrival time,
        /// since a link may hold a message for long.
        asked: Time,
        /// The number in force at the peer.
        number: u64,
        /// Whether the peer admits and has nothing prepared: [`Register::vouches`] there.
        vouches: bool,
        /// The peer's name.
        from: CompactString,
    },
    /// A peer's answer to a fetch.
    Fetched {
        /// The number in force at the peer.
        number: u64,
        /// The document in force at the peer.
        document: Document,
    },
}

/// What the controller shall do for the register.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    clippy::large_enum_variant,
    reason = "a value is moved once, and few exist at a time"
)]
pub enum Order {
    /// Read the object and feed [`Input::Read`].
    Read,
    /// Write the object on condition of its version, then read it.
    TakeBack {
        /// The version that it must have.
        version: u64,
        /// The new content.
        stored: Stored,
    },
    /// Confirm the prepared write to its proposer.
    Confirm {
        /// Id of the write.
        write: CompactString,
    },
    /// Fetch the configuration from a peer and feed [`Input::Fetched`].
    Fetch {
        /// The peer's name.
        from: CompactString,
    },
    /// Put a new number in force, for all requests admitted from now on.
    Apply {
        /// The number.
        number: u64,
    },
}

struct Prepared {
    prepare: Prepare,
    since: Time,
}

/// The configuration in force at one entry. Its number never goes down.
pub struct Register {
    name: CompactString,
    started: bool,
    number: u64,
    document: Document,
    seen: u64,
    known: u64,
    prepared: Option<Prepared>,
    aborted: VecDeque<CompactString>,
    contact: Time,
    ticked: Time,
    paused: Option<Time>,
    read_at: Option<Time>,
}

impl Register {
    /// The register of a starting entry. It must have written its member object before the first
    /// read of the configuration is sent.
    pub fn new(now: Time, name: impl Into<CompactString>) -> Self {
        Self {
            name: name.into(),
            started: false,
            number: 0,
            document: Document::default(),
            seen: 0,
            known: 0,
            prepared: None,
            aborted: VecDeque::new(),
            contact: now,
            ticked: now,
            paused: None,
            read_at: None,
        }
    }

    /// The number in force here.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// The document in force here.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// When it was last known that nothing newer was in force.
    pub const fn confirmed_at(&self) -> Time {
        self.contact
    }

    /// The number that a request admitted now is bound to.
    pub fn admits(&self, now: Time) -> Result<u64, Refusal> {
        if !self.started {
            return Err(Refusal::Starting);
        }
        // A request may come in before the first tick after a pause.
        if self.paused.is_some() || now.since(self.ticked) > PAUSE_LIMIT {
            return Err(Refusal::Paused);
        }
        if self.known > self.number {
            return Err(Refusal::Behind(self.known));
        }
        if let Some(prepared) = &self.prepared
            && now.since(prepared.since) >= DOUBT_TIMEOUT
        {
            return Err(Refusal::InDoubt(prepared.prepare.number));
        }
        if now.since(self.contact) > ISOLATION_TIMEOUT {
            return Err(Refusal::Isolated);
        }
        Ok(self.number)
    }

    /// Whether a peer may take this entry's number as a sign that nothing newer is in force.
    pub fn vouches(&self, now: Time) -> bool {
        self.prepared.is_none() && self.admits(now).is_ok()
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Order> {
        let mut orders = Vec::new();
        self.notice_pause(now);
        match input {
            Input::Tick => self.tick(now, &mut orders),
            Input::Read {
                issued,
                version,
                stored,
            } => {
                self.read(now, issued, version, stored, &mut orders);
            }
            Input::Prepare(prepare) => self.prepare(now, prepare, &mut orders),
            Input::Commit { number, write } => self.commit(number, &write, &mut orders),
            Input::Abort { write } => self.abort(write),
            Input::Digest {
                asked,
                number,
                vouches,
                from,
            } => {
                self.digest(asked, number, vouches, from, &mut orders);
            }
            Input::Fetched { number, document } => {
                if self.started {
                    self.apply(number, document, &mut orders);
                }
            }
        }
        orders
    }

    fn notice_pause(&mut self, now: Time) {
        if now.since(self.ticked) > PAUSE_LIMIT {
            self.paused = Some(now);
        }
        self.ticked = now;
    }

    fn tick(&mut self, now: Time, orders: &mut Vec<Order>) {
        let doubt = self
            .prepared
            .as_ref()
            .is_some_and(|p| now.since(p.since) >= DOUBT_READ);
        let behind = self.known > self.number;
        let quiet = now.since(self.contact) >= QUIET;
        let wanted = !self.started || self.paused.is_some() || doubt || behind || quiet;
        let rested = self.read_at.is_none_or(|at| now.since(at) >= READ_PAUSE);
        if wanted && rested {
            self.read_at = Some(now);
            orders.push(Order::Read);
        }
    }

    fn read(
        &mut self,
        now: Time,
        issued: Time,
        version: u64,
        stored: Stored,
        orders: &mut Vec<Order>,
    ) {
        if version < self.seen {
            return;
        }
        self.seen = version;
        self.started = true;
        self.contact = self.contact.max(issued);
        self.confirm(issued);
        self.resolve(issued, version, &stored);
        self.take_back(now, version, &stored, orders);
        self.apply(stored.number, stored.document, orders);
    }

    /// Brings the prepared patch in line with the object.
    fn resolve(&mut self, issued: Time, version: u64, stored: &Stored) {
        let Some(pending) = &stored.pending else {
            self.prepared = None;
            return;
        };
        let known = self
            .prepared
            .as_ref()
            .is_some_and(|p| p.prepare.write == pending.write);
        // A read from before the acceptance still shows what is in force here by now.
        let passed = pending.number <= self.number;
        if known || passed || self.aborted.contains(&pending.write) {
            return;
        }
        let prepare = Prepare {
            version,
            number: pending.number,
            document: pending.document.clone(),
            write: pending.write.clone(),
        };
        // The acceptance can only come after the read was sent, perhaps long before its answer.
        self.prepared = Some(Prepared {
            prepare,
            since: issued,
        });
    }

    fn take_back(&self, now: Time, version: u64, stored: &Stored, orders: &mut Vec<Order>) {
        let Some(prepared) = &self.prepared else {
            return;
        };
        let spread = hash::stable(self.name.as_bytes()) % 500;
        let patience = TAKE_BACK + Duration::from_millis(spread);
        if now.since(prepared.since) >= patience {
            orders.push(Order::TakeBack {
                version,
                stored: stored.taken_back(),
            });
        }
    }

    fn prepare(&mut self, now: Time, prepare: Prepare, orders: &mut Vec<Order>) {
        if !self.started || self.aborted.contains(&prepare.write) {
            return;
        }
        let write = prepare.write.clone();
        if self
            .prepared
            .as_ref()
            .is_some_and(|p| p.prepare.write == write)
        {
            orders.push(Order::Confirm { write });
            return;
        }
        if prepare.version <= self.seen || prepare.number <= self.number {
            return;
        }
        if prepare.number > self.number + 1 {
            self.known = self.known.max(prepare.number - 1);
            return;
        }
        self.seen = prepare.version;
        self.prepared = Some(Prepared {
            prepare,
            since: now,
        });
        orders.push(Order::Confirm { write });
    }

    fn commit(&mut self, number: u64, write: &str, orders: &mut Vec<Order>) {
        match self.prepared.take_if(|p| p.prepare.write == write) {
            Some(prepared) => self.apply(number, prepared.prepare.document, orders),
            None => self.known = self.known.max(number),
        }
    }

    fn abort(&mut self, write: CompactString) {
        self.prepared.take_if(|p| p.prepare.write == write);
        if self.aborted.len() == ABORTED {
            self.aborted.pop_front();
        }
        self.aborted.push_back(write);
    }

    fn digest(
        &mut self,
        asked: Time,
        number: u64,
        vouches: bool,
        from: CompactString,
        orders: &mut Vec<Order>,
    ) {
        if number > self.number {
            // The prepared patch has its own limit; the peer's number is most likely its result.
            if self
                .prepared
                .as_ref()
                .is_none_or(|p| p.prepare.number != number)
            {
                self.known = self.known.max(number);
            }
            orders.push(Order::Fetch { from });
            return;
        }
        if vouches && number == self.number {
            self.contact = self.contact.max(asked);
            self.confirm(asked);
        }
    }

    /// Ends a pause, if what is known was asked for after it.
    fn confirm(&mut self, asked: Time) {
        self.paused.take_if(|paused| asked >= *paused);
    }

    fn apply(&mut self, number: u64, document: Document, orders: &mut Vec<Order>) {
        if number <= self.number {
            return;
        }
        self.number = number;
        self.document = document;
        self.known = self.known.max(number);
        self.prepared.take_if(|p| p.prepare.number <= number);
        orders.push(Order::Apply { number });
    }
}
