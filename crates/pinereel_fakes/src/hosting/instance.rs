//! One instance of pinereel as a real process, behind its proxies.

use super::{http::call, proxy::Proxy, site::beside};
use crate::child_process::{Child, Signal};
use actix_http::Method;
use bytes::Bytes;
use std::{fs, io, net::SocketAddr, path::PathBuf, process::Command, time::Duration};
use tokio::time::{Instant, sleep};

/// Longest wait for a process to become ready.
const READY: Duration = Duration::from_secs(10);

/// One instance of pinereel.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where callers connect, through a proxy.
    pub callers: Proxy,
    /// Its way to the store.
    pub store: Proxy,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    settings: PathBuf,
    /// The settings as they should be.
    good_settings: String,
    child: Option<Child>,
    /// What earlier processes of the instance logged.
    earlier: Vec<String>,
    /// Whether it is stopped by SIGSTOP.
    pub paused: bool,
}

impl Instance {
    /// One whose process is not started yet. `settings` is the path of its settings file, and what should stand there.
    pub(super) fn new(
        name: String,
        callers: Proxy,
        store: Proxy,
        readiness: SocketAddr,
        (settings, good_settings): (PathBuf, String),
    ) -> Self {
        Self {
            name,
            callers,
            store,
            readiness,
            settings,
            good_settings,
            child: None,
            earlier: Vec::new(),
            paused: false,
        }
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.earlier.extend(self.lines());
        self.mend_settings();
        let mut command = Command::new(binary()?);
        command.arg("hosted").arg("--config").arg(&self.settings);
        self.child = Some(Child::spawn(&mut command)?);
        self.paused = false;
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .map(|child| child.wait_for_exit(Duration::ZERO));
        matches!(ended, Some(Ok(None)))
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &mut self.child {
            // It may just have ended.
            let _ = child.signal(signal);
        }
    }

    /// Lines that the process has logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.child.as_ref().map(Child::lines).unwrap_or_default()
    }

    /// Lines that all processes of the instance have logged.
    pub fn all_lines(&self) -> Vec<String> {
        [self.earlier.clone(), self.lines()].concat()
    }

    /// Writes nonsense into the settings file, as storage that fails does.
    pub fn spoil_settings(&self) {
        // Best effort: what fails here is what is to be tested.
        let _ = fs::write(&self.settings, "[instance\nname = ");
    }

    /// Writes the good settings back.
    pub fn mend_settings(&self) {
        let _ = fs::write(&self.settings, &self.good_settings);
    }

    /// Waits until the process is ready.
    ///
    /// # Errors
    /// If it is not within ten seconds.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY;
        let headers = [("host", "here".to_owned())];
        while Instant::now() < end {
            let answer = call(
                self.readiness,
                Method::GET,
                "/v1/readiness",
                &headers,
                Bytes::new(),
                Duration::from_secs(1),
            );
            if answer.await.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        let lines = self.lines().join("\n");
        Err(io::Error::other(format!(
            "{} is not ready: {lines}",
            self.name
        )))
    }
}

/// The binary under test.
fn binary() -> io::Result<PathBuf> {
    beside("pinereel")
}
