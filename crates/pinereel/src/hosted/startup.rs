//! What a start waits for: valid settings and free ports.

use super::retry::retry_until_ok;
use crate::{
    logging,
    settings::{self, Hosted},
};
use std::{
    cell::Cell,
    io::{self, Write as _},
    net::SocketAddr,
    path::Path,
};
use tokio::net::TcpListener;

/// Reads the settings file until it is valid, as the platform may write it while the process starts.
pub async fn load_settings(path: &Path) -> Hosted {
    let report = |error: &settings::Error| {
        // If standard error is closed, the log line remains.
        let _ = writeln!(io::stderr(), "pinereel: {error}");
        match logging::init_provisional() {
            Ok(_) => log::error!(error:% = error; "cannot use the settings file, retrying"),
            Err(error) => {
                let _ = writeln!(io::stderr(), "pinereel: {error}");
            }
        }
    };
    retry_until_ok(async || Hosted::load(path), report).await
}

/// Installs the logger of the settings. If its file cannot be opened, the lines go to standard output.
///
/// # Errors
/// If the writer thread cannot be started, or another logger is installed.
pub fn start_logging(settings: &Hosted) -> Result<(), logging::Error> {
    match logging::init(&settings.log) {
        Err(error @ logging::Error::Open { .. }) => {
            logging::init_provisional()?;
            log::error!(error:% = error; "cannot open the log file, logging to standard output");
            Ok(())
        }
        result => result.map(drop),
    }
}

/// Opens the listener `name`, and tries again while that fails: the port may be in use by the previous process,
/// which answers its last requests.
pub async fn listen(name: &'static str, address: SocketAddr) -> TcpListener {
    let has_failed = Cell::new(false);
    let report = |error: &io::Error| {
        has_failed.set(true);
        log::warn!(listener = name, address:%, error:%; "cannot listen, retrying");
    };
    let listener = retry_until_ok(async || TcpListener::bind(address).await, report).await;
    if has_failed.get() {
        log::info!(listener = name, address:%; "listening after failed attempts");
    }
    listener
}

/// The listeners that an instance needs before it can serve.
pub struct Listeners {
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for other instances, with its address; `None` without one in the settings.
    pub peers: Option<(SocketAddr, TcpListener)>,
}

impl Listeners {
    /// Waits until both ports are free. Callers come last: their connections wait from then on.
    pub async fn open(settings: &Hosted, callers: SocketAddr) -> Self {
        let peers = match settings.instance.peers {
            Some(address) => Some((address, listen("peers", address).await)),
            None => None,
        };
        Self {
            callers: listen("callers", callers).await,
            peers,
        }
    }
}
