//! Why a command was not done.

use super::ExitCode;
use crate::{entry, hosted, settings};
use compact_str::CompactString;
use pinereel_api::problem::{Code, Problem, Ran};
use std::{io, net::SocketAddr, path::PathBuf};

/// Why a command was not done.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is at fault.
    #[error("{0} (see pinereel --help)")]
    Usage(CompactString),
    /// The settings are at fault.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A file named on the command line is at fault.
    #[error("{}: expected {expected}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What was expected of it.
        expected: CompactString,
    },
    /// The entry ended with an error.
    #[error("entry: {0}")]
    Entry(entry::Error),
    /// The hosted instance ended with an error.
    #[error("instance: {0}")]
    Hosted(hosted::Error),
    /// Nothing reached the entry.
    #[error("{address}: not reached: {reason}")]
    Unreachable {
        /// Its operators' address.
        address: SocketAddr,
        /// What happened.
        reason: CompactString,
    },
    /// The call was sent, and no whole answer came.
    #[error("{address}: no answer: {reason}{}", if *.mutating { "; it may or may not have been done" } else { "" })]
    NoResponse {
        /// Its operators' address.
        address: SocketAddr,
        /// What happened.
        reason: CompactString,
        /// Whether the call may have changed something.
        mutating: bool,
    },
    /// The entry answered that it did not do it.
    #[error("{} ({:?})", problem.message, problem.code)]
    Problem {
        /// Its answer.
        problem: Problem,
        /// Whether the call may have changed something.
        mutating: bool,
    },
    /// The entry answered something that is no answer to the call.
    #[error("unexpected answer {status}: {reason}")]
    UnexpectedResponse {
        /// Its HTTP status.
        status: u16,
        /// What is wrong with it.
        reason: CompactString,
        /// Whether the call may have changed something.
        mutating: bool,
    },
    /// The result could not be written, or the runtime failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string().into())
    }
}

impl Error {
    /// The exit code that tells of the error.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Settings(_) | Self::File { .. } => ExitCode::Usage,
            Self::Entry(_) | Self::Hosted(_) | Self::Unreachable { .. } | Self::Io(_) => {
                ExitCode::Failed
            }
            Self::NoResponse { mutating, .. } | Self::UnexpectedResponse { mutating, .. } => {
                unknown_or_failed(*mutating)
            }
            Self::Problem { problem, mutating } => match problem.code {
                Code::Conflict | Code::InvalidPatch | Code::NotConfirmed => ExitCode::Refused,
                _ => unknown_or_failed(*mutating && matches!(problem.ran, Ran::Unknown)),
            },
        }
    }

    /// The text for a person, or the entry's own JSON if `json` and there is one.
    pub(super) fn render(&self, json: bool) -> String {
        match self {
            Self::Problem { problem, .. } if json => {
                serde_json::to_string(problem).unwrap_or_else(|_| self.to_string())
            }
            _ => format!("pinereel: {self}"),
        }
    }
}

const fn unknown_or_failed(unknown: bool) -> ExitCode {
    if unknown {
        ExitCode::Unknown
    } else {
        ExitCode::Failed
    }
}
