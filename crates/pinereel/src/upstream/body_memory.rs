//! Counts the bytes of response bodies while they are read and until they are delivered.

use bytes::Bytes;
use pinereel_core::body_budget::Usage;
use std::{
    cell::Cell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Memory of all bodies of a client.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    max_bytes: usize,
    reading: Rc<Cell<usize>>,
    read_bytes: Rc<Cell<usize>>,
    /// Shared with the bodies, whose bytes may be dropped anywhere.
    held_bytes: Arc<AtomicUsize>,
}

/// The bytes of one body that is being read; freed on drop.
pub(crate) struct Reserved {
    memory: BodyMemory,
    bytes: usize,
}

/// A complete body, whose bytes are counted until it is dropped.
struct Held {
    body: Bytes,
    held_bytes: Arc<AtomicUsize>,
}

impl BodyMemory {
    /// Memory for `max_bytes` of all bodies together.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reading: Rc::default(),
            read_bytes: Rc::default(),
            held_bytes: Arc::default(),
        }
    }

    /// Begins to read a body.
    pub(crate) fn begin(&self) -> Reserved {
        self.reading.set(self.reading.get() + 1);
        Reserved {
            memory: self.clone(),
            bytes: 0,
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            max_bytes: self.max_bytes,
            reading: self.reading.get(),
            read_bytes: self.read_bytes.get(),
            held_bytes: self.held_bytes.load(Ordering::Relaxed),
        }
    }
}

impl Reserved {
    /// Reserves the memory for the next part; returns whether there is any.
    pub(crate) fn add(&mut self, part: usize) -> bool {
        let memory = &self.memory;
        if !memory.usage().admits(self.bytes + part, part) {
            return false;
        }
        self.bytes += part;
        memory.read_bytes.set(memory.read_bytes.get() + part);
        true
    }

    /// Converts the complete body to one that counts until it is dropped.
    pub(crate) fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        let held_bytes = Arc::clone(&self.memory.held_bytes);
        held_bytes.fetch_add(body.len(), Ordering::Relaxed);
        Bytes::from_owner(Held { body, held_bytes })
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let memory = &self.memory;
        memory.reading.set(memory.reading.get() - 1);
        memory.read_bytes.set(memory.read_bytes.get() - self.bytes);
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.held_bytes
            .fetch_sub(self.body.len(), Ordering::Relaxed);
    }
}
