//! The log: JSON lines through `log` and `fern`, written by a thread of its own.
//!
//! Nobody who logs ever waits for the sink: lines pass a bounded [`Queue`], and those that find
//! it full are dropped and counted. Ordinary lines carry fields in the way of `log`:
//! `log::info!(entry = name, zone = zone; "listening")`. Decisions have a type: [`Decision`].

mod decision;
mod line;
mod queue;
mod rate_limit;

pub use decision::{DECISION_TARGET, Decision, DecisionKind, RunnerUp};
pub use line::timestamp;
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

/// The process's log, once [`init`] has set it up.
static HANDLE: Mutex<Option<Handle>> = Mutex::new(None);

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file cannot be opened.
    #[error("log file {}: {source}", path.display())]
    Open {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The writer's thread cannot be started.
    #[error("log writer: {0}")]
    Thread(#[from] io::Error),
    /// Another logger was installed before.
    #[error(transparent)]
    Installed(#[from] log::SetLoggerError),
}

/// The process's log.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: Queue,
}

impl Handle {
    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.queue.dropped()
    }

    /// Waits until every line is written, at most `timeout`. Says whether all were.
    ///
    /// Blocks the thread: for use at the end of the process only.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.queue.flush(timeout)
    }
}

/// Sets up the process's log.
///
/// Idempotent: later calls, also with other settings, give the log that the first one set up.
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

/// Lines that the process's log has dropped; zero before [`init`].
pub fn dropped() -> u64 {
    let installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    installed.as_ref().map_or(0, Handle::dropped)
}

/// The dispatch that filters records by `settings` and puts their lines into `queue`.
pub fn dispatch(settings: &settings::Log, queue: Queue) -> fern::Dispatch {
    let decisions = if settings.decisions {
        LevelFilter::Info
    } else {
        LevelFilter::Off
    };
    let rate_limiter = RateLimiter::default();
    let write = move |record: &log::Record<'_>| {
        // A message that is made up of parts has no constant text; those are rare.
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
