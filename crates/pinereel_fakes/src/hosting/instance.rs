//! One instance of pinereel as a real process, behind its proxies.

use super::{http::call, proxy::Proxy, site::binary_path};
use crate::launch::{Child, Signal};
use actix_http::Method;
use bytes::Bytes;
use std::{fs, io, net::SocketAddr, path::PathBuf, process::Command, time::Duration};
use tokio::time::{Instant, sleep};

/// Longest wait for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// One instance of pinereel.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where callers connect, through a proxy.
    pub caller_proxy: Proxy,
    /// Its way to the store.
    pub store_proxy: Proxy,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    settings_path: PathBuf,
    /// The settings as they should be.
    valid_settings: String,
    child: Option<Child>,
    /// What earlier processes of the instance logged.
    earlier_lines: Vec<String>,
    /// Whether it is stopped by SIGSTOP.
    pub paused: bool,
}

impl Instance {
    /// One whose process is not started yet. `settings` is the path of its settings file, and what should stand there.
    pub(super) fn new(
        name: String,
        caller_proxy: Proxy,
        store_proxy: Proxy,
        readiness_address: SocketAddr,
        (settings_path, valid_settings): (PathBuf, String),
    ) -> Self {
        Self {
            name,
            caller_proxy,
            store_proxy,
            readiness_address,
            settings_path,
            valid_settings,
            child: None,
            earlier_lines: Vec::new(),
            paused: false,
        }
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.earlier_lines.extend(self.lines());
        self.restore_settings();
        let mut command = Command::new(binary()?);
        command.arg("hosted").arg("--config").arg(&self.settings_path);
        self.child = Some(Child::start(&mut command)?);
        self.paused = false;
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.wait(Duration::ZERO));
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
        [self.earlier_lines.clone(), self.lines()].concat()
    }

    /// Writes nonsense into the settings file, as storage that fails does.
    pub fn corrupt_settings(&self) {
        // Best effort: what fails here is what is to be tested.
        let _ = fs::write(&self.settings_path, "[instance\nname = ");
    }

    /// Writes the good settings back.
    pub fn restore_settings(&self) {
        let _ = fs::write(&self.settings_path, &self.valid_settings);
    }

    /// Waits until the process is ready.
    ///
    /// # Errors
    /// If it is not within ten seconds.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        let headers = [("host", "here".to_owned())];
        while Instant::now() < end {
            let answer = call(
                self.readiness_address,
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
    binary_path("pinereel")
}
