//! Signals that arrive before the runtime can receive them, whose default action would end the process.

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Whether one of a set of signals has arrived since [`Flag::register`].
#[derive(Clone, Debug, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    /// Installs handlers that set the flag, in place of the default action of `signals`. The runtime may
    /// receive the same signals, too.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub fn register(signals: &[i32]) -> io::Result<Self> {
        let flag = Self::default();
        for signal in signals {
            flag::register(*signal, Arc::clone(&flag.0))?;
        }
        Ok(flag)
    }

    /// Whether one of the signals has arrived.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
