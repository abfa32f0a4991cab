//! Memory of this process for connections and bodies, of callers as well as of endpoints and the object store.
//!
//! [`Ledger`] decides; this module carries its decisions out: whoever holds a [`Reservation`] is told when
//! it is given up for another, and drops what it holds.

mod buffer;

pub use buffer::Buffer;
pub use pinereel_core::memory::{Kind, Phase};

use crate::state::Clock;
use bytes::Bytes;
use pinereel_core::{
    Time,
    memory::{Full, Key, Ledger},
};
use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Memory of the smallest instance, in bytes, which is assumed where the settings do not give any.
pub const DEFAULT_INSTANCE_BYTES: usize = 120_000_000;
/// Memory of the program and its state, in bytes.
const PROCESS_BYTES: usize = 24_000_000;
/// One part in so many of the memory of an instance is left to the allocator, which does not use all that it
/// takes.
const ALLOCATOR_SHARE: usize = 8;
/// Bytes of short parts of a body that are collected before they are stored.
const MAX_COLLECTED_BYTES: usize = 4 << 10;

/// Memory for all connections and bodies of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    holders: BTreeMap<Key, Holder>,
    /// Number of bodies and connections that were given up.
    given_up: u64,
}

/// What is dropped when a reservation is given up.
#[derive(Debug)]
struct Holder {
    /// Tells whoever has the reservation.
    signal: CancellationToken,
    /// The part of a body that has been received.
    body: Buffer,
}

/// Bytes that are in use, by what they are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections and their buffers.
    pub connections: usize,
    /// Bodies that are being received.
    pub receiving: usize,
    /// Complete bodies that are still needed.
    pub held: usize,
    /// Limit of all together.
    pub max: usize,
    /// Number of bodies and connections that were given up for others, since the start.
    pub given_up: u64,
}

impl Default for Memory {
    fn default() -> Self {
        Self::of_instance(DEFAULT_INSTANCE_BYTES)
    }
}

impl Memory {
    /// Memory of an instance that may use `instance_bytes` in total, less what the process needs otherwise.
    pub fn of_instance(instance_bytes: usize) -> Self {
        let for_all = instance_bytes - instance_bytes / ALLOCATOR_SHARE;
        Self::new(for_all.saturating_sub(PROCESS_BYTES))
    }

    /// Memory of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                ledger: Ledger::new(max_bytes),
                holders: BTreeMap::new(),
                given_up: 0,
            })),
            clock: Clock::new(),
        }
    }

    /// Begins to count something of this kind, without any bytes yet.
    pub fn open(&self, kind: Kind) -> Reservation {
        self.open_body(kind, 0)
    }

    /// Begins to receive a body of this kind, of at most `max_length` bytes.
    pub fn open_body(&self, kind: Kind, max_length: usize) -> Reservation {
        let mut state = self.lock();
        let key = state.ledger.open(self.clock.now(), kind);
        let signal = CancellationToken::new();
        let holder = Holder {
            signal: signal.clone(),
            body: Buffer::new(max_length),
        };
        state.holders.insert(key, holder);
        drop(state);
        Reservation {
            memory: self.clone(),
            key,
            signal,
            collected: Vec::new(),
            overhead: 0,
        }
    }

    /// Counts `bytes` for work that has begun, so that they are not given up for others.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, Full> {
        // As for the youngest request body, only those give way whose senders have stalled.
        let reservation = self.open(Kind::Upload(None));
        reservation.grow(bytes)?;
        self.lock().ledger.hold(reservation.key, bytes);
        Ok(reservation)
    }

    /// Gives up the connection that has waited longest, for `min_wait` at least; returns whether there was one.
    pub fn give_up_connection(&self, min_wait: Duration) -> bool {
        let mut state = self.lock();
        let given_up = state.ledger.give_up_connection(self.clock.now(), min_wait);
        state.give_up(given_up)
    }

    /// What the memory is used for.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        let ledger = &state.ledger;
        let connections = ledger.bytes_of(|kind| matches!(kind, Kind::Connection(_)));
        let held = ledger.bytes_of(|kind| kind == Kind::Held);
        Usage {
            connections,
            held,
            receiving: ledger.used_bytes() - connections - held,
            max: ledger.max_bytes(),
            given_up: state.given_up,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No panic can leave the ledger in an invalid state, as it is changed by single calls.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn holder(&mut self, key: Key) -> Result<&mut Holder, Full> {
        self.holders.get_mut(&key).ok_or(Full)
    }

    fn grow(&mut self, now: Time, key: Key, bytes: usize) -> Result<(), Full> {
        let given_up = self.ledger.grow(now, key, bytes)?;
        self.give_up(given_up);
        Ok(())
    }

    fn grow_to(&mut self, now: Time, key: Key, bytes: usize) -> Result<(), Full> {
        match bytes.checked_sub(self.ledger.bytes(key)) {
            None | Some(0) => Ok(()),
            Some(missing) => self.grow(now, key, missing),
        }
    }

    /// Drops the bodies of these entries, and tells whoever has their reservations; returns whether there was any.
    fn give_up(&mut self, keys: impl IntoIterator<Item = Key>) -> bool {
        let holders = keys.into_iter().filter_map(|key| self.holders.remove(&key));
        let count = holders.map(|holder| holder.signal.cancel()).count();
        self.given_up += count as u64;
        count > 0
    }
}

/// Counts bytes in use until it is dropped.
pub struct Reservation {
    memory: Memory,
    key: Key,
    signal: CancellationToken,
    /// Short parts of the body that are not stored yet.
    collected: Vec<u8>,
    /// Bytes that are counted besides the body.
    overhead: usize,
}

impl fmt::Debug for Reservation {
    /// Leaves the bytes of the body out, which may be confidential.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Key of the entry.
    pub(crate) const fn key(&self) -> Key {
        self.key
    }

    /// Counts `bytes` more.
    ///
    /// # Errors
    /// There is no room for them, or this reservation was given up.
    pub fn grow(&self, bytes: usize) -> Result<(), Full> {
        let now = self.memory.clock.now();
        self.memory.lock().grow(now, self.key, bytes)
    }

    /// Counts `bytes` in total, unless there are more already.
    ///
    /// # Errors
    /// As for [`Self::grow`].
    pub fn grow_to(&self, bytes: usize) -> Result<(), Full> {
        let now = self.memory.clock.now();
        self.memory.lock().grow_to(now, self.key, bytes)
    }

    /// Appends a part to the body, for which `overhead` bytes are counted besides its own. Short parts are
    /// collected first, as each append has a cost of its own.
    ///
    /// # Errors
    /// There is no room, the body was given up, or it would be longer than its maximum.
    pub fn append(&mut self, part: &[u8], overhead: usize) -> Result<(), Full> {
        self.overhead = overhead;
        if self.collected.len() + part.len() > MAX_COLLECTED_BYTES {
            self.store_collected()?;
        }
        if part.len() > MAX_COLLECTED_BYTES {
            return self.store(part);
        }
        self.collected.extend_from_slice(part);
        Ok(())
    }

    fn store_collected(&mut self) -> Result<(), Full> {
        let collected = std::mem::take(&mut self.collected);
        self.store(&collected)?;
        self.collected = collected;
        self.collected.clear();
        Ok(())
    }

    fn store(&self, part: &[u8]) -> Result<(), Full> {
        let now = self.memory.clock.now();
        let mut state = self.memory.lock();
        let length = state.holder(self.key)?.body.len() + part.len();
        state.grow_to(now, self.key, Buffer::bytes_for(length) + self.overhead)?;
        state.ledger.record_received(now, self.key, part.len());
        // Either the body is too long, or the operating system has no memory left.
        let body = &mut state.holder(self.key)?.body;
        body.extend(part).map_err(|_| Full)
    }

    /// Records what a connection is used for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.memory.clock.now();
        self.memory.lock().ledger.set_phase(now, self.key, phase);
    }

    /// Memory that this is a part of.
    pub(crate) const fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Returns a future that ends when this is given up for others.
    pub fn given_up(&self) -> impl Future<Output = ()> + use<> {
        self.signal.clone().cancelled_owned()
    }

    /// Receives a body, whose parts `append_parts` appends, and returns it complete. Ends with the error that
    /// `full` makes as soon as the body is given up for others.
    ///
    /// # Errors
    /// As for `append_parts`, and there is no room.
    pub async fn receive<E>(
        mut self,
        full: impl Fn(Full) -> E,
        append_parts: impl AsyncFnOnce(&mut Self) -> Result<(), E>,
    ) -> Result<Bytes, E> {
        let given_up = self.given_up();
        let receive = async {
            append_parts(&mut self).await?;
            self.hold().map_err(&full)
        };
        tokio::select! {
            biased;
            () = given_up => Err(full(Full)),
            body = receive => body,
        }
    }

    /// Returns the complete body, which counts until all copies of the returned bytes are dropped.
    ///
    /// # Errors
    /// This reservation was given up.
    fn hold(mut self) -> Result<Bytes, Full> {
        self.store_collected()?;
        let mut state = self.memory.lock();
        let holder = state.holders.remove(&self.key).ok_or(Full)?;
        let bytes = holder.body.allocated_bytes();
        state.ledger.hold(self.key, bytes);
        drop(state);
        Ok(Bytes::from_owner(Held {
            body: holder.body,
            _reservation: self,
        }))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.close(self.key);
        state.holders.remove(&self.key);
    }
}

/// A complete body, which is counted until it is dropped.
struct Held {
    body: Buffer,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        self.body.as_ref()
    }
}
