//! Signals of a hosted instance, also those that arrived before the runtime could receive them.

use crate::signals::Flag;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that arrived before the runtime could receive them.
#[derive(Clone, Debug)]
pub struct EarlySignals {
    /// SIGTERM or SIGINT.
    pub stop: Flag,
    /// SIGHUP.
    pub hangup: Flag,
}

/// Receives the first request for a shutdown. Further ones have no effect.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    early: Flag,
}

impl Stop {
    /// Receives the signals from now on, and those that `early` has seen.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub fn listen(early: Flag) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            early,
        })
    }

    /// Waits until a shutdown has been requested.
    pub async fn requested(&mut self) {
        if self.early.is_set() {
            return;
        }
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
