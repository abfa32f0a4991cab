//! The command line: [`parse`] reads it, [`run`] does it.
//!
//! Exit codes are the same for all commands: see [`Exit`].

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

/// What the process tells whoever started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// Failed: nobody answered, or the server had an error.
    Failed = 1,
    /// The command line or the settings are at fault.
    Usage = 2,
    /// Refused: a conflict, an invalid patch, or a patch that was not confirmed.
    Refused = 3,
    /// It may or may not have been done.
    Unknown = 4,
}

/// One command line, fully read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print a help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Run an entry.
    Entry {
        /// Its settings file.
        config: PathBuf,
        /// Whether to stop after reading the settings.
        check: bool,
    },
    /// Run an instance on the platform that hosts it.
    Hosted {
        /// Its settings file.
        config: PathBuf,
        /// Whether to stop after reading the settings.
        check: bool,
    },
    /// Print the configuration in force.
    Show(Target),
    /// Ask what a patch would give.
    Check(Target, Draft),
    /// Submit a patch.
    Patch(Target, Draft),
    /// Print what an entry knows of the system.
    Status(Target),
    /// Tell an entry to stop gracefully.
    Drain(Target),
}

/// The entry to talk to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of its operators' listener.
    pub operators: SocketAddr,
    /// File with the operators' token.
    pub token_file: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
}

/// A patch as it is given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The number that it was written against.
    pub base: u64,
    /// Its id; made from its content if absent.
    pub id: Option<CompactString>,
    /// File with the JSON merge patch; `-` is standard input.
    pub file: PathBuf,
}

/// Does `command`, with results on `out` and faults on `err`.
///
/// `adapter` speaks to the platform that hosts the process, if the command is to run there.
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
            // Nobody is left to tell if standard error is closed.
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
            let settings = Settings::load(config)?;
            if check {
                return output.print_line("settings are valid");
            }
            entry::run(settings).map_err(Error::Entry)
        }
        Command::Hosted { config, check } => {
            let settings = Hosted::load(&config)?;
            if check {
                return output.print_line("settings are valid");
            }
            hosted::run(settings, config, adapter).map_err(Error::Hosted)
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
