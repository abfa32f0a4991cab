//! A process of an instance: its memory, and whether the test that runs it caused its end.

use crate::child_process::{Child, Signal};
use std::{os::unix::process::ExitStatusExt as _, process::ExitStatus, time::Duration};
use tokio::time::Instant;

/// Number of the last log lines that an end keeps.
const LAST_LINES: usize = 6;
/// Longest time from the end of a process until its last lines are read.
pub(super) const MAX_OUTPUT_DELAY: Duration = Duration::from_millis(200);
/// Longest part of a log line that an end keeps, in characters.
const MAX_LINE_LENGTH: usize = 300;

/// The end of a process.
#[derive(Clone, Debug)]
pub struct End {
    /// When the end was observed.
    pub at: Instant,
    /// Exit status or signal.
    pub status: ExitStatus,
    /// Whether a signal that ends a process was sent, and the process ended in the way that the signal allows.
    pub was_caused: bool,
    /// The last lines that the process logged.
    pub last_lines: Vec<String>,
}

/// A process, which may have ended.
pub(super) struct Process {
    pub(super) child: Child,
    /// Whether SIGTERM was sent.
    terminated: bool,
    /// Whether SIGKILL was sent.
    killed: bool,
    /// When the end was observed first.
    ended_at: Option<Instant>,
    /// Whether the end was returned.
    is_reported: bool,
    was_caused: bool,
    /// Largest resident size that was observed, in bytes.
    peak_memory: u64,
}

impl Process {
    pub(super) const fn new(child: Child) -> Self {
        Self {
            child,
            terminated: false,
            killed: false,
            ended_at: None,
            is_reported: false,
            was_caused: false,
            peak_memory: 0,
        }
    }

    /// Sends a signal, unless the process has ended.
    pub(super) fn signal(&mut self, signal: Signal) {
        // Fails if the process has ended.
        if self.child.signal(signal).is_ok() {
            self.terminated |= signal == Signal::TERM;
            self.killed |= signal == Signal::KILL;
        }
    }

    /// Notes the memory, and returns the end once, with the lines that the process logged before it.
    pub(super) fn observe(&mut self) -> Option<End> {
        if self.is_reported {
            return None;
        }
        let peak_memory = self.child.peak_memory().unwrap_or_default();
        self.peak_memory = self.peak_memory.max(peak_memory);
        let status = self.child.wait_for_exit(Duration::ZERO).ok().flatten()?;
        let at = *self.ended_at.get_or_insert_with(Instant::now);
        self.was_caused = self.allows(status);
        if !self.child.has_closed_streams() && at.elapsed() < MAX_OUTPUT_DELAY {
            return None;
        }
        self.is_reported = true;
        let lines = self.child.lines();
        let first = lines.len().saturating_sub(LAST_LINES);
        Some(End {
            at,
            status,
            was_caused: self.was_caused,
            last_lines: (lines[first..].iter())
                .map(|line| line.chars().take(MAX_LINE_LENGTH).collect())
                .collect(),
        })
    }

    /// Whether the signals that were sent allow a process to end in this way.
    fn allows(&self, status: ExitStatus) -> bool {
        match status.signal() {
            Some(signal) if signal == Signal::KILL.as_raw() => self.killed,
            Some(signal) if signal == Signal::TERM.as_raw() => self.terminated,
            Some(_) => false,
            None => self.terminated && status.success(),
        }
    }

    /// Whether [`Self::observe`] has returned the end.
    pub(super) const fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns when the end was observed first, if no signal caused it.
    pub(super) fn ended_by_itself_at(&self) -> Option<Instant> {
        self.ended_at.filter(|_| !self.was_caused)
    }

    pub(super) const fn peak_memory(&self) -> u64 {
        self.peak_memory
    }
}
