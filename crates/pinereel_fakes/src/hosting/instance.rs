//! An instance of pinereel as a real process, behind proxies.

use super::{
    http::call,
    process::{End, Process},
    proxy::Proxy,
    site::{CALLER_PORT, METRICS_PORT},
};
use crate::child_process::{Child, Signal, binary_path};
use actix_http::Method;
use bytes::Bytes;
use std::{fs, io, net::SocketAddr, path::PathBuf, process::Command, time::Duration};
use tokio::time::{Instant, sleep};

/// Longest time from the start of a process until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance of pinereel, whose process may be started several times.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Proxy to which callers connect.
    pub caller_proxy: Proxy,
    /// Proxy through which the instance reaches the store.
    pub store_proxy: Proxy,
    /// Address of the readiness probe.
    pub readiness_address: SocketAddr,
    settings_path: PathBuf,
    /// Contents of an intact settings file.
    valid_settings: String,
    process: Option<Process>,
    /// Earlier processes that may still run.
    predecessors: Vec<Process>,
    /// Ends of processes.
    ends: Vec<End>,
    /// Largest resident size of an earlier process, in bytes.
    earlier_peak_memory: u64,
    /// Log lines of earlier processes of the instance.
    earlier_lines: Vec<String>,
    /// Whether the process is stopped by SIGSTOP.
    pub paused: bool,
}

impl Instance {
    /// Returns an instance whose process is not started yet. `settings_path` is the path of the
    /// settings file and `valid_settings` its contents.
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
            process: None,
            predecessors: Vec::new(),
            ends: Vec::new(),
            earlier_peak_memory: 0,
            earlier_lines: Vec::new(),
            paused: false,
        }
    }

    /// Starts the process, with intact settings.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.restore_settings();
        self.start_with_present_settings()
    }

    /// Starts the process with the settings file as it is. A process that still runs is killed.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start_with_present_settings(&mut self) -> io::Result<()> {
        self.signal(Signal::KILL);
        self.start_beside_predecessor()
    }

    /// Starts a process while the present one may still shut down.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start_beside_predecessor(&mut self) -> io::Result<()> {
        self.predecessors.extend(self.process.take());
        self.observe();
        let mut command = Command::new(binary_path("pinereel")?);
        command
            .arg("hosted")
            .arg("--config")
            .arg(&self.settings_path);
        self.process = Some(Process::new(Child::spawn(&command)?));
        self.paused = false;
        Ok(())
    }

    /// Notes the memory of the processes, and which have ended.
    pub fn observe(&mut self) {
        let processes = self.predecessors.iter_mut().chain(&mut self.process);
        self.ends.extend(processes.filter_map(Process::observe));
        for process in self
            .predecessors
            .extract_if(.., |process| process.is_reported())
        {
            self.earlier_peak_memory = self.earlier_peak_memory.max(process.peak_memory());
            self.earlier_lines.extend(process.child.lines());
        }
    }

    /// Returns the ends of processes that were observed.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns when the present process ended, if no signal caused it.
    pub fn ended_by_itself_at(&self) -> Option<Instant> {
        self.process.as_ref()?.ended_by_itself_at()
    }

    /// Returns the largest resident size that was observed at any process of the instance, in bytes.
    pub fn observed_peak_memory(&self) -> u64 {
        let processes = self.predecessors.iter().chain(&self.process);
        let peaks = processes.map(Process::peak_memory);
        peaks.fold(self.earlier_peak_memory, u64::max)
    }

    /// Returns whether the process runs; a process that is stopped by SIGSTOP counts as running.
    pub fn is_running(&mut self) -> bool {
        let ended = self
            .process
            .as_mut()
            .map(|process| process.child.wait_for_exit(Duration::ZERO));
        matches!(ended, Some(Ok(None)))
    }

    /// Whether the process executes the program, and not yet another one that starts it.
    pub fn executes_program(&self) -> bool {
        self.child().is_some_and(|child| child.executes("pinereel"))
    }

    fn child(&self) -> Option<&Child> {
        self.process.as_ref().map(|process| &process.child)
    }

    /// Returns the id of the process, if there is one.
    pub fn pid(&self) -> Option<u32> {
        self.child().map(Child::id)
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(process) = &mut self.process {
            process.signal(signal);
        }
    }

    /// Returns the largest resident size of the current process so far, in bytes; `None` if it has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        self.child()?.peak_memory()
    }

    /// Returns the number of open file descriptors of the current process; `None` if it has ended.
    pub fn open_descriptors(&self) -> Option<usize> {
        let descriptors = fs::read_dir(format!("/proc/{}/fd", self.pid()?)).ok()?;
        Some(descriptors.count())
    }

    /// Returns the address at which the process itself listens for callers.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.readiness_address.ip(), CALLER_PORT)
    }

    /// Returns the lines that the current process has logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.child().map(Child::lines).unwrap_or_default()
    }

    /// Returns the number of lines that the current process has logged and that contain `text`.
    pub fn count_lines(&self, text: &str) -> usize {
        let lines = self.lines();
        lines.iter().filter(|line| line.contains(text)).count()
    }

    /// Returns the lines that all processes of the instance have logged.
    pub fn all_lines(&self) -> Vec<String> {
        let predecessors = self.predecessors.iter();
        let draining = predecessors.flat_map(|process| process.child.lines());
        let mut lines = self.earlier_lines.clone();
        lines.extend(draining.chain(self.lines()));
        lines
    }

    /// Returns the address of the metrics.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.readiness_address.ip(), METRICS_PORT)
    }

    /// Overwrites the settings file with invalid contents, as failing storage does.
    pub fn corrupt_settings(&self) {
        self.write_settings(Some("[instance\nname = "));
    }

    /// Restores the contents of the settings file.
    pub fn restore_settings(&self) {
        self.write_settings(Some(&self.valid_settings));
    }

    /// Overwrites the settings file, or removes it.
    pub fn write_settings(&self, contents: Option<&str>) {
        // Best effort: a write that fails is a fault of the kind to be tested, and the file may be absent.
        let _ = match contents {
            Some(contents) => fs::write(&self.settings_path, contents),
            None => fs::remove_file(&self.settings_path),
        };
    }

    /// Returns the contents of an intact settings file.
    pub fn valid_settings(&self) -> &str {
        &self.valid_settings
    }

    /// Waits until the process is ready.
    ///
    /// # Errors
    /// If the process is not ready within ten seconds.
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
            "{} did not become ready: {lines}",
            self.name
        )))
    }
}

/// Returns the lines of an instance's metrics that begin with `prefix`; none without an answer.
pub async fn metrics(address: SocketAddr, prefix: &str) -> Vec<String> {
    let headers = [("host", "here".to_owned())];
    let answer = call(
        address,
        Method::GET,
        "/metrics",
        &headers,
        Bytes::new(),
        METRICS_TIMEOUT,
    );
    let body = answer.await.map(|answer| answer.body).unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines.map(str::to_owned).collect()
}

/// Load of the lots that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotLoad {
    /// Engine slots that it counts as used.
    pub used_slots: u64,
    /// Its tasks of items.
    pub tasks: u64,
}

/// Returns the load of the lots that an instance runs; `None` without an answer.
pub async fn lot_load(address: SocketAddr) -> Option<LotLoad> {
    let lines = metrics(address, "pinereel_hosted_lot_load").await;
    let value = |what: &str| {
        let line = lines.iter().find(|line| line.contains(what))?;
        line.rsplit(' ').next()?.parse().ok()
    };
    Some(LotLoad {
        used_slots: value("used_slots")?,
        tasks: value("tasks")?,
    })
}
