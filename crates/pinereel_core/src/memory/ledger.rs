//! The entries, their sizes, and the decision whether one may grow.

use super::{Class, PROGRESS_BYTES, STALL_TIMEOUT, candidate};
use crate::Time;
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

new_key_type! {
    /// Key of an entry.
    pub struct Key;
}

/// What an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller's connection with its buffers.
    Connection(Phase),
    /// A request body that is being received on this connection, if it is known.
    Upload(Option<Key>),
    /// A response body that is being received from an endpoint.
    Download,
    /// A response of the object store that is being received. It is not bound by the limits for large entries.
    Control,
    /// A complete body. It is never given up.
    Held,
}

/// What a connection is used for, in the order in which connections are given up. A busy one is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// A refused body is read and discarded.
    Draining,
    /// No request head has been received yet.
    New,
    /// Between two requests.
    Idle,
    /// A request is in progress.
    Busy,
}

/// There is no room, and nothing that could be given up instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left")]
pub struct Full;

#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) kind: Kind,
    pub(super) bytes: usize,
    /// Sequence number; a higher one was opened later.
    pub(super) number: u64,
    /// When the sender made progress last, or the phase of the connection changed.
    pub(super) active_at: Time,
    /// Bytes received since then.
    unmarked: usize,
}

impl Entry {
    pub(super) const fn class(&self) -> Class {
        match self.kind {
            Kind::Connection(_) | Kind::Control => Class::Small,
            Kind::Upload(_) | Kind::Download | Kind::Held => Class::of(self.bytes),
        }
    }

    /// Whether this is a body whose sender has made no progress for [`STALL_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Time) -> bool {
        now.since(self.active_at) >= STALL_TIMEOUT
    }
}

/// Counts the bytes of all entries.
#[derive(Debug)]
pub struct Ledger {
    max_bytes: usize,
    entries: SlotMap<Key, Entry>,
    /// Bytes of the entries of each class.
    used: [usize; 3],
    next_number: u64,
}

impl Ledger {
    /// A ledger for `max_bytes` of all entries together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            entries: SlotMap::with_key(),
            used: [0; 3],
            next_number: 0,
        }
    }

    /// Adds an entry without any bytes.
    pub fn open(&mut self, now: Time, kind: Kind) -> Key {
        self.next_number += 1;
        self.entries.insert(Entry {
            kind,
            bytes: 0,
            number: self.next_number,
            active_at: now,
            unmarked: 0,
        })
    }

    /// Adds `bytes` to an entry. Returns the entries that are given up for it: they have no bytes any more, and
    /// what they stand for must be dropped at once.
    ///
    /// # Errors
    /// There is no room; the entry is unchanged and nothing is given up. The same for an entry that was given up.
    pub fn grow(&mut self, now: Time, key: Key, bytes: usize) -> Result<Vec<Key>, Full> {
        let entry = *self.entries.get(key).ok_or(Full)?;
        let grown = Entry {
            bytes: entry.bytes + bytes,
            ..entry
        };
        let mut used = self.used;
        used[entry.class() as usize] -= entry.bytes;
        used[grown.class() as usize] += grown.bytes;
        let mut given_up = Vec::new();
        if self.exceeded(&used, grown.class()).is_some() {
            for candidate in candidate::list(&self.entries, now, key, &grown) {
                let Some(exceeded) = self.exceeded(&used, grown.class()) else {
                    break;
                };
                let other = &self.entries[candidate];
                if other.class() >= exceeded {
                    used[other.class() as usize] -= other.bytes;
                    given_up.push(candidate);
                }
            }
        }
        if self.exceeded(&used, grown.class()).is_some() {
            return Err(Full);
        }
        for key in &given_up {
            self.entries.remove(*key);
        }
        self.used = used;
        self.entries[key] = grown;
        Ok(given_up)
    }

    /// Bytes of an entry; 0 if it was given up.
    pub fn bytes(&self, key: Key) -> usize {
        self.entries.get(key).map_or(0, |entry| entry.bytes)
    }

    /// The smallest class, up to `class`, whose limit is exceeded with these bytes in each.
    fn exceeded(&self, used: &[usize; 3], class: Class) -> Option<Class> {
        let mut classes = Class::ALL.into_iter().filter(|c| *c <= class);
        classes.find(|c| {
            let total: usize = used[*c as usize..].iter().sum();
            total > c.limit(self.max_bytes)
        })
    }

    /// Records that `bytes` of a body have arrived.
    pub fn record_received(&mut self, now: Time, key: Key, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.unmarked += bytes;
            if entry.unmarked >= PROGRESS_BYTES {
                entry.unmarked = 0;
                entry.active_at = now;
            }
        }
    }

    /// Marks a body of `bytes`, at most what was added, as complete. Returns whether the entry still exists.
    pub fn hold(&mut self, key: Key, bytes: usize) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        self.used[entry.class() as usize] -= entry.bytes;
        entry.kind = Kind::Held;
        entry.bytes = bytes.min(entry.bytes);
        self.used[entry.class() as usize] += entry.bytes;
        true
    }

    /// Records what a connection is used for from now on.
    pub fn set_phase(&mut self, now: Time, key: Key, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.kind = Kind::Connection(phase);
            entry.active_at = now;
        }
    }

    /// Gives up the connection that has waited longest for a request or for the rest of one, if that is
    /// `min_wait` or longer: refused bodies first, then connections without any request so far, then idle ones.
    pub fn give_up_connection(&mut self, now: Time, min_wait: Duration) -> Option<Key> {
        let key = candidate::waiting_connection(&self.entries, now, min_wait)?;
        self.close(key);
        Some(key)
    }

    /// Removes an entry; no effect if it was given up.
    pub fn close(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.used[entry.class() as usize] -= entry.bytes;
        }
    }

    /// Bytes of all entries.
    pub fn used_bytes(&self) -> usize {
        self.used.iter().sum()
    }

    /// Most bytes of all entries.
    pub const fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Bytes of all entries of the kinds that `filter` selects.
    pub fn bytes_of(&self, filter: impl Fn(Kind) -> bool) -> usize {
        let entries = self.entries.values().filter(|entry| filter(entry.kind));
        entries.map(|entry| entry.bytes).sum()
    }
}
