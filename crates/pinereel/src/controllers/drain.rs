//! The graceful stop of this entry.

use std::cell::Cell;

/// The controller's state.
#[derive(Debug, Default)]
pub struct Drain {
    /// Whether a stop was asked for.
    asked: Cell<bool>,
    /// Whether new requests are refused.
    refuses: Cell<bool>,
    /// Requests in flight.
    in_flight: Cell<u64>,
}

/// Counts a request as in flight until dropped.
pub struct Guard<'a>(&'a Drain);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Drain {
    /// Asks for a stop. Asking again changes nothing.
    pub fn ask(&self) {
        self.asked.set(true);
    }

    /// Refuses new requests from now on.
    pub fn refuse(&self) {
        self.refuses.set(true);
    }

    /// Whether new requests are refused.
    pub fn refuses(&self) -> bool {
        self.refuses.get()
    }

    /// Whether a stop was asked for.
    pub fn asked(&self) -> bool {
        self.asked.get()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Counts a request as in flight.
    pub fn enter(&self) -> Guard<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        Guard(self)
    }
}
