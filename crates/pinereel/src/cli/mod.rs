//! Command-line interface: [`parse()`] turns arguments into a [`Command`], [`run`] executes it.
//!
//! All commands use the same exit codes, see [`ExitCode`].

mod client;
mod config;
mod drain;
mod error;
mod help;
mod output;
mod parse;
mod status;

pub use error::Error;
pub use parse::parse;

use crate::{
    entry, hosted,
    settings::{Hosted, Settings},
    signals::{Flag, SIGHUP, SIGINT, SIGTERM},
};
use compact_str::CompactString;
use output::Output;
use pinereel_port::Adapter;
use std::{io::Write, net::SocketAddr, path::PathBuf};

/// Environment variable for `--operators`.
pub const OPERATORS_VAR: &str = "PINEREEL_OPERATORS";
/// Environment variable for `--config` of a hosted instance.
pub const SETTINGS_VAR: &str = "PINEREEL_SETTINGS";
/// Environment variable for `--token-file`.
pub const TOKEN_FILE_VAR: &str = "PINEREEL_TOKEN_FILE";

/// Signals that request a graceful shutdown of a daemon.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command failed: there was no response, or the server had an error.
    Failed = 1,
    /// The command line, a file named there or the settings are invalid.
    Usage = 2,
    /// The server refused the command: a conflict, an invalid patch, or a patch that was not
    /// confirmed.
    Refused = 3,
    /// The outcome is unknown: the command may or may not have been executed.
    Unknown = 4,
}

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print this help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Run an entry.
    Entry {
        /// Path of the settings file.
        config: PathBuf,
        /// Whether to only validate the settings.
        check: bool,
    },
    /// Run a hosted instance, whose state the platform keeps.
    Hosted {
        /// Path of the settings file.
        config: PathBuf,
        /// Whether to only validate the settings.
        check: bool,
    },
    /// Print the configuration in force.
    Show(Target),
    /// Validate a patch and print the resulting configuration, without applying it.
    Check(Target, Draft),
    /// Submit a patch.
    Patch(Target, Draft),
    /// Print an entry's view of the system.
    Status(Target),
    /// Shut an entry down gracefully.
    Drain(Target),
}

/// Entry that a command is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the entry's operators' listener.
    pub operators: SocketAddr,
    /// Path of the file with the operators' token.
    pub token_file: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
}

/// Configuration patch as given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Number of the configuration that the patch is based on.
    pub base: u64,
    /// Id of the patch; derived from its content if `None`.
    pub id: Option<CompactString>,
    /// Path of the file with the JSON merge patch; `-` is standard input.
    pub file: PathBuf,
}

/// Executes `command`, with results on `out` and errors on `err`.
///
/// `adapter` is the client of the hosting platform; only [`Command::Hosted`] uses it.
pub fn run(
    command: Command,
    adapter: Adapter,
    out: &mut impl Write,
    err: &mut impl Write,
) -> ExitCode {
    let json = command.target().is_some_and(|target| target.json);
    let mut output = Output { writer: out, json };
    match execute(command, adapter, &mut output) {
        Ok(()) => ExitCode::Done,
        Err(error) => {
            // If standard error is closed, there is no way to report the error.
            let _ = writeln!(err, "{}", error.render(json));
            error.exit_code()
        }
    }
}

fn execute(command: Command, adapter: Adapter, output: &mut Output<'_>) -> Result<(), Error> {
    match command {
        Command::Help(text) => output.print_line(text),
        Command::Version => output.print_line(concat!("pinereel ", env!("CARGO_PKG_VERSION"))),
        Command::Entry { config, check } => {
            if check {
                Settings::load(config)?;
                return output.print_line("settings are valid");
            }
            let stop = Flag::register(&STOP_SIGNALS)?;
            let settings = Settings::load(config)?;
            entry::run(settings, stop).map_err(Error::Entry)
        }
        Command::Hosted { config, check } => {
            if check {
                for warning in Hosted::load(&config)?.warnings.0 {
                    output.print_line(&format!("warning: {warning}"))?;
                }
                return output.print_line("settings are valid");
            }
            let early_signals = hosted::EarlySignals {
                stop: Flag::register(&STOP_SIGNALS)?,
                hangup: Flag::register(&[SIGHUP])?,
            };
            hosted::run(config, adapter, early_signals).map_err(Error::Hosted)
        }
        Command::Show(target) => config::show(&target, output),
        Command::Check(target, draft) => config::check_patch(&target, &draft, output),
        Command::Patch(target, draft) => config::submit_patch(&target, &draft, output),
        Command::Status(target) => status::status(&target, output),
        Command::Drain(target) => drain::drain(&target, output),
    }
}

impl Command {
    const fn target(&self) -> Option<&Target> {
        match self {
            Self::Help(_) | Self::Version | Self::Entry { .. } | Self::Hosted { .. } => None,
            Self::Show(target) | Self::Status(target) | Self::Drain(target) => Some(target),
            Self::Check(target, _) | Self::Patch(target, _) => Some(target),
        }
    }
}
