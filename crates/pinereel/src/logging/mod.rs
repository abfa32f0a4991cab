//! Structured logging: JSON lines through `log` and `fern`, written by a background thread.
//!
//! Logging never blocks on the sink: lines go through a bounded [`Queue`], which drops and counts
//! them when it is full. Ordinary lines carry the key-value fields of `log`:
//! `log::info!(entry = name, zone = zone; "listening")`. Decisions are logged as a [`Decision`].

mod decision;
mod line;
mod panics;
mod queue;
mod rate_limit;

pub use decision::{DECISION_TARGET, Decision, DecisionKind, RunnerUp};
pub use line::timestamp;
pub use panics::{log_panics, panic_text};
pub use queue::Queue;

use crate::settings;
use log::LevelFilter;
use rate_limit::{Outcome, RateLimiter};
use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::PathBuf,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// Handle of the process-wide logger, once [`init`] has installed it.
static HANDLE: Mutex<Option<Handle>> = Mutex::new(None);

/// Why the logger could not be installed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file cannot be opened.
    #[error("log file {}: {source}", path.display())]
    Open {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The writer thread cannot be started.
    #[error("log writer: {0}")]
    Thread(#[from] io::Error),
    /// Another logger is already installed.
    #[error(transparent)]
    Installed(#[from] log::SetLoggerError),
}

/// Handle of the process-wide logger, to flush it and to count dropped lines.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: Queue,
}

impl Handle {
    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.queue.dropped()
    }

    /// Waits up to `timeout` until every line is written and returns whether all were.
    ///
    /// Blocks the calling thread; call it only at process exit.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.queue.flush(timeout)
    }

    /// Returns a guard that calls [`Handle::flush`] when dropped, also by a panic that ends the process.
    pub fn flush_on_drop(&self, timeout: Duration) -> FlushGuard {
        FlushGuard {
            handle: self.clone(),
            timeout,
        }
    }
}

/// Writes all lines when dropped, see [`Handle::flush_on_drop`].
#[derive(Debug)]
pub struct FlushGuard {
    handle: Handle,
    timeout: Duration,
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        // Lines that are not written by then are lost: the process ends.
        let _ = self.handle.flush(self.timeout);
    }
}

/// Installs the process-wide logger.
///
/// Idempotent: later calls, also with other settings, return the handle of the first one.
///
/// # Errors
/// If the log file cannot be opened, the writer thread cannot be started, or another logger is
/// installed.
pub fn init(settings: &settings::Log) -> Result<Handle, Error> {
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return Ok(handle.clone());
    }
    let queue = Queue::start(settings.queue, open_sink(settings)?)?;
    dispatch(settings, queue.clone()).apply()?;
    let handle = Handle { queue };
    *installed = Some(handle.clone());
    Ok(handle)
}

/// Number of lines that the process-wide logger has dropped; zero before [`init`].
pub fn dropped() -> u64 {
    let installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    installed.as_ref().map_or(0, Handle::dropped)
}

/// Builds the dispatch that filters records by `settings`, limits their rate and pushes their JSON
/// lines to `queue`.
pub fn dispatch(settings: &settings::Log, queue: Queue) -> fern::Dispatch {
    let decisions = if settings.decisions {
        LevelFilter::Info
    } else {
        LevelFilter::Off
    };
    let rate_limiter = RateLimiter::default();
    let write = move |record: &log::Record<'_>| {
        // A message with format arguments has no constant text. Those are rare, so all of one
        // target share a limit.
        let message = record.args().as_str().unwrap_or("");
        if let Outcome::Allow { suppressed } =
            rate_limiter.check(record.target(), message, Instant::now())
        {
            if suppressed > 0 {
                queue.push(line::format_suppressed(
                    SystemTime::now(),
                    message,
                    suppressed,
                ));
            }
            queue.push(line::format_record(SystemTime::now(), record));
        }
    };
    fern::Dispatch::new()
        .level(settings.level)
        .level_for(DECISION_TARGET, decisions)
        .chain(fern::Output::call(write))
}

fn open_sink(settings: &settings::Log) -> Result<Box<dyn Write + Send>, Error> {
    let Some(path) = &settings.file else {
        if settings.stdout {
            return Ok(Box::new(io::stdout()));
        }
        return Ok(Box::new(io::stderr()));
    };
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.map_err(|source| Error::Open {
        path: path.clone(),
        source,
    })?;
    Ok(Box::new(file))
}
