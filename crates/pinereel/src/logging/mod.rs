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
use log::{LevelFilter, Log, Metadata, Record};
use rate_limit::{Outcome, RateLimiter};
use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::PathBuf,
    sync::{Mutex, PoisonError, RwLock},
    time::{Duration, Instant, SystemTime},
};

/// The installed process-wide logger.
static INSTALLED: Mutex<Option<Installed>> = Mutex::new(None);
/// The logger that `log` calls, whose target changes once the settings are known.
static SWITCH: Switch = Switch(RwLock::new(None));

struct Installed {
    handle: Handle,
    /// Whether [`init`] replaces it.
    provisional: bool,
}

struct Switch(RwLock<Option<Box<dyn Log>>>);

impl Switch {
    fn replace(&self, logger: Box<dyn Log>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Some(logger);
    }

    fn with(&self, act: impl FnOnce(&dyn Log)) {
        if let Some(logger) = &*self.0.read().unwrap_or_else(PoisonError::into_inner) {
            act(logger.as_ref());
        }
    }
}

impl Log for Switch {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let mut enabled = false;
        self.with(|logger| enabled = logger.enabled(metadata));
        enabled
    }

    fn log(&self, record: &Record<'_>) {
        self.with(|logger| logger.log(record));
    }

    fn flush(&self) {
        self.with(|logger| logger.flush());
    }
}

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
}

/// Writes all lines when dropped, see [`flush_on_drop`].
#[derive(Debug)]
pub struct FlushGuard {
    timeout: Duration,
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        flush(self.timeout);
    }
}

/// Installs the process-wide logger, in place of that of [`init_provisional`].
///
/// Idempotent: later calls, also with other settings, return the handle of the first one.
///
/// # Errors
/// If the log file cannot be opened, the writer thread cannot be started, or another logger is
/// installed.
pub fn init(settings: &settings::Log) -> Result<Handle, Error> {
    install(settings, false)
}

/// Installs a logger to standard output until the settings are known. Has no effect if there is a logger.
///
/// # Errors
/// If the writer thread cannot be started, or another logger is installed.
pub fn init_provisional() -> Result<Handle, Error> {
    let settings = settings::Log {
        stdout: true,
        ..settings::Log::default()
    };
    install(&settings, true)
}

fn install(settings: &settings::Log, provisional: bool) -> Result<Handle, Error> {
    let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(installed) = &*installed
        && (provisional || !installed.provisional)
    {
        return Ok(installed.handle.clone());
    }
    let queue = Queue::start(settings.queue, open_sink(settings)?)?;
    let (level, logger) = dispatch(settings, queue.clone()).into_log();
    if installed.is_none() {
        log::set_logger(&SWITCH)?;
    }
    // The writer thread of a provisional logger ends once it has written its lines.
    SWITCH.replace(logger);
    log::set_max_level(level);
    let handle = Handle { queue };
    *installed = Some(Installed {
        handle: handle.clone(),
        provisional,
    });
    Ok(handle)
}

/// Returns a guard that waits up to `timeout` when dropped, also by a panic that ends the process, until the
/// process-wide logger has written every line. Lines that are not written by then are lost.
pub const fn flush_on_drop(timeout: Duration) -> FlushGuard {
    FlushGuard { timeout }
}

fn flush(timeout: Duration) {
    let installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(installed) = &*installed {
        installed.handle.flush(timeout);
    }
}

/// Number of lines that the process-wide logger has dropped; zero before [`init`].
pub fn dropped() -> u64 {
    let installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    installed
        .as_ref()
        .map_or(0, |installed| installed.handle.dropped())
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
