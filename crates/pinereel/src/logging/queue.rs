//! Bounded queue of log lines and the background thread that writes them to the sink.

use super::line;
use std::{
    collections::VecDeque,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, SystemTime},
};

/// Maximum number of lines in one write to the sink.
const MAX_BATCH_LINES: usize = 64;

/// Bounded queue of log lines with its writer thread.
///
/// [`Queue::push`] takes a lock briefly but never waits for the sink. When the last clone of the
/// queue is dropped, the thread writes the remaining lines and ends.
#[derive(Clone, Debug)]
pub struct Queue {
    shared: Arc<Shared>,
    /// Closes the queue when the last clone is dropped.
    _close_on_drop: Arc<CloseOnDrop>,
}

#[derive(Debug)]
struct Shared {
    capacity: usize,
    state: Mutex<State>,
    /// Signalled when the writer thread has a line to write or the queue is closed.
    work_available: Condvar,
    /// Signalled when the writer thread has written all lines.
    all_written: Condvar,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<String>,
    writing: bool,
    closed: bool,
    dropped: u64,
    /// How many of the `dropped` lines have been reported in a log line.
    reported_drops: u64,
}

#[derive(Debug)]
struct CloseOnDrop(Arc<Shared>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.lock().closed = true;
        self.0.work_available.notify_one();
    }
}

impl Queue {
    /// Starts a thread that writes lines to `sink`; at most `capacity` lines are queued.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(capacity: usize, sink: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            capacity,
            state: Mutex::default(),
            work_available: Condvar::new(),
            all_written: Condvar::new(),
        });
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || writer.write_until_closed(sink))?;
        let close_on_drop = Arc::new(CloseOnDrop(shared.clone()));
        Ok(Self {
            shared,
            _close_on_drop: close_on_drop,
        })
    }

    /// Appends a line, or drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        let mut state = self.shared.lock();
        if state.lines.len() >= self.shared.capacity {
            state.dropped += 1;
            return;
        }
        state.lines.push_back(line);
        drop(state);
        self.shared.work_available.notify_one();
    }

    /// Number of lines dropped since the start, because the queue was full or the sink failed.
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits up to `timeout` until every line is written and returns whether all were.
    pub fn flush(&self, timeout: Duration) -> bool {
        let state = self.shared.lock();
        let waited = self
            .shared
            .all_written
            .wait_timeout_while(state, timeout, |state| !state.is_idle());
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.is_idle()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_until_closed(&self, mut sink: impl Write) {
        while let Some((text, count)) = self.next_batch() {
            let written = sink.write_all(text.as_bytes()).and_then(|()| sink.flush());
            if written.is_err() {
                self.lock().dropped += count;
            }
        }
    }

    /// Waits for the next batch: its text and its number of lines. `None` once the queue is
    /// closed and empty.
    fn next_batch(&self) -> Option<(String, u64)> {
        let mut state = self.lock();
        state.writing = false;
        while state.is_idle() {
            self.all_written.notify_all();
            if state.closed {
                return None;
            }
            let woken = self.work_available.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
        state.writing = true;
        Some(state.take_batch())
    }
}

impl State {
    /// Whether there are no lines to write and no drops to report.
    fn is_idle(&self) -> bool {
        self.lines.is_empty() && !self.writing && self.reported_drops == self.dropped
    }

    /// Removes up to `MAX_BATCH_LINES` lines and returns them as one text with their number. A line
    /// about unreported drops comes first.
    fn take_batch(&mut self) -> (String, u64) {
        let mut text = String::new();
        let count = self.lines.len().min(MAX_BATCH_LINES);
        if self.reported_drops < self.dropped {
            text.push_str(&line::format_dropped(
                SystemTime::now(),
                self.dropped - self.reported_drops,
            ));
            text.push('\n');
            self.reported_drops = self.dropped;
        }
        for line in self.lines.drain(..count) {
            text.push_str(&line);
            text.push('\n');
        }
        (text, count as u64)
    }
}
